/* Whether a link between two processes still carries messages both ways. */
#ifndef CC_LINK_HEALTH_H
#define CC_LINK_HEALTH_H

#include "capercrank.h"

/* Between two pings of a link in use.  Five make the limit below, so that one
 * delayed answer decides nothing. */
#define CC_PING_PERIOD (100 * CC_MS)
/* And of an idle one: a link that went silent unused is found before a request
 * meets it. */
#define CC_PING_IDLE_PERIOD (1000 * CC_MS)
/* A link is idle when nothing but pings was sent for so long. */
#define CC_LINK_IDLE_AFTER (2 * CC_SECOND)
/* A ping unanswered for so long: the link is silent.  A quarter of the shortest
 * timeout of a class today (2 s), and well above the pauses of a busy process
 * (up to 200 ms seen on a loaded machine). */
#define CC_LINK_SILENT_AFTER (500 * CC_MS)

typedef enum
{
  CC_LINK_WAIT,  /* nothing to do */
  CC_LINK_PING,  /* send a ping with the number in `sequence` */
  CC_LINK_SILENT /* close the connection and dial afresh */
} CcLinkAction;

typedef struct
{
  gboolean connected;
  gboolean proven;      /* a ping on this connection was answered */
  guint64 first;        /* number of the first ping on this connection */
  guint64 sequence;     /* of the last ping sent */
  gint64 pinged;        /* when that was, us; 0: none on this connection */
  gint64 waiting_since; /* the oldest unanswered ping, us; 0: none */
  gint64 used;          /* when anything else was last sent, us */
  gint64 looked;        /* last look, us; 0: none */
} CcLinkHealth;

void cc_link_connected (CcLinkHealth *h, gint64 now);
void cc_link_lost (CcLinkHealth *h);
void cc_link_used (CcLinkHealth *h, gint64 now);
void cc_link_answered (CcLinkHealth *h, guint64 sequence, gint64 now);
CcLinkAction cc_link_poll (CcLinkHealth *h, gint64 now);

#endif
