/* A process never steps back to an older row: a row is taken only if its
 * version is higher than the one held, whoever sends it and in whatever order.
 * Without that rule an answer delayed in a queue, or a peer cut off for an
 * hour, would bring back a configuration that operators have replaced.
 *
 * Load pattern: hundreds of followers ask again and again for what is newer
 * than their copy, which is a row or two of thousands.  So rows are also linked
 * by version, and an answer costs as much as it holds.
 *
 * `upto` says how far the view is complete.  It moves only when the giver
 * listed all changes since a version that this view had already reached.
 */
#include "view.h"

#include <string.h>

static void
row_free (gpointer data)
{
  CcRow *row = data;

  g_free (row->key);
  g_free (row->value);
  g_clear_pointer (&row->deflated, g_bytes_unref);
  g_free (row);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void) unused;
  return strcmp (a, b);
}

/* Makes V an empty view, complete up to version 0. */
void
cc_view_init (CcView *v)
{
  v->rows = g_tree_new_full (compare_keys, NULL, NULL, row_free);
  v->newest = NULL;
  v->upto = 0;
}

/* Frees what V holds. */
void
cc_view_clear (CcView *v)
{
  g_clear_pointer (&v->rows, g_tree_unref);
  v->newest = NULL;
}

static void
unlink_row (CcView *v, CcRow *row)
{
  if (row->newer != NULL)
    row->newer->older = row->older;
  else if (v->newest == row)
    v->newest = row->older;
  if (row->older != NULL)
    row->older->newer = row->newer;
  row->older = row->newer = NULL;
}

/* Puts ROW, which is not linked, to its place by version: nearly always among
 * the newest. */
static void
link_row (CcView *v, CcRow *row)
{
  CcRow *newer = NULL, *older = v->newest;

  while (older != NULL && older->version > row->version)
    {
      newer = older;
      older = older->older;
    }
  row->newer = newer;
  row->older = older;
  if (older != NULL)
    older->newer = row;
  if (newer != NULL)
    newer->older = row;
  else
    v->newest = row;
}

/* Takes a row if it is newer than the one held.  VALUE NULL or "" deletes.
 * Returns TRUE if the view changed. */
gboolean
cc_view_put (CcView *v, const char *key, guint64 version, const char *value)
{
  CcRow *row = g_tree_lookup (v->rows, key);

  if (row != NULL && row->version >= version)
    return FALSE;
  if (row == NULL)
    {
      row = g_new0 (CcRow, 1);
      row->key = g_strdup (key);
      g_tree_insert (v->rows, row->key, row);
    }
  unlink_row (v, row);
  g_free (row->value);
  g_clear_pointer (&row->deflated, g_bytes_unref);
  row->version = version;
  row->value = value != NULL && value[0] != '\0' ? g_strdup (value) : NULL;
  link_row (v, row);
  return TRUE;
}

/* Notes that all rows from SINCE to UPTO were put.  Returns FALSE, with no
 * change, if that leaves a gap or brings nothing new. */
gboolean
cc_view_advance (CcView *v, guint64 since, guint64 upto)
{
  if (since > v->upto || upto <= v->upto)
    return FALSE;
  v->upto = upto;
  return TRUE;
}

/* The row at KEY, also if it was deleted; NULL: none was ever put. */
const CcRow *
cc_view_find (const CcView *v, const char *key)
{
  return g_tree_lookup (v->rows, key);
}

/* The row at KEY, or NULL if there is none or it was deleted. */
const CcRow *
cc_view_get (const CcView *v, const char *key)
{
  const CcRow *row = g_tree_lookup (v->rows, key);

  return row != NULL && row->value != NULL ? row : NULL;
}

/* The rows whose keys start with PREFIX, in order of keys.  They belong to the
 * view; the caller unrefs the array. */
GPtrArray *
cc_view_list (const CcView *v, const char *prefix)
{
  GPtrArray *found = g_ptr_array_new ();
  GTreeNode *n = g_tree_lower_bound (v->rows, prefix);

  for (; n != NULL && g_str_has_prefix (g_tree_node_key (n), prefix);
       n = g_tree_node_next (n))
    {
      CcRow *row = g_tree_node_value (n);

      if (row->value != NULL)
        g_ptr_array_add (found, row);
    }
  return found;
}

/* All rows, also those that were deleted, in order of keys.  They belong to the
 * view; the caller unrefs the array. */
GPtrArray *
cc_view_rows (const CcView *v)
{
  GPtrArray *found = g_ptr_array_new ();

  for (GTreeNode *n = g_tree_node_first (v->rows); n != NULL;
       n = g_tree_node_next (n))
    g_ptr_array_add (found, g_tree_node_value (n));
  return found;
}

/* The oldest row written after version SINCE, deleted ones too, from which
 * `newer` leads to the others; NULL: none. */
CcRow *
cc_view_first_since (const CcView *v, guint64 since)
{
  CcRow *first = NULL;

  for (CcRow *row = v->newest; row != NULL && row->version > since;
       row = row->older)
    first = row;
  return first;
}

/* All rows written after version SINCE, deleted ones too, as a(sts), the oldest
 * first.  The result is floating. */
GVariant *
cc_view_since (const CcView *v, guint64 since)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(sts)"));
  for (const CcRow *row = cc_view_first_since (v, since); row != NULL;
       row = row->newer)
    g_variant_builder_add (&b, "(sts)", row->key, row->version,
                           row->value != NULL ? row->value : "");
  return g_variant_builder_end (&b);
}

/* Takes ROWS (a(sts)), complete from SINCE to UPTO.  Returns how many were
 * news.
 *
 * Rows with a gap before them are refused: what stands in the gap may be what
 * they rest on.  An assigner that saw a map without the member row of a
 * dispatcher it names would take that dispatcher for lost, and give its servers
 * away while it still sends.  The next question tells the giver where to start.
 */
guint
cc_view_apply (CcView *v, guint64 since, guint64 upto, GVariant *rows)
{
  GVariantIter iter;
  const char *key, *value;
  guint64 version;
  guint news = 0;

  if (since > v->upto)
    return 0;
  g_variant_iter_init (&iter, rows);
  while (g_variant_iter_next (&iter, "(&st&s)", &key, &version, &value))
    news += cc_view_put (v, key, version, value) ? 1 : 0;
  cc_view_advance (v, since, upto);
  return news;
}
