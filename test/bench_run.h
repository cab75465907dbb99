/* The bench's model: callers, servers and what they see, as discrete events. */
#ifndef TEST_BENCH_RUN_H
#define TEST_BENCH_RUN_H

#include "load.h"
#include "metrics.h"

#define SECONDS 6
#define COUNTED_FROM                                                           \
  (1 * CC_SECOND) /* limits and estimates are warm by then                     \
                   */
#define SLOTS 4
#define TENANTS 40
#define KEYS 2000

typedef struct
{
  const char *name;
  guint servers;
  gint64 work;    /* mean, us */
  gint64 within;  /* us */
  gint64 timeout; /* us */
  gboolean once_only;
} Class;

/* Loads as multiples of capacity; shares of all requests. */
typedef struct
{
  const char *name;
  double load;       /* all the time */
  double burst;      /* from second 2 to 3 in place of it; 0: none */
  double hot_tenant; /* of one caller */
  double hot_key;    /* of one key, another each second */
  double long_jobs;  /* of jobs LONG_TIMES as long */
  double silent;     /* of first attempts, swallowed by their connection */
  double slow;       /* factor of server 0's work; 0: none */
  gboolean frozen;   /* server 0, from second 2 on */
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
  Request *request; /* NULL: nobody waits any more */
  guint server;
  gint64 work;
};

typedef struct
{
  CcLoad load;
  GQueue naive;         /* of Request */
  guint sent;           /* naive: attempts out */
  GQueue waiting;       /* of Attempt, in the server */
  guint working;        /* of its slots */
  GHashTable *sent_set; /* of Request, without an answer */
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
  CcHistogram told; /* from arrival to refusal */
  guint64 counted, in_target, refused, unknown;
  guint64 other,
      other_in_target;    /* all but the hot caller, hot key and long jobs */
  double tenant[TENANTS]; /* in target */
} Result;

typedef struct
{
  const Class *class;
  const Scenario *scenario;
  gboolean ours;
  Server *servers;
  GSequence *events;
  gint64 now;
  Result r;
} Run;

guint hot_key_at (gint64 at);
void run_side (Run *run, const GArray *arrivals);

#endif
