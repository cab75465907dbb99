/* One UDP socket for all messages that may be lost: a peer that is slow, stands
 * still or has exited never blocks the sender. */
#include "peer_datagrams.h"

#include <gio/gio.h>

#include <string.h>

#include "settings.h"

/* Ends a sealed datagram, behind its kind.  No load report in normal form ends
 * in it: the last bytes of one give an offset within its size, and this is
 * greater than any size of a datagram, in any width of offsets. */
static const guint8 mark[4] = { 0xff, 0xff, 0xff, 0xff };

struct CcPeerDatagrams
{
  GSocket *socket;
  GSource *source;
  CcDatagramReceived received;
  gpointer data;
};

/* Returns PAYLOAD, which is consumed if floating, as a datagram of KIND. */
GBytes *
cc_datagram_seal (CcDatagramKind kind, GVariant *payload)
{
  g_autoptr (GVariant) v = g_variant_ref_sink (payload);
  GByteArray *bytes = g_byte_array_new ();
  guint8 byte = (guint8) kind;

  g_byte_array_append (bytes, g_variant_get_data (v),
                       (guint) g_variant_get_size (v));
  g_byte_array_append (bytes, &byte, 1);
  g_byte_array_append (bytes, mark, sizeof mark);
  return g_byte_array_free_to_bytes (bytes);
}

/* Returns the payload of DATAGRAM, of TYPE, or NULL if it is not of KIND or is
 * damaged. */
GVariant *
cc_datagram_open (GBytes *datagram, CcDatagramKind kind, const char *type)
{
  gsize size;
  const guint8 *data = g_bytes_get_data (datagram, &size);
  g_autoptr (GBytes) payload = NULL;
  g_autoptr (GVariant) v = NULL;

  if (size <= sizeof mark || data[size - sizeof mark - 1] != (guint8) kind ||
      memcmp (data + size - sizeof mark, mark, sizeof mark) != 0)
    return NULL;
  payload = g_bytes_new_from_bytes (datagram, 0, size - sizeof mark - 1);
  v = g_variant_ref_sink (
      g_variant_new_from_bytes (G_VARIANT_TYPE (type), payload, FALSE));
  return g_variant_is_normal_form (v) ? g_steal_pointer (&v) : NULL;
}

static gboolean
on_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  CcPeerDatagrams *d = data;
  g_autofree char *bytes = g_malloc (CC_DATAGRAM_MAX);
  gssize size = g_socket_receive (socket, bytes, CC_DATAGRAM_MAX, NULL, NULL);
  g_autoptr (GBytes) whole = NULL;

  (void) condition;
  if (size <= 0)
    return G_SOURCE_CONTINUE;
  whole = g_bytes_new (bytes, (gsize) size);
  d->received (whole, d->data);
  return G_SOURCE_CONTINUE;
}

/* Returns a socket that receives datagrams at ADDRESS (IP:PORT) and passes them
 * to RECEIVED with DATA.  On failure returns NULL and sets *MESSAGE, to be
 * freed by the caller. */
CcPeerDatagrams *
cc_peer_datagrams_new (const char *address, CcDatagramReceived received,
                       gpointer data, char **message)
{
  g_autofree char *ip = NULL;
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) at = NULL;
  g_autoptr (GSocket) socket = NULL;
  guint16 port = 0;
  CcPeerDatagrams *d;

  cc_address_parse (address, &ip, &port);
  at = g_inet_socket_address_new_from_string (ip, port);
  socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                         G_SOCKET_PROTOCOL_UDP, &error);
  if (socket == NULL || !g_socket_bind (socket, at, TRUE, &error))
    {
      *message = g_strdup_printf ("can't receive datagrams at %s: %s", address,
                                  error->message);
      return NULL;
    }
  d = g_new0 (CcPeerDatagrams, 1);
  d->received = received;
  d->data = data;
  d->socket = g_steal_pointer (&socket);
  g_socket_set_blocking (d->socket, FALSE);
  d->source = g_socket_create_source (d->socket, G_IO_IN, NULL);
  g_source_set_callback (d->source, G_SOURCE_FUNC (on_readable), d, NULL);
  g_source_attach (d->source, NULL);
  return d;
}

/* Frees D. */
void
cc_peer_datagrams_free (CcPeerDatagrams *d)
{
  g_source_destroy (d->source);
  g_source_unref (d->source);
  g_object_unref (d->socket);
  g_free (d);
}

/* Sends SIZE BYTES to ADDRESS (IP:PORT).  An error is ignored like a loss: what
 * can't be sent now is sent anew by those whom it concerns, or of no use later.
 */
void
cc_peer_datagrams_send (CcPeerDatagrams *d, const char *address,
                        gconstpointer bytes, gsize size)
{
  g_autoptr (GSocketAddress) to = NULL;
  g_autofree char *ip = NULL;
  guint16 port = 0;

  if (!cc_address_parse (address, &ip, &port))
    return;
  to = g_inet_socket_address_new_from_string (ip, port);
  (void) g_socket_send_to (d->socket, to, bytes, size, NULL, NULL);
}
