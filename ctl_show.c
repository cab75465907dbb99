/* capercrankctl show: tables built from the rows of an assigner's view, and the
 * document in force. */
#include <stdio.h>
#include <string.h>

#include <libsoup/soup.h>

#include "ctl.h"
#include "json_tree.h"
#include "slicemap.h"

static const char *
state_name (CcServerState state)
{
  static const char *const names[] = { "live", "leaving", "lost", "gone" };

  return (guint) state < G_N_ELEMENTS (names) ? names[state] : "?";
}

/* The row of the view that is being printed. */
typedef struct
{
  const char *key; /* without the prefix of its table */
  guint64 version;
  JsonNode *value;
  JsonObject *view; /* all rows, by key */
} ViewRow;

typedef void (*AddRow) (CtlTable *t, const ViewRow *row);

static char *
format_number (guint64 n)
{
  return g_strdup_printf ("%" G_GUINT64_FORMAT, n);
}

static CcSliceMap *
parse_map (const ViewRow *row)
{
  g_autofree char *text = json_to_string (row->value, FALSE);

  return cc_slicemap_parse (row->key, row->version, text);
}

/* The number of slices that are moving to or from SERVER. */
static guint
count_moving (const CcSliceMap *m, gint32 server)
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
  g_autofree char *term = format_number (s->term);
  g_autofree char *slices = format_number (cc_slicemap_owned (m, index));
  g_autofree char *moving = format_number (count_moving (m, index));
  g_autofree char *version = format_number (m->version);

  ctl_table_add (t, m->pool, s->name, state_name (s->state), s->dispatcher,
                 s->from[0] != '\0' ? s->from : "-", term, slices, moving,
                 version, m->reason);
}

static void
add_owners (CtlTable *t, const ViewRow *row)
{
  CcSliceMap *m = parse_map (row);

  for (gint32 i = 0; m != NULL && i < (gint32) m->servers->len; i++)
    add_owner (t, m, i);
  cc_slicemap_free (m);
}

static void
add_servers (CtlTable *t, const ViewRow *row)
{
  CcSliceMap *m = parse_map (row);

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
add_slices (CtlTable *t, const ViewRow *row)
{
  CcSliceMap *m = parse_map (row);

  for (guint i = 0; m != NULL && i < m->slices->len; i++)
    {
      const CcMapSlice *s = cc_slicemap_at (m, i);
      g_autofree char *slice = format_number (i);
      g_autofree char *epoch = format_number (s->epoch);

      ctl_table_add (t, m->pool, slice, server_name (m, s->server),
                     server_name (m, s->from), epoch);
    }
  cc_slicemap_free (m);
}

static void
add_lease (CtlTable *t, const ViewRow *row)
{
  JsonObject *o = cc_json_object (row->value);
  g_autofree char *version = format_number (row->version);
  g_autofree char *renewals = format_number (
      (guint64) cc_json_whole_member (o, "sequence", 0, G_MAXINT64, 0));

  ctl_table_add (t, row->key, version, renewals);
}

static void
add_member (CtlTable *t, const ViewRow *row)
{
  JsonObject *o = cc_json_object (row->value);
  g_autofree char *lease = g_strconcat ("lease/", row->key, NULL);

  if (o == NULL)
    return;
  ctl_table_add (t, row->key, cc_json_text_member (o, "instance", ""),
                 cc_json_text_member (o, "zone", ""),
                 cc_json_text_member (o, "address", ""),
                 cc_json_flag_member (o, "draining") ? "yes" : "no",
                 json_object_has_member (row->view, lease) ? "yes" : "no");
}

/* A table that can be shown: the key prefix of its rows, its columns, and the
 * function that adds lines for one row. */
typedef struct
{
  const char *name;
  const char *prefix;
  const char *columns[11];
  AddRow add;
} TableKind;

static const TableKind table_kinds[] = {
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

static const TableKind *
find_table_kind (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (table_kinds); i++)
    if (g_str_equal (table_kinds[i].name, name))
      return &table_kinds[i];
  return NULL;
}

static void
add_rows (CtlTable *t, const TableKind *kind, JsonObject *view)
{
  JsonObjectIter iter;
  const char *key;
  JsonNode *node;

  json_object_iter_init_ordered (&iter, view);
  while (json_object_iter_next_ordered (&iter, &key, &node))
    {
      ViewRow row = { .view = view };
      JsonObject *o = cc_json_object (node);

      if (o == NULL || !json_object_has_member (o, "value") ||
          !g_str_has_prefix (key, kind->prefix))
        continue;
      row.key = key + strlen (kind->prefix);
      row.version =
          (guint64) cc_json_whole_member (o, "version", 0, G_MAXINT64, 0);
      row.value = json_object_get_member (o, "value");
      kind->add (t, &row);
    }
}

static int
show_table (const CtlOptions *o, const TableKind *kind)
{
  CtlResponse a = ctl_call (o, o->control, "GET", "/v1/view", NULL, NULL);
  int code = ctl_report (o, &a);
  g_autoptr (JsonNode) root =
      code == CTL_OK ? cc_json_parse (a.body, -1, NULL) : NULL;
  CtlTable t;

  if (cc_json_object (root) != NULL)
    {
      ctl_table_init (&t, kind->columns);
      add_rows (&t, kind, json_node_get_object (root));
      ctl_table_print (&t, o->json);
      ctl_table_clear (&t);
    }
  ctl_response_clear (&a);
  return code;
}

static int
show_config (const CtlOptions *o)
{
  CtlResponse a = ctl_call (o, o->control, "GET", "/v1/config", NULL, NULL);
  int code = ctl_report (o, &a);

  if (code == CTL_OK && !o->json)
    printf ("version %s\n", a.etag != NULL ? a.etag : "0");
  if (code == CTL_OK)
    printf ("%s\n", a.body);
  ctl_response_clear (&a);
  return code;
}

/* show config|owners|servers|slices|leases|members. */
int
ctl_show (const CtlOptions *o)
{
  const TableKind *kind = find_table_kind (o->args[0]);

  if (o->control == NULL)
    {
      fprintf (stderr, "capercrankctl: --control=IP:PORT (or "
                       "CAPERCRANK_CONTROL) is required for this\n");
      return CTL_USAGE;
    }
  if (g_str_equal (o->args[0], "config"))
    return show_config (o);
  if (kind != NULL)
    return show_table (o, kind);
  fprintf (stderr,
           "capercrankctl: can't show \"%s\", only config, owners, "
           "servers, slices, leases or members\n",
           o->args[0]);
  return CTL_USAGE;
}
