/* Decides which server owns which unit of keys, and who dispatches to it. */
#ifndef CC_ASSIGNMENT_H
#define CC_ASSIGNMENT_H

#include "document.h"
#include "hot_units.h"
#include "unit_loads.h"
#include "ownership_moves.h"

/* What the assigner keeps of one pool beside the map.  All of it may be lost:
 * a new assigner learns it again. */
typedef struct
{
  CcUnitLoads *loads;
  CcHotUnits *hot;
  struct CcServerShares *standings;
  CcMoveVersions *stamps;
  GArray *moved_at;   /* of gint64 by unit: its last move, us; 0: never */
  GArray *began;      /* of gint64 by unit: when its move began, us; 0: none */
  gint64 move_time;   /* all that moves that have ended took, us */
  gint64 move_usual;  /* smoothed time of a move, us; 0: none has ended */
  gint64 write_usual; /* time of the table's answers, us; 0: not known */
  guint64 ended;      /* moves that have ended */
  gint64 homeless_since; /* units wait for another server since, us; 0: none */
  gint64 over_since; /* imbalance is above the trigger since, us; 0: is not */
  double budget;     /* units that evening out may still move */
  gint64 budget_at;  /* when the budget was last brought up to date, us */
  double imbalance;  /* peak over mean at the last step; 0: not known */
  guint64 moves;     /* units moved so far, for whatever reason */
  guint64 splits;    /* hot keys split out so far */
  guint64 folds;     /* and folded back */
  guint64 written;   /* newest map version written; older ones are stale */
} CcPlanner;

CcPlanner *cc_planner_new (void);
void cc_planner_free (CcPlanner *p);
void cc_planner_set_write_time (CcPlanner *p, gint64 usual);
guint cc_planner_step (CcPlanner *p, CcSliceMap *m, const CcPool *pool,
                       const CcRoster *roster, GHashTable *reports, gint64 now);
guint cc_assignment_step (CcSliceMap *m, const CcPool *pool,
                          const CcRoster *roster, GHashTable *reports);

#endif
