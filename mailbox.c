/* Messaging over nng PUSH and PULL sockets: one PULL that all peers push to,
 * one PUSH per peer.  PUSH is used because of the properties of nng's patterns:
 *
 *  - REQ sends a request again to another replier if the first disconnects, so
 *    work that must run at most once would run twice;
 *  - PAIR in its many-peers mode silently drops messages when more than two
 *    are queued;
 *  - PUSH never sends a message twice, blocks if the peer is slow (here:
 *    CC_FULL, nothing sent), and reports a lost peer by a pipe event.
 *
 * PUSH keeps a message while no peer is connected and delivers it to whichever
 * process connects next.  So a message carries the incarnation of its recipient
 * and an expiry time; both are checked on receipt, and violations are counted.
 *
 * nng runs callbacks on its own threads.  They pass messages on through a
 * locked queue and wake the main loop once for many messages.
 */
#include "mailbox.h"

#include <string.h>

#include <gio/gio.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include "clock.h"
#include "link_health.h"
#include "log.h"
#include "metrics.h"
#include "settings.h"

#define LINK_QUEUE 512       /* messages; 50 ms at 10,000/s */
#define RECONNECT_MIN_MS 20  /* reconnects to a restarted peer quickly */
#define RECONNECT_MAX_MS 200 /* 5 packets a second to a lost peer */

typedef struct
{
  CcMailbox *box;
  char *address;
  nng_socket socket;
  nng_dialer dialer;
  gint pipe;          /* id of the connection, 0: none; set by nng's threads */
  gint reported_pipe; /* value of PIPE that the main loop last handled */
  CcLinkHealth health;
  guint64 peer_incarnation; /* of the process that answered pings last */
  gint64 silent_since; /* when the link was closed as silent, us; 0: it was not,
                          or a ping was answered since */
} Link;

struct CcMailbox
{
  char *address;       /* IP:PORT that peers reply to */
  nng_sockaddr source; /* local address of outgoing connections */
  guint64 incarnation; /* of this process */
  guint64 last_id;     /* last message id; ids are never reused */
  nng_socket pull;
  nng_aio *aio;            /* the one receive in progress */
  GHashTable *links;       /* address to Link */
  GMutex lock;             /* guards the next four members */
  GQueue received_queue;   /* of nng_msg, in order */
  GQueue changed_links;    /* of Link whose state changed */
  gboolean wake_scheduled; /* the main loop will process the queues */
  guint wake_source;       /* id of the source for that */
  guint heartbeat;         /* timer */
  CcMailboxReceive receive;
  CcMailboxLink link;
  gpointer data;
  CcCounter *received;
  CcCounter *malformed; /* rejected by the codec */
  CcCounter *stale;     /* expired, or for another incarnation */
  CcCounter *not_sent;  /* link full or down */
  CcCounter *silent;    /* links closed because pings went unanswered */
};

static gboolean process_queues (gpointer data);

/* Schedules process_queues on the main loop.  Runs on nng's threads with the
 * lock held.  It attaches a source, since g_main_context_invoke, before the
 * main loop runs, would call process_queues on this thread under the lock: a
 * process that received a message while starting would deadlock. */
static void
wake (CcMailbox *box)
{
  GSource *source;

  if (box->wake_scheduled)
    return;
  box->wake_scheduled = TRUE;
  source = g_idle_source_new ();
  g_source_set_priority (source, G_PRIORITY_DEFAULT);
  g_source_set_callback (source, process_queues, box, NULL);
  box->wake_source = g_source_attach (source, NULL);
  g_source_unref (source);
}

/* Queues a received message and starts the next receive.  Runs on nng's
 * thread. */
static void
on_receive (void *arg)
{
  CcMailbox *box = arg;

  if (nng_aio_result (box->aio) == NNG_ECLOSED)
    return;
  if (nng_aio_result (box->aio) == 0)
    {
      g_mutex_lock (&box->lock);
      g_queue_push_tail (&box->received_queue, nng_aio_get_msg (box->aio));
      wake (box);
      g_mutex_unlock (&box->lock);
    }
  nng_recv_aio (box->pull, box->aio);
}

static void
message_free (gpointer msg)
{
  nng_msg_free (msg);
}

static void handle_ping (CcMailbox *box, const CcMessage *m);

/* Decodes MSG and passes it to the receiver.  Malformed, expired and
 * misaddressed messages are counted and dropped. */
