/* A fleet whose members follow one another's copies of the rows, in one
 * process: a table service, questions and answers on their way, and the faults
 * of both.  Stands in for table.h and http_link.h. */
#ifndef CC_TEST_MIRROR_WORLD_H
#define CC_TEST_MIRROR_WORLD_H

#include "members.h"
#include "mirror.h"
#include "targets.h"

#define NODES 7
#define STRONG 3        /* members of each zone of a fleet */
#define RELAYS 2        /* nodes that others follow, in half of the worlds */
#define FIRST_READERS 3 /* nodes that read all tables at their start */
#define STEP (10 * CC_MS)
#define PAGE 500   /* rows of one answer of the service */
#define STEPS 3000 /* 30 s */
#define CALL_TAKES (4 * CC_MS)
#define CALL_WITHIN (1500 * CC_MS)
#define WATCH_WITHIN (700 * CC_MS)
#define PEER_TAKES (2 * CC_MS)
#define RENEWAL (650 * CC_MS)
/* The lease goes to another after its holder was cut off for so long. */
#define TERM (2250 * CC_MS)
/* The users' bounds: who was in touch for IN_TOUCH has a change APPLIED after
 * it was written. */
#define IN_TOUCH (3 * CC_SECOND)
#define APPLIED (2 * CC_SECOND)
/* An upstream that leaves serves for SERVES, in fleets that have relays for
 * SERVES_LARGE, as the users' pages say of both sizes; and is sent to for less.
 */
#define SERVES (2 * CC_SECOND)
#define SERVES_LARGE (2500 * CC_MS)
#define SENT_TO (1750 * CC_MS)
#define UPSTREAMS 12
/* Rows that lapsed in an outage of the service are back so long after it. */
#define RETURNED (2 * CC_SECOND)
/* In some worlds, how often a node's answers to peers, and the service's to it,
 * begin to be late, and by how many seconds at most: its link loses segments,
 * which are sent again, or its processor is short. */
#define LATE_A_SECOND 0.1
#define LATE_MOST 1.0
/* How often the service forgets its history, in some worlds. */
#define FORGETS_A_SECOND 0.5
/* How often a node is killed and started again, in some worlds. */
#define RESTARTS_A_SECOND 0.05
#define LARGE 50 /* processes of such a fleet */
/* One that the service turns away hears of it from its peers. */
#define APPLIED_BY_PEERS (7 * CC_SECOND)
/* Deletions are doubted for so long after an outage (targets.h). */
#define DOUBTED (1750 * CC_MS)

typedef enum
{
  WELL,
  REFUSES,
  SILENT /* questions are swallowed */
} Service;

typedef struct
{
  CcMirror *mirror;
  Service service; /* as this node meets it */
  gint64 service_until;
  gint64 frozen_until;
  gint64 well_since; /* us: neither frozen nor turned away */
  gint64 free_since; /* us: neither frozen nor cut off from peers */
  gboolean *cut;     /* from each node */
  gint64 cut_until;
  gint64 late_by; /* its answers to peers, and what the service answers it, are
                     on their way for so long, us */
  gint64 late_until;
  guint calls;        /* of the service */
  CcMembers *members; /* NULL: it follows as RELAYED says */
  guint answers;      /* to peers */
  guint64 bytes;      /* ... of rows in them */
  GHashTable *askers; /* of Node: peers that asked it */
  guint config;       /* by its copy, at the last look */
  CcTargets targets;
  gint64 targets_due; /* missing ones are looked at again, us; 0: none */
} Node;

/* Whose answers are late now and then, or what else is wrong with them. */
typedef enum
{
  IN_TIME,
  PEERS_LATE,
  ALL_LATE,
  FORGETS, /* in time; the service forgets its history now and then */
  RESTARTS /* in time; nodes are killed and started again */
} Answers;

typedef enum
{
  READ,
  WATCH,
  ASK
} Kind;

/* A question on its way. */
typedef struct
{
  Kind kind;
  Node *by;
  gint64 asked;    /* us */
  gint64 at;       /* when it is answered without news, us */
  gint64 given_up; /* when its sender gives it up, us */
  gboolean swallowed;
  CcTableName name; /* READ, WATCH */
  const char *to;   /* first key that is not read; NULL: all are */
  guint64 after;
  CcTableRows rows;
  GVariant *told; /* ... on their way; NULL: not given yet */
  CcStatus status;
  guint64 upto;
  Node *peer;     /* ASK */
  gint64 came;    /* ... to it, us; 0: not yet */
  GBytes *answer; /* ... on its way; NULL: not given yet */
  gint64 arrives; /* us */
  guint64 since[CC_MIRROR_VERSIONS];
  CcHttpDone done;
  gpointer data;
} Question;

typedef struct
{
  GRand *rand;
  Node *nodes;
  guint count;          /* of NODES */
  GPtrArray *questions; /* of Question */
  CcView tables[CC_TABLE_FOLLOWED];
  guint64 newest;
  guint64 forgotten;      /* changes up to this one aren't known any more */
  guint config;           /* counts the changes */
  gint64 changed[STEPS];  /* when each configuration was written, us */
  gint64 left[UPSTREAMS]; /* when each said that it leaves, us; 0: it has not */
  gint64 doubted[UPSTREAMS]; /* ... in an outage of the service itself, which
                                was over then, us; 0: the service was calm */
  guint granter;
  gint64 renewed;      /* us */
  gint64 service_calm; /* no outage of the service itself since, us */
  gboolean relayed;    /* the nodes but RELAYS follow those */
  gboolean by_members; /* who starts reads first who is there */
  guint zones;         /* of a fleet by its members' rows; 0: another */
  Answers answers;
  char failure[200]; /* what a check found; empty: nothing */
} World;

extern World world;

void world_begin (guint seed, Answers answers);
void world_begin_fleet (guint seed, guint count, guint zones);
void world_restart (void);
void world_write_range (const char *value);
void world_clear (void);
Node *world_node_at (const char *address);
void world_forget_counts (void);
void world_run_until (gint64 until);
guint world_calls_most (gint64 outage, guint fleet);
void world_step_questions (void);
void world_play (guint seed, Answers answers);
void world_check_node (Node *n, gint64 now);
void world_write_row (CcTableName name, const char *key, const char *value);
void world_write_config (void);
void world_write_granter (void);
void world_write_upstream (guint i, const char *value);

#endif
