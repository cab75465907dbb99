/* One pool with its servers and its assigner, on a clock that tests advance.
 * Dispatchers are modelled by what they report. */
#ifndef TEST_WORLD_H
#define TEST_WORLD_H

#include "assignment.h"

#define WORLD_TICK (200 * CC_MS) /* period of reports */

typedef struct
{
  char *name;
  gboolean listed;
  gboolean leaving;
  gboolean silent;    /* answers nothing */
  gint64 doubt_until; /* its holder can't tell before whether what it gave up
                         has stopped, us */
} WorldServer;

typedef struct
{
  guint64 hash;
  double load; /* slots the key keeps busy */
} WorldKey;

typedef struct
{
  CcSliceMap *map;
  CcPool pool;
  CcPlanner *planner;
  GPtrArray *servers; /* of WorldServer */
  double *base;       /* load of each slice without the hot keys */
  GArray *keys;       /* of WorldKey */
  GRand *rand;
  double noise;    /* relative, of a measured load */
  gint64 lag;      /* until reports tell of a map, us */
  gint64 write;    /* that a write takes, in which no step is taken, us */
  gint64 writing;  /* a write lasts until then, us */
  GArray *written; /* of gint64 by version: when, us */
  gint64 now;
  guint moves;        /* units that changed servers */
  guint unsettled;    /* moves begun of units whose last move no map settled */
  gint64 unavailable; /* unit-microseconds without an owner */
  GArray *out;        /* of gint64: for how long each unit has had none, us */
  gint64 longest;     /* that any was, us */
} World;

World *world_new (guint slices, guint servers, CcPreference prefer,
                  guint32 seed);
void world_free (World *w);
WorldServer *world_join (World *w, const char *name);
WorldServer *world_find (World *w, const char *name);
void world_tick (World *w);
void world_run (World *w, guint seconds);
double world_load (const World *w, guint unit);
double world_imbalance (const World *w);
guint world_owned (const World *w, const char *name);
void world_spread (World *w, double total);

#endif
