/* Each range is stored in a row of its own, range/POOL/FROM, so that a move
 * writes a single row instead of the map of a whole pool. */
#include "key_ranges.h"

#include "edge.h"
#include "event_log.h"
#include "json_tree.h"

#include <string.h>

#include <json-glib/json-glib.h>

/* Creates a range of the keys FROM to TO, owned by the process of OWNER that
 * started at BORN. */
CcKeyRange *
cc_key_range_new (guint from, guint to, const char *owner, guint64 born,
                  guint64 fence)
{
  CcKeyRange *r = g_new0 (CcKeyRange, 1);

  r->from = from;
  r->to = to;
  r->owner = g_strdup (owner);
  r->born = born;
  r->fence = fence;
  return r;
}

/* Returns a copy of R. */
CcKeyRange *
cc_key_range_copy (const CcKeyRange *r)
{
  CcKeyRange *copy = g_new0 (CcKeyRange, 1);

  *copy = *r;
  copy->owner = g_strdup (r->owner);
  copy->previous = g_strdup (r->previous);
  return copy;
}

/* Frees a CcKeyRange; NULL is allowed. */
void
cc_key_range_free (gpointer range)
{
  CcKeyRange *r = range;

  if (r == NULL)
    return;
  g_free (r->owner);
  g_free (r->previous);
  g_free (r);
}

/* Gives R to OWNER.  The present owner becomes the previous one, which may hold
 * the keys until it has provably stopped.  If a move of R is already in
 * progress, its new owner never got the keys, and the previous owner stays. */
void
cc_key_range_move (CcKeyRange *r, const char *owner, guint64 born,
                   guint64 fence)
{
  if (r->previous == NULL)
    {
      r->previous = g_steal_pointer (&r->owner);
      r->previous_fence = r->fence;
    }
  g_free (r->owner);
  r->owner = g_strdup (owner);
  r->born = born;
  r->fence = fence;
}

/* Returns the key of R's row.  The caller frees it. */
char *
cc_key_range_key (const char *pool, const CcKeyRange *r)
{
  return g_strdup_printf (CC_RANGE_PREFIX "%s/%05u", pool, r->from);
}

/* Returns the value of R's row, JSON.  The caller frees it. */
char *
cc_key_range_text (const CcKeyRange *r)
{
  g_autoptr (GString) s = g_string_new (NULL);
  g_autofree char *owner = cc_json_quote (r->owner);

  g_string_append_printf (s,
                          "{\"to\":%u,\"owner\":%s,\"born\":%" G_GUINT64_FORMAT
                          ",\"fence\":%" G_GUINT64_FORMAT,
                          r->to, owner, r->born, r->fence);
  if (r->previous != NULL)
    {
      g_autofree char *previous = cc_json_quote (r->previous);

      g_string_append_printf (
          s, ",\"previous\":%s,\"previous_fence\":%" G_GUINT64_FORMAT, previous,
          r->previous_fence);
    }
  g_string_append_c (s, '}');
  return g_strdup (s->str);
}

/* Whether KEY is that of a row of a range of POOL.
 *
 * Failure: the name of a pool begins with that of another one and a slash.
 * Symptom: its ranges count as those of the other pool too, whose keys are sent
 * to upstreams that refuse them. */
gboolean
cc_key_range_is_in (const char *key, const char *pool)
{
  gsize length = strlen (pool);
  const char *name;

  if (!g_str_has_prefix (key, CC_RANGE_PREFIX))
    return FALSE;
  name = key + strlen (CC_RANGE_PREFIX);
  return strncmp (name, pool, length) == 0 && name[length] == '/' &&
         strchr (name + length + 1, '/') == NULL;
}

static guint64
get_number (JsonObject *o, const char *name)
{
  return (guint64) cc_json_whole_member (o, name, 0, G_MAXINT64, 0);
}

/* Reads the first key of the range whose row is KEY into *FROM.  Returns FALSE
 * if KEY names none. */
static gboolean
parse_from (const char *key, guint *from)
{
  const char *slash = strrchr (key, '/');
  guint64 number;

  if (slash == NULL || !g_ascii_string_to_unsigned (slash + 1, 10, 0,
                                                    CC_KEYS - 1, &number, NULL))
    return FALSE;
  *from = (guint) number;
  return TRUE;
}

/* Decodes VALUE, the row of the range that begins at FROM.  Returns NULL if it
 * is malformed or names keys that there are not. */