static void
handle_message (CcMailbox *box, nng_msg *msg)
{
  g_autoptr (GBytes) bytes = g_bytes_new_with_free_func (
      nng_msg_body (msg), nng_msg_len (msg), message_free, msg);
  CcMessage m;

  ++*box->received;
  if (cc_wire_decode (bytes, &m) != CC_OK)
    {
      ++*box->malformed;
      return;
    }
  if ((m.to != 0 && m.to != box->incarnation) ||
      (m.expires != 0 && m.expires < cc_clock_wall ()))
    ++*box->stale;
  else if (m.kind == CC_MSG_PING)
    handle_ping (box, &m);
  else
    box->receive (&m, box->data);
  cc_message_clear (&m);
}

static CcStatus transmit (CcMailbox *box, Link *l, CcMessage *m);

static void
send_ping (Link *l)
{
  CcMessage m = { .kind = CC_MSG_PING };

  m.id = cc_mailbox_next_id (l->box);
  m.u.ping.sequence = l->health.sequence;
  transmit (l->box, l, &m);
}

/* Sends a ping on L if one is due, or closes it if pings went unanswered for
 * too long. */
static void
check_link (Link *l, gint64 now)
{
  int id = g_atomic_int_get (&l->pipe);

  switch (cc_link_poll (&l->health, now))
    {
    case CC_LINK_WAIT:
      break;
    case CC_LINK_PING:
      send_ping (l);
      break;
    case CC_LINK_SILENT:
      ++*l->box->silent;
      cc_log (CC_LOG_WARNING, "link", "%s is silent", l->address);
      cc_link_lost (&l->health);
      l->silent_since = now;
      l->reported_pipe = 0;
      nng_pipe_close ((nng_pipe){ .id = (uint32_t) id });
      l->box->link (l->address, FALSE, l->box->data);
      break;
    }
}

/* Handles a connection that was made or lost since the last call.  One that was
 * replaced in between counts as lost too, since messages sent on it may be
 * lost. */
static void
update_link (Link *l)
{
  gint id = g_atomic_int_get (&l->pipe);
  gint64 now = cc_clock_now ();

  if (id == l->reported_pipe)
    return;
  if (l->reported_pipe != 0)
    {
      cc_link_lost (&l->health);
      l->silent_since = 0;
      l->box->link (l->address, FALSE, l->box->data);
    }
  l->reported_pipe = id;
  if (id == 0)
    return;
  cc_link_connected (&l->health, now);
  check_link (l, now);
  l->box->link (l->address, TRUE, l->box->data);
}

static gboolean
on_heartbeat (gpointer data)
{
  CcMailbox *box = data;
  GList *links = g_hash_table_get_values (box->links);

  for (GList *l = links; l != NULL; l = l->next)
    check_link (l->data, cc_clock_now ());
  g_list_free (links);
  return G_SOURCE_CONTINUE;
}

/* Runs on the main loop: handles the messages and link changes that nng's
 * threads queued. */
static gboolean
process_queues (gpointer data)
{
  CcMailbox *box = data;
  GQueue received_queue, changed_links;
  nng_msg *msg;
  Link *l;

  g_mutex_lock (&box->lock);
  received_queue = box->received_queue;
  changed_links = box->changed_links;
  g_queue_init (&box->received_queue);
  g_queue_init (&box->changed_links);
  box->wake_scheduled = FALSE;
  g_mutex_unlock (&box->lock);
  while ((msg = g_queue_pop_head (&received_queue)) != NULL)
    handle_message (box, msg);
  while ((l = g_queue_pop_head (&changed_links)) != NULL)
    update_link (l);
  return G_SOURCE_REMOVE;
}

/* Runs on nng's thread.  Records the current connection of a link and queues
 * the link for update_link. */
static void
on_pipe (nng_pipe pipe, nng_pipe_ev event, void *arg)
{
  Link *l = arg;

  g_mutex_lock (&l->box->lock);
  if (event == NNG_PIPE_EV_ADD_POST)
    g_atomic_int_set (&l->pipe, nng_pipe_id (pipe));
  else if (g_atomic_int_get (&l->pipe) == nng_pipe_id (pipe))
    g_atomic_int_set (&l->pipe, 0);
  g_queue_push_tail (&l->box->changed_links, l);
  wake (l->box);
  g_mutex_unlock (&l->box->lock);
}

