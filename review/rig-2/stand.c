/* See stand.h. */
#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define STORE_PORT 8541
#define FRONT_PORT 8548
#define READY_PORT 8542
#define PEER_PORT 7540
#define ADMIN_PORT 9464
#define ROWS_MAX 4096
#define RUNS_MAX 65536
#define HEARTBEAT_MS 870

static int net;
static FILE *record_file;
static int64_t record_from;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

/* ---- record and time ---- */

int64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t) t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
sleep_ms (int ms)
{
  struct timespec t = { ms / 1000, (long) (ms % 1000) * 1000000 };

  while (nanosleep (&t, &t) < 0 && errno == EINTR)
    ;
}

void
record_open (const char *path)
{
  record_file = fopen (path, "w");
  if (record_file == NULL)
    {
      perror (path);
      exit (2);
    }
  setvbuf (record_file, NULL, _IOLBF, 0);
  record_from = now_ms ();
}

void
record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%8.3f ", (double) (now_ms () - record_from) / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  pthread_mutex_unlock (&record_lock);
}

/* ---- sockets ---- */

void
net_address (char *text, size_t size, int group, int index)
{
  snprintf (text, size, "127.%d.%d.%d", net, group, index);
}

static int
listen_at (const char *ip, int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons ((uint16_t) port) };
  int on = 1, fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, ip, &a.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &a, sizeof a) < 0 || listen (fd, 512) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

int
net_choose (void)
{
  for (int i = 0; i < 100; i++)
    {
      char ip[32];
      int fd;

      net = 100 + (getpid () + i * 7) % 140;
      net_address (ip, sizeof ip, 1, 1);
      fd = listen_at (ip, STORE_PORT);
      if (fd < 0)
        continue;
      close (fd);
      return net;
    }
  fprintf (stderr, "no free net\n");
  exit (2);
}

static int
connect_to (const char *ip, int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons ((uint16_t) port) };
  int on = 1, fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, ip, &a.sin_addr);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *) &a, sizeof a) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static bool
write_all (int fd, const char *bytes, size_t size)
{
  while (size > 0)
    {
      ssize_t n = send (fd, bytes, size, MSG_NOSIGNAL);

      if (n <= 0)
        return false;
      bytes += n;
      size -= (size_t) n;
    }
  return true;
}

/* ---- HTTP ---- */

/* Bytes that were received and not parsed. */
typedef struct
{
  int fd;
  size_t size;
  char bytes[2 * TEXT_MAX];
} Stream;

/* Reads more bytes within MS (-1: any time). */
static bool
stream_fill (Stream *s, int ms)
{
  struct pollfd p = { s->fd, POLLIN, 0 };
  ssize_t n;

  if (s->size == sizeof s->bytes || poll (&p, 1, ms) <= 0)
    return false;
  n = recv (s->fd, s->bytes + s->size, sizeof s->bytes - s->size, 0);
  if (n <= 0)
    return false;
  s->size += (size_t) n;
  return true;
}

static void
stream_drop (Stream *s, size_t count)
{
  memmove (s->bytes, s->bytes + count, s->size - count);
  s->size -= count;
}

/* Copies the value of header NAME in HEAD to VALUE; "" if there is none. */
static void
header (const char *head, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);

  value[0] = '\0';
  for (const char *l = strstr (head, "\r\n"); l != NULL; l = strstr (l, "\r\n"))
    {
      size_t n;

      l += 2;
      if (strncasecmp (l, name, length) != 0 || l[length] != ':')
        continue;
      l += length + 1;
      l += strspn (l, " \t");
      n = strcspn (l, "\r\n");
      snprintf (value, size, "%.*s", (int) n, l);
    }
}

/* Reads one request.  Returns false if the connection ended or what came is no
 * request. */
static bool
read_request (Stream *s, Request *r)
{
  char *end, length[32];
  size_t head;

  while ((end = memmem (s->bytes, s->size, "\r\n\r\n", 4)) == NULL)
    if (!stream_fill (s, -1))
      return false;
  head = (size_t) (end - s->bytes) + 4;
  memset (r, 0, offsetof (Request, body));
  snprintf (r->head, sizeof r->head, "%.*s", (int) head, s->bytes);
  if (sscanf (r->head, "%63[A-Z-] %1023s HTTP/1.1", r->method, r->path) != 2)
    return false;
  header (r->head, "X-Request-Id", r->id, sizeof r->id);
  header (r->head, "X-Target-Instance", r->target, sizeof r->target);
  header (r->head, "Content-Length", length, sizeof length);
  stream_drop (s, head);
  r->length = (size_t) atol (length);
  if (r->length >= sizeof r->body)
    return false;
  while (s->size < r->length)
    if (!stream_fill (s, -1))
      return false;
  memcpy (r->body, s->bytes, r->length);
  r->body[r->length] = '\0';
  stream_drop (s, r->length);
  return true;
}