static CcKeyRange *
parse_range (guint from, const char *value, guint64 version)
{
  g_autoptr (JsonNode) root = cc_json_parse (value, -1, NULL);
  JsonObject *o = cc_json_object (root);
  gint64 to = cc_json_whole_member (o, "to", from, CC_KEYS - 1, -1);
  CcKeyRange *r;
  const char *previous;

  if (to < 0)
    return NULL;
  r = cc_key_range_new (from, (guint) to, cc_json_text_member (o, "owner", ""),
                        get_number (o, "born"), get_number (o, "fence"));
  previous = cc_json_text_member (o, "previous", NULL);
  r->previous = g_strdup (previous);
  r->previous_fence = get_number (o, "previous_fence");
  r->version = version;
  r->row_to = r->to;
  return r;
}

/* Initialises R without ranges. */
void
cc_key_ranges_init (CcKeyRanges *r)
{
  r->list = g_ptr_array_new_with_free_func (cc_key_range_free);
  r->fence_min = 0;
}

/* Frees the contents of R. */
void
cc_key_ranges_clear (CcKeyRanges *r)
{
  g_clear_pointer (&r->list, g_ptr_array_unref);
}

/* Returns the index in R of the first range that begins at FROM or later. */
static guint
find_index (const CcKeyRanges *r, guint from)
{
  guint low = 0, high = r->list->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;

      if (((CcKeyRange *) r->list->pdata[middle])->from < from)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Ends the range at INDEX of R before the next one begins. */
static void
bound_range (CcKeyRanges *r, guint index)
{
  CcKeyRange *range, *next;

  if (index >= r->list->len)
    return;
  range = r->list->pdata[index];
  next = index + 1 < r->list->len ? r->list->pdata[index + 1] : NULL;
  range->to = next != NULL && range->row_to >= next->from ? next->from - 1
                                                          : range->row_to;
}

/* Updates R with ROW, which was changed or deleted.  While a range is split,
 * rows overlap if only a part of the change has been received; the overlapping
 * keys belong to the range that begins later.
 *
 * In a large fleet each process keeps hundreds of ranges, some of which change
 * several times a second, so only the ranges next to ROW are updated. */
void
cc_key_ranges_apply_row (CcKeyRanges *r, const CcRow *row)
{
  guint from = 0, index;
  gboolean has_from = parse_from (row->key, &from);
  CcKeyRange *range = has_from && row->value != NULL
                          ? parse_range (from, row->value, row->version)
                          : NULL;

  if (row->value != NULL && range == NULL)
    cc_event (CC_EVENT_STATE, "row-refused", "row", row->key, "row_version",
              cc_event_int ((gint64) row->version), "bytes",
              cc_event_int ((gint64) strlen (row->value)), NULL);
  if (!has_from)
    return;
  index = find_index (r, from);
  if (index < r->list->len &&
      ((CcKeyRange *) r->list->pdata[index])->from == from)
    g_ptr_array_remove_index (r->list, index);
  if (range != NULL)
    g_ptr_array_insert (r->list, (gint) index, range);
  bound_range (r, index);
  if (index > 0)
    bound_range (r, index - 1);
}

/* Replaces the contents of R by POOL's ranges in V. */
void
cc_key_ranges_read (CcKeyRanges *r, const CcView *v, const char *pool)
{
  g_autofree char *prefix = g_strdup_printf (CC_RANGE_PREFIX "%s/", pool);
  g_autoptr (GPtrArray) rows = cc_view_list (v, prefix);

  g_ptr_array_set_size (r->list, 0);
  for (guint i = 0; i < rows->len; i++)
    if (cc_key_range_is_in (((const CcRow *) rows->pdata[i])->key, pool))
      cc_key_ranges_apply_row (r, rows->pdata[i]);
}

/* Assigns keys without a row to the owner of the keys before them.
 *
 * A split of a range writes two rows.  If the process that made it terminated
 * after the row of the lower part was written, the upper part was not granted
 * to anybody and still belongs to the owner of the whole range. */
void
cc_key_ranges_fill_gaps (CcKeyRanges *r)
{
  for (guint i = 0; i < r->list->len; i++)
    {
      CcKeyRange *range = r->list->pdata[i];
      guint next = i + 1 < r->list->len
                       ? ((CcKeyRange *) r->list->pdata[i + 1])->from
                       : CC_KEYS;

      range->to = next - 1;
    }
}

/* Returns the range that contains KEY, or NULL. */
CcKeyRange *
cc_key_ranges_find (const CcKeyRanges *r, guint key)
{
  guint low = 0, high = r->list->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;
      CcKeyRange *range = r->list->pdata[middle];

      if (key < range->from)
        high = middle;
      else if (key > range->to)
        low = middle + 1;
      else
        return range;
    }
  return NULL;
}

/* Returns the highest fence of the ranges, but at least FENCE_MIN. */
guint64
cc_key_ranges_top_fence (const CcKeyRanges *r)
{
  guint64 top = r->fence_min;

  for (guint i = 0; i < r->list->len; i++)
    top = MAX (top, ((CcKeyRange *) r->list->pdata[i])->fence);
  return top;
}
