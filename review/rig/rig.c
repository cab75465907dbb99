/* See rig.h. */
#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <json-glib/json-glib.h>

#define HEARTBEAT_MS 870

static gint64 started_at;
static FILE *record;
static GMutex record_lock;
static guint net;
static char *folder;
static GPtrArray *children; /* of GPid */

RigHooks rig_hooks;
GPtrArray *rig_servers;
GMutex rig_servers_lock;
guint rig_max_fds;
gint rig_last_granter;

/* ---- time and the record ---- */

gint64
rig_now_ms (void)
{
  return (g_get_monotonic_time () - started_at) / 1000;
}

void
rig_sleep_ms (gint64 ms)
{
  if (ms > 0)
    g_usleep ((gulong) ms * 1000);
}

void
rig_record (const char *format, ...)
{
  va_list args;

  g_mutex_lock (&record_lock);
  fprintf (record, "%7" G_GINT64_FORMAT " ", rig_now_ms ());
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  g_mutex_unlock (&record_lock);
}

char *
rig_address (guint group, guint index, guint port)
{
  return g_strdup_printf ("127.%u.%u.%u:%u", net, group, index, port);
}

gboolean
rig_trouble (void)
{
  return g_strcmp0 (g_getenv ("TROUBLE"), "0") != 0;
}

gboolean
rig_init (const char *file)
{
  signal (SIGPIPE, SIG_IGN);
  started_at = g_get_monotonic_time ();
  record = fopen (file, "w");
  folder = g_dir_make_tmp ("review-XXXXXX", NULL);
  children = g_ptr_array_new ();
  rig_servers = g_ptr_array_new ();
  if (record == NULL || folder == NULL)
    return FALSE;
  for (guint i = 0; i < 50; i++)
    {
      g_autofree char *mark = NULL;
      g_autofree char *front = NULL;
      int fd, other;

      net = (guint) g_random_int_range (10, 250);
      mark = rig_address (0, 1, 7999);
      front = rig_address (1, 1, 7100);
      other = rig_listen (front);
      if (other < 0)
        continue;
      close (other);
      fd = rig_listen (mark);
      if (fd >= 0) /* stays open: it marks the network as used */
        return TRUE;
    }
  return FALSE;
}

void
rig_exit (int status)
{
  for (guint i = 0; i < children->len; i++)
    {
      GPid pid = GPOINTER_TO_INT (children->pdata[i]);

      kill (pid, SIGCONT);
      kill (pid, SIGKILL);
      waitpid (pid, NULL, 0);
    }
  {
    g_autofree char *command = g_strdup_printf ("rm -rf '%s'", folder);

    if (system (command) != 0)
      status = 2;
  }
  rig_record ("end: %d", status);
  fflush (stdout);
  _exit (status);
}

/* ---- HTTP ---- */

RigConn *
rig_conn_new (int fd)
{
  RigConn *c = g_new0 (RigConn, 1);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  c->fd = fd;
  c->in = g_byte_array_new ();
  return c;
}

void
rig_conn_free (RigConn *c)
{
  close (c->fd);
  g_byte_array_unref (c->in);
  g_free (c);
}

static void
parse_address (const char *address, struct sockaddr_in *to)
{
  const char *colon = strchr (address, ':');
  g_autofree char *ip = g_strndup (address, (gsize) (colon - address));

  *to = (struct sockaddr_in){ .sin_family = AF_INET,
                              .sin_port = htons ((guint16) atoi (colon + 1)) };
  inet_pton (AF_INET, ip, &to->sin_addr);
}

int
rig_connect (const char *address, int timeout_ms)
{
  struct sockaddr_in to;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct pollfd p = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t size = sizeof error;

  parse_address (address, &to);
  if (connect (fd, (struct sockaddr *) &to, sizeof to) < 0 &&
      errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  if (poll (&p, 1, timeout_ms) <= 0 ||
      getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0 || error != 0)
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, 0);
  return fd;
}

int
rig_listen (const char *address)
{
  struct sockaddr_in at;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  parse_address (address, &at);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *) &at, sizeof at) < 0 || listen (fd, 512) < 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

gboolean
rig_send (RigConn *c, const char *data, gsize size)
{
  while (size > 0)
    {
      gssize n = send (c->fd, data, size, MSG_NOSIGNAL);

      if (n <= 0)
        return FALSE;
      data += n;
      size -= (gsize) n;
    }
  return TRUE;
}

void
rig_message_free (RigMessage *m)
{
  if (m == NULL)
    return;
  g_free (m->method);
  g_free (m->target);
  g_strfreev (m->headers);
  g_byte_array_unref (m->body);
  g_free (m);
}

const char *
rig_header (const RigMessage *m, const char *name)
{
  gsize length = strlen (name);

  for (char **h = m->headers; *h != NULL; h++)
    if (g_ascii_strncasecmp (*h, name, length) == 0 && (*h)[length] == ':')
      return *h + length + 1 + strspn (*h + length + 1, " ");
  return NULL;
}

/* The status of a response, whose TARGET is its second word. */
int
rig_status (const RigMessage *m)
{
  return atoi (m->target);
}