typedef struct
{
  int fd;
  void *data;
  void (*serve) (int fd, void *data);
} Accepted;

static void *
run_accepted (void *data)
{
  Accepted a = *(Accepted *) data;

  free (data);
  a.serve (a.fd, a.data);
  close (a.fd);
  return NULL;
}

static void *
run_listener (void *data)
{
  Accepted *l = data;

  for (;;)
    {
      int on = 1, fd = accept4 (l->fd, NULL, NULL, SOCK_CLOEXEC);
      Accepted *a;
      pthread_t t;

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      a = malloc (sizeof *a);
      *a = (Accepted){ fd, l->data, l->serve };
      if (pthread_create (&t, NULL, run_accepted, a) == 0)
        pthread_detach (t);
    }
  return NULL;
}

/* Calls SERVE in a thread for each connection to IP:PORT. */
static void
serve_at (const char *ip, int port, void (*serve) (int, void *), void *data)
{
  Accepted *l = malloc (sizeof *l);
  pthread_t t;

  *l = (Accepted){ listen_at (ip, port), data, serve };
  if (l->fd < 0 || pthread_create (&t, NULL, run_listener, l) != 0)
    {
      fprintf (stderr, "can't listen on %s:%d\n", ip, port);
      gateways_end ();
      exit (2);
    }
  pthread_detach (t);
}

/* ---- the platform's store ---- */

typedef struct
{
  char table[32], key[208];
  char *value; /* base64; NULL: deleted */
  int64_t version;
} Row;

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  Row rows[ROWS_MAX];
  int count;
  int64_t version;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
            .changed = PTHREAD_COND_INITIALIZER };

static Row *
find_row (const char *table, const char *key)
{
  for (int i = 0; i < store.count; i++)
    if (strcmp (store.rows[i].table, table) == 0 &&
        strcmp (store.rows[i].key, key) == 0)
      return &store.rows[i];
  return NULL;
}

/* Writes a row in the transaction that is in progress; VALUE is base64. */
static void
set_row (const char *table, const char *key, const char *value)
{
  Row *r = find_row (table, key);

  if (r == NULL && store.count == ROWS_MAX)
    return;
  if (r == NULL)
    {
      r = &store.rows[store.count++];
      snprintf (r->table, sizeof r->table, "%s", table);
      snprintf (r->key, sizeof r->key, "%s", key);
    }
  free (r->value);
  r->value = value != NULL ? strdup (value) : NULL;
  r->version = store.version;
}

static char *
to_base64 (const char *text)
{
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t size = strlen (text);
  char *out = malloc (size * 4 / 3 + 8), *o = out;

  for (size_t i = 0; i < size; i += 3)
    {
      uint32_t v = (uint32_t) (unsigned char) text[i] << 16;

      v |= i + 1 < size ? (uint32_t) (unsigned char) text[i + 1] << 8 : 0;
      v |= i + 2 < size ? (unsigned char) text[i + 2] : 0;
      *o++ = digits[v >> 18 & 63];
      *o++ = digits[v >> 12 & 63];
      *o++ = i + 1 < size ? digits[v >> 6 & 63] : '=';
      *o++ = i + 2 < size ? digits[v & 63] : '=';
    }
  *o = '\0';
  return out;
}

void
store_put (const char *table, const char *key, const char *value)
{
  char *base64 = value != NULL ? to_base64 (value) : NULL;

  pthread_mutex_lock (&store.lock);
  store.version++;
  set_row (table, key, base64);
  pthread_cond_broadcast (&store.changed);
  pthread_mutex_unlock (&store.lock);
  free (base64);
}

/* Copies the parameter NAME of the query of PATH, decoded; "" if missing. */
static bool
parameter (const char *path, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);
  const char *q = strchr (path, '?');

  value[0] = '\0';
  while (q != NULL)
    {
      q++;
      if (strncmp (q, name, length) == 0 && q[length] == '=')
        {
          size_t n = 0;

          for (q += length + 1; *q != '\0' && *q != '&' && n + 1 < size; q++)
            {
              unsigned c = (unsigned char) *q;

              if (c == '%' && sscanf (q + 1, "%2x", &c) == 1)
                q += 2;
              value[n++] = (char) c;
            }
          value[n] = '\0';
          return true;
        }
      q = strchr (q, '&');
    }
  return false;
}

