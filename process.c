/* Reads /proc/self, which may be missing, and the limits of the process. */
#include "process.h"

#include <malloc.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#define DESCRIPTORS_DEFAULT 1024
#define LARGE_BLOCK (128 * 1024) /* bytes */

/* Returns the resident memory of this process in bytes, 0 if it is unknown. */
gint64
cc_process_resident_bytes (void)
{
  g_autofree char *text = NULL;
  long total, resident;

  /* The second number is the resident set size in pages. */
  if (!g_file_get_contents ("/proc/self/statm", &text, NULL, NULL) ||
      sscanf (text, "%ld %ld", &total, &resident) != 2)
    return 0;
  return (gint64) resident * sysconf (_SC_PAGESIZE);
}

/* Returns the number of descriptors that this process may open. */
guint
cc_process_descriptors_max (void)
{
  struct rlimit files;

  if (getrlimit (RLIMIT_NOFILE, &files) != 0)
    return DESCRIPTORS_DEFAULT;
  return (guint) MIN (files.rlim_cur, G_MAXINT);
}

/* Makes memory blocks of LARGE_BLOCK and more return to the system when they
 * are freed.
 *
 * Failure: glibc maps such blocks on their own at first, but raises that size
 * to the one of the largest block freed, and bodies that grow side by side then
 * leave holes in the heap.  Symptom: the process takes twice the memory that it
 * holds. */
void
cc_process_map_large_blocks (void)
{
  (void) mallopt (M_MMAP_THRESHOLD, LARGE_BLOCK);
}
