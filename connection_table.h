/* The connections of a server: which are idle, and which are to be closed. */
#ifndef CC_CONNECTION_TABLE_H
#define CC_CONNECTION_TABLE_H

#include <glib.h>

typedef enum
{
  CC_CONNECTION_IDLE,    /* no byte of a request was read */
  CC_CONNECTION_READING, /* the headers of a request are being read */
  CC_CONNECTION_BUSY,    /* from then on until its answer was written */
  CC_CONNECTION_STATES
} CcConnectionState;

typedef enum
{
  CC_CLOSE_NONE, /* not by this process */
  CC_CLOSE_IDLE,
  CC_CLOSE_HEADERS,
  CC_CLOSE_EVICTED, /* to make room for a new connection */
  CC_CLOSE_REFUSED, /* the new connection itself */
  CC_CLOSE_CAUSES
} CcCloseCause;

/* One connection, embedded in the struct that owns it. */
typedef struct
{
  CcConnectionState state;
  gint64 since;        /* when STATE began, us of cc_clock_steady */
  GList link;          /* in the queue of STATE */
  CcCloseCause cause;  /* it is to be closed, unless it has data to read */
  gboolean is_surplus; /* it was opened beyond the bound */
  void (*close) (gpointer data);
  gpointer data;
} CcConnection;

typedef struct CcConnectionTable CcConnectionTable;

CcConnectionTable *cc_connection_table_new (const char *counter);
void cc_connection_table_free (CcConnectionTable *t);
void cc_connection_table_set_timeouts (CcConnectionTable *t, gint64 idle,
                                       gint64 headers);
void cc_connection_table_set_bound (CcConnectionTable *t, guint descriptors);
void cc_connection_opened (CcConnectionTable *t, CcConnection *c,
                           void (*close) (gpointer data), gpointer data);
void cc_connection_set_state (CcConnectionTable *t, CcConnection *c,
                              CcConnectionState state);
void cc_connection_closed (CcConnectionTable *t, CcConnection *c);
gboolean cc_connection_is_surplus (CcConnectionTable *t, CcConnection *c);
guint cc_connection_table_count (const CcConnectionTable *t);
gboolean cc_connection_table_is_full (const CcConnectionTable *t);
void cc_connection_table_write_gauges (const CcConnectionTable *t);

#endif