/* Copies the text member NAME of the JSON object that begins at AT. */
static void
member (const char *at, const char *end, const char *name, char **value)
{
  char quoted[64];
  const char *found;
  size_t n = 0;

  snprintf (quoted, sizeof quoted, "\"%s\":", name);
  found = memmem (at, (size_t) (end - at), quoted, strlen (quoted));
  *value = calloc (1, (size_t) (end - at) + 1);
  if (found == NULL)
    return;
  found += strlen (quoted);
  if (*found != '"')
    {
      snprintf (*value, 32, "%.*s", (int) strspn (found, "0123456789"), found);
      return;
    }
  for (found++; found < end && *found != '"'; found++)
    {
      if (*found == '\\')
        found++;
      (*value)[n++] = *found;
    }
}

/* Calls EACH for every object of the array NAME in the body of a transaction,
 * whose texts hold no brackets. */
static bool
for_each (const char *body, const char *name,
          bool (*each) (const char *at, const char *end))
{
  char quoted[64];
  const char *at, *last;

  snprintf (quoted, sizeof quoted, "\"%s\":[", name);
  at = strstr (body, quoted);
  if (at == NULL)
    return true;
  at += strlen (quoted);
  last = strchr (at, ']');
  while (last != NULL && (at = memchr (at, '{', (size_t) (last - at))) != NULL)
    {
      const char *end = strchr (at, '}');

      if (end == NULL || !each (at, end))
        return false;
      at = end;
    }
  return true;
}

static bool
check_entry (const char *at, const char *end)
{
  char *table, *key, *version;
  const Row *r;
  bool holds;

  member (at, end, "table", &table);
  member (at, end, "key", &key);
  member (at, end, "rowVersion", &version);
  r = find_row (table, key);
  holds = (r != NULL && r->value != NULL ? r->version : 0) == atoll (version);
  free (table);
  free (key);
  free (version);
  return holds;
}

static bool
put_entry (const char *at, const char *end)
{
  char *table, *key, *value;

  member (at, end, "table", &table);
  member (at, end, "key", &key);
  member (at, end, "value", &value);
  set_row (table, key, value);
  free (table);
  free (key);
  free (value);
  return true;
}

static int
compare_keys (const void *a, const void *b)
{
  return strcmp ((*(Row *const *) a)->key, (*(Row *const *) b)->key);
}

static int
compare_versions (const void *a, const void *b)
{
  int64_t x = (*(Row *const *) a)->version, y = (*(Row *const *) b)->version;

  return x < y ? -1 : x > y;
}

/* Writes rows of TABLE to OUT: all that are there with keys from FROM up to TO,
 * or those that changed after AFTER.  Returns their number. */
static int
list_rows (FILE *out, const char *table, const char *from, const char *to,
           int most, int64_t after, bool *more)
{
  Row *list[ROWS_MAX];
  int n = 0, shown;

  for (int i = 0; i < store.count; i++)
    {
      Row *r = &store.rows[i];

      if (strcmp (r->table, table) != 0)
        continue;
      if (after >= 0 ? r->version > after
                     : r->value != NULL && strcmp (r->key, from) >= 0 &&
                           (to[0] == '\0' || strcmp (r->key, to) < 0))
        list[n++] = r;
    }
  qsort (list, (size_t) n, sizeof list[0],
         after >= 0 ? compare_versions : compare_keys);
  shown = n < most ? n : most;
  *more = shown < n;
  fputs ("{\"rows\":[", out);
  for (int i = 0; i < shown; i++)
    {
      const Row *r = list[i];

      fprintf (out,
               "%s{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"rowVersion\":"
               "%lld,",
               i > 0 ? "," : "", r->table, r->key, (long long) r->version);
      if (r->value != NULL)
        fprintf (out, "\"value\":\"%s\"}", r->value);
      else
        fputs ("\"tombstone\":true}", out);
    }
  fputc (']', out);
  return shown;
}

/* Waits until a row of TABLE has changed after AFTER, or for MS. */
static void
wait_for_change (const char *table, int64_t after, int ms)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += ms / 1000;
  until.tv_nsec += (long) (ms % 1000) * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  for (;;)
    {
      for (int i = 0; i < store.count; i++)
        if (strcmp (store.rows[i].table, table) == 0 &&
            store.rows[i].version > after)
          return;
      if (pthread_cond_timedwait (&store.changed, &store.lock, &until) != 0)
        return;
    }
}

