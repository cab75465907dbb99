/* Datagrams between the gateways of a fleet. */
#ifndef CC_PEER_DATAGRAMS_H
#define CC_PEER_DATAGRAMS_H

#include <glib.h>

typedef struct CcPeerDatagrams CcPeerDatagrams;

#define CC_DATAGRAM_MAX 60000 /* bytes; UDP carries 65507 */

/* What a sealed datagram holds.  Load reports are not sealed. */
typedef enum
{
  CC_DATAGRAM_CRASHES = 1, /* crash_report.h */
  CC_DATAGRAM_LIMITS,      /* the next three: limit_message.h */
  CC_DATAGRAM_LIMIT_ASK,
  CC_DATAGRAM_LIMIT_ANSWER,
  CC_DATAGRAM_COLD_ASK, /* the next three: cold_message.h */
  CC_DATAGRAM_COLD_ANSWER,
  CC_DATAGRAM_COLD_NOTICE,
  CC_DATAGRAM_LIMIT_USED, /* limit_message.h */
  CC_DATAGRAM_OWNER_FULL, /* the next five: permit_message.h */
  CC_DATAGRAM_OWNER_OVERLOADED,
  CC_DATAGRAM_PERMIT_ASK,
  CC_DATAGRAM_PERMIT_ANSWER,
  CC_DATAGRAM_PERMIT_ENDED,
  CC_DATAGRAM_LIMIT_NUMBERED_ASK, /* the next two: limit_message.h */
  CC_DATAGRAM_LIMIT_NUMBERED_ANSWER
} CcDatagramKind;

/* Called with each datagram that is received. */
typedef void (*CcDatagramReceived) (GBytes *datagram, gpointer data);

CcPeerDatagrams *cc_peer_datagrams_new (const char *address,
                                        CcDatagramReceived received,
                                        gpointer data, char **message);
void cc_peer_datagrams_free (CcPeerDatagrams *d);
GBytes *cc_datagram_seal (CcDatagramKind kind, GVariant *payload);
GVariant *cc_datagram_open (GBytes *datagram, CcDatagramKind kind,
                            const char *type);
void cc_peer_datagrams_send (CcPeerDatagrams *d, const char *address,
                             gconstpointer bytes, gsize size);

#endif
