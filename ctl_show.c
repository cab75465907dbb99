/* capercrankctl show: tables made from the rows that an assigner knows. */
#include <stdio.h>
#include <string.h>

#include <libsoup/soup.h>

#include "ctl.h"
#include "slicemap.h"

static const char *
state_name (CcServerState state)
{
  static const char *const names[] = { "live", "leaving", "lost", "gone" };

  return (guint) state < G_N_ELEMENTS (names) ? names[state] : "?";
}

/* A row of the view that the walk is at. */
typedef struct
{
  const char *key; /* without the prefix */
  guint64 version;
  JsonNode *value;
  JsonObject *view; /* all rows */
} ShownRow;

typedef void (*AddRow) (CtlTable *t, const ShownRow *row);

static char *
number (guint64 n)
{
  return g_strdup_printf ("%" G_GUINT64_FORMAT, n);
}

static CcSliceMap *
map_of (const ShownRow *row)
{
  g_autofree char *text = json_to_string (row->value, FALSE);

  return cc_slicemap_parse (row->key, row->version, text);
}

/* Slices on their way to, or from, the server. */
static guint
moving_of (const CcSliceMap *m, gint32 server)
{
  guint n = 0;

  for (guint i = 0; i < m->slices->len; i++)
    {
      const CcMapSlice *s = cc_slicemap_at (m, i);

      n += s->from >= 0 && (s->server == server || s->from == server) ? 1 : 0;
    }
  return n;
}

static void
add_owner (CtlTable *t, const CcSliceMap *m, gint32 index)
{
  const CcMapServer *s = cc_slicemap_server (m, index);
  g_autofree char *term = number (s->term);
  g_autofree char *slices = number (cc_slicemap_owned (m, index));
  g_autofree char *moving = number (moving_of (m, index));
  g_autofree char *version = number (m->version);

  ctl_table_add (t, m->pool, s->name, state_name (s->state), s->dispatcher,
                 s->from[0] != '\0' ? s->from : "-", term, slices, moving,
                 version, m->reason);
}

static void
add_owners (CtlTable *t, const ShownRow *row)
{
  CcSliceMap *m = map_of (row);

  for (gint32 i = 0; m != NULL && i < (gint32) m->servers->len; i++)
    add_owner (t, m, i);
  cc_slicemap_free (m);
}

static void
add_servers (CtlTable *t, const ShownRow *row)
{
  CcSliceMap *m = map_of (row);

  for (guint i = 0; m != NULL && i < m->servers->len; i++)
    {
      const CcMapServer *s = m->servers->pdata[i];
      g_autofree char *drain =
          g_strconcat ("drain/", m->pool, "/", s->name, NULL);

      ctl_table_add (t, m->pool, s->name, s->address, s->zone,
                     state_name (s->state),
                     json_object_has_member (row->view, drain) ? "yes" : "no");
    }
  cc_slicemap_free (m);
}

static const char *
server_name (const CcSliceMap *m, gint32 index)
{
  const CcMapServer *s = cc_slicemap_server (m, index);

  return s != NULL ? s->name : "-";
}

static void
add_slices (CtlTable *t, const ShownRow *row)
{
  CcSliceMap *m = map_of (row);

  for (guint i = 0; m != NULL && i < m->slices->len; i++)
    {
      const CcMapSlice *s = cc_slicemap_at (m, i);
      g_autofree char *slice = number (i);
      g_autofree char *epoch = number (s->epoch);

      ctl_table_add (t, m->pool, slice, server_name (m, s->server),
                     server_name (m, s->from), epoch);
    }
  cc_slicemap_free (m);
}

static void
add_lease (CtlTable *t, const ShownRow *row)
{
  JsonObject *o = JSON_NODE_HOLDS_OBJECT (row->value)
                      ? json_node_get_object (row->value)
                      : NULL;
  g_autofree char *version = number (row->version);
  g_autofree char *renewals = number (
      o != NULL
          ? (guint64) json_object_get_int_member_with_default (o, "sequence", 0)
          : 0);

  ctl_table_add (t, row->key, version, renewals);
}

