/* Servers of the soak that refuse a part of the requests and send each refusal
 * once more as the next request arrives on its connection. */
#include <string.h>

#include "soak.h"

#define KEPT "refusal" /* data of a socket: the text of the last one */
#define KEPT_ID "refused id"
#define LASTS_MIN_MS 1000
#define LASTS_MAX_MS 6000
#define PAUSE_MAX_MS 3000

typedef struct
{
  SoakServer *server;
  double share;
  guint lasts_ms;
} Plan;

static guint sent, met;

/* Returns the id of the request of M, or "". */
static const char *
id_of (SoupServerMessage *m)
{
  const char *id = soup_message_headers_get_one (
      soup_server_message_get_request_headers (m), "X-Request-Id");

  return id != NULL ? id : "";
}

/* Keeps a copy of the refusal of M with STATUS. */
void
soak_copy_keep (SoupServerMessage *m, guint status)
{
  GObject *socket = G_OBJECT (soup_server_message_get_socket (m));
  const char *id = id_of (m);

  if (socket == NULL)
    return;
  g_object_set_data_full (
      socket, KEPT,
      g_strdup_printf ("HTTP/1.1 %u Refused\r\nX-Request-Id: %s\r\n"
                       "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                       status, id),
      g_free);
  g_object_set_data_full (socket, KEPT_ID, g_strdup (id), g_free);
}

/* M has arrived: sends the refusal that is kept of its connection, if any. */
void
soak_copy_send (SoupServerMessage *m)
{
  GSocket *socket = soup_server_message_get_socket (m);
  g_autofree char *text = NULL;
  g_autofree char *id = NULL;

  if (socket == NULL)
    return;
  text = g_object_steal_data (G_OBJECT (socket), KEPT);
  id = g_object_steal_data (G_OBJECT (socket), KEPT_ID);
  if (text == NULL ||
      g_socket_send (socket, text, strlen (text), NULL, NULL) < 0)
    return;
  sent++;
  met += g_str_equal (id, id_of (m));
}

/* Returns how many copies were sent, and sets *SAME to the number of those sent
 * as their own request had arrived again. */
guint
soak_copies_sent (guint *same)
{
  *same = met;
  return sent;
}

static gboolean
on_end (gpointer data)
{
  Plan *p = data;

  soak_server_set_refusals (p->server, 0);
  g_free (p);
  return G_SOURCE_REMOVE;
}

static gboolean
on_begin (gpointer data)
{
  Plan *p = data;

  soak_audit_log ("%s refuses %.2f of the requests twice for %u ms; %u copies "
                  "so far, %u with the id of the request that arrived",
                  soak_server_id (p->server), p->share, p->lasts_ms, sent, met);
  soak_server_set_refusals (p->server, p->share);
  g_timeout_add (p->lasts_ms, on_end, p);
  return G_SOURCE_REMOVE;
}

/* Schedules refusals of the COUNT servers in SERVERS, drawn from SEED, within
 * FOR_MS. */
void
soak_copy_plan (guint seed, guint for_ms, SoakServer **servers, guint count)
{
  GRand *r = g_rand_new_with_seed (seed ^ 0xc0b1);
  guint at = (guint) g_rand_int_range (r, 0, PAUSE_MAX_MS);

  for (; at + LASTS_MAX_MS < for_ms;
       at += (guint) g_rand_int_range (r, 0, PAUSE_MAX_MS))
    {
      Plan *p = g_new0 (Plan, 1);

      p->server = servers[g_rand_int_range (r, 0, (gint32) count)];
      p->share = g_rand_double_range (r, 0.1, 0.7);
      p->lasts_ms = (guint) g_rand_int_range (r, LASTS_MIN_MS, LASTS_MAX_MS);
      g_timeout_add (at, on_begin, p);
    }
  g_rand_free (r);
}
