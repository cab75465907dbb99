/* Stand-ins for the cases of the second review: the platform's store, servers
 * and processes of the deploy file, on loopback addresses, by the users' pages.
 * One process, a thread for each connection. */
#ifndef STAND_H
#define STAND_H

#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define GATEWAYS_MAX 8
#define SERVERS_MAX 16
#define TEXT_MAX 65536

/* One HTTP request as a server has read it. */
typedef struct
{
  char method[64];
  char path[1024];
  char id[256];     /* X-Request-Id; "": none */
  char target[128]; /* X-Target-Instance; "": none */
  char head[TEXT_MAX];
  size_t length; /* of the body, bytes */
  char body[TEXT_MAX];
} Request;

typedef struct
{
  char id[32];
  char service[32];
  char zone[16];
  char ip[32];
  int port;
  int work_ms;
  size_t answer_size; /* bytes of its answers; 0: as short as possible */
} Server;

/* One answer as a client has read it. */
typedef struct
{
  int status;
  char id[256];        /* X-Request-Id; "": none */
  char signature[128]; /* X-Response-Signature; "": none */
  size_t length;       /* of the body, bytes */
  char body[TEXT_MAX];
} Answer;

/* ---- record and time ---- */

void record_open (const char *path);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
int64_t now_ms (void);
void sleep_ms (int ms);

/* ---- addresses ---- */

/* Chooses a free net, 127.N.0.0/16, and returns N. */
int net_choose (void);
void net_address (char *text, size_t size, int group, int index);

/* ---- the platform's store ---- */

void store_start (void);
void store_put (const char *table, const char *key, const char *value);

/* ---- servers ---- */

void server_start (Server *s);
/* Writes the body of the answer to the request ID, SIZE bytes or as short as
 * possible, to BODY.  Returns its length. */
size_t answer_body (const char *id, size_t size, char *body);
/* The number of times that a request with ID has run. */
int runs_of (const char *id);
/* The body with which the request ID ran last, or NULL. */
const char *body_of (const char *id);
/* The same for its path. */
const char *path_of (const char *id);
/* The service of the server at which it ran last, or NULL. */
const char *service_of (const char *id);

/* ---- gateways ---- */

void gateway_start (int index, const char *zone, bool first);
void gateway_signal (int index, int signal);
bool gateway_alive (int index);
/* Waits until the gateway is ready, for at most MS. */
bool gateway_ready (int index, int ms);
void gateways_end (void);

/* ---- clients ---- */

int client_connect (int gateway);
bool client_send (int fd, const char *bytes, size_t size);
/* Reads one answer within MS.  Returns its status, 0 if the connection ended,
 * -1 if no complete answer came in time.  ID gets its X-Request-Id. */
int client_read (int fd, int ms, char *id, size_t id_size);
/* The same, with the whole answer. */
int client_answer (int fd, int ms, Answer *a);

#endif
