/* Reads /proc/self, which a system may leave out. */
#include "process.h"

#include <stdio.h>
#include <unistd.h>

/* The memory that this process holds, bytes; 0 if the system does not say. */
gint64
cc_process_resident_bytes (void)
{
  g_autofree char *text = NULL;
  long whole, resident;

  /* The second number is of pages in memory. */
  if (!g_file_get_contents ("/proc/self/statm", &text, NULL, NULL) ||
      sscanf (text, "%ld %ld", &whole, &resident) != 2)
    return 0;
  return (gint64) resident * sysconf (_SC_PAGESIZE);
}
