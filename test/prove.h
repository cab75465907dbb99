/* Fault scenarios, run against the real processes while the load generator
 * sends requests. */
#ifndef TEST_PROVE_H
#define TEST_PROVE_H

#include "harness.h"

/* Injects the faults of a scenario, from two seconds after the start of the
 * load.  Returns how often the fault took effect as intended, usually by the
 * metrics of the processes; 0 fails the scenario. */
typedef guint (*ScenarioRun) (Cluster *c, GRand *rand);

typedef struct
{
  const char *name;
  const char *description; /* what happens and what callers get */
  guint seconds;           /* duration of the load */
  guint repeats;           /* attempts at each request until it ran */
  ScenarioRun run;
  gboolean in_check; /* part of make check */
} Scenario;

extern const Scenario config_scenarios[];  /* configuration */
extern const Scenario lease_scenarios[];   /* leases, partitions */
extern const Scenario outcome_scenarios[]; /* repeats, silent links, drains */
extern const Scenario assignment_scenarios[]; /* load, hot keys, joins */
extern const Scenario operator_scenarios[];   /* capercrankctl */

/* Names of the scenarios in which the balancer polls /readyz and no answer may
 * have the outcome unknown; ends with NULL. */
extern const char *const no_unknown_scenarios[];

void pause_ms (guint ms);
guint read_metric (Cluster *c, const char *program, guint instance,
                   const char *name);
guint sum_metric (Cluster *c, const char *program, const char *name);

#endif