static void
link_free (gpointer data)
{
  Link *l = data;

  nng_close (l->socket);
  g_free (l->address);
  g_free (l);
}

static void
init_counters (CcMailbox *box)
{
  box->received = cc_metrics_counter ("capercrank_messages_received", "");
  box->malformed = cc_metrics_counter ("capercrank_messages_damaged", "");
  box->stale = cc_metrics_counter ("capercrank_messages_stale", "");
  box->silent = cc_metrics_counter ("capercrank_links_silent", "");
  box->not_sent = cc_metrics_counter ("capercrank_messages_refused", "");
}

/* Makes outgoing connections use the address that the process listens on, so
 * that peers and firewalls see an instance under one address. */
static void
set_source_address (CcMailbox *box, const char *listen)
{
  g_autofree char *ip = NULL;
  g_autoptr (GInetAddress) address = NULL;

  cc_address_parse (listen, &ip, NULL);
  address = g_inet_address_new_from_string (ip);
  if (g_inet_address_get_family (address) != G_SOCKET_FAMILY_IPV4)
    return;
  box->source.s_in.sa_family = NNG_AF_INET;
  memcpy (&box->source.s_in.sa_addr, g_inet_address_to_bytes (address), 4);
}

/* Opens the PULL socket at LISTEN and starts the first receive.  Returns an nng
 * error, or 0. */
static int
start_listening (CcMailbox *box, const char *listen)
{
  g_autofree char *url = g_strconcat ("tcp://", listen, NULL);
  int rv = nng_pull0_open (&box->pull);

  if (rv != 0)
    return rv;
  nng_socket_set_size (box->pull, NNG_OPT_RECVMAXSZ, CC_WIRE_MAX);
  rv = nng_listen (box->pull, url, NULL, 0);
  if (rv != 0)
    {
      nng_close (box->pull);
      return rv;
    }
  rv = nng_aio_alloc (&box->aio, on_receive, box);
  if (rv == 0)
    nng_recv_aio (box->pull, box->aio);
  return rv;
}

/* Opens a mailbox at LISTEN (IP:PORT), which peers reach at ADVERTISE.  Returns
 * NULL with *MESSAGE set, to be freed, if the port is taken or the address is
 * not this machine's. */
CcMailbox *
cc_mailbox_new (const char *listen, const char *advertise, guint64 incarnation,
                CcMailboxReceive receive, CcMailboxLink link, gpointer data,
                char **message)
{
  CcMailbox *box = g_new0 (CcMailbox, 1);
  int rv;

  box->address = g_strdup (advertise);
  box->incarnation = incarnation;
  box->receive = receive;
  box->link = link;
  box->data = data;
  box->links = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, link_free);
  g_mutex_init (&box->lock);
  init_counters (box);
  set_source_address (box, listen);
  rv = start_listening (box, listen);
  if (rv == 0)
    {
      box->heartbeat =
          g_timeout_add (CC_PING_PERIOD / CC_MS, on_heartbeat, box);
      return box;
    }
  *message =
      g_strdup_printf ("can't listen at %s: %s", listen, nng_strerror (rv));
  g_hash_table_unref (box->links);
  g_free (box->address);
  g_free (box);
  return NULL;
}

/* Returns the link to ADDRESS, creating it and starting to dial if there is
 * none. */
static Link *
find_link (CcMailbox *box, const char *address)
{
  Link *l = g_hash_table_lookup (box->links, address);
  g_autofree char *url = NULL;

  if (l != NULL)
    return l;
  l = g_new0 (Link, 1);
  l->box = box;
  l->address = g_strdup (address);
  url = g_strconcat ("tcp://", address, NULL);
  nng_push0_open (&l->socket);
  nng_socket_set_int (l->socket, NNG_OPT_SENDBUF, LINK_QUEUE);
  nng_socket_set_ms (l->socket, NNG_OPT_RECONNMINT, RECONNECT_MIN_MS);
  nng_socket_set_ms (l->socket, NNG_OPT_RECONNMAXT, RECONNECT_MAX_MS);
  nng_pipe_notify (l->socket, NNG_PIPE_EV_ADD_POST, on_pipe, l);
  nng_pipe_notify (l->socket, NNG_PIPE_EV_REM_POST, on_pipe, l);
  if (nng_dialer_create (&l->dialer, l->socket, url) == 0)
    {
      if (box->source.s_family == NNG_AF_INET)
        nng_dialer_set_addr (l->dialer, NNG_OPT_LOCADDR, &box->source);
      nng_dialer_start (l->dialer, NNG_FLAG_NONBLOCK);
    }
  g_hash_table_insert (box->links, l->address, l);
  return l;
}