static void
add_member (CtlTable *t, const ShownRow *row)
{
  JsonObject *o = JSON_NODE_HOLDS_OBJECT (row->value)
                      ? json_node_get_object (row->value)
                      : NULL;
  g_autofree char *lease = g_strconcat ("lease/", row->key, NULL);

  if (o == NULL)
    return;
  ctl_table_add (
      t, row->key,
      json_object_get_string_member_with_default (o, "instance", ""),
      json_object_get_string_member_with_default (o, "zone", ""),
      json_object_get_string_member_with_default (o, "address", ""),
      json_object_get_boolean_member_with_default (o, "draining", FALSE) ? "yes"
                                                                         : "no",
      json_object_has_member (row->view, lease) ? "yes" : "no");
}

/* What can be shown: its rows, columns, and how a row becomes lines. */
typedef struct
{
  const char *name;
  const char *prefix;
  const char *columns[11];
  AddRow add;
} Shown;

static const Shown all_shown[] = {
  { "owners",
    "map/",
    { "pool", "server", "state", "dispatcher", "from", "term", "slices",
      "moving", "map version", "reason of the last change", NULL },
    add_owners },
  { "servers",
    "map/",
    { "pool", "server", "address", "zone", "state", "drained", NULL },
    add_servers },
  { "slices",
    "map/",
    { "pool", "slice", "owner", "moving from", "epoch", NULL },
    add_slices },
  { "leases", "lease/", { "holder", "version", "renewals", NULL }, add_lease },
  { "members",
    "member/",
    { "id", "instance", "zone", "address", "draining", "lease", NULL },
    add_member },
};

static const Shown *
find_shown (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (all_shown); i++)
    if (g_str_equal (all_shown[i].name, name))
      return &all_shown[i];
  return NULL;
}

static void
add_rows (CtlTable *t, const Shown *what, JsonObject *view)
{
  JsonObjectIter iter;
  const char *key;
  JsonNode *node;

  json_object_iter_init_ordered (&iter, view);
  while (json_object_iter_next_ordered (&iter, &key, &node))
    {
      ShownRow row = { .view = view };
      JsonObject *o;

      if (!g_str_has_prefix (key, what->prefix))
        continue;
      o = json_node_get_object (node);
      row.key = key + strlen (what->prefix);
      row.version = (guint64) json_object_get_int_member (o, "version");
      row.value = json_object_get_member (o, "value");
      what->add (t, &row);
    }
}

static int
show_table (const CtlOptions *o, const Shown *what)
{
  CtlAnswer a = ctl_call (o, o->control, "GET", "/v1/view", NULL, NULL);
  int code = ctl_report (o, &a);
  g_autoptr (JsonNode) root =
      code == CTL_DONE ? json_from_string (a.body, NULL) : NULL;
  CtlTable t;

  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    {
      ctl_table_init (&t, what->columns);
      add_rows (&t, what, json_node_get_object (root));
      ctl_table_print (&t, o->json);
      ctl_table_clear (&t);
    }
  ctl_answer_clear (&a);
  return code;
}

static int
show_config (const CtlOptions *o)
{
  CtlAnswer a = ctl_call (o, o->control, "GET", "/v1/config", NULL, NULL);
  int code = ctl_report (o, &a);

  if (code == CTL_DONE && !o->json)
    printf ("version %s\n", a.etag != NULL ? a.etag : "0");
  if (code == CTL_DONE)
    printf ("%s\n", a.body);
  ctl_answer_clear (&a);
  return code;
}

/* show WHAT. */
int
ctl_show (const CtlOptions *o)
{
  const Shown *what = find_shown (o->words[0]);

  if (o->control == NULL)
    {
      fprintf (stderr, "capercrankctl: --control=IP:PORT (or "
                       "CAPERCRANK_CONTROL) is required for this\n");
      return CTL_USAGE;
    }
  if (g_str_equal (o->words[0], "config"))
    return show_config (o);
  if (what != NULL)
    return show_table (o, what);
  fprintf (stderr,
           "capercrankctl: there is no \"%s\" to show: config, owners, "
           "servers, slices, leases or members\n",
           o->words[0]);
  return CTL_USAGE;
}
