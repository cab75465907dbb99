/* Which units are to move to which server, so that load is even. */
#ifndef CC_BALANCE_H
#define CC_BALANCE_H

#include <glib.h>

typedef struct
{
  gboolean fit;      /* may own units */
  gboolean in_doubt; /* what it gives up would have no owner for long */
  double share;      /* of a warm server's load that it is to have, 0 to 1 */
  double held;       /* weight of its units; kept by this module */
} CcBalanceServer;

typedef struct
{
  double load;     /* work it brings, in slots kept busy; 0: none measured */
  double weight;   /* load and a floor; kept by this module */
  gint32 server;   /* index of its server, or of the coming one; -1: none */
  gboolean fixed;  /* it moves at the moment */
  gboolean rests;  /* it moved lately: not to be moved to even out */
  gboolean urgent; /* its server does not serve it: move it now */
} CcBalanceUnit;

typedef struct
{
  guint unit;
  gint32 to;
} CcBalanceMove;

/* One pool at one moment.  Moves that are chosen count as done. */
typedef struct
{
  GArray *servers; /* of CcBalanceServer */
  GArray *units;   /* of CcBalanceUnit */
  GArray *moves;   /* of CcBalanceMove, in the order chosen */
  double total;    /* weight of all units */
  double shares;   /* sum over the servers */
} CcBalance;

CcBalance *cc_balance_new (void);
void cc_balance_free (CcBalance *b);
gboolean cc_balance_is_unconfirmed (const CcBalance *b, gint32 server);
void cc_balance_add_server (CcBalance *b, gboolean fit, double share);
void cc_balance_add_unit (CcBalance *b, const CcBalanceUnit *unit);
void cc_balance_prepare (CcBalance *b);
double cc_balance_target (const CcBalance *b, gint32 server);
double cc_balance_imbalance (const CcBalance *b);
guint cc_balance_unassigned (const CcBalance *b);
guint cc_balance_place (CcBalance *b, guint limit);
guint cc_balance_fill (CcBalance *b, gint32 server, guint limit);
guint cc_balance_rebalance (CcBalance *b, double goal, guint limit);
gint32 cc_balance_least_loaded (const CcBalance *b, double weight);

#endif
