/* Transfers the outcome records of a slice to the dispatcher that holds it
 * next. */
#ifndef CC_OUTCOME_TRANSFER_H
#define CC_OUTCOME_TRANSFER_H

#include "outcome.h"
#include "slicemap.h"
#include "wire.h"

/* Limits of one message, which bound the delay of requests queued behind it:
 * 256 KiB take 2 ms at 1 Gbit/s. */
#define CC_TRANSFER_ENTRIES 500
#define CC_TRANSFER_BYTES (256 * 1024)

typedef struct CcTransfer CcTransfer;

/* Sends M to the dispatcher with id TO.  CC_FULL: the caller tries again. */
typedef CcStatus (*CcTransferSend) (const char *to, const CcMsgOutcomes *m,
                                    gpointer data);

CcTransfer *cc_transfer_new (CcOutcomes *outcomes);
void cc_transfer_free (CcTransfer *t);
void cc_transfer_held (CcTransfer *t, const CcSliceMap *m, guint slice,
                       gint64 wall);
gboolean cc_transfer_stopped (CcTransfer *t, const CcSliceMap *m,
                              const char *server, const char *me,
                              CcTransferSend send, gpointer data);
void cc_transfer_receive (CcTransfer *t, const CcMsgOutcomes *o,
                          guint64 sender);

#endif
