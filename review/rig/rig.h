/* Stand-ins for the platform's store, servers and clients, and a launcher for
 * gateways, for the cases of this review.  Each part is written from the users'
 * pages: PROTOCOL.md and DEPLOY.md.  Every connection has a thread. */
#ifndef RIG_H
#define RIG_H

#include <glib.h>

#define RIG_KEYS 65536
#define RIG_JOBS 64

/* ---- time and the record ---- */

gint64 rig_now_ms (void); /* since rig_init */
void rig_sleep_ms (gint64 ms);
void rig_record (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Starts the record FILE, chooses a loopback network 127.NET.x.x that is not in
 * use and a temporary folder, and returns TRUE.  FALSE: the case can't run. */
gboolean rig_init (const char *file);
char *rig_address (guint group, guint index, guint port);
gboolean rig_trouble (void); /* TROUBLE is not 0 */
/* Ends all processes that were started and exits with STATUS. */
void rig_exit (int status) G_GNUC_NORETURN;

/* ---- HTTP ---- */

typedef struct
{
  char *method, *target;
  char **headers; /* lines without CRLF */
  GByteArray *body;
} RigMessage;

/* A connection with bytes that were read and not yet used. */
typedef struct
{
  int fd;
  GByteArray *in;
} RigConn;

RigConn *rig_conn_new (int fd);
void rig_conn_free (RigConn *c); /* closes it */
int rig_connect (const char *address, int timeout_ms);
int rig_listen (const char *address);
gboolean rig_send (RigConn *c, const char *data, gsize size);
/* Reads a request or response; NULL: closed, reset or timed out. */
RigMessage *rig_read (RigConn *c, gboolean head_only, int timeout_ms);
void rig_message_free (RigMessage *m);
const char *rig_header (const RigMessage *m, const char *name);
int rig_status (const RigMessage *m);
/* Sends TEXT on C, which is not at its end, and returns the answer or NULL. */
RigMessage *rig_call (RigConn *c, const char *text, int timeout_ms);

/* ---- the store ---- */

void rig_store_start (const char *address);
void rig_store_put (const char *table, const char *key, const char *value);
void rig_store_delete (const char *table, const char *key);
/* A drill: the store is away, and comes back from a copy.  The copy is made by
 * the first transaction that writes a row whose value contains TEXT. */
void rig_store_copy_at (const char *text);
/* When the copy was made, ms; 0: not yet. */
gint64 rig_store_copied_at (void);
/* Calls EACH for the rows of TABLE in the copy. */
void rig_store_each_copied (const char *table,
                            void (*each) (const char *key, const char *value));
void rig_store_leave (void);  /* all calls get 503 from now on */
void rig_store_return (void); /* from the copy, in a new era */

/* ---- servers ---- */

typedef struct RigServer RigServer;

typedef struct
{
  gboolean active;
  char id[64];
  gint32 key;
  gint64 hold_until; /* of its key, when it began, extended by renewals; ms */
  gint64 began;
} RigJob;

struct RigServer
{
  char *service, *zone, *id, *address;
  gboolean keyed;
  guint slots, queue;
  gboolean up, draining;
  guint sequence;
  int fd;
  GMutex lock;
  GCond changed;
  gint64 until[RIG_KEYS];  /* end of the hold; 0: none; ms */
  guint64 fence[RIG_KEYS]; /* highest seen */
  RigJob jobs[RIG_JOBS];   /* at work */
  guint running, waiting;
  guint work_min, work_max; /* ms */
  gboolean faulty;
};

/* Hooks of a case; each may be NULL. */
typedef struct
{
  /* Called for each answer of S to M before it is sent, with the text of the
   * answer.  Returns bytes to be sent late, when the next request arrives on
   * the connection, or NULL. */
  char *(*second_answer) (RigServer *s, const RigMessage *m, const char *text);
  /* Called when S has run M; returns the status of its answer, 0 for 200. */
  int (*status) (RigServer *s, const RigMessage *m);
  /* Called when a server accepts a grant for keys. */
  void (*granted) (RigServer *s, guint from, guint to, guint64 fence);
  /* Called when a request begins to run, S is locked. */
  void (*began) (RigServer *s, const char *id, gint32 key);
} RigHooks;

extern RigHooks rig_hooks;
extern gint rig_last_granter;  /* index of the gateway that granted last */
extern GPtrArray *rig_servers; /* of RigServer, ever started */
extern GMutex rig_servers_lock;

RigServer *rig_server_start (const char *service, gboolean keyed,
                             const char *zone, const char *address, guint slots,
                             guint queue, guint work_min, guint work_max);
/* Reports "draining", serves DRAIN_MS and a little longer, and ends. */
void rig_server_drain (RigServer *s, guint drain_ms);

/* ---- gateways ---- */

typedef struct
{
  GPid pid;
  char *name, *front, *ready;
  int out;
} RigGateway;

/* The descriptors that a gateway may have: maxFds of its settings; 0: as many
 * as this process. */
extern guint rig_max_fds;

/* Sets the value of a placeholder of the deploy file; without it, that of the
 * site hradvstup-gw is used. */
void rig_set (const char *name, const char *value);

/* Starts the gateway INDEX with the command and the environment that
 * deploy/system.toml names; FIRST: the whole fleet starts for the first time.
 */
RigGateway *rig_gateway_start (guint index, const char *zone, const char *table,
                               gboolean first);
/* Waits until G, which was sent a signal, has ended. */
void rig_gateway_wait (RigGateway *g);
gboolean rig_gateway_is_ready (RigGateway *g);
/* Waits for up to 15 s until COUNT gateways are ready. */
gboolean rig_gateways_are_ready (RigGateway **all, guint count);

/* ---- clients ---- */

/* Sends one request on a new connection, as a client does, and returns the
 * status, or 0 without an answer.  The answer's signature and body are checked
 * by the caller in *ANSWER, to be freed; it may be NULL. */
int rig_request (const char *front, const char *method, const char *host,
                 const char *path, const char *id, gint32 key, guint left_ms,
                 const char *body, RigMessage **answer);

#endif
