/* Asks each entry's /readyz now and then, as the platform's balancer does, and
 * leaves out those that say no.  Without a health port all count as ready. */
#include "balancer.h"

#define PERIOD_MS 300

struct Balancer
{
  char **entries;
  gboolean *ready;
  guint count;
  guint health_port; /* 0: entries are not asked */
  SoupSession *session;
};

typedef struct
{
  Balancer *balancer;
  guint entry;
  SoupMessage *message;
} Check;

static void
on_checked (GObject *source, GAsyncResult *result, gpointer data)
{
  Check *c = data;
  g_autoptr (GBytes) body =
      soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);

  c->balancer->ready[c->entry] =
      body != NULL && soup_message_get_status (c->message) == SOUP_STATUS_OK;
  g_object_unref (c->message);
  g_free (c);
}

static gboolean
on_period (gpointer data)
{
  Balancer *b = data;

  for (guint i = 0; i < b->count; i++)
    {
      g_auto (GStrv) parts = g_strsplit (b->entries[i], ":", 2);
      g_autofree char *url =
          g_strdup_printf ("http://%s:%u/readyz", parts[0], b->health_port);
      Check *c = g_new0 (Check, 1);

      c->balancer = b;
      c->entry = i;
      c->message = soup_message_new ("GET", url);
      soup_session_send_and_read_async (
          b->session, c->message, G_PRIORITY_DEFAULT, NULL, on_checked, c);
    }
  return G_SOURCE_CONTINUE;
}

/* A balancer over ENTRIES (IP:PORT), asked for health at HEALTH_PORT unless
 * that is 0. */
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
    g_timeout_add (PERIOD_MS, on_period, b);
  return b;
}

/* An entry that is ready, another than BUT (NULL: any) if there is one. */
const char *
balancer_pick (Balancer *b, GRand *rand, const char *but)
{
  guint start = (guint) g_rand_int_range (rand, 0, (gint32) b->count);

  for (guint i = 0; i < b->count; i++)
    {
      guint k = (start + i) % b->count;

      if (b->ready[k] && b->entries[k] != but)
        return b->entries[k];
    }
  return b->entries[start];
}
