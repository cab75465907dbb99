/* A TCP relay in front of every mailbox, server and the platform, by which
 * tests cut links.
 *
 * Its map file has two kinds of lines:
 *   front FRONT REAL ZONE NAME   connections to FRONT (IP:PORT) go to REAL
 *   from  IP ZONE NAME           connections from IP come from there
 * A rule names two ends, each a zone or a name.
 *   PUT /cut?a=X&b=Y     what passes between X and Y stops, nothing is closed;
 *                        after /heal it flows on, as TCP's repeats would
 *   PUT /oneway?a=X&b=Y  the same for what X sends to Y only
 *   PUT /delay?a=X&b=Y&ms=N  each piece between X and Y waits N ms
 *   PUT /heal?a=X&b=Y    those end that were set for X and Y; without, all do
 *   PUT /reset?a=X&b=Y&percent=N  so many of the connections are reset
 *   PUT /silence?a=X&b=Y open connections between X and Y swallow everything
 *                        for good, new ones work
 * Each answers with the number of connections it touched.
 *   GET /traffic         a line for each front: its name, bytes passed both
 * ways
 */
#define _GNU_SOURCE
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib-unix.h>

#include "admin.h"
#include "settings.h"

#define BUFFER 65536

typedef struct
{
  char *zone;
  char *name;
} End;

typedef enum
{
  RULE_CUT,
  RULE_ONE_WAY, /* from A to B */
  RULE_DELAY
} RuleKind;

typedef struct
{
  RuleKind kind;
  char *a, *b;
  guint delay; /* ms */
} Rule;

typedef struct
{
  GSocketAddress *real;
  End end;
  guint64 passed; /* bytes, both ways */
} Front;

typedef struct Link Link;

typedef struct
{
  Link *link;
  int from, to; /* files */
  char *data;
  gsize filled, written;
  gboolean waited; /* a delay for what is filled is over */
  guint watch;     /* a source of the main loop */
} Flow;

struct Link
{
  End source;
  Front *front;
  int fd[2];
  Flow flow[2];
  gboolean silent;
  gboolean connected;
};

static GPtrArray *links;
static GPtrArray *fronts;
static GPtrArray *rules;
static GHashTable *sources; /* IP to End */

static void arm (Flow *f);

static gboolean
is_at (const End *e, const char *where)
{
  return g_str_equal (where, "*") || g_str_equal (e->zone, where) ||
         g_str_equal (e->name, where);
}

static gboolean
is_between (const Link *l, const char *a, const char *b)
{
  const End *s = &l->source, *t = &l->front->end;

  return (is_at (s, a) && is_at (t, b)) || (is_at (s, b) && is_at (t, a));
}

static gboolean
holds_for (const Rule *r, const Flow *f)
{
  const Link *l = f->link;
  const End *from = f == &l->flow[0] ? &l->source : &l->front->end;
  const End *to = f == &l->flow[0] ? &l->front->end : &l->source;

  switch (r->kind)
    {
    case RULE_CUT:
    case RULE_DELAY:
      return is_between (l, r->a, r->b);
    case RULE_ONE_WAY:
      return is_at (from, r->a) && is_at (to, r->b);
    }
  return FALSE;
}

static gboolean
is_cut (const Flow *f)
{
  for (guint i = 0; i < rules->len; i++)
    {
      const Rule *r = rules->pdata[i];

      if (r->kind != RULE_DELAY && holds_for (r, f))
        return TRUE;
    }
  return f->link->silent;
}

/* How long a piece of F is held back, ms. */
static guint
delay_of (const Flow *f)
{
  guint most = 0;

  for (guint i = 0; i < rules->len; i++)
    {
      const Rule *r = rules->pdata[i];

      if (r->kind == RULE_DELAY && holds_for (r, f))
        most = MAX (most, r->delay);
    }
  return most;
}

static void
link_close (Link *l)
{
  for (guint i = 0; i < 2; i++)
    {
      if (l->flow[i].watch != 0)
        g_source_remove (l->flow[i].watch);
      g_free (l->flow[i].data);
      if (l->fd[i] >= 0)
        close (l->fd[i]);
    }
  g_ptr_array_remove_fast (links, l);
  g_free (l);
}