/* Starts connecting to ADDRESS (IP:PORT), so that the link is up when messages
 * are sent. */
void
cc_mailbox_connect (CcMailbox *box, const char *address)
{
  find_link (box, address);
}

/* Whether the link to ADDRESS carries messages, according to the last pings. */
gboolean
cc_mailbox_is_up (CcMailbox *box, const char *address)
{
  return find_link (box, address)->health.pings_answered;
}

/* Returns the time since which the peer at ADDRESS has been silent without
 * closing the link, us; such a peer may be paused and resume.  0: it is not
 * silent, or has disconnected. */
gint64
cc_mailbox_silent_since (CcMailbox *box, const char *address)
{
  return find_link (box, address)->silent_since;
}

/* Answers a ping, or handles the answer to one.  Answering opens a link to the
 * sender if there is none. */
static void
handle_ping (CcMailbox *box, const CcMessage *m)
{
  Link *l = find_link (box, m->reply_to);
  CcMessage answer = { .kind = CC_MSG_PING };

  if (m->u.ping.answer)
    {
      gboolean pings_answered = l->health.pings_answered;

      cc_link_answered (&l->health, m->u.ping.sequence, cc_clock_now ());
      if (!pings_answered && l->health.pings_answered)
        l->peer_incarnation = m->from;
      if (l->health.pings_answered)
        l->silent_since = 0;
      return;
    }
  answer.to = m->from;
  answer.id = cc_mailbox_next_id (box);
  answer.expires = cc_clock_wall () + CC_SECOND;
  answer.u.ping.answer = TRUE;
  answer.u.ping.sequence = m->u.ping.sequence;
  transmit (box, l, &answer);
}

/* Whether a message of KIND may be queued while the link is down.  A request
 * may not, so that its entry can immediately report that it was not sent. */
static gboolean
may_be_queued (CcMessageKind kind)
{
  return kind != CC_MSG_REQUEST;
}

/* Encodes M and passes it to nng without blocking.  CC_FULL means that nothing
 * was sent. */
static CcStatus
transmit (CcMailbox *box, Link *l, CcMessage *m)
{
  g_autoptr (GBytes) bytes = NULL;
  gsize size;
  gconstpointer data;

  m->from = box->incarnation;
  m->reply_to = box->address;
  bytes = cc_wire_encode (m);
  data = g_bytes_get_data (bytes, &size);
  if (nng_send (l->socket, (void *) data, size, NNG_FLAG_NONBLOCK) == 0)
    return CC_OK;
  ++*box->not_sent;
  return CC_FULL;
}

/* Whether L is connected to the process that M is for.  A process restarted at
 * the same address would drop M. */
static gboolean
reaches_recipient (const Link *l, const CcMessage *m)
{
  return l->health.pings_answered &&
         (m->to == 0 || m->to == l->peer_incarnation);
}

/* Sends M to ADDRESS, filling in its envelope except for `to`, `id` and
 * `expires`.  CC_UNREACHABLE and CC_FULL both mean that nothing was sent.  Only
 * a request needs a link that is up; messages of other kinds are queued until
 * it is. */
CcStatus
cc_mailbox_send (CcMailbox *box, const char *address, CcMessage *m)
{
  Link *l = find_link (box, address);

  if (!may_be_queued (m->kind) && !reaches_recipient (l, m))
    {
      ++*box->not_sent;
      return CC_UNREACHABLE;
    }
  cc_link_used (&l->health, cc_clock_now ());
  return transmit (box, l, m);
}

/* Returns a message id that this process has not used before. */
guint64
cc_mailbox_next_id (CcMailbox *box)
{
  return ++box->last_id;
}

/* Closes all links.  Messages not yet sent are lost. */
void
cc_mailbox_free (CcMailbox *box)
{
  g_source_remove (box->heartbeat);
  nng_close (box->pull);
  nng_aio_stop (box->aio);
  nng_aio_free (box->aio);
  g_hash_table_unref (box->links);
  if (box->wake_scheduled)
    g_source_remove (box->wake_source);
  g_queue_clear_full (&box->received_queue, message_free);
  g_queue_clear (&box->changed_links);
  g_mutex_clear (&box->lock);
  g_free (box->address);
  g_free (box);
}
