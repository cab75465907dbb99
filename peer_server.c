/* Long polling for peers.  A request gives the versions that the peer has and
 * how long it will wait.  It is answered at once if this copy has anything
 * newer, otherwise on the next update, or without rows when the wait is over.
 * Every answer contains the age of this copy. */
#include "peer_server.h"

#include <string.h>

#include "admin.h"
#include "clock.h"
#include "timers.h"

struct CcPeerServer
{
  SoupServer *server;
  CcMirror *mirror;
  GPtrArray *waiters; /* of Waiter */
};

/* A pending request of a peer. */
typedef struct
{
  CcPeerServer *server;
  SoupServerMessage *message;
  guint64 since[CC_MIRROR_VERSIONS];
  gint64 arrived_at; /* when the request arrived, us */
  CcTimer timer;
} Waiter;

/* Answers the request M with the rows after SINCE; it was held for HELD us. */
static void
send_answer (CcPeerServer *p, SoupServerMessage *m, const guint64 *since,
             gint64 held)
{
  g_autoptr (GBytes) rows = cc_mirror_rows_since (p->mirror, since, held);

  soup_server_message_set_status (m, SOUP_STATUS_OK, NULL);
  soup_message_body_append_bytes (soup_server_message_get_response_body (m),
                                  rows);
}

/* Answers a pending request and frees it, on an update or when its wait is
 * over. */
static void
answer_waiter (gpointer data)
{
  Waiter *w = data;

  cc_timer_stop (&w->timer);
  g_ptr_array_remove_fast (w->server->waiters, w);
  send_answer (w->server, w->message, w->since,
               cc_clock_now () - w->arrived_at);
  soup_server_message_unpause (w->message);
  g_object_unref (w->message);
  g_free (w);
}

/* Holds the request M until the next update, for WAIT us at most. */
static void
add_waiter (CcPeerServer *p, SoupServerMessage *m, const guint64 *since,
            gint64 wait)
{
  Waiter *w = g_new0 (Waiter, 1);

  w->server = p;
  w->message = g_object_ref (m);
  w->arrived_at = cc_clock_now ();
  memcpy (w->since, since, sizeof w->since);
  soup_server_message_pause (m);
  g_ptr_array_add (p->waiters, w);
  cc_timer_start (&w->timer, wait, answer_waiter, w);
}

static const char *
parameter (GHashTable *query, const char *name)
{
  const char *value = query != NULL ? g_hash_table_lookup (query, name) : NULL;

  return value != NULL ? value : "";
}

static void
on_request (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  CcPeerServer *p = data;
  guint64 since[CC_MIRROR_VERSIONS] = { 0 };
  g_auto (GStrv) parts = g_strsplit (parameter (query, "since"), ",", -1);
  gint64 wait = g_ascii_strtoll (parameter (query, "wait"), NULL, 10) * CC_MS;

  (void) server, (void) path;
  for (guint i = 0; i < CC_MIRROR_VERSIONS && parts[i] != NULL; i++)
    since[i] = g_ascii_strtoull (parts[i], NULL, 10);
  if (wait <= 0 || cc_mirror_has_updates (p->mirror, since))
    send_answer (p, m, since, 0);
  else
    add_waiter (p, m, since, wait);
}

/* Serves the copy of MIRROR to peers at ADDRESS (IP:PORT).  Returns NULL, with
 * *MESSAGE to be freed by the caller, if it can't listen there. */
CcPeerServer *
cc_peer_server_new (CcMirror *mirror, const char *address, char **message)
{
  CcPeerServer *p = g_new0 (CcPeerServer, 1);

  p->mirror = mirror;
  p->waiters = g_ptr_array_new ();
  p->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (p->server, CC_MIRROR_PATH, on_request, p, NULL);
  return cc_http_listen (p->server, address, message) ? p : NULL;
}

/* The HTTP server of P, to which handlers of other paths may be added. */
SoupServer *
cc_peer_server_http (CcPeerServer *p)
{
  return p->server;
}

/* Answers the pending requests of peers for which the mirror has an update;
 * called after each change of the mirror.  P may be NULL before it listens. */
void
cc_peer_server_notify (CcPeerServer *p)
{
  for (guint i = p != NULL ? p->waiters->len : 0; i > 0; i--)
    {
      Waiter *w = p->waiters->pdata[i - 1];

      if (cc_mirror_has_updates (p->mirror, w->since))
        answer_waiter (w);
    }
}