static void
serve_store (int fd, void *data)
{
  Stream *s = calloc (1, sizeof *s);
  Request *r = malloc (sizeof *r);

  (void) data;
  s->fd = fd;
  while (read_request (s, r))
    {
      char table[64], from[256], to[256], number[32], *text = NULL;
      size_t size = 0;
      FILE *out = open_memstream (&text, &size);
      int status = 200, length;
      bool more = false, sent;
      char head[256];

      sleep_ms (2);
      parameter (r->path, "table", table, sizeof table);
      pthread_mutex_lock (&store.lock);
      if (strncmp (r->path, "/v1/rows-get", 12) == 0)
        {
          parameter (r->path, "from", from, sizeof from);
          parameter (r->path, "target", to, sizeof to);
          parameter (r->path, "limit", number, sizeof number);
          list_rows (out, table, from, to,
                     number[0] != '\0' ? atoi (number) : 500, -1, &more);
          fprintf (out, ",\"hasMore\":%s", more ? "true" : "false");
        }
      else if (strncmp (r->path, "/v1/rows-feed", 13) == 0)
        {
          int64_t after;

          parameter (r->path, "after", number, sizeof number);
          after = atoll (number);
          parameter (r->path, "waitMs", number, sizeof number);
          wait_for_change (table, after, atoi (number));
          list_rows (out, table, "", "", ROWS_MAX, after, &more);
        }
      else if (strncmp (r->path, "/v1/rows-tx", 11) == 0 &&
               for_each (r->body, "precondition", check_entry))
        {
          store.version++;
          for_each (r->body, "puts", put_entry);
          pthread_cond_broadcast (&store.changed);
          fputs ("{\"rows\":[]", out);
        }
      else
        {
          status = 412;
          fputs ("{\"rows\":[]", out);
        }
      fprintf (out, ",\"rowVersion\":%lld,\"nowMs\":%lld}",
               (long long) store.version, (long long) now_ms ());
      pthread_mutex_unlock (&store.lock);
      fclose (out);
      length = snprintf (head, sizeof head,
                         "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
                         "Content-Length: %zu\r\n\r\n",
                         status, status == 200 ? "OK" : "Precondition Failed",
                         size);
      sent = write_all (fd, head, (size_t) length) && write_all (fd, text, size);
      free (text);
      if (!sent)
        break;
    }
  free (r);
  free (s);
}

void
store_start (void)
{
  char ip[32];

  net_address (ip, sizeof ip, 1, 1);
  serve_at (ip, STORE_PORT, serve_store, NULL);
}

/* ---- servers ---- */

static struct
{
  pthread_mutex_t lock;
  struct
  {
    char id[256];
    char *path, *body;
    const char *service;
  } runs[RUNS_MAX];
  int count;
} ran = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void
note_run (const Server *s, const Request *r)
{
  pthread_mutex_lock (&ran.lock);
  if (ran.count < RUNS_MAX)
    {
      snprintf (ran.runs[ran.count].id, sizeof ran.runs[0].id, "%s", r->id);
      ran.runs[ran.count].path = strdup (r->path);
      ran.runs[ran.count].service = s->service;
      ran.runs[ran.count++].body = strdup (r->body);
    }
  pthread_mutex_unlock (&ran.lock);
  record ("run      %s at %s: %s %s, body of %zu bytes", r->id, s->id,
          r->method, r->path, r->length);
}

int
runs_of (const char *id)
{
  int n = 0;

  pthread_mutex_lock (&ran.lock);
  for (int i = 0; i < ran.count; i++)
    n += strcmp (ran.runs[i].id, id) == 0;
  pthread_mutex_unlock (&ran.lock);
  return n;
}

const char *
body_of (const char *id)
{
  const char *body = NULL;

  pthread_mutex_lock (&ran.lock);
  for (int i = 0; i < ran.count; i++)
    if (strcmp (ran.runs[i].id, id) == 0)
      body = ran.runs[i].body;
  pthread_mutex_unlock (&ran.lock);
  return body;
}

const char *
path_of (const char *id)
{
  const char *path = NULL;

  pthread_mutex_lock (&ran.lock);
  for (int i = 0; i < ran.count; i++)
    if (strcmp (ran.runs[i].id, id) == 0)
      path = ran.runs[i].path;
  pthread_mutex_unlock (&ran.lock);
  return path;
}

