/* Sends messages to other processes of the fleet and receives theirs. */
#ifndef CC_MAILBOX_H
#define CC_MAILBOX_H

#include "wire.h"

typedef struct CcMailbox CcMailbox;

/* Called in the main loop for each message; M is valid during the call. */
typedef void (*CcMailboxReceive) (const CcMessage *m, gpointer data);
/* Called in the main loop when the link to ADDRESS comes up or is lost. */
typedef void (*CcMailboxLink) (const char *address, gboolean up, gpointer data);

CcMailbox *cc_mailbox_new (const char *listen, const char *advertise,
                           guint64 incarnation, CcMailboxReceive receive,
                           CcMailboxLink link, gpointer data, char **message);
void cc_mailbox_connect (CcMailbox *box, const char *address);
gboolean cc_mailbox_is_up (CcMailbox *box, const char *address);
gint64 cc_mailbox_silent_since (CcMailbox *box, const char *address);
CcStatus cc_mailbox_send (CcMailbox *box, const char *address, CcMessage *m);
guint64 cc_mailbox_next_id (CcMailbox *box);
void cc_mailbox_free (CcMailbox *box);

#endif