/* Receives more; FALSE: closed, failed or TIMEOUT_MS (-1: none) has passed. */
static gboolean
receive (RigConn *c, int timeout_ms)
{
  char buffer[16384];
  struct pollfd p = { .fd = c->fd, .events = POLLIN };
  gssize n;

  if (poll (&p, 1, timeout_ms) <= 0)
    return FALSE;
  n = recv (c->fd, buffer, sizeof buffer, 0);
  if (n <= 0)
    return FALSE;
  g_byte_array_append (c->in, (guint8 *) buffer, (guint) n);
  return TRUE;
}

static gboolean
take_line (RigConn *c, GString *line, int timeout_ms)
{
  for (;;)
    {
      guint8 *end =
          c->in->len > 0 ? memchr (c->in->data, '\n', c->in->len) : NULL;

      if (end != NULL)
        {
          guint size = (guint) (end - c->in->data);

          g_string_truncate (line, 0);
          g_string_append_len (line, (char *) c->in->data, size);
          if (line->len > 0 && line->str[line->len - 1] == '\r')
            g_string_truncate (line, line->len - 1);
          g_byte_array_remove_range (c->in, 0, size + 1);
          return TRUE;
        }
      if (!receive (c, timeout_ms))
        return FALSE;
    }
}

static gboolean
take_body (RigConn *c, GByteArray *body, gsize size, int timeout_ms)
{
  while (c->in->len < size)
    if (!receive (c, timeout_ms))
      return FALSE;
  if (size > 0)
    {
      g_byte_array_append (body, c->in->data, (guint) size);
      g_byte_array_remove_range (c->in, 0, (guint) size);
    }
  return TRUE;
}

static gboolean
take_chunks (RigConn *c, GByteArray *body, int timeout_ms)
{
  g_autoptr (GString) line = g_string_new (NULL);

  for (;;)
    {
      gsize size;

      if (!take_line (c, line, timeout_ms))
        return FALSE;
      size = strtoul (line->str, NULL, 16);
      if (!take_body (c, body, size, timeout_ms) ||
          !take_line (c, line, timeout_ms))
        return FALSE;
      if (size == 0)
        return TRUE;
    }
}

RigMessage *
rig_read (RigConn *c, gboolean head_only, int timeout_ms)
{
  g_autoptr (GString) line = g_string_new (NULL);
  g_autoptr (GPtrArray) headers = g_ptr_array_new ();
  RigMessage *m;
  g_auto (GStrv) words = NULL;
  const char *length, *coding;
  gboolean whole = TRUE;

  if (!take_line (c, line, timeout_ms))
    return NULL;
  words = g_strsplit (line->str, " ", 3);
  if (g_strv_length (words) < 2)
    return NULL;
  m = g_new0 (RigMessage, 1);
  m->method = g_strdup (words[0]);
  m->target = g_strdup (words[1]);
  m->body = g_byte_array_new ();
  while ((whole = take_line (c, line, timeout_ms)) && line->len > 0)
    g_ptr_array_add (headers, g_strdup (line->str));
  g_ptr_array_add (headers, NULL);
  m->headers = g_new0 (char *, headers->len);
  memcpy (m->headers, headers->pdata, headers->len * sizeof (char *));
  length = rig_header (m, "Content-Length");
  coding = rig_header (m, "Transfer-Encoding");
  if (whole && !head_only && coding != NULL)
    whole = take_chunks (c, m->body, timeout_ms);
  else if (whole && !head_only && length != NULL)
    whole = take_body (c, m->body, strtoul (length, NULL, 10), timeout_ms);
  if (whole)
    return m;
  rig_message_free (m);
  return NULL;
}

RigMessage *
rig_call (RigConn *c, const char *text, int timeout_ms)
{
  return rig_send (c, text, strlen (text)) ? rig_read (c, FALSE, timeout_ms)
                                           : NULL;
}

typedef struct
{
  int fd;
  void (*serve) (RigConn *c, gpointer data);
  gpointer data;
} Accepted;

static gpointer
run_connection (gpointer data)
{
  Accepted *a = data;
  RigConn *c = rig_conn_new (a->fd);

  a->serve (c, a->data);
  rig_conn_free (c);
  g_free (a);
  return NULL;
}

static gpointer
run_listener (gpointer data)
{
  Accepted *a = data;

  for (;;)
    {
      int fd = accept4 (a->fd, NULL, NULL, SOCK_CLOEXEC);
      Accepted *one;

      if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
        continue;
      if (fd < 0)
        return NULL;
      one = g_new0 (Accepted, 1);
      *one = (Accepted){ fd, a->serve, a->data };
      g_thread_unref (g_thread_new ("connection", run_connection, one));
    }
}

static void
start_listener (int fd, void (*serve) (RigConn *c, gpointer data),
                gpointer data)
{
  Accepted *a = g_new0 (Accepted, 1);

  *a = (Accepted){ fd, serve, data };
  g_thread_unref (g_thread_new ("listener", run_listener, a));
}

/* ---- the store ---- */

typedef struct
{
  char *table, *key, *value; /* VALUE in base64; NULL: deleted */
  guint64 version;
} Row;