const char *
service_of (const char *id)
{
  const char *service = NULL;

  pthread_mutex_lock (&ran.lock);
  for (int i = 0; i < ran.count; i++)
    if (strcmp (ran.runs[i].id, id) == 0)
      service = ran.runs[i].service;
  pthread_mutex_unlock (&ran.lock);
  return service;
}

size_t
answer_body (const char *id, size_t size, char *body)
{
  size_t n = (size_t) snprintf (body, TEXT_MAX, "done %s", id);

  while (n < size && n + 1 < TEXT_MAX)
    {
      body[n] = (char) ('a' + n % 26);
      n++;
    }
  body[n] = '\0';
  return n;
}

/* Reads requests strictly: what is no request ends the connection. */
static void
serve_server (int fd, void *data)
{
  const Server *server = data;
  Stream *s = calloc (1, sizeof *s);
  Request *r = malloc (sizeof *r);
  char *body = malloc (TEXT_MAX);

  s->fd = fd;
  while (read_request (s, r))
    {
      char answer[1024];
      size_t length = 0;
      int n, status = 200;
      const char *more = "";

      if (r->target[0] != '\0' && strcmp (r->target, server->id) != 0)
        {
          status = 421;
          more = "X-Not-Executed: 1\r\n";
        }
      else if (r->id[0] == '\0')
        {
          status = 400;
          more = "X-Not-Executed: 1\r\n";
        }
      else
        {
          note_run (server, r);
          sleep_ms (server->work_ms);
          length = answer_body (r->id, server->answer_size, body);
          more = "X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
                 "X-Server-Load: 0,0,4\r\n";
        }
      n = snprintf (answer, sizeof answer,
                    "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Instance-Id: "
                    "%s\r\n%sContent-Length: %zu\r\n\r\n",
                    status, status == 200 ? "OK" : "Refused", r->id, server->id,
                    more, length);
      if (!write_all (fd, answer, (size_t) n) || !write_all (fd, body, length))
        break;
    }
  if (s->size > 0)
    record ("server   %s got bytes that are no request: %.60s", server->id,
            s->bytes);
  free (body);
  free (r);
  free (s);
}

