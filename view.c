/* Rows of a table by key and by version.  A row is replaced only by one with a
 * higher version, whatever its source and order of arrival.  Without that rule
 * an answer that was delayed in a queue, or a peer that was cut off for an
 * hour, would bring back a configuration that operators have replaced.
 *
 * Load pattern: hundreds of followers keep requesting the rows that are newer
 * than their copy, one or two of thousands.  So rows are also linked by
 * version, and the cost of an answer is proportional to the rows in it.
 *
 * `upto` is the version up to which the view is complete.  It advances only
 * when a sender lists all changes since a version that this view has reached.
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

/* Initializes V as an empty view, complete up to version 0. */
void
cc_view_init (CcView *v)
{
  v->rows = g_tree_new_full (compare_keys, NULL, NULL, row_free);
  v->newest = NULL;
  v->upto = 0;
}

/* Frees the contents of V. */
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

/* Links ROW by its version.  The search starts at the newest row, since nearly
 * all rows are inserted there. */
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

/* Stores the row if it is newer than the one held.  A VALUE of NULL or "" marks
 * it as deleted.  Returns TRUE if the view changed. */
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

/* Records that all rows written after SINCE up to UPTO were put.  Returns
 * FALSE, with no change, if SINCE leaves a gap or UPTO is not newer. */
gboolean
cc_view_advance (CcView *v, guint64 since, guint64 upto)
{
  if (since > v->upto || upto <= v->upto)
    return FALSE;
  v->upto = upto;
  return TRUE;
}

/* Returns the row KEY, even if it was deleted; NULL if none was ever put. */
const CcRow *
cc_view_find (const CcView *v, const char *key)
{
  return g_tree_lookup (v->rows, key);
}

/* Returns the row KEY, or NULL if there is none or it was deleted. */
const CcRow *
cc_view_get (const CcView *v, const char *key)
{
  const CcRow *row = g_tree_lookup (v->rows, key);

  return row != NULL && row->value != NULL ? row : NULL;
}

/* Returns the rows (CcRow) whose keys start with PREFIX, without deleted ones,
 * in order of keys.  The view owns the rows; the caller unrefs the array. */
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

/* Returns all rows (CcRow), including deleted ones, in order of keys.  The view
 * owns the rows; the caller unrefs the array. */
GPtrArray *
cc_view_rows (const CcView *v)
{
  GPtrArray *found = g_ptr_array_new ();

  for (GTreeNode *n = g_tree_node_first (v->rows); n != NULL;
       n = g_tree_node_next (n))
    g_ptr_array_add (found, g_tree_node_value (n));
  return found;
}

/* Returns the oldest row written after version SINCE, including deleted ones,
 * or NULL; its `newer` links lead to the other ones. */
CcRow *
cc_view_first_since (const CcView *v, guint64 since)
{
  CcRow *first = NULL;

  for (CcRow *row = v->newest; row != NULL && row->version > since;
       row = row->older)
    first = row;
  return first;
}

/* Returns all rows written after version SINCE, including deleted ones, as
 * a(sts), the oldest first.  The result is floating. */
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

/* Applies ROWS (a(sts)), which are complete after SINCE up to UPTO.  Returns
 * how many rows were newer than the ones held.
 *
 * Rows after a gap are rejected, because they may depend on rows in the gap. An
 * assigner that had a map without the member row of a dispatcher named in it
 * would treat that dispatcher as lost, and give its servers to another while it
 * still sends.  The next request gives the sender the version to start from. */
guint
cc_view_apply (CcView *v, guint64 since, guint64 upto, GVariant *rows)
{
  GVariantIter iter;
  const char *key, *value;
  guint64 version;
  guint changed = 0;

  if (since > v->upto)
    return 0;
  g_variant_iter_init (&iter, rows);
  while (g_variant_iter_next (&iter, "(&st&s)", &key, &version, &value))
    changed += cc_view_put (v, key, version, value) ? 1 : 0;
  cc_view_advance (v, since, upto);
  return changed;
}
