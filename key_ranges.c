/* Ranges stand in rows of their own, range/POOL/FROM, so that a move writes the
 * one row that it changes and not the map of a whole pool. */
#include "key_ranges.h"

#include "edge.h"

#include <string.h>

#include <json-glib/json-glib.h>

/* Keys FROM to TO for the life BORN of OWNER. */
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

/* A copy of R. */
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

/* R gets another OWNER; the one of before may hold the keys until it is proved
 * to have stopped.  If R is in the middle of a move already, its OWNER never
 * got the keys, and who had them before stays. */
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

/* The key of R's row.  The caller frees it. */
char *
cc_key_range_key (const char *pool, const CcKeyRange *r)
{
  return g_strdup_printf (CC_RANGE_PREFIX "%s/%05u", pool, r->from);
}

/* The value of R's row.  The caller frees it. */
char *
cc_key_range_text (const CcKeyRange *r)
{
  g_autoptr (GString) s = g_string_new (NULL);

  g_string_append_printf (
      s,
      "{\"to\":%u,\"owner\":\"%s\",\"born\":%" G_GUINT64_FORMAT
      ",\"fence\":%" G_GUINT64_FORMAT,
      r->to, r->owner, r->born, r->fence);
  if (r->previous != NULL)
    g_string_append_printf (
        s, ",\"previous\":\"%s\",\"previous_fence\":%" G_GUINT64_FORMAT,
        r->previous, r->previous_fence);
  g_string_append_c (s, '}');
  return g_strdup (s->str);
}

static guint64
number_of (JsonObject *o, const char *name)
{
  return (guint64) json_object_get_int_member_with_default (o, name, 0);
}

/* The range in the row KEY, or NULL if VALUE is damaged. */
static CcKeyRange *
parse_range (const char *key, const char *value, guint64 version)
{
  const char *slash = strrchr (key, '/');
  g_autoptr (JsonNode) root = json_from_string (value, NULL);
  JsonObject *o;
  CcKeyRange *r;
  const char *previous;

  if (slash == NULL || root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    return NULL;
  o = json_node_get_object (root);
  r = cc_key_range_new (
      (guint) g_ascii_strtoull (slash + 1, NULL, 10),
      (guint) number_of (o, "to"),
      json_object_get_string_member_with_default (o, "owner", ""),
      number_of (o, "born"), number_of (o, "fence"));
  previous = json_object_get_string_member_with_default (o, "previous", NULL);
  r->previous = g_strdup (previous);
  r->previous_fence = number_of (o, "previous_fence");
  r->version = version;
  r->row_to = r->to;
  return r;
}

/* Makes R empty. */
void
cc_key_ranges_init (CcKeyRanges *r)
{
  r->list = g_ptr_array_new_with_free_func (cc_key_range_free);
}

/* Frees what R holds. */
void
cc_key_ranges_clear (CcKeyRanges *r)
{
  g_clear_pointer (&r->list, g_ptr_array_unref);
}

/* The place in R of the first range that begins at FROM or later. */
static guint
place_of (const CcKeyRanges *r, guint from)
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

/* Ends the range at PLACE in R before the next one begins. */
static void
bound_range (CcKeyRanges *r, guint place)
{
  CcKeyRange *one, *next;

  if (place >= r->list->len)
    return;
  one = r->list->pdata[place];
  next = place + 1 < r->list->len ? r->list->pdata[place + 1] : NULL;
  one->to =
      next != NULL && one->row_to >= next->from ? next->from - 1 : one->row_to;
}

/* Takes ROW, which has changed, into R.  Where rows overlap, as they do while a
 * range is split and only a part of the change has been read, the keys belong
 * to the range that begins later.
 *
 * Load pattern: in a large fleet hundreds of ranges are known to each process,
 * and some of them change several times a second. */
void
cc_key_ranges_apply_row (CcKeyRanges *r, const CcRow *row)
{
  const char *slash = strrchr (row->key, '/');
  guint from =
      slash != NULL ? (guint) g_ascii_strtoull (slash + 1, NULL, 10) : 0;
  guint place = place_of (r, from);
  CcKeyRange *one = row->value != NULL
                        ? parse_range (row->key, row->value, row->version)
                        : NULL;

  if (place < r->list->len &&
      ((CcKeyRange *) r->list->pdata[place])->from == from)
    g_ptr_array_remove_index (r->list, place);
  if (one != NULL)
    g_ptr_array_insert (r->list, (gint) place, one);
  bound_range (r, place);
  if (place > 0)
    bound_range (r, place - 1);
}

/* Replaces R by POOL's ranges in V. */
void
cc_key_ranges_read (CcKeyRanges *r, const CcView *v, const char *pool)
{
  g_autofree char *prefix = g_strdup_printf (CC_RANGE_PREFIX "%s/", pool);
  g_autoptr (GPtrArray) rows = cc_view_list (v, prefix);

  g_ptr_array_set_size (r->list, 0);
  for (guint i = 0; i < rows->len; i++)
    cc_key_ranges_apply_row (r, rows->pdata[i]);
}

/* Keys that no row names go to the owner of those before them.
 *
 * A range that is cut takes two rows.  The process that cut it may have ended
 * after the row of the lower part, and nobody was granted the upper one then:
 * it is still with whom it was cut from. */
void
cc_key_ranges_fill_gaps (CcKeyRanges *r)
{
  for (guint i = 0; i < r->list->len; i++)
    {
      CcKeyRange *one = r->list->pdata[i];
      guint next = i + 1 < r->list->len
                       ? ((CcKeyRange *) r->list->pdata[i + 1])->from
                       : CC_KEYS;

      one->to = next - 1;
    }
}

/* The range that KEY is in, or NULL. */
CcKeyRange *
cc_key_ranges_find (const CcKeyRanges *r, guint key)
{
  guint low = 0, high = r->list->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;
      CcKeyRange *one = r->list->pdata[middle];

      if (key < one->from)
        high = middle;
      else if (key > one->to)
        low = middle + 1;
      else
        return one;
    }
  return NULL;
}

/* The highest fence of all. */
guint64
cc_key_ranges_top_fence (const CcKeyRanges *r)
{
  guint64 top = 0;

  for (guint i = 0; i < r->list->len; i++)
    top = MAX (top, ((CcKeyRange *) r->list->pdata[i])->fence);
  return top;
}
