/* The table service in which all that must last is kept.
 *
 * Rows have a key within a table and a version, taken from one counter that
 * grows with each transaction.  The service is slow, away or deaf to this
 * process at times; every call ends with a status. */
#ifndef CC_TABLE_H
#define CC_TABLE_H

#include "http_link.h"

/* The tables that are followed.  The first two are written by others. */
typedef enum
{
  CC_TABLE_CONFIG,                   /* the operators' configuration */
  CC_TABLE_UPSTREAMS,                /* upstreams, by their own reports */
  CC_TABLE_STATE,                    /* ours: entries, owners of key ranges */
  CC_TABLE_FOLLOWED,                 /* how many are followed */
  CC_TABLE_LEASE = CC_TABLE_FOLLOWED /* ours: who grants keys */
} CcTableName;

typedef struct CcTable CcTable;

/* Answer to a read or a watch: the rows, a(sts) of key, version and value ("":
 * deleted), and the service's newest version.
 * STATUS: CC_OK; CC_GONE: the history asked for is forgotten, read anew;
 * CC_UNREACHABLE otherwise, with WHY in words. */
typedef void (*CcTableRows) (CcStatus status, GVariant *rows, guint64 upto,
                             const char *why, gpointer data);

/* Answer to a change.  CC_OK with the VERSION of the transaction; CC_CONFLICT:
 * a condition failed, nothing written; CC_FULL, CC_UNREACHABLE: nothing
 * written; CC_UNKNOWN: the answer was lost, it may be written even later. */
typedef void (*CcTableChanged) (CcStatus status, guint64 version,
                                gpointer data);

/* One transaction in the making. */
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
