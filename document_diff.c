/* Compares two documents.  Each is flattened to a sorted map from place to
 * value, and the maps are compared.  A list item that has a name is identified
 * by it and not by its index: otherwise a pool inserted at the front would show
 * every pool after it as changed. */
#include "document_diff.h"

#include "json_tree.h"

#include <string.h>

#include <json-glib/json-glib.h>

static void flatten (const char *place, JsonNode *node, GTree *into);

static void
change_free (gpointer data)
{
  CcChange *c = data;

  g_free (c->place);
  g_free (c->before);
  g_free (c->after);
  g_free (c);
}

static void
flatten_object (const char *place, JsonObject *o, GTree *into)
{
  JsonObjectIter iter;
  const char *name;
  JsonNode *node;

  json_object_iter_init (&iter, o);
  while (json_object_iter_next (&iter, &name, &node))
    {
      g_autofree char *inner = place[0] != '\0'
                                   ? g_strconcat (place, ".", name, NULL)
                                   : g_strdup (name);

      flatten (inner, node, into);
    }
}

static char *
item_name (JsonNode *node, guint index)
{
  JsonObject *o =
      JSON_NODE_HOLDS_OBJECT (node) ? json_node_get_object (node) : NULL;
  JsonNode *name = o != NULL ? json_object_get_member (o, "name") : NULL;

  if (name != NULL && json_node_get_value_type (name) == G_TYPE_STRING)
    return g_strdup (json_node_get_string (name));
  return g_strdup_printf ("%u", index);
}

/* Prints a number with 15 digits, as it was written: JSON-GLib prints 0.99 as
 * 0.98999999999999999. */
static char *
print_value (JsonNode *node)
{
  char text[G_ASCII_DTOSTR_BUF_SIZE];

  if (JSON_NODE_HOLDS_VALUE (node) &&
      json_node_get_value_type (node) == G_TYPE_DOUBLE)
    return g_strdup (g_ascii_formatd (text, sizeof text, "%.15g",
                                      json_node_get_double (node)));
  return json_to_string (node, FALSE);
}

static void
flatten (const char *place, JsonNode *node, GTree *into)
{
  JsonArray *list;

  if (JSON_NODE_HOLDS_OBJECT (node))
    {
      flatten_object (place, json_node_get_object (node), into);
      return;
    }
  if (!JSON_NODE_HOLDS_ARRAY (node))
    {
      g_tree_replace (into, g_strdup (place), print_value (node));
      return;
    }
  list = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      JsonNode *item = json_array_get_element (list, i);
      g_autofree char *name = item_name (item, i);
      g_autofree char *inner = g_strdup_printf ("%s[%s]", place, name);

      flatten (inner, item, into);
    }
}

static gint
compare_places (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void) unused;
  return strcmp (a, b);
}

static GTree *
flatten_text (const char *text)
{
  GTree *into = g_tree_new_full (compare_places, NULL, g_free, g_free);
  g_autoptr (JsonNode) root = cc_json_parse (text, -1, NULL);

  if (root != NULL)
    flatten ("", root, into);
  return into;
}

typedef struct
{
  GTree *other;
  gboolean reversed; /* the later document is walked, to find what was added */
  GPtrArray *changes;
} DiffWalk;

static void
add_change (DiffWalk *w, const char *place, const char *before,
            const char *after)
{
  CcChange *c = g_new0 (CcChange, 1);

  c->place = g_strdup (place);
  c->before = g_strdup (before);
  c->after = g_strdup (after);
  g_ptr_array_add (w->changes, c);
}

static gboolean
compare_value (gpointer place, gpointer value, gpointer data)
{
  DiffWalk *w = data;
  const char *other = g_tree_lookup (w->other, place);

  if (w->reversed && other == NULL)
    add_change (w, place, NULL, value);
  else if (!w->reversed && g_strcmp0 (value, other) != 0)
    add_change (w, place, value, other);
  return FALSE;
}

/* Returns the changes (CcChange) from BEFORE to AFTER, both JSON: first what
 * was changed or removed, then what was added.  A text that is not JSON counts
 * as empty.  The caller unrefs the array, which owns its items. */
GPtrArray *
cc_document_diff (const char *before, const char *after)
{
  g_autoptr (GTree) old = flatten_text (before);
  g_autoptr (GTree) new = flatten_text (after);
  DiffWalk w = { new, FALSE, g_ptr_array_new_with_free_func (change_free) };

  g_tree_foreach (old, compare_value, &w);
  w.other = old;
  w.reversed = TRUE;
  g_tree_foreach (new, compare_value, &w);
  return w.changes;
}
