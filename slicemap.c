/* The slice map of a pool.  Its invariants:
 *
 *  - A key always belongs to the same slice (by the xxh3 hash of its bytes)
 *    or, while it is hot, to a unit of its own (ownership_moves.c).
 *  - A unit has at most one owner.  While `from` is set, no new owner may
 *    start: the old server keeps serving until its dispatcher has stopped
 *    sending, and only a later version of the map, without `from`, lets the
 *    new owner start.
 *  - The epochs of a unit and of a key and the term of a server never
 *    decrease.
 *
 * The map is stored as one row of the platform's table and is replaced as a
 * whole by compare-and-swap on its version.
 */
#include "slicemap.h"

#include "json_tree.h"

#include <json-glib/json-glib.h>
#include <xxhash.h>

static void
server_free (gpointer data)
{
  CcMapServer *s = data;

  g_free (s->name);
  g_free (s->address);
  g_free (s->zone);
  g_free (s->dispatcher);
  g_free (s->from);
  g_free (s);
}

/* Returns a map of POOL with SLICES slices without owners. */
CcSliceMap *
cc_slicemap_new (const char *pool, guint slices)
{
  CcSliceMap *m = g_new0 (CcSliceMap, 1);

  m->pool = g_strdup (pool);
  m->servers = g_ptr_array_new_with_free_func (server_free);
  m->slices = g_array_sized_new (FALSE, TRUE, sizeof (CcMapSlice), slices);
  m->hot = g_array_new (FALSE, TRUE, sizeof (CcMapHot));
  m->reason = g_strdup ("");
  for (guint i = 0; i < slices; i++)
    {
      CcMapSlice s = { -1, -1, 0 };

      g_array_append_val (m->slices, s);
    }
  return m;
}

/* Frees M, which may be NULL. */
void
cc_slicemap_free (CcSliceMap *m)
{
  if (m == NULL)
    return;
  g_free (m->pool);
  g_free (m->reason);
  g_ptr_array_unref (m->servers);
  g_array_unref (m->slices);
  g_array_unref (m->hot);
  g_free (m);
}

/* Index of a server that can't be read. */
#define INVALID (-2)

/* Adds the server A to M.  Returns FALSE if it can't be read. */
static gboolean
parse_server (JsonArray *a, CcSliceMap *m)
{
  CcMapServer *s;

  if (a == NULL)
    return FALSE;
  s = g_new0 (CcMapServer, 1);
  s->name = g_strdup (cc_json_text_element (a, 0, ""));
  s->address = g_strdup (cc_json_text_element (a, 1, ""));
  s->zone = g_strdup (cc_json_text_element (a, 2, ""));
  s->dispatcher = g_strdup (cc_json_text_element (a, 3, ""));
  s->from = g_strdup (cc_json_text_element (a, 4, ""));
  s->term = (guint64) cc_json_whole_element (a, 5, 0, G_MAXINT64, 0);
  s->state = (CcServerState) cc_json_whole_element (
      a, 6, CC_SERVER_LIVE, CC_SERVER_GONE, CC_SERVER_GONE);
  g_ptr_array_add (m->servers, s);
  return TRUE;
}

/* Reads the three numbers of A that begin at AT, server, from and epoch, into
 * UNIT.  Returns FALSE if they name no servers of M. */
static gboolean
parse_unit (JsonArray *a, guint at, const CcSliceMap *m, CcMapSlice *unit)
{
  gint64 last = (gint64) m->servers->len - 1;

  unit->server = (gint32) cc_json_whole_element (a, at, -1, last, INVALID);
  unit->from = (gint32) cc_json_whole_element (a, at + 1, -1, last, INVALID);
  unit->epoch = (guint64) cc_json_whole_element (a, at + 2, 0, G_MAXINT64, 0);
  return unit->server != INVALID && unit->from != INVALID;
}

/* A hot key is stored as five consecutive numbers: hash, state, server, from,
 * epoch. */
#define HOT_FIELDS 5

static gboolean
parse_hot (JsonArray *a, CcSliceMap *m)
{
  guint n = MIN (json_array_get_length (a) / HOT_FIELDS, CC_HOT_MAX);

  for (guint i = 0; i < n; i++)
    {
      guint at = i * HOT_FIELDS;
      CcMapHot h = { 0 };

      h.hash =
          (guint64) cc_json_whole_element (a, at, G_MININT64, G_MAXINT64, 0);
      h.state = (CcHotState) cc_json_whole_element (
          a, at + 1, CC_HOT_FREE, CC_HOT_SPLITTING, CC_HOT_FREE);
      if (!parse_unit (a, at + 2, m, &h.unit))
        return FALSE;
      g_array_append_val (m->hot, h);
    }
  return TRUE;
}

/* Parses a row written by cc_slicemap_print.  Returns NULL if it is invalid or
 * has no slices. */
