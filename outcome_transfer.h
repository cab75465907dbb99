/* Passes the memory of outcomes on when a slice changes dispatchers. */
#ifndef CC_OUTCOME_TRANSFER_H
#define CC_OUTCOME_TRANSFER_H

#include "outcome.h"
#include "slicemap.h"
#include "wire.h"

/* Bounds of one message, so that it delays the requests behind it little: a
 * quarter of a megabyte takes 2 ms at 1 Gbit/s. */
#define CC_TRANSFER_ENTRIES 500
#define CC_TRANSFER_BYTES (256 * 1024)

typedef struct CcTransfer CcTransfer;

/* Sends M to the dispatcher whose id is TO.  CC_FULL: to be tried again. */
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
