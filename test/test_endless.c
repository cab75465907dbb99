/* Guards against bytes without end from a faulty upstream taking the memory or
 * the main loop of the process.  Threads send them until they are cut off. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <signal.h>
#include <string.h>

#include <cmocka.h>
#include <gio/gio.h>

#include "clock.h"
#include "endless_server.h"
#include "http_link.h"
#include "process.h"
#include "timers.h"

#define CALLS 12 /* at once, of each kind */
#define TIMEOUT (1500 * CC_MS)
#define ENDS_WITHIN (2 * CC_SECOND)
#define TICK (10 * CC_MS)
/* Lateness of timers that the callers of other upstreams would notice. */
#define LATE_MAX (150 * CC_MS)
/* Memory for all calls together; an instance may have 260 MB. */
#define MEMORY_MAX (64 * 1024 * 1024)
/* Calls to faulty upstreams at once, while calls to another are counted. */
#define CROWD 48
#define CROWD_PAUSE (50 * CC_MS) /* until one of these is repeated */
#define COUNTED_FOR (1 * CC_SECOND)
/* Part of the calls to the other upstream that is still made. */
#define SHARE_MIN 0.5

#define OK "HTTP/1.1 200 OK\r\n"

static struct
{
  CcTimer timer;
  gint64 due, latest; /* of the timer; its greatest lateness, us */
  gint64 memory;      /* most, bytes */
  guint ended, answered;
} w;

static void
on_tick (gpointer data)
{
  gint64 now = cc_clock_now ();

  (void) data;
  w.latest = MAX (w.latest, now - w.due);
  w.memory = MAX (w.memory, cc_process_resident_bytes ());
  w.due = now + TICK;
  cc_timer_start (&w.timer, TICK, on_tick, NULL);
}

static void
on_result (const CcHttpResult *r, gpointer data)
{
  (void) data;
  w.ended++;
  w.answered += r->end == CC_HTTP_ANSWERED;
}

static void
play (CcHttp *http, const char *address, const EndlessKind *c)
{
  gint64 from = cc_clock_now (), before = cc_process_resident_bytes ();

  endless_playing = c;
  w.ended = w.answered = 0;
  w.latest = 0;
  w.memory = before;
  w.due = from;
  on_tick (NULL);
  for (guint i = 0; i < CALLS; i++)
    {
      CcHttpRequest o = { .address = address,
                          .head = "GET / HTTP/1.1\r\nHost: a\r\n",
                          .echo = "X-Echo",
                          .echo_value = "1",
                          .connect_timeout = TIMEOUT,
                          .answer_timeout = TIMEOUT };

      assert_non_null (cc_http_send (http, &o, on_result, NULL));
    }
  while (w.ended < CALLS && cc_clock_now () - from < 4 * ENDS_WITHIN)
    g_main_context_iteration (NULL, TRUE);
  cc_timer_stop (&w.timer);
  print_message (
      "%s: %u of %u ended after %.2f s, timers late by %.0f ms, %.1f "
      "MB\n",
      c->name, w.ended, CALLS, (double) (cc_clock_now () - from) / 1e6,
      (double) w.latest / 1e3, (double) (w.memory - before) / (1024 * 1024));
  assert_int_equal (w.ended, CALLS);
  assert_int_equal (w.answered, 0);
  assert_true (cc_clock_now () - from < ENDS_WITHIN);
  if (w.latest > LATE_MAX)
    fail_msg ("%s: timers late by %" G_GINT64_FORMAT " ms", c->name,
              w.latest / CC_MS);
  if (w.memory - before > MEMORY_MAX)
    fail_msg ("%s: %" G_GINT64_FORMAT " MB", c->name,
              (w.memory - before) / (1024 * 1024));
}

static void
endless_bytes_are_cut_off (void **state)
{
  GSocketService *service;
  g_autofree char *address =
      endless_server_start (CALLS, endless_serve, &service);
  CcHttp *http = cc_http_new ("127.0.0.1");

  (void) state;
  for (guint i = 0; i < ENDLESS_KINDS; i++)
    play (http, address, &endless_kinds[i]);
  cc_http_free (http);
  g_object_unref (service);
}