static GMutex store_lock;
static GCond store_changed;
static GTree *rows; /* "table/key" to Row */
static guint64 newest;
static gboolean away;
static guint era;
static char *copy_text; /* see rig_store_copy_at */
static GTree *copy;     /* of ROWS; NULL: none */
static guint64 copied_version;
static gint64 copied_at;

static gint
compare_texts (gconstpointer a, gconstpointer b, gpointer unused)
{
  (void) unused;
  return strcmp (a, b);
}

static Row *
find_row (const char *table, const char *key, gboolean create)
{
  g_autofree char *id = g_strconcat (table, "/", key, NULL);
  Row *r = g_tree_lookup (rows, id);

  if (r == NULL && create)
    {
      r = g_new0 (Row, 1);
      r->table = g_strdup (table);
      r->key = g_strdup (key);
      g_tree_insert (rows, g_strdup (id), r);
    }
  return r;
}

/* Writes a row at the version NEWEST. */
static void
write_row (const char *table, const char *key, const char *base64)
{
  Row *r = find_row (table, key, TRUE);

  g_free (r->value);
  r->value = g_strdup (base64);
  r->version = newest;
}

void
rig_store_put (const char *table, const char *key, const char *value)
{
  g_autofree char *base64 =
      value == NULL ? NULL
                    : g_base64_encode ((const guchar *) value, strlen (value));

  g_mutex_lock (&store_lock);
  newest++;
  write_row (table, key, base64);
  g_cond_broadcast (&store_changed);
  g_mutex_unlock (&store_lock);
}

void
rig_store_delete (const char *table, const char *key)
{
  rig_store_put (table, key, NULL);
}

typedef struct
{
  const char *table, *from, *to;
  guint64 after;
  gboolean deleted;
  guint count, limit;
  gboolean more;
  GString *out;
} Selection;

static gboolean
add_selected (gpointer id, gpointer value, gpointer data)
{
  Selection *s = data;
  const Row *r = value;

  (void) id;
  if (strcmp (r->table, s->table) != 0 || strcmp (r->key, s->from) < 0 ||
      (s->to != NULL && strcmp (r->key, s->to) >= 0) ||
      r->version <= s->after || (r->value == NULL && !s->deleted))
    return FALSE;
  if (s->count >= s->limit)
    {
      s->more = TRUE;
      return TRUE;
    }
  g_string_append_printf (
      s->out,
      "%s{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\","
      "\"rowVersion\":%" G_GUINT64_FORMAT "%s}",
      s->count++ > 0 ? "," : "", r->table, r->key,
      r->value != NULL ? r->value : "", r->version,
      r->value == NULL ? ",\"tombstone\":true" : "");
  return FALSE;
}

/* Sends an answer of the store; TEXT is JSON. */
static void
send_json (RigConn *c, int status, const char *text)
{
  g_autofree char *head = g_strdup_printf (
      "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nStore-Era: "
      "%u\r\nContent-Length: %zu\r\n\r\n%s",
      status, status == 200 ? "OK" : "No", era, strlen (text), text);

  rig_send (c, head, strlen (head));
}

/* Returns the selected rows as a body.  The store is locked. */
static char *
rows_body (Selection *s)
{
  char *body;

  s->out = g_string_new (NULL);
  g_tree_foreach (rows, add_selected, s);
  body = g_strdup_printf ("{\"rows\":[%s],\"rowVersion\":%" G_GUINT64_FORMAT
                          ",\"nowMs\":%" G_GINT64_FORMAT ",\"hasMore\":%s}",
                          s->out->str, newest, rig_now_ms (),
                          s->more ? "true" : "false");
  g_string_free (s->out, TRUE);
  return body;
}

static const char *
text_member (JsonObject *o, const char *name)
{
  return json_object_get_string_member_with_default (o, name, "");
}

static gboolean
copy_row (gpointer id, gpointer value, gpointer data)
{
  const Row *r = value;
  Row *made = g_new0 (Row, 1);

  *made = (Row){ g_strdup (r->table), g_strdup (r->key), g_strdup (r->value),
                 r->version };
  g_tree_insert (data, g_strdup (id), made);
  return FALSE;
}

/* Makes the copy if BASE64 contains the text that was named. */
static gboolean
is_to_be_copied (const char *base64)
{
  gsize size;
  g_autofree char *text = (char *) g_base64_decode (base64, &size);

  return copy_text != NULL && copy == NULL &&
         g_strstr_len (text, (gssize) size, copy_text) != NULL;
}

static void
make_copy (void)
{
  copy = g_tree_new_full (compare_texts, NULL, g_free, NULL);
  g_tree_foreach (rows, copy_row, copy);
  copied_version = newest;
  copied_at = rig_now_ms ();
  rig_record ("the store is copied at version %" G_GUINT64_FORMAT, newest);
}

