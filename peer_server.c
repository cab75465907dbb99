/* A peer says which versions it has and how long it will wait.  It is answered
 * at once if there is anything newer, else as soon as there is, else with
 * nothing when its wait is over; every answer says how old this copy is. */
#include "peer_server.h"

#include <string.h>

#include "admin.h"
#include "clock.h"
#include "timers.h"

struct CcPeerServer
{
  SoupServer *server;
  CcMirror *mirror;
  GPtrArray *askers; /* of Asker */
};

/* A peer that waits for news. */
typedef struct
{
  CcPeerServer *server;
  SoupServerMessage *message;
  guint64 since[CC_MIRROR_VERSIONS];
  gint64 came; /* us */
  CcTimer timer;
} Asker;

static void
answer (CcPeerServer *p, SoupServerMessage *m, const guint64 *since,
        gint64 held)
{
  g_autoptr (GBytes) rows = cc_mirror_rows_since (p->mirror, since, held);

  soup_server_message_set_status (m, SOUP_STATUS_OK, NULL);
  soup_message_body_append_bytes (soup_server_message_get_response_body (m),
                                  rows);
}

static void
answer_asker (gpointer data)
{
  Asker *a = data;

  cc_timer_stop (&a->timer);
  g_ptr_array_remove_fast (a->server->askers, a);
  answer (a->server, a->message, a->since, cc_clock_now () - a->came);
  soup_server_message_unpause (a->message);
  g_object_unref (a->message);
  g_free (a);
}

static void
wait_for_news (CcPeerServer *p, SoupServerMessage *m, const guint64 *since,
               gint64 wait)
{
  Asker *a = g_new0 (Asker, 1);

  a->server = p;
  a->message = g_object_ref (m);
  a->came = cc_clock_now ();
  memcpy (a->since, since, sizeof a->since);
  soup_server_message_pause (m);
  g_ptr_array_add (p->askers, a);
  cc_timer_start (&a->timer, wait, answer_asker, a);
}

static const char *
parameter (GHashTable *query, const char *name)
{
  const char *value = query != NULL ? g_hash_table_lookup (query, name) : NULL;

  return value != NULL ? value : "";
}

static void
on_asked (SoupServer *server, SoupServerMessage *m, const char *path,
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
    answer (p, m, since, 0);
  else
    wait_for_news (p, m, since, wait);
}

/* Answers peers at ADDRESS (IP:PORT) from MIRROR.  NULL with *MESSAGE, to be
 * freed, if it can't listen there. */
CcPeerServer *
cc_peer_server_new (CcMirror *mirror, const char *address, char **message)
{
  CcPeerServer *p = g_new0 (CcPeerServer, 1);

  p->mirror = mirror;
  p->askers = g_ptr_array_new ();
  p->server = soup_server_new (NULL, NULL);
  soup_server_add_handler (p->server, CC_MIRROR_PATH, on_asked, p, NULL);
  return cc_http_listen (p->server, address, message) ? p : NULL;
}

/* The mirror has changed: answers the peers that wait for it.  P may be NULL,
 * before it listens. */
void
cc_peer_server_notify (CcPeerServer *p)
{
  for (guint i = p != NULL ? p->askers->len : 0; i > 0; i--)
    {
      Asker *a = p->askers->pdata[i - 1];

      if (cc_mirror_has_updates (p->mirror, a->since))
        answer_asker (a);
    }
}
