/* Granters, the servers that they grant keys to and the table service, in one
 * process, with the faults of all.  Stands in for table.h and http_link.h. */
#ifndef CC_TEST_GRANTER_WORLD_H
#define CC_TEST_GRANTER_WORLD_H

#include "granter.h"
#include "targets.h"
#include "view.h"

#define STEP (10 * CC_MS)
#define STEPS 2500 /* 25 s */
#define SERVERS 5
#define GRANTERS 3
#define POOL "slots"

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
  GArray *held; /* of Held: of this life, all that was ever granted */
} Server;

typedef struct
{
  CcGranter *granter;
  CcTargets targets;
  CcView view;
  gboolean alive;
  gint64 frozen_until;
  gboolean cut_from_table;
  gboolean cut_from[SERVERS];
} Process;

typedef enum
{
  EVENT_ARRIVES, /* at the server */
  EVENT_CARRIED, /* a grant is carried out late */
  EVENT_ANSWERED,
  EVENT_LATE /* the caller's own time-out */
} EventKind;

typedef struct
{
  gint64 at;
  EventKind kind;
  guint process;
  CcGranter *by; /* the granter that sent it; another may run there now */
  guint server;
  guint64 born;
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
} StoreAnswer;

typedef struct
{
  GRand *rand;
  Server servers[SERVERS];
  Process processes[GRANTERS];
  GPtrArray *events;
  GPtrArray *answers;
  GHashTable *store; /* "table/key" to StoreRow */
  guint64 version;
  guint running;      /* index of the process that is running */
  gboolean weak;      /* processes that start seldom poll the lease */
  GHashTable *fences; /* bucket of keys to highest fence and its server */
  char failure[200];
  double faults; /* how likely a call goes wrong */
} World;

extern World world;

void world_begin (guint seed, double faults);
void world_clear (void);
void world_start_process (guint index, gint64 now);
void world_list_servers (Process *p, gint64 now);
void world_step (guint number);
double world_share_held (void);
void world_run (double faults, guint first, guint count);

#endif
