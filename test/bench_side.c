/* Compares paths by requests per processor second, over all processes that a
 * request passes: unlike requests per second of wall time this does not depend
 * on other load on the machine.  Latencies are measured at a constant rate and
 * from the time at which a request was due to be sent, so that a stalled path
 * does not hide its own delay (coordinated omission). */
#include "bench_side.h"

#include <math.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <gio/gio.h>

#include "clock.h"
#include "settings.h"

#define CONNECTIONS 32
/* Alternating runs of each side, as other load on the machine varies. */
#define ROUNDS 4
#define BUFFER 8192

typedef struct
{
  GSocket *socket;
  gboolean busy;
  gint64 due; /* when its request was due, us */
  char buffer[BUFFER];
  gsize length;
} Connection;

/* Returns the processor time of PID, user and system, in seconds; 0 if there is
 * no such process. */
static double
cpu_seconds (int pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/stat", pid);
  g_autofree char *text = NULL;
  unsigned long user = 0, sys = 0;

  if (pid == 0 || !g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  sscanf (strrchr (text, ')') + 2,
          "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &sys);
  return (double) (user + sys) / (double) sysconf (_SC_CLK_TCK);
}

static void
open_connection (Connection *c, const char *address)
{
  g_autofree char *ip = NULL;
  g_autoptr (GSocketAddress) to = NULL;
  guint16 port;

  cc_address_parse (address, &ip, &port);
  to = g_inet_socket_address_new_from_string (ip, port);
  c->socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                            G_SOCKET_PROTOCOL_TCP, NULL);
  if (!g_socket_connect (c->socket, to, NULL, NULL))
    g_error ("can't connect to %s", address);
  g_socket_set_option (c->socket, 6, 1, 1, NULL); /* TCP_NODELAY */
}

static void
send_request (const Side *s, Connection *c, gint64 due)
{
  c->busy = TRUE;
  c->due = due;
  c->length = 0;
  if (g_socket_send (c->socket, s->request, strlen (s->request), NULL, NULL) <
      0)
    g_error ("can't send");
}

/* Returns whether the buffer holds an answer with its whole body. */
static gboolean
is_complete (const Connection *c)
{
  const char *end = strstr (c->buffer, "\r\n\r\n");
  const char *length = strstr (c->buffer, "Content-Length:");
  gsize body = length != NULL ? strtoul (length + 15, NULL, 10) : 0;

  return end != NULL && c->length >= (gsize) (end - c->buffer) + 4 + body;
}

/* Reads what has arrived on C and counts the answer once it is complete. */
static void
receive_answer (Side *s, Connection *c)
{
  gssize n = g_socket_receive (c->socket, c->buffer + c->length,
                               BUFFER - 1 - c->length, NULL, NULL);

  if (n <= 0)
    g_error ("%s closed a connection", s->name);
  c->length += (gsize) n;
  c->buffer[c->length] = '\0';
  if (!is_complete (c))
    return;
  c->busy = FALSE;
  if (strncmp (c->buffer, "HTTP/1.1 200", 12) == 0)
    s->done++;
  else
    s->failed++;
  cc_histogram_add (&s->latency, cc_clock_now () - c->due);
}

/* Sends the requests that are due, at RATE a second with exponential gaps, or
 * with RATE 0 as soon as a connection is free. */
static void
send_due (const Side *s, Connection *all, double rate, gint64 *next, gint64 end,
          GRand *rand)
{
  gint64 now = cc_clock_now ();

  for (guint i = 0; i < CONNECTIONS; i++)
    {
      if (all[i].busy || now >= end)
        continue;
      if (rate > 0 && *next > now)
        return;
      send_request (s, &all[i], rate > 0 ? *next : now);
      if (rate > 0)
        *next += (gint64) (-log (1 - g_rand_double (rand)) * 1e6 / rate);
    }
}

/* Receives the answers that have arrived.  Returns the number of connections
 * that were awaiting one before. */
static guint
poll_connections (Side *s, Connection *all, gboolean paced)
{
  struct pollfd fds[CONNECTIONS];
  guint busy = 0;

  for (guint i = 0; i < CONNECTIONS; i++)
    {
      fds[i] = (struct pollfd){ g_socket_get_fd (all[i].socket), POLLIN, 0 };
      busy += all[i].busy ? 1 : 0;
    }
  poll (fds, CONNECTIONS, paced ? 0 : 1);
  for (guint i = 0; i < CONNECTIONS; i++)
    if (fds[i].revents != 0)
      receive_answer (s, &all[i]);
  return busy;
}

static double
cpu_of (const Side *s)
{
  return cpu_seconds (s->pids[0]) + cpu_seconds (s->pids[1]);
}

/* Sends requests to S for SECONDS over CONNECTIONS connections and adds to its
 * counts, at RATE a second, or with 0 as fast as it answers. */
static void
run (Side *s, double rate, double seconds)
{
  g_autofree Connection *all = g_new0 (Connection, CONNECTIONS);
  GRand *rand = g_rand_new_with_seed (1);
  gint64 began, end, next;
  double cpu;

  for (guint i = 0; i < CONNECTIONS; i++)
    open_connection (&all[i], s->address);
  cpu = cpu_of (s);
  began = next = cc_clock_now ();
  end = began + (gint64) (seconds * 1e6);
  do
    send_due (s, all, rate, &next, end, rand);
  while (poll_connections (s, all, rate > 0) > 0 || cc_clock_now () < end);
  s->seconds += (double) (cc_clock_now () - began) / 1e6;
  s->cpu += cpu_of (s) - cpu;
  for (guint i = 0; i < CONNECTIONS; i++)
    g_object_unref (all[i].socket);
  g_rand_free (rand);
}

static void
reset_counts (Side *s)
{
  s->cpu = s->seconds = 0;
  s->done = s->failed = 0;
  s->latency = (CcHistogram){ 0 };
}

/* Prints the rates of S and stores the one per processor second. */
static void
print_rate (Side *s)
{
  double all = (double) (s->done + s->failed);

  s->on_one_core = s->cpu > 0 ? (double) s->done / s->cpu : 0;
  printf ("%-8s %8.0f requests/s by the clock, %8.0f on one core, "
          "%.2f cores, failed %.2f%%\n",
          s->name, (double) s->done / s->seconds, s->on_one_core,
          s->cpu / s->seconds, 100 * (double) s->failed / all);
}

/* Prints the latencies of S and what they add to those of DIRECT. */
static void
print_latency (const Side *s, const Side *direct)
{
  const CcHistogram *h = &s->latency;
  double p50 = (double) cc_histogram_quantile (h, 0.5) / 1000;
  double p99 = (double) cc_histogram_quantile (h, 0.99) / 1000;
  double direct_p50 =
      (double) cc_histogram_quantile (&direct->latency, 0.5) / 1000;
  double direct_p99 =
      (double) cc_histogram_quantile (&direct->latency, 0.99) / 1000;

  printf ("%-8s p50 %.3f ms, p99 %.3f ms; added %.3f and %.3f; failed "
          "%" G_GUINT64_FORMAT "\n",
          s->name, p50, p99, p50 - direct_p50, p99 - direct_p99, s->failed);
}

/* Runs the N SIDES in turn, for SECONDS each, at RATE requests a second, or
 * with 0 as fast as they answer. */
static void
run_in_turns (Side *sides, guint n, double rate, double seconds)
{
  for (guint i = 0; i < n; i++)
    reset_counts (&sides[i]);
  for (guint k = 0; k < ROUNDS; k++)
    for (guint i = 0; i < n; i++)
      run (&sides[i], rate, seconds);
}

/* Measures the N SIDES for SECONDS a turn and prints their rates and latencies:
 * first as fast as they answer, then at half the rate of the last one per
 * processor second.  The first side is the server itself; the last one is
 * compared with the one before it. */
void
side_compare (Side *sides, guint n, double seconds)
{
  const Side *base = &sides[n - 2];
  const Side *last = &sides[n - 1];
  double half;

  run_in_turns (sides, n, 0, seconds);
  for (guint i = 0; i < n; i++)
    print_rate (&sides[i]);
  printf ("%s over %s relay, on one core: %.2f\n", last->name, base->name,
          last->on_one_core / base->on_one_core);
  half = last->on_one_core / 2;
  run_in_turns (sides, n, half, seconds);
  printf ("at %.0f requests/s:\n", half);
  for (guint i = 0; i < n; i++)
    print_latency (&sides[i], &sides[0]);
}
