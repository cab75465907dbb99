/* Compares paths ("sides") by which requests reach a server. */
#ifndef TEST_BENCH_SIDE_H
#define TEST_BENCH_SIDE_H

#include "metrics.h"

typedef struct
{
  const char *name;
  char *address;
  const char *request; /* request line and headers, sent as is */
  int pids[2];         /* processes that a request passes; 0: none */
  double cpu;          /* seconds used, since the last reset */
  CcHistogram latency; /* us */
  guint64 done, failed;
  double seconds;
  double on_one_core; /* requests per processor second */
} Side;

void side_compare (Side *sides, guint n, double seconds);

#endif
