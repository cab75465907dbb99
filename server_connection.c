/* Observes what libsoup reads from the connections of its servers, for two
 * reasons.
 *
 * The targets of callers' requests are recorded (caller_connection.h).
 *
 * Closed connections are released.  Failure: once a connection has carried a
 * request, libsoup (3.2) does not release it when its client closes it.  It
 * reads the end of the stream, drops the source that it read from, and keeps
 * the connection until the process exits.  Symptom: each client that closes its
 * connection costs one descriptor; after the last one no listener accepts.  So
 * the end of the stream is noted here, and if libsoup has not disconnected by
 * the next iteration of the main loop, it is told to. */
#include "server_connection.h"

#include <fcntl.h>
#include <unistd.h>

#include "caller_connection.h"
#include "capercrank.h"
#include "event_log.h"
#include "timers.h"

/* Keys of object data. */
#define STREAM_KEY "capercrank-stream" /* of a socket and its connections */
#define DISCONNECTED_KEY "capercrank-disconnected" /* of libsoup's one */

/* The input stream of one connection. */
typedef struct
{
  GFilterInputStream parent;
  GSocket *socket;
  CcConnectionTable *table; /* NULL: the socket was closed */
  CcConnection connection;  /* in TABLE until the socket is closed */
  CcCallerTargets *targets; /* NULL: not a connection of a caller */
  GObject *owner; /* libsoup's connection, not owned; NULL: not known or gone */
  GSource *source;  /* on which libsoup waits for the next bytes; NULL: none */
  gboolean in_head; /* bytes were read after the last message */
  guint messages;   /* whose headers were read and that are not finished */
  gboolean at_end;  /* the end of the stream or an error was read */
} CcServerStream;

typedef struct
{
  GFilterInputStreamClass parent_class;
} CcServerStreamClass;

static GType cc_server_stream_get_type (void);
static void cc_server_stream_pollable_init (gpointer iface, gpointer data);

G_DEFINE_TYPE_WITH_CODE (
    CcServerStream, cc_server_stream, G_TYPE_FILTER_INPUT_STREAM,
    G_IMPLEMENT_INTERFACE (G_TYPE_POLLABLE_INPUT_STREAM,
                           (GInterfaceInitFunc) cc_server_stream_pollable_init))

/* ---- state ---- */

/* Sets the state of S, from which bytes were read or to which an answer was
 * written. */
static void
update_state (CcServerStream *s)
{
  CcConnectionState state = CC_CONNECTION_IDLE;

  if (s->table == NULL)
    return;
  if (s->messages > 0)
    state = CC_CONNECTION_BUSY;
  else if (s->targets != NULL ? cc_caller_targets_is_reading (s->targets)
                              : s->in_head)
    state = CC_CONNECTION_READING;
  cc_connection_set_state (s->table, &s->connection, state);
}

/* Makes libsoup read from the stream DATA, which then ends unless it has data.
 */
static void
close_unread (gpointer data)
{
  CcServerStream *s = data;

  if (s->source != NULL)
    g_source_set_ready_time (s->source, 0);
}

/* Whether S is closed without reading from it, so that no request that was read
 * is lost. */
static gboolean
is_refused (const CcServerStream *s)
{
  return s->table != NULL && s->connection.cause == CC_CLOSE_REFUSED;
}

/* Whether S, from which nothing can be read, is to end here. */
static gboolean
is_ended_here (const CcServerStream *s)
{
  return s->table != NULL && s->connection.cause != CC_CLOSE_NONE;
}

/* ---- release ---- */

/* Whether libsoup waits for the next bytes of S. */
static gboolean
is_waited_for (const CcServerStream *s)
{
  return s->source != NULL && !g_source_is_destroyed (s->source);
}