static gboolean
read_some (Flow *f)
{
  gssize n = read (f->from, f->data, BUFFER);

  if (n <= 0)
    return n < 0 && errno == EAGAIN;
  f->link->front->passed += (guint64) n;
  f->filled = (gsize) n;
  f->written = 0;
  f->waited = FALSE;
  return TRUE;
}

static gboolean
write_some (Flow *f)
{
  gssize n =
      send (f->to, f->data + f->written, f->filled - f->written, MSG_NOSIGNAL);

  if (n < 0)
    return errno == EAGAIN;
  f->written += (gsize) n;
  if (f->written == f->filled)
    f->filled = f->written = 0;
  return TRUE;
}

static gboolean
on_waited (gpointer data)
{
  Flow *f = data;

  f->watch = 0;
  f->waited = TRUE;
  arm (f);
  return G_SOURCE_REMOVE;
}

static gboolean
on_flow (gint fd, GIOCondition condition, gpointer data)
{
  Flow *f = data;
  gboolean good;

  (void) fd, (void) condition;
  f->watch = 0;
  if (is_cut (f))
    return G_SOURCE_REMOVE;
  good = f->filled > 0 ? write_some (f) : read_some (f);
  if (good && f->filled > f->written && delay_of (f) == 0)
    good = write_some (f);
  if (good)
    arm (f);
  else
    link_close (f->link);
  return G_SOURCE_REMOVE;
}

static void
arm (Flow *f)
{
  guint delay;

  if (f->watch != 0 || f->link->fd[1] < 0 || is_cut (f))
    return;
  delay = f->filled > 0 && !f->waited ? delay_of (f) : 0;
  if (delay > 0)
    f->watch = g_timeout_add (delay, on_waited, f);
  else if (f->filled > 0)
    f->watch = g_unix_fd_add (f->to, G_IO_OUT | G_IO_ERR, on_flow, f);
  else
    f->watch =
        g_unix_fd_add (f->from, G_IO_IN | G_IO_HUP | G_IO_ERR, on_flow, f);
}

/* Doesn't wait: a frozen process with a full backlog answers no handshake, and
 * the relay would stand still for everybody. */
static int
connect_real (const Link *l, const char *source)
{
  guint8 raw[128];
  gssize size = g_socket_address_get_native_size (l->front->real);
  g_autoptr (GSocketAddress) local =
      g_inet_socket_address_new_from_string (source, 0);
  guint8 own[128];
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  g_socket_address_to_native (l->front->real, raw, sizeof raw, NULL);
  g_socket_address_to_native (local, own, sizeof own, NULL);
  if (bind (fd, (struct sockaddr *) own, (socklen_t) size) != 0 ||
      (connect (fd, (struct sockaddr *) raw, (socklen_t) size) != 0 &&
       errno != EINPROGRESS))
    {
      close (fd);
      return -1;
    }
  return fd;
}

static void
link_open (Link *l)
{
  l->connected = TRUE;
  l->fd[1] = connect_real (l, "127.0.0.1");
  if (l->fd[1] < 0)
    {
      link_close (l);
      return;
    }
  for (guint i = 0; i < 2; i++)
    {
      l->flow[i].from = l->fd[i];
      l->flow[i].to = l->fd[1 - i];
      arm (&l->flow[i]);
    }
}

static gboolean
on_accept (gint fd, GIOCondition condition, gpointer data)
{
  Front *front = data;
  struct sockaddr_storage peer;
  socklen_t size = sizeof peer;
  int one = accept4 (fd, (struct sockaddr *) &peer, &size,
                     SOCK_CLOEXEC | SOCK_NONBLOCK);
  g_autoptr (GSocketAddress) address = NULL;
  g_autofree char *ip = NULL;
  static End nowhere = { (char *) "-", (char *) "-" };
  End *source;
  Link *l;

  (void) condition;
  if (one < 0)
    return G_SOURCE_CONTINUE;
  address = g_socket_address_new_from_native (&peer, size);
  ip = g_inet_address_to_string (
      g_inet_socket_address_get_address (G_INET_SOCKET_ADDRESS (address)));
  source = g_hash_table_lookup (sources, ip);
  l = g_new0 (Link, 1);
  l->source = source != NULL ? *source : nowhere;
  l->front = front;
  l->fd[0] = one;
  l->fd[1] = -1;
  for (guint i = 0; i < 2; i++)
    {
      l->flow[i].link = l;
      l->flow[i].data = g_malloc (BUFFER);
    }
  g_ptr_array_add (links, l);
  if (!is_cut (&l->flow[0]) && !is_cut (&l->flow[1]))
    link_open (l);
  return G_SOURCE_CONTINUE;
}

