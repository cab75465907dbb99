/* capacity [parts|links|fleet|requests]: measures the slopes that
 * docs/CAPACITY.md extrapolates from.  Each line of output reads
 *   what   base + slope unit for each x, r2   [x:y ...] */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "capacity.h"

static gboolean
is_wanted (const char *wanted, const char *name)
{
  return wanted == NULL || strcmp (wanted, name) == 0;
}

int
main (int argc, char **argv)
{
  g_autofree char *tests = g_path_get_dirname (argv[0]);
  g_autofree char *bin = g_path_get_dirname (tests);
  const char *wanted = argc > 1 ? argv[1] : NULL;

  printf ("on %u processors; times in us, median of 7 rounds\n",
          g_get_num_processors ());
  if (is_wanted (wanted, "links")) /* first: a used heap hides what they take */
    capacity_links ();
  if (is_wanted (wanted, "parts"))
    capacity_parts ();
  if (is_wanted (wanted, "fleet"))
    capacity_fleet (bin);
  if (is_wanted (wanted, "requests"))
    capacity_request (bin);
  return 0;
}