CcSliceMap *
cc_slicemap_parse (const char *pool, guint64 version, const char *json)
{
  g_autoptr (JsonNode) root = cc_json_parse (json, -1, NULL);
  JsonObject *o = cc_json_object (root);
  JsonArray *servers = cc_json_array_member (o, "servers");
  JsonArray *slices = cc_json_array_member (o, "slices");
  JsonArray *hot = cc_json_array_member (o, "hot");
  gboolean valid;
  CcSliceMap *m;

  if (servers == NULL || slices == NULL)
    return NULL;
  m = cc_slicemap_new (pool, json_array_get_length (slices) / 3);
  valid = m->slices->len > 0;
  m->version = version;
  g_free (m->reason);
  m->reason = g_strdup (cc_json_text_member (o, "reason", ""));
  for (guint i = 0; i < json_array_get_length (servers); i++)
    valid &=
        parse_server (cc_json_array (json_array_get_element (servers, i)), m);
  for (guint i = 0; i < m->slices->len; i++)
    valid &= parse_unit (slices, i * 3, m, cc_slicemap_at (m, i));
  valid &= hot == NULL || parse_hot (hot, m);
  if (!valid)
    g_clear_pointer (&m, cc_slicemap_free);
  return m;
}

static void
print_server (JsonBuilder *b, const CcMapServer *s)
{
  json_builder_begin_array (b);
  json_builder_add_string_value (b, s->name);
  json_builder_add_string_value (b, s->address);
  json_builder_add_string_value (b, s->zone);
  json_builder_add_string_value (b, s->dispatcher);
  json_builder_add_string_value (b, s->from);
  json_builder_add_int_value (b, (gint64) s->term);
  json_builder_add_int_value (b, s->state);
  json_builder_end_array (b);
}

static void
print_hot (JsonBuilder *b, const CcSliceMap *m)
{
  json_builder_set_member_name (b, "hot");
  json_builder_begin_array (b);
  for (guint i = 0; i < m->hot->len; i++)
    {
      const CcMapHot *h = &g_array_index (m->hot, CcMapHot, i);

      json_builder_add_int_value (b, (gint64) h->hash);
      json_builder_add_int_value (b, h->state);
      json_builder_add_int_value (b, h->unit.server);
      json_builder_add_int_value (b, h->unit.from);
      json_builder_add_int_value (b, (gint64) h->unit.epoch);
    }
  json_builder_end_array (b);
}

/* Returns M's row as JSON, to be freed by the caller. */
char *
cc_slicemap_print (const CcSliceMap *m)
{
  g_autoptr (JsonBuilder) b = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;

  json_builder_begin_object (b);
  json_builder_set_member_name (b, "reason");
  json_builder_add_string_value (b, m->reason);
  json_builder_set_member_name (b, "servers");
  json_builder_begin_array (b);
  for (guint i = 0; i < m->servers->len; i++)
    print_server (b, m->servers->pdata[i]);
  json_builder_end_array (b);
  json_builder_set_member_name (b, "slices");
  json_builder_begin_array (b);
  for (guint i = 0; i < m->slices->len; i++)
    {
      const CcMapSlice *s = cc_slicemap_at (m, i);

      json_builder_add_int_value (b, s->server);
      json_builder_add_int_value (b, s->from);
      json_builder_add_int_value (b, (gint64) s->epoch);
    }
  json_builder_end_array (b);
  print_hot (b, m);
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  return json_to_string (root, FALSE);
}

/* Hashes a key.  The result is stable across processes and releases. */
guint64
cc_key_hash (const void *key, gsize length)
{
  return XXH3_64bits (key, length);
}

/* The slice of a key with HASH: slices are equal ranges of hashes. */
guint
cc_slicemap_slice (const CcSliceMap *m, guint64 hash)
{
  return (guint) (((hash >> 32) * m->slices->len) >> 32);
}

/* The unit of a key with HASH: its own if it was split out, else its slice.
 * Called for each request: at most 128 comparisons, no allocation. */
guint
cc_slicemap_unit (const CcSliceMap *m, guint64 hash)
{
  for (guint i = 0; i < m->hot->len; i++)
    {
      const CcMapHot *h = &g_array_index (m->hot, CcMapHot, i);

      if (h->hash == hash && h->state != CC_HOT_FREE)
        return m->slices->len + i;
    }
  return cc_slicemap_slice (m, hash);
}

/* The number of units: slices and places for hot keys. */
guint
cc_slicemap_units (const CcSliceMap *m)
{
  return m->slices->len + m->hot->len;
}

/* The hot key entry of UNIT, or NULL if UNIT is a slice. */
CcMapHot *
cc_slicemap_hot (const CcSliceMap *m, guint unit)
{
  if (unit < m->slices->len)
    return NULL;
  return &g_array_index (m->hot, CcMapHot, unit - m->slices->len);
}

/* Returns an unused unit for a hot key, adding one if needed, or -1 if all are
 * in use. */
