/* Memory, threads and open files of links.  Both ends stand in this process,
 * so a link of the real thing, which has one end here, costs at most this. */
#include <stdio.h>
#include <string.h>

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>

#include "capacity.h"
#include "mailbox.h"
#include "slopes.h"

#define IP "127.9.9.1"
#define PORT 21000
#define SETTLE_US 500000

static void
no_message (const CcMessage *m, gpointer data)
{
  (void) m, (void) data;
}

static void
no_link (const char *address, gboolean up, gpointer data)
{
  (void) address, (void) up, (void) data;
}

static double
status_field (const char *name)
{
  g_autofree char *text = NULL;
  const char *at;

  g_file_get_contents ("/proc/self/status", &text, NULL, NULL);
  at = strstr (text, name);
  return at != NULL ? g_ascii_strtod (at + strlen (name), NULL) : 0;
}

static guint
open_files (void)
{
  GDir *dir = g_dir_open ("/proc/self/fd", 0, NULL);
  guint n = 0;

  while (g_dir_read_name (dir) != NULL)
    n++;
  g_dir_close (dir);
  return n;
}

static void
add_links (CcMailbox *box, guint from, guint to)
{
  for (guint i = from; i < to; i++)
    {
      g_autofree char *address = g_strdup_printf (IP ":%u", PORT + 1 + i);
      g_autofree char *url = g_strconcat ("tcp://", address, NULL);
      nng_socket pull;

      nng_pull0_open (&pull);
      if (nng_listen (pull, url, NULL, 0) != 0)
        g_error ("%s is taken", address);
      cc_mailbox_connect (box, address);
    }
}

/* Opens more and more links from one mailbox. */
void
capacity_links (void)
{
  static const guint counts[] = { 1, 50, 100, 200, 300 };
  g_autofree char *at = g_strdup_printf (IP ":%u", PORT);
  g_autofree char *message = NULL;
  CcMailbox *box =
      cc_mailbox_new (at, at, 1, no_message, no_link, NULL, &message);
  Points memory = { 0 }, files = { 0 };
  guint have = 0;

  if (box == NULL)
    g_error ("%s", message);
  printf ("one mailbox: %g threads, %g kB resident\n",
          status_field ("Threads:"), status_field ("VmRSS:"));
  for (guint i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      add_links (box, have, counts[i]);
      have = counts[i];
      g_usleep (SETTLE_US);
      points_add (&memory, have, status_field ("VmRSS:"));
      points_add (&files, have, open_files ());
    }
  points_print (&memory, "links, both ends, resident", "kB", "link");
  points_print (&files, "links, both ends, open files", "files", "link");
  printf ("with %u links: %g threads\n", have, status_field ("Threads:"));
}
