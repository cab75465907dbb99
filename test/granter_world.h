/* Granters, the servers that they grant keys to and the table service, in one
 * process, with the faults of all.  Stands in for table.h and http_link.h. */
#ifndef CC_TEST_GRANTER_WORLD_H
#define CC_TEST_GRANTER_WORLD_H

#include "granter.h"
#include "targets.h"
#include "view.h"

#define STEP (10 * CC_MS)
#define STEPS 2500      /* 25 s */
#define STEPS_MANY 4000 /* 40 s, in worlds of many kinds of faults */
#define SERVERS 5
#define SERVERS_MOST 220
#define GRANTERS 3
#define POOL "slots"
#define LATER_POOL "rooms"
/* A call of the table service is given up after this. */
#define TABLE_WITHIN (700 * CC_MS)

typedef struct
{
  guint from, to;
  guint64 fence;
  gint64 until; /* 0: only remembered as seen */
} Held;

typedef struct
{
  char id[8];
  char address[24];
  guint64 born;
  gboolean up;
  gboolean leaving;
  gint64 back_at;       /* it starts again, us; 0: it is not to */
  gboolean replaced;    /* another is at its address */
  gint64 carries_after; /* grants are not answered, and carried out so much
                           later, us; 0: at once */
  GArray *held;         /* of Held: of this life, all that was ever granted */
} Server;

typedef struct
{
  CcGranter *granter;
  CcTargets targets;
  CcView view;
  gboolean alive;
  gint64 frozen_until;
  gboolean cut_from_table;
  gint64 write_takes; /* until a write is carried out, us; 0: as the world is */
  gboolean resigning;
  gboolean has_later; /* its configuration has LATER_POOL */
  gint64 healed_at;   /* all that it is cut off from is back, us; 0: never */
  gboolean cut_from[SERVERS_MOST];
  gboolean unlisted[SERVERS_MOST]; /* in its copy of the list */
  GArray *connections;             /* of Connection */
} Process;

/* A connection of a process to one life of a server. */
typedef struct
{
  guint serial;
  guint server;
  guint64 born;
  gint64 connected_at;
  gint64 idle_since;
  gboolean busy;
} Connection;

typedef enum
{
  EVENT_ARRIVES, /* at the server */
  EVENT_CARRIED, /* a grant is carried out late */
  EVENT_ANSWERED,
  EVENT_UNSENT, /* no connection could be opened */
  EVENT_LATE    /* the caller's own time-out */
} EventKind;

typedef struct
{
  gint64 at;
  EventKind kind;
  guint process;
  CcGranter *by; /* the granter that sent it; another may run there now */
  guint server;
  guint64 born;
  guint connection;    /* its serial */
  gint64 connected_at; /* us */
  gboolean same_life;  /* it reaches the life BORN only */
  gboolean is_release;
  Held what;
  gint64 arrived;
  guint status;
  CcHttpDone done;
  gpointer data;
  gboolean *settled; /* the call was answered or timed out */
} Event;

typedef struct
{
  guint64 version;
  char *value;
} StoreRow;

/* The process is told VERSION of the lease's row. */
typedef struct
{
  gint64 at;
  guint process;
  guint64 version;
  gint64 seen_at;
} Renewal;

typedef struct
{
  gint64 at;
  gboolean is_write;
  guint process;
  CcGranter *by;
  CcTableRows rows_done;
  CcTableChanged changed_done;
  gpointer data;
  CcStatus status;
  guint64 version;
  GVariant *rows;
  CcTableChange *change; /* not carried out yet */
  gint64 carried_at;     /* ... when it is */
  gboolean told;
} StoreAnswer;

typedef struct
{
  guint seed;
  double faults;      /* how likely a call goes wrong */
  guint servers;      /* 0: SERVERS */
  guint later;        /* ... those at the end are of LATER_POOL */
  gboolean many;      /* kinds of faults, and strict checks of the fence */
  double often;       /* ... that begin in a second */
  gboolean notifies;  /* processes are told of renewals */
  gboolean replaces;  /* others are at the addresses of servers that ended */
  gint64 table_takes; /* a write at most, us; 0: none is on its way */
} WorldKind;

typedef struct
{
  WorldKind kind;
  GRand *rand;
  Server servers[SERVERS_MOST];
  guint count; /* of SERVERS */
  Process processes[GRANTERS];
  GPtrArray *events;
  GPtrArray *answers;
  GHashTable *store; /* "table/key" to StoreRow */
  guint64 version;
  guint running;       /* index of the process that is running */
  gboolean weak;       /* processes that start seldom poll the lease */
  GHashTable *fences;  /* bucket of keys to highest fence and its server */
  GArray *parts[2];    /* of FencePart, of each pool, without gaps */
  guint same_fences;   /* taken by another life of the same server */
  GPtrArray *renewals; /* of Renewal */
  guint serial;        /* of the last connection */
  gint64 added_at;     /* LATER_POOL was configured, us */
  char failure[200];
  double faults; /* how likely a call goes wrong */
} World;

extern World world;

void world_begin (guint seed, double faults);
void world_begin_kind (const WorldKind *kind);
void world_clear (void);
void world_start_process (guint index, gint64 now);
void world_start_again (guint index);
void world_add_pool (guint index);
void world_list_servers (Process *p, gint64 now);
void world_step (guint number);
double world_share_held (void);
void world_run (double faults, guint first, guint count);
void world_play (const WorldKind *kind);
void world_fail (const char *format, ...) G_GNUC_PRINTF (1, 2);

#endif