static GSocketAddress *
parse_address (const char *text)
{
  g_autofree char *ip = NULL;
  guint16 port = 0;

  cc_address_parse (text, &ip, &port);
  return g_inet_socket_address_new_from_string (ip, port);
}

static void
open_front (char **f)
{
  Front *front = g_new0 (Front, 1);
  g_autoptr (GSocketAddress) at = parse_address (f[1]);
  g_autoptr (GError) error = NULL;
  GSocket *s = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                             G_SOCKET_PROTOCOL_TCP, NULL);

  g_ptr_array_add (fronts, front);
  front->real = parse_address (f[2]);
  front->end.zone = g_strdup (f[3]);
  front->end.name = g_strdup (f[4]);
  g_socket_set_listen_backlog (s, 1024);
  g_socket_set_blocking (s, FALSE);
  if (!g_socket_bind (s, at, TRUE, &error) || !g_socket_listen (s, &error))
    g_error ("relay: %s: %s", f[1], error->message);
  g_unix_fd_add (g_socket_get_fd (s), G_IO_IN, on_accept, front);
}

static void
read_map (const char *file)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    g_error ("relay: can't read %s", file);
  lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      g_auto (GStrv) f = g_strsplit (lines[i], " ", -1);

      if (g_strv_length (f) == 5)
        open_front (f);
      if (g_strv_length (f) == 4)
        {
          End *e = g_new0 (End, 1);

          e->zone = g_strdup (f[2]);
          e->name = g_strdup (f[3]);
          g_hash_table_insert (sources, g_strdup (f[1]), e);
        }
    }
}

static void
answer_count (SoupServerMessage *m, guint n)
{
  g_autofree char *text = g_strdup_printf ("%u\n", n);

  cc_http_answer (m, SOUP_STATUS_OK, "text/plain", text);
}

/* DATA is the kind of the rule, as a pointer. */
static void
on_rule (SoupServer *server, SoupServerMessage *m, const char *path,
         GHashTable *query, gpointer data)
{
  Rule *r = g_new0 (Rule, 1);
  const char *ms = g_hash_table_lookup (query, "ms");
  guint n = 0;

  (void) server, (void) path;
  r->kind = GPOINTER_TO_UINT (data);
  r->a = g_strdup (g_hash_table_lookup (query, "a"));
  r->b = g_strdup (g_hash_table_lookup (query, "b"));
  r->delay = ms != NULL ? (guint) atoi (ms) : 0;
  for (guint i = 0; i < links->len; i++)
    n += is_between (links->pdata[i], r->a, r->b);
  g_ptr_array_add (rules, r);
  answer_count (m, n);
}

