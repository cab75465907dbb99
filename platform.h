/* The client of the platform's table service and instance list. */
#ifndef CC_PLATFORM_H
#define CC_PLATFORM_H

#include "view.h"

typedef struct CcPlatform CcPlatform;

/* A transaction: if all checks hold, all writes happen; otherwise none does. */
typedef struct
{
  GString *checks; /* JSON, without the enclosing brackets */
  GString *writes;
} CcTransaction;

typedef struct
{
  char *name;
  char *role; /* "entry", or the pool of a server */
  char *zone;
  char *address;    /* IP:PORT */
  gboolean leaving; /* it is being drained */
} CcInstance;

/* STATUS is CC_OK, with VERSION as the table's version of the transaction;
 * CC_CONFLICT: a check failed and nothing was written; CC_UNREACHABLE: not
 * sent; or CC_UNKNOWN: sent, and it may have taken effect. */
typedef void (*CcCommitDone) (CcStatus status, guint64 version, gpointer data);
/* If STATUS is CC_OK, ROWS (a(sts)) holds all rows written after SINCE up to
 * UPTO. */
typedef void (*CcChangesDone) (CcStatus status, guint64 since, guint64 upto,
                               GVariant *rows, gpointer data);
/* If STATUS is CC_OK, INSTANCES (of CcInstance) is the list; a callback that
 * keeps it takes a reference. */
typedef void (*CcInstancesDone) (CcStatus status, GPtrArray *instances,
                                 gpointer data);

CcPlatform *cc_platform_new (const char *address, const char *source,
                             gint64 timeout);
gint64 cc_platform_answer_time (const CcPlatform *p);
CcTransaction *cc_transaction_new (void);
void cc_transaction_check (CcTransaction *t, const char *key, guint64 version);
void cc_transaction_put (CcTransaction *t, const char *key, const char *value);
void cc_platform_commit (CcPlatform *p, CcTransaction *t, CcCommitDone done,
                         gpointer data);
void cc_platform_changes (CcPlatform *p, guint64 since, const char *skip,
                          CcChangesDone done, gpointer data);
void cc_platform_rows (CcPlatform *p, const char *prefix, CcChangesDone done,
                       gpointer data);
void cc_platform_instances (CcPlatform *p, CcInstancesDone done, gpointer data);

#endif