static void *
run_heartbeat (void *data)
{
  const Server *s = data;

  for (int sequence = 1;; sequence++)
    {
      char row[512];

      snprintf (row, sizeof row,
                "{\"address\":\"%s:%d\",\"info\":{\"service\":\"%s\","
                "\"version\":\"v1\",\"zone\":\"%s\",\"slots\":4},\"status\":{"
                "\"state\":\"ready\",\"sequence\":%d,\"warmupLeftMs\":0}}",
                s->ip, s->port, s->service, s->zone, sequence);
      store_put ("servers", s->id, row);
      sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

void
server_start (Server *s)
{
  pthread_t t;

  serve_at (s->ip, s->port, serve_server, s);
  if (pthread_create (&t, NULL, run_heartbeat, s) == 0)
    pthread_detach (t);
}

/* ---- gateways ---- */

static pid_t gateways[GATEWAYS_MAX];

static void
set_env (const char *name, const char *format, ...)
{
  char value[256];
  va_list args;

  va_start (args, format);
  vsnprintf (value, sizeof value, format, args);
  va_end (args);
  setenv (name, value, 1);
}

void
gateway_start (int index, const char *zone, bool first)
{
  pid_t parent = getpid (), pid = fork ();

  if (pid != 0)
    {
      gateways[index] = pid;
      return;
    }
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (127);
  /* The settings of deploy/system.toml for a small deployment. */
  set_env ("CAPERCRANK_INSTANCE", "front-%s-%d", zone, index);
  set_env ("CAPERCRANK_ZONE", "%s", zone);
  set_env ("CAPERCRANK_LISTEN", "127.%d.0.%d:%d", net, index, FRONT_PORT);
  set_env ("CAPERCRANK_READINESS", "127.%d.0.%d:%d", net, index, READY_PORT);
  set_env ("CAPERCRANK_INTERNAL", "127.%d.0.%d:%d", net, index, PEER_PORT);
  set_env ("CAPERCRANK_ADMIN", "127.%d.0.%d:%d", net, index, ADMIN_PORT);
  set_env ("CAPERCRANK_TABLE", "127.%d.1.1:%d", net, STORE_PORT);
  set_env ("CAPERCRANK_SEEDS", "%s", "");
  set_env ("CAPERCRANK_FIRST_START", "%s", first ? "true" : "false");
  set_env ("CAPERCRANK_RETRY_RATIO", "0.2");
  set_env ("CAPERCRANK_RETRY_SLACK", "62");
  set_env ("CAPERCRANK_RETRY_WINDOW", "10s");
  set_env ("CAPERCRANK_CORES", "0.2");
  set_env ("CAPERCRANK_LEAVING_SERVES", "2000ms");
  set_env ("CAPERCRANK_STOP_GRACE", "6s");
  set_env ("CAPERCRANK_ZONES", "hala-a=sk-central,hala-b=sk-central");
  set_env ("CAPERCRANK_COLD_SLACK", "%s", "");
  set_env ("CAPERCRANK_MEMORY", "260");
  dup2 (open ("/dev/null", O_RDWR), 0);
  dup2 (0, 1);
  execl ("target/capercrank-gateway", "target/capercrank-gateway",
         (char *) NULL);
  perror ("target/capercrank-gateway");
  _exit (127);
}

void
gateway_signal (int index, int signal)
{
  kill (gateways[index], signal);
}

bool
gateway_alive (int index)
{
  return gateways[index] > 0 && waitpid (gateways[index], NULL, WNOHANG) == 0;
}

bool
gateway_ready (int index, int ms)
{
  static const char ask[] = "GET /v1/readiness HTTP/1.1\r\nHost: g\r\n\r\n";
  int64_t until = now_ms () + ms;
  char ip[32], id[8];

  net_address (ip, sizeof ip, 0, index);
  while (now_ms () < until)
    {
      int fd = connect_to (ip, READY_PORT);
      bool ready = fd >= 0 && write_all (fd, ask, sizeof ask - 1) &&
                   client_read (fd, 1000, id, sizeof id) == 200;

      if (fd >= 0)
        close (fd);
      if (ready)
        return true;
      sleep_ms (100);
    }
  return false;
}

void
gateways_end (void)
{
  for (int i = 0; i < GATEWAYS_MAX; i++)
    if (gateways[i] > 0)
      {
        kill (gateways[i], SIGKILL);
        waitpid (gateways[i], NULL, 0);
        gateways[i] = 0;
      }
}

/* ---- clients ---- */

int
client_connect (int gateway)
{
  char ip[32];

  net_address (ip, sizeof ip, 0, gateway);
  return connect_to (ip, FRONT_PORT);
}

bool
client_send (int fd, const char *bytes, size_t size)
{
  return write_all (fd, bytes, size);
}

int
client_answer (int fd, int ms, Answer *a)
{
  int64_t until = now_ms () + ms;
  char text[TEXT_MAX], length[32];
  size_t size = 0, rest;

  memset (a, 0, offsetof (Answer, body));
  do
    {
      struct pollfd p = { fd, POLLIN, 0 };
      int left = (int) (until - now_ms ());
      ssize_t n;

      /* One byte at a time, so that a later answer stays in the socket. */
      if (left <= 0 || poll (&p, 1, left) <= 0)
        return -1;
      n = recv (fd, text + size, 1, 0);
      if (n <= 0)
        return 0;
      size += (size_t) n;
      text[size] = '\0';
      if (size + 1 == sizeof text)
        return -1;
    }
  while (size < 4 || strcmp (text + size - 4, "\r\n\r\n") != 0);
  header (text, "X-Request-Id", a->id, sizeof a->id);
  header (text, "X-Response-Signature", a->signature, sizeof a->signature);
  header (text, "Content-Length", length, sizeof length);
  rest = (size_t) atol (length);
  if (rest >= sizeof a->body)
    return -1;
  while (a->length < rest)
    {
      struct pollfd p = { fd, POLLIN, 0 };
      int left = (int) (until - now_ms ());
      ssize_t n;

      if (left <= 0 || poll (&p, 1, left) <= 0)
        return -1;
      n = recv (fd, a->body + a->length, rest - a->length, 0);
      if (n <= 0)
        return 0;
      a->length += (size_t) n;
    }
  a->body[a->length] = '\0';
  a->status = atoi (text + strlen ("HTTP/1.1 "));
  return a->status;
}

int
client_read (int fd, int ms, char *id, size_t id_size)
{
  Answer *a = malloc (sizeof *a);
  int result = client_answer (fd, ms, a);

  snprintf (id, id_size, "%s", a->id);
  free (a);
  return result;
}
