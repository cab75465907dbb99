/* One way by which requests reach a server, and what it carries. */
#ifndef TEST_BENCH_SIDE_H
#define TEST_BENCH_SIDE_H

#include "metrics.h"

typedef struct
{
  const char *name;
  char *address;
  const char *request; /* what is asked for */
  int pids[2];         /* processes that a request passes; 0: none */
  double cpu;          /* seconds used in the last run */
  CcHistogram latency;
  guint64 done, failed;
  double seconds;
  double on_one_core; /* requests a second */
} Side;

void side_compare (Side *sides, guint n, double seconds);

#endif