gint32
cc_slicemap_alloc_hot (CcSliceMap *m)
{
  CcMapHot h = { 0, CC_HOT_FREE, { -1, -1, 0 } };

  for (guint i = 0; i < m->hot->len; i++)
    if (g_array_index (m->hot, CcMapHot, i).state == CC_HOT_FREE)
      return (gint32) (m->slices->len + i);
  if (m->hot->len >= CC_HOT_MAX)
    return -1;
  g_array_append_val (m->hot, h);
  return (gint32) cc_slicemap_units (m) - 1;
}

/* The server at INDEX, or NULL if INDEX is out of range. */
CcMapServer *
cc_slicemap_server (const CcSliceMap *m, gint32 index)
{
  if (index < 0 || (guint) index >= m->servers->len)
    return NULL;
  return m->servers->pdata[index];
}

/* The index of the server named SERVER, or -1 if there is none. */
gint32
cc_slicemap_find (const CcSliceMap *m, const char *server)
{
  for (guint i = 0; i < m->servers->len; i++)
    {
      const CcMapServer *s = m->servers->pdata[i];

      if (g_str_equal (s->name, server))
        return (gint32) i;
    }
  return -1;
}

/* The entry of UNIT, which must be below the number of units. */
CcMapSlice *
cc_slicemap_at (const CcSliceMap *m, guint unit)
{
  if (unit >= m->slices->len)
    return &cc_slicemap_hot (m, unit)->unit;
  return &g_array_index (m->slices, CcMapSlice, unit);
}

/* The server that owns UNIT, or NULL while it is moving or has none. */
const CcMapServer *
cc_slicemap_owner (const CcSliceMap *m, guint unit)
{
  const CcMapSlice *s = cc_slicemap_at (m, unit);

  return s->from < 0 ? cc_slicemap_server (m, s->server) : NULL;
}

/* Adds a server without dispatcher or slices.  Returns its index.
 *
 * Its term starts from the map's version, which exceeds every term that it had
 * before: a server that was removed from the map and returns without a restart
 * remembers its last term, and would refuse all grants of a lower one.
 */
gint32
cc_slicemap_add (CcSliceMap *m, const char *name, const char *address,
                 const char *zone)
{
  CcMapServer *s = g_new0 (CcMapServer, 1);

  s->name = g_strdup (name);
  s->address = g_strdup (address);
  s->zone = g_strdup (zone);
  s->dispatcher = g_strdup ("");
  s->from = g_strdup ("");
  s->term = m->version;
  g_ptr_array_add (m->servers, s);
  return (gint32) m->servers->len - 1;
}

/* The number of units that SERVER owns or is about to own. */
guint
cc_slicemap_owned (const CcSliceMap *m, gint32 server)
{
  guint n = 0;

  for (guint i = 0; i < cc_slicemap_units (m); i++)
    n += cc_slicemap_at (m, i)->server == server ? 1 : 0;
  return n;
}

/* The number of units that are moving away from SERVER. */
guint
cc_slicemap_leaving (const CcSliceMap *m, gint32 server)
{
  guint n = 0;

  for (guint i = 0; i < cc_slicemap_units (m); i++)
    n += cc_slicemap_at (m, i)->from == server ? 1 : 0;
  return n;
}

/* The number of units that are moving. */
guint
cc_slicemap_moving (const CcSliceMap *m)
{
  guint n = 0;

  for (guint i = 0; i < cc_slicemap_units (m); i++)
    n += cc_slicemap_at (m, i)->from >= 0;
  return n;
}

/* Whether a unit belongs to SERVER or is moving away from it. */
static gboolean
is_referenced (const CcSliceMap *m, gint32 server)
{
  for (guint i = 0; i < cc_slicemap_units (m); i++)
    if (cc_slicemap_at (m, i)->server == server ||
        cc_slicemap_at (m, i)->from == server)
      return TRUE;
  return FALSE;
}

/* Removes SERVER and adjusts the indices of the servers after it. */
static void
remove_server (CcSliceMap *m, gint32 server)
{
  g_ptr_array_remove_index (m->servers, (guint) server);
  for (guint i = 0; i < cc_slicemap_units (m); i++)
    {
      CcMapSlice *s = cc_slicemap_at (m, i);

      s->server -= s->server > server ? 1 : 0;
      s->from -= s->from > server ? 1 : 0;
    }
}

/* Removes servers that are gone and that no unit refers to.  A lost server
 * stays while it is listed: if it were removed and added again, it would count
 * as live without slices, be given some and lose them again every second. */
void
cc_slicemap_compact (CcSliceMap *m)
{
  for (gint32 i = (gint32) m->servers->len - 1; i >= 0; i--)
    if (cc_slicemap_server (m, i)->state == CC_SERVER_GONE &&
        !is_referenced (m, i))
      remove_server (m, i);
}