/* Applies a transaction; FALSE: a condition does not hold. */
static gboolean
transact (JsonObject *o)
{
  gboolean copies = FALSE;
  JsonArray *list = json_object_get_array_member (o, "precondition");

  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      JsonObject *p = json_array_get_object_element (list, i);
      const Row *r =
          find_row (text_member (p, "table"), text_member (p, "key"), FALSE);
      guint64 version = r != NULL && r->value != NULL ? r->version : 0;

      if ((gint64) version != json_object_get_int_member (p, "rowVersion"))
        return FALSE;
    }
  newest++;
  list = json_object_get_array_member (o, "puts");
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      JsonObject *p = json_array_get_object_element (list, i);

      write_row (text_member (p, "table"), text_member (p, "key"),
                 text_member (p, "value"));
      copies |= is_to_be_copied (text_member (p, "value"));
    }
  list = json_object_get_array_member (o, "deletes");
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      JsonObject *p = json_array_get_object_element (list, i);

      write_row (text_member (p, "table"), text_member (p, "key"), NULL);
    }
  if (copies)
    make_copy ();
  g_cond_broadcast (&store_changed);
  return TRUE;
}

static char *
query_value (const char *target, const char *name)
{
  const char *at = strchr (target, '?');
  g_auto (GStrv) parts = g_strsplit (at != NULL ? at + 1 : "", "&", -1);
  gsize length = strlen (name);

  for (char **p = parts; *p != NULL; p++)
    if (strncmp (*p, name, length) == 0 && (*p)[length] == '=')
      return g_uri_unescape_string (*p + length + 1, NULL);
  return NULL;
}

static void
serve_store (RigConn *c, gpointer unused)
{
  RigMessage *m;

  (void) unused;
  while ((m = rig_read (c, FALSE, -1)) != NULL)
    {
      g_autofree char *body = NULL;
      int status = 200;

      if (away)
        {
          status = 503;
          body = g_strdup ("{}");
        }
      else if (g_str_has_prefix (m->target, "/v1/rows-tx"))
        {
          g_autofree char *text =
              g_strndup ((char *) m->body->data, m->body->len);
          g_autoptr (JsonNode) root = json_from_string (text, NULL);

          rig_sleep_ms (4);
          g_mutex_lock (&store_lock);
          status = transact (json_node_get_object (root)) ? 200 : 412;
          body =
              g_strdup_printf ("{\"rows\":[],\"rowVersion\":%" G_GUINT64_FORMAT
                               ",\"nowMs\":%" G_GINT64_FORMAT "}",
                               newest, rig_now_ms ());
          g_mutex_unlock (&store_lock);
        }
      else if (g_str_has_prefix (m->target, "/v1/rows-get"))
        {
          g_autofree char *table = query_value (m->target, "table");
          g_autofree char *from = query_value (m->target, "from");
          g_autofree char *to = query_value (m->target, "target");
          g_autofree char *limit = query_value (m->target, "limit");
          Selection s = { .table = table,
                          .from = from != NULL ? from : "",
                          .to = to,
                          .limit = limit != NULL ? (guint) atoi (limit) : 500 };

          rig_sleep_ms (4);
          g_mutex_lock (&store_lock);
          body = rows_body (&s);
          g_mutex_unlock (&store_lock);
        }
      else if (g_str_has_prefix (m->target, "/v1/rows-feed"))
        {
          g_autofree char *table = query_value (m->target, "table");
          g_autofree char *after = query_value (m->target, "after");
          g_autofree char *wait = query_value (m->target, "waitMs");
          gint64 end =
              g_get_monotonic_time () +
              (wait != NULL ? atoi (wait) : 0) * G_TIME_SPAN_MILLISECOND;
          guint began_in = era;

          g_mutex_lock (&store_lock);
          if (strtoull (after, NULL, 10) > newest)
            {
              status = 410;
              body = g_strdup ("{}");
            }
          while (status == 200)
            {
              Selection s = { .table = table,
                              .from = "",
                              .after = strtoull (after, NULL, 10),
                              .deleted = TRUE,
                              .limit = G_MAXUINT };

              g_free (body);
              body = rows_body (&s);
              if (s.count > 0 ||
                  !g_cond_wait_until (&store_changed, &store_lock, end))
                break;
            }
          g_mutex_unlock (&store_lock);
          if (away || era != began_in) /* the drill has cut the call */
            {
              rig_message_free (m);
              return;
            }
        }
      else
        {
          status = 404;
          body = g_strdup ("{}");
        }
      send_json (c, status, body);
      rig_message_free (m);
    }
}

void
rig_store_copy_at (const char *text)
{
  g_mutex_lock (&store_lock);
  copy_text = g_strdup (text);
  g_mutex_unlock (&store_lock);
}

gint64
rig_store_copied_at (void)
{
  gint64 at;

  g_mutex_lock (&store_lock);
  at = copied_at;
  g_mutex_unlock (&store_lock);
  return at;
}

typedef struct
{
  const char *table;
  void (*each) (const char *key, const char *value);
} Visit;

static gboolean
visit_row (gpointer id, gpointer value, gpointer data)
{
  const Row *r = value;
  const Visit *v = data;
  gsize size;
  g_autofree char *text = NULL;
  g_autofree char *whole = NULL;

  (void) id;
  if (strcmp (r->table, v->table) != 0 || r->value == NULL)
    return FALSE;
  text = (char *) g_base64_decode (r->value, &size);
  whole = g_strndup (text, size);
  v->each (r->key, whole);
  return FALSE;
}

