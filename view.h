/* A process's view of a table: the newest known version of each row. */
#ifndef CC_VIEW_H
#define CC_VIEW_H

#include <glib.h>

#include "capercrank.h"

typedef struct CcRow CcRow;
struct CcRow
{
  char *key;        /* "config/head", "map/catalogue", "member/a1" */
  guint64 version;  /* number of the transaction that wrote it */
  char *value;      /* JSON; NULL: deleted */
  GBytes *deflated; /* VALUE as row_codec.c sends it; NULL: none yet */
  CcRow *older;     /* neighbours in the order of versions */
  CcRow *newer;
};

typedef struct
{
  GTree *rows;   /* key to CcRow */
  CcRow *newest; /* row with the highest version */
  guint64 upto;  /* complete up to this transaction */
} CcView;

void cc_view_init (CcView *v);
void cc_view_clear (CcView *v);
gboolean cc_view_put (CcView *v, const char *key, guint64 version,
                      const char *value);
gboolean cc_view_advance (CcView *v, guint64 since, guint64 upto);
const CcRow *cc_view_find (const CcView *v, const char *key);
const CcRow *cc_view_get (const CcView *v, const char *key);
GPtrArray *cc_view_list (const CcView *v, const char *prefix);
GPtrArray *cc_view_rows (const CcView *v);
CcRow *cc_view_first_since (const CcView *v, guint64 since);
GVariant *cc_view_since (const CcView *v, guint64 since);
guint cc_view_apply (CcView *v, guint64 since, guint64 upto, GVariant *rows);

#endif
