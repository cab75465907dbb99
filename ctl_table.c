/* Tables of strings, printed with aligned columns or as JSON. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

/* Makes T an empty table.  COLUMNS ends with NULL and must outlive T. */
void
ctl_table_init (CtlTable *t, const char *const *columns)
{
  t->columns = columns;
  t->rows = g_ptr_array_new_with_free_func ((GDestroyNotify) g_strfreev);
}

/* Adds a row: as many strings as there are columns, all copied. */
void
ctl_table_add (CtlTable *t, ...)
{
  guint n = g_strv_length ((char **) t->columns);
  char **row = g_new0 (char *, n + 1);
  va_list args;

  va_start (args, t);
  for (guint i = 0; i < n; i++)
    row[i] = g_strdup (va_arg (args, const char *));
  va_end (args);
  g_ptr_array_add (t->rows, row);
}

/* Frees the rows of T. */
void
ctl_table_clear (CtlTable *t)
{
  g_clear_pointer (&t->rows, g_ptr_array_unref);
}

static void
print_json (const CtlTable *t)
{
  g_autoptr (JsonBuilder) b = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  g_autofree char *text = NULL;

  json_builder_begin_array (b);
  for (guint r = 0; r < t->rows->len; r++)
    {
      char **row = t->rows->pdata[r];

      json_builder_begin_object (b);
      for (guint i = 0; t->columns[i] != NULL; i++)
        {
          json_builder_set_member_name (b, t->columns[i]);
          json_builder_add_string_value (b, row[i]);
        }
      json_builder_end_object (b);
    }
  json_builder_end_array (b);
  root = json_builder_get_root (b);
  text = json_to_string (root, TRUE);
  printf ("%s\n", text);
}

static int
column_width (const CtlTable *t, guint column)
{
  glong width = g_utf8_strlen (t->columns[column], -1);

  for (guint r = 0; r < t->rows->len; r++)
    width =
        MAX (width, g_utf8_strlen (((char **) t->rows->pdata[r])[column], -1));
  return (int) width;
}

static void
print_row (const char *const *cells, const int *widths)
{
  for (guint i = 0; cells[i] != NULL; i++)
    {
      int padding = widths[i] - (int) g_utf8_strlen (cells[i], -1);

      printf ("%s%*s", cells[i], cells[i + 1] != NULL ? padding + 2 : 0, "");
    }
  printf ("\n");
}

/* Prints T with aligned columns, or as a JSON list of objects. */
void
ctl_table_print (const CtlTable *t, gboolean json)
{
  guint n = g_strv_length ((char **) t->columns);
  g_autofree int *widths = g_new0 (int, n + 1);

  if (json)
    {
      print_json (t);
      return;
    }
  for (guint i = 0; i < n; i++)
    widths[i] = column_width (t, i);
  print_row (t->columns, widths);
  for (guint r = 0; r < t->rows->len; r++)
    print_row ((const char *const *) t->rows->pdata[r], widths);
}
