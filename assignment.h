/* Planner that assigns units of keys to servers and servers to dispatchers. */
#ifndef CC_ASSIGNMENT_H
#define CC_ASSIGNMENT_H

#include "document.h"
#include "hot_units.h"
#include "unit_loads.h"
#include "ownership_moves.h"

/* State that the assigner keeps for a pool beside its map.  None of it is
 * stored: a new assigner rebuilds it from reports. */
typedef struct
{
  CcUnitLoads *loads;
  CcHotUnits *hot;
  struct CcServerShares *shares;
  CcMoveVersions *move_versions;
  GArray *moved_at; /* gint64 by unit: time of its last move, us; 0: never */
  GArray *began;    /* gint64 by unit: start of its current move, us; 0: none */
  gint64 move_time; /* total duration of completed moves, us */
  gint64 typical_move;  /* smoothed duration of a move, us; 0: none completed */
  gint64 typical_write; /* typical time of a table write, us; 0: unknown */
  guint64 ended;        /* completed moves */
  gint64 unassigned_since; /* units have been unassigned since, us; 0: none */
  gint64 above_trigger_since; /* imbalance has exceeded the trigger since, us;
                                 0: it does not */
  double budget;              /* units that rebalancing may still move */
  gint64 budget_at;           /* last update of the budget, us */
  double imbalance;           /* peak over mean at the last step; 0: unknown */
  guint64 moves;              /* units moved so far, for any reason */
  guint64 splits;             /* hot keys split out so far */
  guint64 folds;              /* hot keys folded back so far */
  guint64 written; /* newest map version written; older ones are stale */
} CcPlanner;

CcPlanner *cc_planner_new (void);
void cc_planner_free (CcPlanner *p);
void cc_planner_set_write_time (CcPlanner *p, gint64 typical);
guint cc_planner_step (CcPlanner *p, CcSliceMap *m, const CcPool *pool,
                       const CcRoster *roster, GHashTable *reports, gint64 now);
guint cc_assignment_step (CcSliceMap *m, const CcPool *pool,
                          const CcRoster *roster, GHashTable *reports);

#endif
