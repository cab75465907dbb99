/* Scenarios of failure, run against the real processes. */
#ifndef TEST_PROVE_H
#define TEST_PROVE_H

#include "harness.h"

/* Runs while the load does, from two seconds after its start.  Returns how
 * often the fault was seen to fall inside its window; 0 fails the proof. */
typedef guint (*ScenarioRun) (Cluster *c, GRand *rand);

typedef struct
{
  const char *name;
  const char *tells; /* what callers see, what happens, why */
  guint seconds;     /* of load */
  guint repeats;     /* tries of each request until run */
  ScenarioRun run;
  gboolean in_check; /* part of make check */
} Scenario;

extern const Scenario config_scenarios[];     /* operators racing, cuts */
extern const Scenario lease_scenarios[];      /* leases, epochs, moves, cuts */
extern const Scenario outcome_scenarios[];    /* repeats, silence, drains */
extern const Scenario assignment_scenarios[]; /* load, hot keys, joins */
extern const Scenario operator_scenarios[];   /* the tool */

/* Names of scenarios in which a balancer asks for readiness and no once-only
 * answer may be unknown; NULL ends. */
extern const char *const no_unknown_scenarios[];

void pause_ms (guint ms);
guint read_metric (Cluster *c, const char *program, guint instance,
                   const char *name);
guint sum_metric (Cluster *c, const char *program, const char *name);

#endif