void
rig_store_each_copied (const char *table,
                       void (*each) (const char *key, const char *value))
{
  Visit v = { table, each };

  g_tree_foreach (copy, visit_row, &v);
}

void
rig_store_leave (void)
{
  g_mutex_lock (&store_lock);
  away = TRUE;
  g_cond_broadcast (&store_changed);
  g_mutex_unlock (&store_lock);
  rig_record ("the store is away");
}

/* Writes a row of the operator or a server again. */
static gboolean
write_again (gpointer id, gpointer value, gpointer unused)
{
  const Row *r = value;

  (void) id, (void) unused;
  if (strcmp (r->table, "op") == 0 || strcmp (r->table, "servers") == 0)
    {
      newest++;
      write_row (r->table, r->key, r->value);
    }
  return FALSE;
}

void
rig_store_return (void)
{
  GTree *lost;

  g_mutex_lock (&store_lock);
  lost = rows;
  rows = copy;
  rig_record ("the store is back in a new era, from a copy that is "
              "%" G_GINT64_FORMAT " ms old; it had version %" G_GUINT64_FORMAT
              " and has %" G_GUINT64_FORMAT,
              rig_now_ms () - copied_at, newest, copied_version);
  newest = copied_version;
  era++;
  g_tree_foreach (lost, write_again, NULL);
  away = FALSE;
  g_cond_broadcast (&store_changed);
  g_mutex_unlock (&store_lock);
}

void
rig_store_start (const char *address)
{
  int fd = rig_listen (address);

  rows = g_tree_new_full (compare_texts, NULL, g_free, NULL);
  if (fd < 0)
    rig_exit (2);
  start_listener (fd, serve_store, NULL);
}

/* ---- servers ---- */

static void
write_entry (RigServer *s)
{
  g_autofree char *value = g_strdup_printf (
      "{\"address\":\"%s\",\"info\":{\"service\":\"%s\",\"zone\":\"%s\","
      "\"slots\":%u,\"version\":\"1\"},\"status\":{\"state\":\"%s\","
      "\"sequence\":%u,\"warmupLeftMs\":0}}",
      s->address, s->service, s->zone, s->slots,
      s->draining ? "draining" : "ready", s->sequence++);

  rig_store_put ("servers", s->id, value);
}

