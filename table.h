/* The table service, which stores all durable state.
 *
 * Rows have a key within a table, and a version that increases with each
 * transaction, also after the service has lost writes (row_version.h).  The
 * service may be slow, down, or unreachable for
 * this process only; every call ends with a status. */
#ifndef CC_TABLE_H
#define CC_TABLE_H

#include "http_link.h"

/* The tables.  The first two are written by other programs. */
typedef enum
{
  CC_TABLE_CONFIG,    /* the operators' configuration */
  CC_TABLE_UPSTREAMS, /* upstreams, registered by themselves */
  CC_TABLE_STATE,     /* the router's: members, owners of key ranges */
  CC_TABLE_FOLLOWED,  /* number of followed tables */
  CC_TABLE_LEASE = CC_TABLE_FOLLOWED /* the router's: the granter's lease */
} CcTableName;

/* Longest key of a row, bytes.  A transaction with a longer one fails whole. */
#define CC_TABLE_KEY_MAX 200

typedef struct CcTable CcTable;

/* Result of a read or a watch: ROWS, a(sts) of key, version and value ("":
 * deleted), and UPTO, the service's newest version.  STATUS is CC_OK; CC_GONE:
 * the service has discarded the history or lost writes, or there are more
 * changes than one answer may hold, so the table must be read whole; or
 * CC_UNREACHABLE, with the reason in WHY. */
typedef void (*CcTableRows) (CcStatus status, GVariant *rows, guint64 upto,
                             const char *why, gpointer data);

/* Result of a change.  STATUS is CC_OK, with the VERSION of the transaction;
 * CC_CONFLICT: a condition failed and nothing was written; CC_FULL or
 * CC_UNREACHABLE: nothing was written; or CC_UNKNOWN: the answer was lost, and
 * the change may take effect even later. */
typedef void (*CcTableChanged) (CcStatus status, guint64 version,
                                gpointer data);

/* A transaction that is being prepared. */
typedef struct CcTableChange CcTableChange;

CcTable *cc_table_new (CcHttp *http, const char *address);
void cc_table_read (CcTable *t, CcTableName name, const char *key,
                    CcTableRows done, gpointer data);
void cc_table_read_span (CcTable *t, CcTableName name, const char *from,
                         const char *to, CcTableRows done, gpointer data);
void cc_table_watch (CcTable *t, CcTableName name, guint64 after, gint64 wait,
                     CcTableRows done, gpointer data);
CcTableChange *cc_table_change_new (void);
void cc_table_expect (CcTableChange *c, CcTableName name, const char *key,
                      guint64 version);
void cc_table_put (CcTableChange *c, CcTableName name, const char *key,
                   const char *value);
void cc_table_commit (CcTable *t, CcTableChange *c, CcTableChanged done,
                      gpointer data);

#endif
