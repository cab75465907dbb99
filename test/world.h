/* Simulation of one pool with its servers and its assigner, on a clock that
 * tests advance.  Dispatchers are modelled by their reports. */
#ifndef TEST_WORLD_H
#define TEST_WORLD_H

#include "assignment.h"

#define WORLD_TICK (200 * CC_MS) /* period of reports */

typedef struct
{
  char *name;
  gboolean listed;
  gboolean leaving;
  gboolean silent;          /* sends no responses */
  gint64 unconfirmed_until; /* until then its dispatcher can't confirm that
                               units taken from it have stopped, us */
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
  double *base;       /* load of each slice without its hot keys */
  GArray *keys;       /* of WorldKey */
  GRand *rand;
  double noise;    /* relative error of a measured load */
  gint64 lag;      /* delay until reports confirm a map, us */
  gint64 write;    /* duration of a write, during which no step is taken, us */
  gint64 writing;  /* end of the present write, us */
  GArray *written; /* gint64 by version: when it was written, us */
  gint64 now;
  guint moves;     /* units that changed servers */
  guint unsettled; /* moves of units whose previous move was not settled in any
                      map */
  gint64 unavailable;  /* unit-microseconds without an owner */
  GArray *unowned_for; /* gint64 by unit: how long it has been without an owner,
                          us */
  gint64 longest;      /* longest time that a unit was without an owner, us */
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