static gpointer
run_heartbeat (gpointer data)
{
  RigServer *s = data;

  while (s->up)
    {
      write_entry (s);
      rig_sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

/* What is to be sent late on a connection. */
typedef struct
{
  RigServer *server;
  RigConn *conn;
  char *late;
} ServerConn;

/* Sends the answer of a server to M. */
static gboolean
answer (ServerConn *x, const RigMessage *m, int status, gboolean executed,
        const char *more, const char *body)
{
  RigServer *s = x->server;
  const char *id = rig_header (m, "X-Request-Id");
  g_autoptr (GString) t = g_string_new (NULL);

  g_string_append_printf (t, "HTTP/1.1 %d %s\r\n", status,
                          status == 200 ? "OK" : "Other");
  if (id != NULL)
    g_string_append_printf (t, "X-Request-Id: %s\r\n", id);
  g_string_append_printf (t, "X-Server-Load: %u,%u,%u\r\n", s->running,
                          s->waiting, s->slots);
  if (executed && id != NULL)
    g_string_append_printf (t, "X-Response-Signature: %s.%s\r\n", s->id, id);
  if (!executed)
    g_string_append (t, "X-Not-Executed: 1\r\n");
  g_string_append_printf (t, "%sContent-Length: %zu\r\n\r\n%s", more,
                          strlen (body), body);
  if (rig_hooks.second_answer != NULL)
    x->late = rig_hooks.second_answer (s, m, t->str);
  return rig_send (x->conn, t->str, t->len);
}

static gint64
number_in (const RigMessage *m, const char *name)
{
  g_autofree char *text = g_strndup ((char *) m->body->data, m->body->len);
  g_autoptr (JsonNode) root = json_from_string (text, NULL);

  return json_object_get_int_member_with_default (json_node_get_object (root),
                                                  name, 0);
}

static gboolean
serve_grant (ServerConn *x, const RigMessage *m)
{
  RigServer *s = x->server;
  guint from = (guint) number_in (m, "from");
  guint to = (guint) number_in (m, "target");
  guint64 fence = (guint64) number_in (m, "fence");
  gint64 hold = number_in (m, "holdMs"), until = rig_now_ms () + hold;
  gboolean accepted = TRUE, is_new = FALSE;
  struct sockaddr_in peer;
  socklen_t size = sizeof peer;

  if (getpeername (x->conn->fd, (struct sockaddr *) &peer, &size) == 0)
    rig_last_granter = (gint) (ntohl (peer.sin_addr.s_addr) & 0xff);
  g_mutex_lock (&s->lock);
  for (guint k = from; k <= to; k++)
    accepted &= s->fence[k] <= fence;
  for (guint k = from; accepted && k <= to; k++)
    {
      is_new |= s->until[k] <= rig_now_ms ();
      s->fence[k] = fence;
      s->until[k] = MAX (s->until[k], until);
    }
  for (guint i = 0; accepted && i < RIG_JOBS; i++)
    if (s->jobs[i].active && s->jobs[i].key >= (gint32) from &&
        s->jobs[i].key <= (gint32) to)
      s->jobs[i].hold_until = MAX (s->jobs[i].hold_until, until);
  g_mutex_unlock (&s->lock);
  if (is_new || !accepted)
    rig_record ("grant %s %u..%u fence %" G_GUINT64_FORMAT " %s", s->id, from,
                to, fence, accepted ? "200" : "409");
  if (accepted && rig_hooks.granted != NULL)
    rig_hooks.granted (s, from, to, fence);
  return answer (x, m, accepted ? 200 : 409, TRUE, "", "{}");
}

static gboolean
has_work (const RigServer *s, guint from, guint to)
{
  for (guint i = 0; i < RIG_JOBS; i++)
    if (s->jobs[i].active && s->jobs[i].key >= (gint32) from &&
        s->jobs[i].key <= (gint32) to)
      return TRUE;
  return FALSE;
}

static gboolean
serve_release (ServerConn *x, const RigMessage *m)
{
  RigServer *s = x->server;
  guint from = (guint) number_in (m, "from");
  guint to = (guint) number_in (m, "target");

  rig_record ("release %s %u..%u arrives", s->id, from, to);
  g_mutex_lock (&s->lock);
  for (guint k = from; k <= to; k++)
    s->until[k] = 0;
  while (has_work (s, from, to))
    g_cond_wait (&s->changed, &s->lock);
  g_mutex_unlock (&s->lock);
  rig_record ("release %s %u..%u is answered", s->id, from, to);
  return answer (x, m, 200, TRUE, "X-Handoff: h0\r\n", "{}");
}

/* Runs a request that has a slot.  FALSE: its connection was closed. */
static gboolean
work (RigServer *s, RigConn *c)
{
  guint ms = (guint) g_random_int_range ((gint32) s->work_min,
                                         (gint32) s->work_max + 1);
  struct pollfd p = { .fd = c->fd, .events = POLLRDHUP };

  return poll (&p, 1, (int) ms) == 0;
}

static gboolean
serve_request (ServerConn *x, const RigMessage *m)
{
  RigServer *s = x->server;
  const char *id = rig_header (m, "X-Request-Id");
  const char *number = rig_header (m, "X-Shard-Key");
  const char *left = rig_header (m, "X-Deadline-Ms");
  gint32 key = number != NULL ? atoi (number) : -1;
  gint64 end = rig_now_ms () + (left != NULL ? atoi (left) : 1000);
  RigJob *job = NULL;
  gboolean held, in_time, whole;
  int status;

  if (id == NULL)
    return answer (x, m, 400, FALSE, "", "");
  g_mutex_lock (&s->lock);
  held = !s->keyed || (key >= 0 && s->until[key] > rig_now_ms ());
  if (!held || s->waiting >= s->queue)
    {
      g_mutex_unlock (&s->lock);
      return answer (x, m, held ? 503 : 421, FALSE, "", "");
    }
  s->waiting++;
  while (s->running >= s->slots && rig_now_ms () < end)
    g_cond_wait_until (&s->changed, &s->lock,
                       g_get_monotonic_time () + 20 * G_TIME_SPAN_MILLISECOND);
  s->waiting--;
  held = !s->keyed || s->until[key] > rig_now_ms ();
  in_time = rig_now_ms () < end;
  if (!held || !in_time)
    {
      g_mutex_unlock (&s->lock);
      return answer (x, m, held ? 503 : 421, FALSE, "", "");
    }
  s->running++;
  for (guint i = 0; job == NULL && i < RIG_JOBS; i++)
    if (!s->jobs[i].active)
      job = &s->jobs[i];
  job->active = TRUE;
  job->key = key;
  job->began = rig_now_ms ();
  job->hold_until = s->keyed ? s->until[key] : 0;
  g_strlcpy (job->id, id, sizeof job->id);
  if (rig_hooks.began != NULL)
    rig_hooks.began (s, id, key);
  g_mutex_unlock (&s->lock);
  rig_record ("run %s at %s key %d", id, s->id, key);
  whole = work (s, x->conn);
  status = whole && rig_hooks.status != NULL ? rig_hooks.status (s, m) : 0;
  g_mutex_lock (&s->lock);
  if (s->keyed && job->hold_until <= rig_now_ms ())
    status = 500;
  job->active = FALSE;
  s->running--;
  g_cond_broadcast (&s->changed);
  g_mutex_unlock (&s->lock);
  rig_record ("ran %s at %s %s", id, s->id, whole ? "whole" : "dropped");
  if (!whole)
    return FALSE;
  {
    g_autofree char *body = g_strdup_printf ("done %s at %s", id, s->id);

    return answer (x, m, status != 0 ? status : 200, TRUE, "", body);
  }
}

static void
serve_server (RigConn *c, gpointer data)
{
  ServerConn x = { .server = data, .conn = c };
  RigMessage *m;
  gboolean keep = TRUE;

  while (keep && x.server->up && (m = rig_read (c, FALSE, 10000)) != NULL)
    {
      const char *target = rig_header (m, "X-Target-Instance");

      if (x.late != NULL)
        {
          rig_record ("second answer of %s, as %s arrives", x.server->id,
                      m->target);
          rig_send (c, x.late, strlen (x.late));
          g_clear_pointer (&x.late, g_free);
        }
      if (target != NULL && strcmp (target, x.server->id) != 0)
        keep = answer (&x, m, 421, FALSE, "", "");
      else if (strcmp (m->target, "/v1/grant") == 0)
        keep = serve_grant (&x, m);
      else if (strcmp (m->target, "/v1/release") == 0)
        keep = serve_release (&x, m);
      else if (strcmp (m->target, "/health") == 0)
        keep = answer (&x, m, x.server->draining ? 503 : 200, TRUE, "", "");
      else
        keep = serve_request (&x, m);
      rig_message_free (m);
    }
  g_free (x.late);
}

RigServer *
rig_server_start (const char *service, gboolean keyed, const char *zone,
                  const char *address, guint slots, guint queue, guint work_min,
                  guint work_max)
{
  static gint number;
  RigServer *s = g_new0 (RigServer, 1);

  s->service = g_strdup (service);
  s->zone = g_strdup (zone);
  s->address = g_strdup (address);
  s->id = g_strdup_printf ("i-%04d", g_atomic_int_add (&number, 1) + 1);
  s->keyed = keyed;
  s->slots = slots;
  s->queue = queue;
  s->work_min = work_min;
  s->work_max = work_max;
  s->up = TRUE;
  s->fd = rig_listen (address);
  if (s->fd < 0)
    rig_exit (2);
  g_mutex_lock (&rig_servers_lock);
  g_ptr_array_add (rig_servers, s);
  g_mutex_unlock (&rig_servers_lock);
  start_listener (s->fd, serve_server, s);
  g_thread_unref (g_thread_new ("heartbeat", run_heartbeat, s));
  return s;
}

typedef struct
{
  RigServer *server;
  guint ms;
} Drain;

static gpointer
run_drain (gpointer data)
{
  Drain *d = data;

  rig_sleep_ms (d->ms + 1000);
  d->server->up = FALSE;
  rig_sleep_ms (200);
  rig_store_delete ("servers", d->server->id);
  shutdown (d->server->fd, SHUT_RDWR);
  close (d->server->fd);
  rig_record ("server %s has ended", d->server->id);
  g_free (d);
  return NULL;
}

void
rig_server_drain (RigServer *s, guint drain_ms)
{
  Drain *d = g_new0 (Drain, 1);

  s->draining = TRUE;
  write_entry (s);
  rig_record ("server %s drains", s->id);
  *d = (Drain){ s, drain_ms };
  g_thread_unref (g_thread_new ("drain", run_drain, d));
}

/* ---- gateways ---- */

static GHashTable *settings; /* name to value; see rig_set */

void
rig_set (const char *name, const char *value)
{
  if (settings == NULL)
    settings = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (settings, (gpointer) name, (gpointer) value);
}

/* The value of a placeholder, which stands in double braces in the deploy
 * file. */
static char *
placeholder (const char *name, guint index, const char *zone, const char *table,
             gboolean first)
{
  g_autofree char *ip = g_strdup_printf ("127.%u.1.%u", net, index);
  /* The settings of the site hradvstup-gw. */
  const struct
  {
    const char *name;
    char *value;
  } all[] = {
    { "node", g_strdup_printf ("front-%s-%u", zone, index) },
    { "zone", g_strdup (zone) },
    { "listen.front", g_strconcat (ip, ":7100", NULL) },
    { "listen.ready", g_strconcat (ip, ":7101", NULL) },
    { "ip", g_strdup (ip) },
    { "internalPortRange.0", g_strdup ("7540") },
    { "platform.address", g_strdup (table) },
    { "bootstrap", g_strdup (first ? "true" : "false") },
    { "bounds.retryBudgetRatio", g_strdup ("0.2") },
    { "bounds.retryBudgetSlack", g_strdup ("62") },
    { "bounds.budgetWindowS", g_strdup ("10") },
    { "limits.cpuShare", g_strdup ("0.2") },
    { "bounds.drainMs", g_strdup ("2000") },
    { "bounds.graceS", g_strdup ("6") },
    { "bounds.warmupSlack", g_strdup ("") },
    { "limits.memoryMb", g_strdup ("260") },
    { "#zones",
      g_strdup ("hala-a=sk-central,hala-b=sk-central,hala-c=sk-central") },
  };
  const char *set =
      settings != NULL ? g_hash_table_lookup (settings, name) : NULL;
  char *found = g_strdup (set);

  for (guint i = 0; i < G_N_ELEMENTS (all); i++)
    if (set == NULL && strcmp (all[i].name, name) == 0)
      found = all[i].value;
    else
      g_free (all[i].value);
  return found;
}

/* Fills in the placeholders of TEXT. */
static char *
fill (const char *text, guint index, const char *zone, const char *table,
      gboolean first)
{
  GString *out = g_string_new (NULL);

  while (*text != '\0')
    {
      const char *end;
      g_autofree char *name = NULL;
      g_autofree char *value = NULL;

      if (!g_str_has_prefix (text, "{{"))
        {
          g_string_append_c (out, *text++);
          continue;
        }
      end = strstr (text, "}}");
      name = g_strndup (text + 2, (gsize) (end - text - 2));
      value = placeholder (name, index, zone, table, first);
      if (value == NULL)
        g_error ("the deploy file names %s, which the rig does not know", name);
      g_string_append (out, value);
      text = end + 2;
      if (name[0] == '#') /* a section for each zone */
        text = strstr (text, "{{/zones}}") + strlen ("{{/zones}}");
    }
  return g_string_free (out, FALSE);
}

RigGateway *
rig_gateway_start (guint index, const char *zone, const char *table,
                   gboolean first)
{
  g_autofree char *deploy = NULL;
  g_autofree char *run = NULL;
  g_autofree char *log = g_strdup_printf ("%s/gw%u.log", folder, index);
  g_auto (GStrv) argv = NULL;
  g_auto (GStrv) env = g_new0 (char *, 1);
  const char *at;
  RigGateway *g = g_new0 (RigGateway, 1);

  if (!g_file_get_contents ("deploy/system.toml", &deploy, NULL, NULL))
    rig_exit (2);
  at = strstr (deploy, "run = \"") + strlen ("run = \"");
  run = g_strndup (at, strcspn (at, "\""));
  argv = g_strsplit (run, " ", -1);
  env = g_environ_setenv (env, "PATH", g_getenv ("PATH"), TRUE);
  at = strstr (deploy, "env = {") + strlen ("env = {");
  for (;;)
    {
      g_autofree char *name = NULL;
      g_autofree char *text = NULL;
      g_autofree char *value = NULL;

      at += strspn (at, " ,");
      if (*at == '}' || *at == '\0')
        break;
      name = g_strndup (at, strcspn (at, " ="));
      at = strchr (at, '"') + 1;
      text = g_strndup (at, strcspn (at, "\""));
      at = strchr (at, '"') + 1;
      value = fill (text, index, zone, table, first);
      env = g_environ_setenv (env, name, value, TRUE);
    }
  g->name = g_strdup_printf ("gw%u", index);
  g->front = rig_address (1, index, 7100);
  g->ready = rig_address (1, index, 7101);
  g->pid = fork ();
  if (g->pid == 0)
    {
      int out = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      struct rlimit fds = { rig_max_fds, rig_max_fds };

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (rig_max_fds > 0)
        setrlimit (RLIMIT_NOFILE, &fds);
      dup2 (out, 1);
      dup2 (out, 2);
      execve (argv[0], argv, env);
      _exit (127);
    }
  g_ptr_array_add (children, GINT_TO_POINTER (g->pid));
  rig_record ("gateway %s is started", g->name);
  return g;
}

void
rig_gateway_wait (RigGateway *g)
{
  waitpid (g->pid, NULL, 0);
  g_ptr_array_remove (children, GINT_TO_POINTER (g->pid));
}

gboolean
rig_gateway_is_ready (RigGateway *g)
{
  int fd = rig_connect (g->ready, 500);
  static const char head[] = "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
  RigConn *c;
  RigMessage *m;
  gboolean ready;

  if (fd < 0)
    return FALSE;
  c = rig_conn_new (fd);
  rig_send (c, head, strlen (head));
  m = rig_read (c, FALSE, 1000);
  ready = m != NULL && rig_status (m) == 200;
  rig_message_free (m);
  rig_conn_free (c);
  return ready;
}

gboolean
rig_gateways_are_ready (RigGateway **all, guint count)
{
  gint64 end = rig_now_ms () + 15000;

  for (guint i = 0; i < count;)
    if (rig_gateway_is_ready (all[i]))
      i++;
    else if (rig_now_ms () > end)
      {
        fprintf (stderr, "%s is not ready\n", all[i]->name);
        return FALSE;
      }
    else
      rig_sleep_ms (200);
  return TRUE;
}

/* ---- clients ---- */

int
rig_request (const char *front, const char *method, const char *host,
             const char *path, const char *id, gint32 key, guint left_ms,
             const char *body, RigMessage **out)
{
  int fd = rig_connect (front, 1000), status;
  g_autoptr (GString) t = g_string_new (NULL);
  RigConn *c;
  RigMessage *m;

  if (out != NULL)
    *out = NULL;
  if (fd < 0)
    return 0;
  c = rig_conn_new (fd);
  g_string_append_printf (t,
                          "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
                          "X-Deadline-Ms: %u\r\n",
                          method, path, host, id, left_ms);
  if (key >= 0)
    g_string_append_printf (t, "X-Shard-Key: %d\r\n", key);
  if (body != NULL)
    g_string_append_printf (t, "Content-Length: %zu\r\n", strlen (body));
  g_string_append_printf (t, "\r\n%s", body != NULL ? body : "");
  rig_send (c, t->str, t->len);
  m = rig_read (c, FALSE, (int) left_ms);
  status = m != NULL ? rig_status (m) : 0;
  if (out != NULL)
    *out = m;
  else
    rig_message_free (m);
  rig_conn_free (c);
  return status;
}
