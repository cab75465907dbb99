/* Polls /readyz of each entry, as the platform's balancer does, and leaves out
 * those that are not ready.  Without a health port all count as ready. */
#include "balancer.h"

#define CHECK_INTERVAL_MS 300

struct Balancer
{
  char **entries;
  gboolean *ready;
  guint count;
  guint health_port; /* 0: no health checks */
  SoupSession *session;
};

typedef struct
{
  Balancer *balancer;
  guint entry;
  SoupMessage *message;
} HealthCheck;

/* An entry is ready if it responds with status 200. */
static void
on_check_done (GObject *source, GAsyncResult *result, gpointer data)
{
  HealthCheck *c = data;
  g_autoptr (GBytes) body =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);

  c->balancer->ready[c->entry] =
      body != NULL && soup_message_get_status (c->message) == SOUP_STATUS_OK;
  g_object_unref (c->message);
  g_free (c);
}

/* Sends a health check to each entry. */
static gboolean
send_checks (gpointer data)
{
  Balancer *b = data;

  for (guint i = 0; i < b->count; i++)
    {
      g_auto (GStrv) parts = g_strsplit (b->entries[i], ":", 2);
      g_autofree char *url =
          g_strdup_printf ("http://%s:%u/readyz", parts[0], b->health_port);
      HealthCheck *c = g_new0 (HealthCheck, 1);

      c->balancer = b;
      c->entry = i;
      c->message = soup_message_new ("GET", url);
      soup_session_send_and_read_async (
          b->session, c->message, G_PRIORITY_DEFAULT, NULL, on_check_done, c);
    }
  return G_SOURCE_CONTINUE;
}

/* Returns a balancer over ENTRIES (IP:PORT), which must outlive it.  Their
 * health is checked at HEALTH_PORT unless that is 0. */
Balancer *
balancer_new (char **entries, guint health_port, SoupSession *session)
{
  Balancer *b = g_new0 (Balancer, 1);

  b->entries = entries;
  b->count = g_strv_length (entries);
  b->ready = g_new0 (gboolean, b->count);
  b->health_port = health_port;
  b->session = session;
  for (guint i = 0; i < b->count; i++)
    b->ready[i] = TRUE;
  if (health_port != 0)
    g_timeout_add (CHECK_INTERVAL_MS, send_checks, b);
  return b;
}

/* Returns a random entry that is ready and not EXCEPT (NULL: any), or any entry
 * if there is none. */
const char *
balancer_pick (Balancer *b, GRand *rand, const char *except)
{
  guint start = (guint) g_rand_int_range (rand, 0, (gint32) b->count);

  for (guint i = 0; i < b->count; i++)
    {
      guint k = (start + i) % b->count;

      if (b->ready[k] && b->entries[k] != except)
        return b->entries[k];
    }
  return b->entries[start];
}
