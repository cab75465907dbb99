/* Internals of the simulation, shared by its source files. */
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
#define FAULT_TIME (12 * CC_SECOND)    /* faults start only within this time */
#define RECOVERY_TIME (12 * CC_SECOND) /* follows, without faults */
#define WALL (1700000000 * CC_SECOND)
#define CALL_TIMEOUT (700 * CC_MS)
#define MAX_DEADLINE (3 * CC_SECOND) /* longest deadline of a request */

typedef enum
{
  EV_COMMIT, /* to the table: a transaction */
  EV_READ,   /* to the table: one lease row */
  EV_POLL,   /* to the table: changes */
  EV_DONE,   /* to a process: result of its call */
  EV_ROWS,   /* to a process: changes, from the table or a peer */
  EV_SYNC,   /* to a peer: send rows */
  EV_GRANT,  /* to a server */
  EV_ACK,    /* to a dispatcher: response to a grant */
  EV_WORK,   /* to a server: a request */
  EV_ANSWER, /* to a dispatcher: response to a request */
  EV_REPORT  /* to an assigner */
} EventKind;

typedef struct
{
  EventKind kind;
  gint64 due;
  guint from, to;      /* peer, or server */
  guint64 incarnation; /* incarnation of the receiver; 0: any */
  guint64 call;        /* matches a response to its request */
  char *keys[2];       /* rows of a transaction, or the row of an EV_READ */
  char *values[2];
  guint64 version; /* to check, as written, or of the row read */
  gboolean checked;
  CcStatus status;
  guint64 since, upto;
  GVariant *rows;
  guint server, slice;
  guint64 epochs[SLICES]; /* of a grant; 0: not granted */
  guint64 term, serial, applied;
  gint64 sent, deadline;
  gboolean lost, refused;
  gboolean was_delayed; /* its receiver was paused */
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
  guint64 incarnation;
  gint64 paused_until, restart_at, skew;
  gint64 unreachable_until; /* polls fail until then */
  CcView view;
  gint64 poll_due, sync_due, step_due;
  guint64 sent_upto[PEERS]; /* rows sent to each, by version */
  guint64 call;             /* call in progress; 0: none */
  gint64 call_until;
  gboolean uncertain;
  /* dispatchers only: */
  char *id;
  guint count;
  CcLease lease;
  gboolean draining, drain_written;
  Held *held[SERVERS];
  CcSliceMap *map;
  /* assigners only: */
  GHashTable *watches, *reports;
  CcPlanner *planner;
  gboolean leaving[SERVERS], listed[SERVERS];
  gint64 list_due;
  char *writing; /* map being written, or NULL */
} Peer;

typedef struct
{
  guint slice;
  guint64 epoch, term, id;
  gint64 begun, ends, deadline;
  guint from;
  guint64 incarnation;
} Work;

typedef struct
{
  guint index;
  gboolean alive, checks, leaving;
  gint64 paused_until, restart_at, skew;
  guint64 term;
  gint64 valid_until;
  guint64 epochs[SLICES];
  GArray *works;
} Server;

/* The model's state of a slice. */
typedef struct
{
  gint64 last_effect[SERVERS]; /* by server: time of its last effect */
  guint64 epoch;               /* highest epoch of an effect */
  gint64 last;                 /* time of the last effect at any server */
} SliceModel;

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
  SliceModel model[SLICES];
  guint64 ids;
  RunResult result;
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
void world_handle_table_request (World *w, const Event *e);
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
void world_handle_message (World *w, Peer *p, const Event *e);

#endif
