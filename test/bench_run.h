/* Discrete-event model of callers, one router and the servers of a class. */
#ifndef TEST_BENCH_RUN_H
#define TEST_BENCH_RUN_H

#include "load.h"
#include "metrics.h"

#define SECONDS 6
/* Limits and estimates have converged by then; earlier arrivals are ignored. */
#define WARM_UP (1 * CC_SECOND)
#define SLOTS 4
#define TENANTS 40
#define KEYS 2000

typedef struct
{
  const char *name;
  guint servers;
  gint64 work;    /* mean work time, us */
  gint64 within;  /* latency target, us */
  gint64 timeout; /* us */
  gboolean once_only;
} Class;

/* Loads are multiples of the capacity, the others shares of all requests. */
typedef struct
{
  const char *name;
  double load;       /* except during the burst */
  double burst;      /* load from second 2 to 3; 0: none */
  double hot_tenant; /* of one tenant */
  double hot_key;    /* of one key, which changes each second */
  double long_jobs;  /* of jobs with LONG_JOB_FACTOR times the work */
  double silent;     /* of first attempts that their connection loses */
  double slow;       /* factor of server 0's work time; 0: none */
  gboolean frozen;   /* server 0 stalls from second 2 on */
} Scenario;

typedef enum
{
  STATE_QUEUED,
  STATE_SENT,
  STATE_ENDED
} State;

typedef struct Attempt Attempt;

typedef struct
{
  gint64 at;
  gint64 work;
  guint tenant;
  guint key;
  gboolean is_long;
  gboolean is_silent;
  CcQueueEntry waiting;
  State state;
  gint64 expires;
  guint tries;
  Attempt *attempt;
} Request;

struct Attempt
{
  Request *request; /* NULL: its caller has timed out */
  guint server;
  gint64 work;
};

typedef struct
{
  CcLoad load;
  GQueue naive;          /* of Request */
  guint sent;            /* naive: attempts in flight */
  GQueue waiting;        /* of Attempt, in the server's queue */
  guint working;         /* busy slots */
  GHashTable *in_flight; /* of Request, sent without an answer */
} Server;

typedef enum
{
  EVENT_DONE,
  EVENT_EXPIRED,
  EVENT_TICK
} EventKind;

typedef struct
{
  gint64 at;
  EventKind kind;
  gpointer item;
} Event;

typedef struct
{
  CcHistogram answered;
  CcHistogram refusal; /* time from arrival to refusal */
  guint64 counted, in_target, refused, unknown;
  /* Without hot tenant, hot key and long jobs. */
  guint64 regular, regular_in_target;
  double tenant[TENANTS]; /* answered within the latency target */
} Result;

typedef struct
{
  const Class *class;
  const Scenario *scenario;
  gboolean controlled; /* by the load control; FALSE: naive */
  Server *servers;
  GSequence *events;
  gint64 now;
  Result r;
} Run;

guint hot_key_at (gint64 at);
void run_model (Run *run, const GArray *arrivals);

#endif