/* Answers each request on a connection. */
static gboolean
on_good_connection (GThreadedSocketService *service, GSocketConnection *c,
                    GObject *source, gpointer data)
{
  static const char answer[] = OK "Content-Length: 2\r\n\r\nok";
  GSocket *socket = g_socket_connection_get_socket (c);
  char request[4096];

  (void) service, (void) source, (void) data;
  while (g_socket_receive (socket, request, sizeof request, NULL, NULL) > 0 &&
         g_socket_send (socket, answer, sizeof answer - 1, NULL, NULL) > 0)
    continue;
  return TRUE;
}

/* A call that is repeated when it has ended. */
typedef struct
{
  CcHttp *http;
  const char *address;
  gint64 pause;    /* before it is repeated, us */
  gint64 idle_max; /* of a connection that is used again, us */
  CcTimer timer;
  gboolean in_progress;
  guint answered;
  gboolean stopped;
} Repeated;

static void on_repeated_result (const CcHttpResult *r, gpointer data);

static void
repeat_call (gpointer data)
{
  static guint64 ids;
  Repeated *p = data;
  g_autofree char *id = g_strdup_printf ("%" G_GUINT64_FORMAT, ids++);
  CcHttpRequest o = { .address = p->address,
                      .head = "GET / HTTP/1.1\r\nHost: a\r\n",
                      .echo = "X-Echo",
                      .echo_value = id,
                      .connect_timeout = TIMEOUT,
                      .answer_timeout = TIMEOUT,
                      .idle_max = p->idle_max };

  p->in_progress = cc_http_send (p->http, &o, on_repeated_result, p) != NULL;
  assert_true (p->in_progress);
}

static void
on_repeated_result (const CcHttpResult *r, gpointer data)
{
  Repeated *p = data;

  p->in_progress = FALSE;
  p->answered += r->end == CC_HTTP_ANSWERED;
  if (!p->stopped && p->pause > 0)
    cc_timer_start (&p->timer, p->pause, repeat_call, p);
  else if (!p->stopped)
    repeat_call (p);
}

/* Returns how many calls to the good upstream P are made in COUNTED_FOR. */
static guint
count_calls (Repeated *p)
{
  gint64 from = cc_clock_now ();

  p->answered = 0;
  while (cc_clock_now () - from < COUNTED_FOR)
    g_main_context_iteration (NULL, TRUE);
  return p->answered;
}

static void
stop_call (Repeated *p)
{
  p->stopped = TRUE;
  cc_timer_stop (&p->timer);
  while (p->in_progress)
    g_main_context_iteration (NULL, TRUE);
}

/* Guards against callers of other upstreams that are served at a fraction of
 * their rate while the main loop reads bytes that it throws away. */
static void
other_calls_go_on_beside_endless_bytes (void **state)
{
  GSocketService *bad, *good;
  g_autofree char *bad_address =
      endless_server_start (CROWD, endless_serve, &bad);
  g_autofree char *good_address =
      endless_server_start (4, on_good_connection, &good);
  CcHttp *http = cc_http_new ("127.0.0.1");
  guint failed = 0;

  (void) state;
  for (guint i = 0; i < ENDLESS_KINDS; i++)
    {
      Repeated other = { .http = http,
                         .address = good_address,
                         .idle_max = CC_SECOND };
      Repeated crowd[CROWD];
      gint64 before;
      guint alone, beside;

      endless_playing = &endless_kinds[i];
      repeat_call (&other);
      alone = count_calls (&other);
      for (guint k = 0; k < CROWD; k++)
        {
          crowd[k] = (Repeated){ .http = http,
                                 .address = bad_address,
                                 .pause = CROWD_PAUSE };
          repeat_call (&crowd[k]);
        }
      w.memory = before = cc_process_resident_bytes ();
      on_tick (NULL);
      beside = count_calls (&other);
      cc_timer_stop (&w.timer);
      for (guint k = 0; k < CROWD; k++)
        stop_call (&crowd[k]);
      stop_call (&other);
      print_message ("%s: %u calls to another upstream, %u alone, %.1f MB\n",
                     endless_kinds[i].name, beside, alone,
                     (double) (w.memory - before) / (1024 * 1024));
      failed += beside < SHARE_MIN * alone || w.memory - before > MEMORY_MAX;
    }
  cc_http_free (http);
  g_object_unref (bad);
  g_object_unref (good);
  assert_int_equal (failed, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (endless_bytes_are_cut_off),
    cmocka_unit_test (other_calls_go_on_beside_endless_bytes),
  };

  signal (SIGPIPE, SIG_IGN);
  cc_process_map_large_blocks ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