static void
reset (int fd)
{
  struct linger now = { 1, 0 };

  if (fd >= 0)
    (void) setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

static void
on_reset (SoupServer *server, SoupServerMessage *m, const char *path,
          GHashTable *query, gpointer data)
{
  const char *percent = g_hash_table_lookup (query, "percent");
  gint32 part = percent != NULL ? atoi (percent) : 100;
  guint n = 0;

  (void) server, (void) path, (void) data;
  for (guint i = links->len; i-- > 0;)
    {
      Link *l = links->pdata[i];

      if (!is_between (l, g_hash_table_lookup (query, "a"),
                       g_hash_table_lookup (query, "b")) ||
          g_random_int_range (0, 100) >= part)
        continue;
      reset (l->fd[0]);
      reset (l->fd[1]);
      link_close (l);
      n++;
    }
  answer_count (m, n);
}

/* Whether R is between the ends A and B as they were named; without A all are
 * meant. */
static gboolean
is_named (const Rule *r, const char *a, const char *b)
{
  return a == NULL || a[0] == '\0' ||
         (g_str_equal (r->a, a) && g_strcmp0 (r->b, b) == 0);
}

static void
on_heal (SoupServer *server, SoupServerMessage *m, const char *path,
         GHashTable *query, gpointer data)
{
  g_autoptr (GPtrArray) all = g_ptr_array_copy (links, NULL, NULL);
  guint n = 0;

  (void) server, (void) path, (void) data;
  for (guint i = rules->len; i-- > 0;)
    if (is_named (rules->pdata[i], g_hash_table_lookup (query, "a"),
                  g_hash_table_lookup (query, "b")))
      {
        g_ptr_array_remove_index (rules, i);
        n++;
      }
  for (guint i = 0; i < all->len; i++)
    {
      Link *l = all->pdata[i];

      if (!l->connected && !is_cut (&l->flow[0]) && !is_cut (&l->flow[1]))
        link_open (l);
      else if (l->connected)
        {
          arm (&l->flow[0]);
          arm (&l->flow[1]);
        }
    }
  answer_count (m, n);
}

static void
on_silence (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  guint n = 0;

  (void) server, (void) path, (void) data;
  for (guint i = 0; i < links->len; i++)
    {
      Link *l = links->pdata[i];

      if (!is_between (l, g_hash_table_lookup (query, "a"),
                       g_hash_table_lookup (query, "b")))
        continue;
      l->silent = TRUE;
      n++;
    }
  answer_count (m, n);
}

static void
on_traffic (SoupServer *server, SoupServerMessage *m, const char *path,
            GHashTable *query, gpointer data)
{
  g_autoptr (GString) text = g_string_new (NULL);

  (void) server, (void) path, (void) query, (void) data;
  for (guint i = 0; i < fronts->len; i++)
    {
      const Front *f = fronts->pdata[i];

      g_string_append_printf (text, "%s %" G_GUINT64_FORMAT "\n", f->end.name,
                              f->passed);
    }
  cc_http_answer (m, SOUP_STATUS_OK, "text/plain", text->str);
}

int
main (int argc, char **argv)
{
  CcSetting settings[] = {
    { CC_SETTING_STRING, "instance", "relay", "name in logs", 0, 0, NULL },
    { CC_SETTING_ADDRESS, "control", NULL, "where rules are set", 0, 0, NULL },
    { CC_SETTING_STRING, "map", NULL, "file of fronts and sources", 0, 0,
      NULL },
    { CC_SETTING_STRING, NULL, NULL, NULL, 0, 0, NULL }
  };
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (SoupServer) control = soup_server_new (NULL, NULL);
  g_autofree char *message = NULL;

  if (cc_settings_read (settings, "relay", "Cuts links between zones.", argc,
                        argv) != CC_START_RUN)
    return 2;
  /* An end of a link may close while the other is written to. */
  signal (SIGPIPE, SIG_IGN);
  links = g_ptr_array_new ();
  fronts = g_ptr_array_new ();
  rules = g_ptr_array_new ();
  sources = g_hash_table_new (g_str_hash, g_str_equal);
  read_map (cc_setting (settings, "map"));
  soup_server_add_handler (control, "/cut", on_rule,
                           GUINT_TO_POINTER (RULE_CUT), NULL);
  soup_server_add_handler (control, "/oneway", on_rule,
                           GUINT_TO_POINTER (RULE_ONE_WAY), NULL);
  soup_server_add_handler (control, "/delay", on_rule,
                           GUINT_TO_POINTER (RULE_DELAY), NULL);
  soup_server_add_handler (control, "/reset", on_reset, NULL, NULL);
  soup_server_add_handler (control, "/heal", on_heal, NULL, NULL);
  soup_server_add_handler (control, "/silence", on_silence, NULL, NULL);
  soup_server_add_handler (control, "/traffic", on_traffic, NULL, NULL);
  if (!cc_http_listen (control, cc_setting (settings, "control"), &message))
    {
      fprintf (stderr, "relay: %s\n", message);
      return 1;
    }
  g_main_loop_run (loop);
  return 0;
}
