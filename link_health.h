/* Detects links between two processes that no longer carry messages in both
 * directions. */
#ifndef CC_LINK_HEALTH_H
#define CC_LINK_HEALTH_H

#include "capercrank.h"

/* Ping period of a link in use.  Five periods make the limit below, so a
 * single delayed response decides nothing. */
#define CC_PING_PERIOD (100 * CC_MS)
/* Ping period of an idle link, so that a link that went silent while unused is
 * detected before a request is sent on it. */
#define CC_PING_IDLE_PERIOD (1000 * CC_MS)
/* A link is idle when nothing but pings was sent for this time. */
#define CC_LINK_IDLE_AFTER (2 * CC_SECOND)
/* A link with a ping unanswered for this time is silent.  This is a quarter of
 * the shortest usual class timeout (2 s), and well above the pauses of a busy
 * process (up to 200 ms on a loaded machine). */
#define CC_LINK_SILENT_AFTER (500 * CC_MS)

typedef enum
{
  CC_LINK_WAIT,  /* nothing to do */
  CC_LINK_PING,  /* send a ping with the number in `sequence` */
  CC_LINK_SILENT /* close the connection and reconnect */
} CcLinkAction;

typedef struct
{
  gboolean connected;
  gboolean pings_answered; /* a ping on this connection was answered */
  guint64 first;    /* sequence number of the first ping on this connection */
  guint64 sequence; /* sequence number of the last ping sent */
  gint64 pinged;    /* when it was sent, us; 0: none on this connection */
  gint64 waiting_since; /* oldest unanswered ping, us; 0: none */
  gint64 used;          /* when anything but a ping was last sent, us */
  gint64 polled;        /* last call of cc_link_poll, us; 0: none */
} CcLinkHealth;

void cc_link_connected (CcLinkHealth *h, gint64 now);
void cc_link_lost (CcLinkHealth *h);
void cc_link_used (CcLinkHealth *h, gint64 now);
void cc_link_answered (CcLinkHealth *h, guint64 sequence, gint64 now);
CcLinkAction cc_link_poll (CcLinkHealth *h, gint64 now);

#endif