/* Makes libsoup disconnect the ended stream DATA, unless it has done so. */
static gboolean
on_release (gpointer data)
{
  CcServerStream *s = data;

  if (s->owner != NULL && !g_socket_is_closed (s->socket) && s->messages == 0 &&
      !is_waited_for (s))
    g_signal_emit_by_name (s->owner, "disconnected");
  g_object_unref (s);
  return G_SOURCE_REMOVE;
}

/* Releases the connection of S, which has ended, after libsoup has handled what
 * it is handling now. */
static void
release_later (CcServerStream *s)
{
  g_idle_add_full (G_PRIORITY_DEFAULT, on_release, g_object_ref (s), NULL);
}

/* COUNT bytes of S were read to BUFFER; 0: the end, -1: ERROR. */
static void
on_read (CcServerStream *s, const void *buffer, gssize count,
         const GError *error)
{
  if (count > 0)
    {
      s->in_head = TRUE;
      if (s->targets != NULL)
        cc_caller_targets_parse (s->targets, buffer, (gsize) count);
      update_state (s);
    }
  if (count > 0 || s->at_end ||
      g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return;
  s->at_end = TRUE;
  release_later (s);
}

/* ---- the stream ---- */

static gssize
stream_read (GInputStream *stream, void *buffer, gsize count,
             GCancellable *cancellable, GError **error)
{
  CcServerStream *s = (CcServerStream *) stream;
  g_autoptr (GError) failure = NULL;
  gssize n =
      g_input_stream_read (g_filter_input_stream_get_base_stream (&s->parent),
                           buffer, count, cancellable, &failure);

  on_read (s, buffer, n, failure);
  if (failure != NULL)
    g_propagate_error (error, g_steal_pointer (&failure));
  return n;
}

static GPollableInputStream *
base_of (GPollableInputStream *stream)
{
  return G_POLLABLE_INPUT_STREAM (
      g_filter_input_stream_get_base_stream (G_FILTER_INPUT_STREAM (stream)));
}

static gboolean
stream_is_readable (GPollableInputStream *stream)
{
  return is_ended_here ((CcServerStream *) stream) ||
         g_pollable_input_stream_is_readable (base_of (stream));
}

/* Uses a source of the socket itself: the base stream's source would add one
 * more source per connection to each iteration of the main loop. */
static GSource *
stream_create_source (GPollableInputStream *stream, GCancellable *cancellable)
{
  CcServerStream *s = (CcServerStream *) stream;
  g_autoptr (GSource) base = g_socket_create_source (s->socket, G_IO_IN, NULL);

  g_clear_pointer (&s->source, g_source_unref);
  s->source = g_pollable_source_new_full (stream, base, cancellable);
  return g_source_ref (s->source);
}

static gssize
stream_read_nonblocking (GPollableInputStream *stream, void *buffer,
                         gsize count, GError **error)
{
  CcServerStream *s = (CcServerStream *) stream;
  g_autoptr (GError) failure = NULL;
  gssize n = 0;

  if (!is_refused (s))
    n = g_pollable_input_stream_read_nonblocking (base_of (stream), buffer,
                                                  count, NULL, &failure);
  if (is_ended_here (s) &&
      g_error_matches (failure, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    {
      g_clear_error (&failure);
      n = 0;
    }
  on_read (s, buffer, n, failure);
  if (failure != NULL)
    g_propagate_error (error, g_steal_pointer (&failure));
  return n;
}

static void
cc_server_stream_pollable_init (gpointer iface, gpointer data)
{
  GPollableInputStreamInterface *i = iface;

  (void) data;
  i->is_readable = stream_is_readable;
  i->create_source = stream_create_source;
  i->read_nonblocking = stream_read_nonblocking;
}

static void
stream_finalize (GObject *object)
{
  CcServerStream *s = (CcServerStream *) object;

  g_clear_weak_pointer (&s->owner);
  g_clear_pointer (&s->source, g_source_unref);
  cc_caller_targets_free (s->targets);
  if (g_object_get_data (G_OBJECT (s->socket), STREAM_KEY) == s)
    g_object_set_data (G_OBJECT (s->socket), STREAM_KEY, NULL);
  g_clear_object (&s->socket);
  G_OBJECT_CLASS (cc_server_stream_parent_class)->finalize (object);
}

static void
cc_server_stream_class_init (CcServerStreamClass *class)
{
  G_INPUT_STREAM_CLASS (class)->read_fn = stream_read;
  G_OBJECT_CLASS (class)->finalize = stream_finalize;
}

static void
cc_server_stream_init (CcServerStream *s)
{
  (void) s;
}

/* ---- the connection ---- */

/* What is tracked on one port. */
typedef struct
{
  CcConnectionTable *table;
  gboolean for_callers;
} TrackedPort;

static GHashTable *tracked_ports; /* to TrackedPort */

/* What is tracked on the port of SOCKET, or NULL. */
static const TrackedPort *
find_tracked (GSocket *socket)
{
  g_autoptr (GSocketAddress) at = g_socket_get_local_address (socket, NULL);

  if (!G_IS_INET_SOCKET_ADDRESS (at))
    return NULL;
  return g_hash_table_lookup (tracked_ports,
                              GUINT_TO_POINTER (g_inet_socket_address_get_port (
                                  G_INET_SOCKET_ADDRESS (at))));
}

/* libsoup's connection object of the emission belongs to the stream of its
 * socket, unless it has disconnected already. */
static gboolean
on_connected (GSignalInvocationHint *hint, guint count, const GValue *values,
              gpointer unused)
{
  GObject *owner = g_value_get_object (values);
  g_autoptr (GSocket) socket = NULL;
  CcServerStream *s;

  (void) hint, (void) count, (void) unused;
  g_object_get (owner, "socket", &socket, NULL);
  s = socket != NULL ? g_object_get_data (G_OBJECT (socket), STREAM_KEY) : NULL;
  if (s == NULL || g_object_get_data (owner, DISCONNECTED_KEY) != NULL)
    return TRUE;
  g_set_weak_pointer (&s->owner, owner);
  g_object_set_data (owner, STREAM_KEY, s);
  return TRUE;
}

/* libsoup's connection object of the emission has disconnected, which it must
 * do only once. */
static gboolean
on_disconnected (GSignalInvocationHint *hint, guint count, const GValue *values,
                 gpointer unused)
{
  GObject *owner = g_value_get_object (values);
  CcServerStream *s = g_object_get_data (owner, STREAM_KEY);

  (void) hint, (void) count, (void) unused;
  g_object_set_data (owner, DISCONNECTED_KEY, owner);
  if (s != NULL)
    g_clear_weak_pointer (&s->owner);
  return TRUE;
}

/* libsoup's type of connections is not public, and is registered only when it
 * is used first. */
static void
observe_connections (void)
{
  static gboolean is_observed;
  GType type = g_type_from_name ("SoupServerConnection");

  if (is_observed || type == 0)
    return;
  is_observed = TRUE;
  g_type_class_ref (type); /* the class has the signals */
  g_signal_add_emission_hook (g_signal_lookup ("connected", type), 0,
                              on_connected, NULL, NULL);
  g_signal_add_emission_hook (g_signal_lookup ("disconnected", type), 0,
                              on_disconnected, NULL, NULL);
}

/* GLib's implementation for TCP connections. */
static GInputStream *(*default_get_input_stream) (GIOStream *stream);

/* Adds the accepted connection S to the table of its PORT. */
static void
track_accepted (CcServerStream *s, const TrackedPort *port)
{
  s->targets = port->for_callers ? cc_caller_targets_new () : NULL;
  s->table = port->table;
  cc_connection_opened (s->table, &s->connection, close_unread, s);
}

/* Replaces it: the input stream of a tracked connection is a CcServerStream. So
 * is that of the connection object that libsoup has for a listening socket. */
static GInputStream *
get_input_stream_tracked (GIOStream *stream)
{
  GSocket *socket =
      g_socket_connection_get_socket (G_SOCKET_CONNECTION (stream));
  CcServerStream *s = g_object_get_data (G_OBJECT (stream), STREAM_KEY);
  const TrackedPort *port;

  if (s != NULL)
    return G_INPUT_STREAM (s);
  port = find_tracked (socket);
  if (port == NULL)
    return default_get_input_stream (stream);
  observe_connections ();
  s = g_object_new (cc_server_stream_get_type (), "base-stream",
                    default_get_input_stream (stream), "close-base-stream",
                    FALSE, NULL);
  s->socket = g_object_ref (socket);
  if (g_socket_is_connected (socket))
    track_accepted (s, port);
  g_object_set_data (G_OBJECT (socket), STREAM_KEY, s);
  g_object_set_data_full (G_OBJECT (stream), STREAM_KEY, s, g_object_unref);
  return G_INPUT_STREAM (s);
}

/* GLib's implementation for TCP connections. */
static gboolean (*default_close) (GIOStream *stream, GCancellable *cancellable,
                                  GError **error);

/* Replaces it: a tracked connection is closed. */
static gboolean
close_tracked (GIOStream *stream, GCancellable *cancellable, GError **error)
{
  CcServerStream *s = g_object_get_data (G_OBJECT (stream), STREAM_KEY);

  if (s != NULL && s->table != NULL)
    {
      cc_connection_closed (s->table, &s->connection);
      s->table = NULL;
      /* It has a reference to the stream. */
      g_clear_pointer (&s->source, g_source_unref);
    }
  return default_close (stream, cancellable, error);
}

/* libsoup creates its connections itself, with a type that can't be chosen, and
 * GLib allows only one connection type for TCP.  A separate listener does not
 * help: libsoup closes the connections of a server that has no listener after
 * each request.  So methods of GLib's class are replaced. */
static void
override_methods (void)
{
  GIOStreamClass *class = g_type_class_ref (G_TYPE_TCP_CONNECTION);

  default_get_input_stream = class->get_input_stream;
  class->get_input_stream = get_input_stream_tracked;
  default_close = class->close_fn;
  class->close_fn = close_tracked;
}

/* ---- listeners ---- */

/* Failure: libsoup (3.2) stops watching its listening socket when accept fails
 * once, for example for want of descriptors.  Symptom: the process accepts
 * nobody any more, also after descriptors are free again.  So listeners are
 * checked, and started anew when accept can succeed. */
#define LISTENER_CHECK_PERIOD (500 * CC_MS)

typedef struct
{
  SoupServer *server; /* not owned; NULL: gone */
  GSocket *socket;
} Listener;

static GPtrArray *listeners; /* of Listener */
static CcTimer listener_check;

/* Whether the process can open one more descriptor. */
static gboolean
has_descriptor (GSocket *socket)
{
  int copy = fcntl (g_socket_get_fd (socket), F_DUPFD_CLOEXEC, 0);

  if (copy < 0)
    return FALSE;
  close (copy);
  return TRUE;
}

/* Starts L anew if libsoup has stopped watching it. */
static void
check_listener (const Listener *l)
{
  const CcServerStream *s =
      g_object_get_data (G_OBJECT (l->socket), STREAM_KEY);
  g_autoptr (GError) error = NULL;

  if (l->server == NULL || g_socket_is_closed (l->socket) || s == NULL ||
      is_waited_for (s) || !has_descriptor (l->socket))
    return;
  if (soup_server_listen_socket (l->server, l->socket, 0, &error))
    cc_event (CC_EVENT_STATE, "listener-restarted", NULL);
  else
    cc_event (CC_EVENT_STATE, "listener-lost", "why", error->message, NULL);
}

static void
on_listener_check (gpointer unused)
{
  (void) unused;
  for (guint i = 0; i < listeners->len; i++)
    check_listener (listeners->pdata[i]);
  cc_timer_start (&listener_check, LISTENER_CHECK_PERIOD, on_listener_check,
                  NULL);
}

/* Makes SERVER listen on SOCKET, whose port is tracked, for as long as SERVER
 * exists. */
gboolean
cc_server_connections_listen (SoupServer *server, GSocket *socket,
                              GError **error)
{
  Listener *l;

  if (!soup_server_listen_socket (server, socket, 0, error))
    return FALSE;
  l = g_new0 (Listener, 1);
  g_set_weak_pointer (&l->server, server);
  l->socket = g_object_ref (socket);
  if (listeners == NULL)
    {
      listeners = g_ptr_array_new ();
      on_listener_check (NULL);
    }
  g_ptr_array_add (listeners, l);
  return TRUE;
}

/* ---- messages ---- */

/* M, a message of the stream DATA, is finished or was aborted. */
static void
on_finished (SoupServerMessage *m, gpointer data)
{
  CcServerStream *s = data;

  g_signal_handlers_disconnect_by_func (m, on_finished, s);
  s->messages--;
  s->in_head = FALSE;
  update_state (s);
  if (s->at_end)
    release_later (s);
}

/* The stream of the connection of M; NULL: none that is tracked. */
static CcServerStream *
stream_of (SoupServerMessage *m)
{
  GSocket *socket = soup_server_message_get_socket (m);

  return socket != NULL ? g_object_get_data (G_OBJECT (socket), STREAM_KEY)
                        : NULL;
}

/* The connection of M in the table of callers' connections; NULL: it is not in
 * one, or closed. */
CcConnection *
cc_server_connection_of (SoupServerMessage *m)
{
  CcServerStream *s = stream_of (m);

  return s != NULL && s->table != NULL ? &s->connection : NULL;
}

static void
on_got_headers (SoupServerMessage *m, gpointer unused)
{
  CcServerStream *s = stream_of (m);

  (void) unused;
  if (s == NULL)
    return;
  if (s->targets != NULL)
    cc_caller_targets_assign (s->targets, m);
  s->messages++;
  update_state (s);
  g_signal_connect_object (m, "finished", G_CALLBACK (on_finished), s, 0);
}

static void
on_request_started (SoupServer *server, SoupServerMessage *m, gpointer unused)
{
  (void) server, (void) unused;
  g_signal_connect (m, "got-headers", G_CALLBACK (on_got_headers), NULL);
}

/* Tracks the connections that SERVER accepts on PORT in TABLE, which is not
 * freed before the process ends.  FOR_CALLERS: also records the targets of
 * their requests.  Other connections of the process are not affected. */
void
cc_server_connections_track (SoupServer *server, guint port,
                             CcConnectionTable *table, gboolean for_callers)
{
  TrackedPort *tracked = g_new0 (TrackedPort, 1);

  if (tracked_ports == NULL)
    {
      tracked_ports = g_hash_table_new_full (NULL, NULL, NULL, g_free);
      override_methods ();
    }
  tracked->table = table;
  tracked->for_callers = for_callers;
  g_hash_table_insert (tracked_ports, GUINT_TO_POINTER (port), tracked);
  g_signal_connect (server, "request-started", G_CALLBACK (on_request_started),
                    NULL);
}

/* Whether a request after M was already read from its connection, or bytes of
 * one have arrived there.
 *
 * Failure: libsoup reads ahead only with a head, so what follows a body is in
 * the buffer of the kernel.  Symptom: requests that were sent long before their
 * connection is closed get no answer, and the close with unread bytes resets
 * the connection, which may discard the answer before. */
gboolean
cc_server_connection_has_next (SoupServerMessage *m)
{
  const CcServerStream *s = stream_of (m);

  return s != NULL && s->targets != NULL &&
         (cc_caller_targets_has_next (s->targets) ||
          g_socket_get_available_bytes (soup_server_message_get_socket (m)) >
              0);
}
