/* Chooses moves of units between servers that even out their load. */
#ifndef CC_BALANCE_H
#define CC_BALANCE_H

#include <glib.h>

typedef struct
{
  gboolean eligible;    /* may own units */
  gboolean unconfirmed; /* its dispatcher can't confirm that units taken from it
                           have stopped */
  double share;         /* of a warm server's load, 0 to 1 */
  double held;          /* weight of its units; computed by this module */
} CcBalanceServer;

typedef struct
{
  double load;          /* measured load, slots kept busy; 0: none */
  double weight;        /* load plus a minimum; computed by this module */
  gint32 server;        /* index of its owner or coming owner; -1: none */
  gboolean fixed;       /* may not move in this step */
  gboolean on_cooldown; /* moved recently: not to be moved by rebalancing */
  gboolean urgent;      /* its server does not serve it: move it at once */
} CcBalanceUnit;

typedef struct
{
  guint unit;
  gint32 to;
} CcBalanceMove;

/* Snapshot of a pool.  Chosen moves are applied to it at once. */
typedef struct
{
  GArray *servers; /* of CcBalanceServer */
  GArray *units;   /* of CcBalanceUnit */
  GArray *moves;   /* of CcBalanceMove, in the order chosen */
  double total;    /* of all units */
  double shares;   /* sum over all servers */
} CcBalance;

CcBalance *cc_balance_new (void);
void cc_balance_free (CcBalance *b);
gboolean cc_balance_is_unconfirmed (const CcBalance *b, gint32 server);
void cc_balance_add_server (CcBalance *b, gboolean eligible, double share);
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
