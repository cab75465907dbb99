/* The inside of the small world, shared by the files that make it up. */
#ifndef TEST_OWNERSHIP_WORLD_H
#define TEST_OWNERSHIP_WORLD_H

#include "assignment.h"
#include "holding.h"
#include "lease.h"
#include "ownership.h"
#include "view.h"

#define POOL "p"
#define DISPATCHERS 3
#define ASSIGNERS 2
#define SERVERS 4
#define SLICES 8
#define PEERS (DISPATCHERS + ASSIGNERS)
#define TICK (10 * CC_MS)
#define CHAOS (12 * CC_SECOND) /* faults begin within this time */
#define QUIET (12 * CC_SECOND) /* none after it; all is served at its end */
#define WALL (1700000000 * CC_SECOND)
#define CALL_TIMEOUT (700 * CC_MS)
#define LONGEST (3 * CC_SECOND) /* deadline of a request */

typedef enum
{
  EV_COMMIT, /* to the table: a transaction */
  EV_READ,   /* to the table: one lease row */
  EV_POLL,   /* to the table: changes */
  EV_DONE,   /* to a process: how its call ended */
  EV_ROWS,   /* to a process: changes, from the table or a peer */
  EV_SYNC,   /* to a peer: send rows */
  EV_GRANT,  /* to a server */
  EV_ACK,    /* to a dispatcher: a grant arrived */
  EV_WORK,   /* to a server */
  EV_ANSWER, /* to a dispatcher: work ended */
  EV_REPORT  /* to an assigner */
} EventKind;

typedef struct
{
  EventKind kind;
  gint64 due;
  guint from, to; /* peer, or server */
  guint64 life;   /* of the receiver it is meant for; 0: any */
  guint64 call;   /* matches an answer to its question */
  char *keys[2];  /* of a transaction's rows; of a READ */
  char *values[2];
  guint64 version; /* checked; written; or of the row read */
  gboolean checked;
  CcStatus status;
  guint64 since, upto;
  GVariant *rows;
  guint server, slice;
  guint64 epochs[SLICES]; /* of a grant; 0: not granted */
  guint64 term, serial, applied;
  gint64 sent, deadline;
  gboolean lost, refused;
  gboolean waited; /* inside a paused process */
} Event;

typedef struct
{
  guint64 id; /* of the attempt */
  guint slice;
  gint64 deadline;
} Attempt;

typedef struct
{
  CcHolding *holding;
  gboolean granting;
  gint64 grant_due, report_due;
  guint64 reported;
  GArray *attempts;
} Held;

/* A dispatcher or an assigner. */
typedef struct
{
  guint index;
  gboolean alive;
  guint64 life;
  gint64 paused_until, restart_at, skew;
  gint64 deaf_until; /* polls fail, peers are heard in part */
  CcView view;
  gint64 poll_due, sync_due, step_due;
  guint64 told[PEERS]; /* rows sent to each peer, up to here */
  guint64 call;        /* in progress, 0: none */
  gint64 call_until;
  gboolean doubtful;
  /* dispatcher */
  char *id;
  guint count;
  CcLease lease;
  gboolean draining, drain_written;
  Held *held[SERVERS];
  CcSliceMap *map;
  /* assigner */
  GHashTable *watches, *reports;
  CcPlanner *planner;
  gboolean leaving[SERVERS], listed[SERVERS];
  gint64 list_due;
  char *writing; /* map in the call in progress, or NULL */
} Peer;

typedef struct
{
  guint slice;
  guint64 epoch, term, id;
  gint64 begun, ends, deadline;
  guint from;
  guint64 life;
} Work;

typedef struct
{
  guint index;
  gboolean alive, checks, leaving;
  gint64 paused_until, restart_at, skew;
  guint64 term;
  gint64 lapses;
  guint64 epochs[SLICES];
  GArray *works;
} Server;

/* What the model knows of a slice. */
typedef struct
{
  gint64 ended[SERVERS]; /* last effect at each */
  guint64 epoch;         /* highest of an effect */
  gint64 last;           /* any effect */
} Truth;

typedef struct
{
  GRand *rand;
  Omission omit;
  gint64 now;
  GPtrArray *events;
  CcView table;
  guint64 last;
  gint64 down_until, slow_until;
  Peer peers[PEERS];
  Server servers[SERVERS];
  Truth truth[SLICES];
  guint64 ids;
  Verdict verdict;
} World;

gboolean world_chance (World *w, double p);
gint64 world_span (World *w, gint64 low, gint64 high);
gint64 world_wall (const World *w, gint64 skew);
void world_fault (World *w, const char *format, ...) G_GNUC_PRINTF (2, 3);
void world_post (World *w, Event *e);
Event *world_event (EventKind kind, guint from, guint to);
Event *world_begin_call (World *w, Peer *p, EventKind kind);
guint64 world_version_of (const World *w, const char *key);
GVariant *world_rows_since (const CcView *v, guint64 since, gboolean leases);
void world_table_serves (World *w, const Event *e);
void world_event_free (gpointer data);
void world_choose_id (Peer *p);
void world_held_free (Held *h);
void world_read_map (World *w, Peer *p);
void world_dispatcher_done (World *w, Peer *p, const Event *e);
void world_on_ack (World *w, Peer *p, const Event *e);
void world_on_answer (World *w, Peer *p, const Event *e);
void world_tick_dispatcher (World *w, Peer *p);
void world_on_grant (World *w, Server *s, const Event *e);
void world_on_work (World *w, Server *s, const Event *e);
void world_tick_server (World *w, Server *s);
void world_on_report (Peer *p, const Event *e);
void world_report_free (gpointer data);
void world_tick_assigner (World *w, Peer *p);
void world_on_rows (World *w, Peer *p, const Event *e);
void world_send_rows (World *w, Peer *p, guint to);
void world_tick_view (World *w, Peer *p);
void world_peer_takes (World *w, Peer *p, const Event *e);

#endif
