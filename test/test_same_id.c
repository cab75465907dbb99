/* Guards against the copy of a refusal that is taken for the answer to the same
 * request, which is under way again on its connection: the request runs and is
 * told "not run".  A scripted server refuses requests, and sends each refusal
 * once more as the next request arrives on the connection. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <gio/gio.h>

#include "carried_ids.h"
#include "clock.h"
#include "http_link.h"

#define ECHO "X-Echo"
#define WITHIN (2 * CC_SECOND)
#define STEPS_MAX 8
#define CONNECTIONS_MAX 4
#define TIMES 1000 /* that one id is sent */

typedef struct
{
  const char *id;
  gboolean refused;
  guint connection; /* that it arrives on, counted from 1 */
} Step;

typedef struct
{
  const char *name;
  gboolean copies; /* of refusals are sent */
  Step steps[STEPS_MAX];
} Case;

#define LONG                                                                   \
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"           \
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const Case cases[] = {
  { "again at once", TRUE, { { "a", TRUE, 1 }, { "a", FALSE, 2 } } },
  { "again after a refusal on another connection",
    TRUE,
    { { "a", TRUE, 1 }, { "a", TRUE, 2 }, { "a", FALSE, 3 } } },
  { "another id shares the connection",
    TRUE,
    { { "a", TRUE, 1 }, { "b", FALSE, 1 }, { "c", FALSE, 2 } } },
  { "an id that begins alike",
    TRUE,
    { { LONG "a", TRUE, 1 }, { LONG "b", FALSE, 1 } } },
  { "a long id", TRUE, { { LONG, TRUE, 1 }, { LONG, FALSE, 2 } } },
  { "an empty id", TRUE, { { "", TRUE, 1 }, { "", FALSE, 2 } } },
  { "again after others, without copies",
    FALSE,
    { { "a", TRUE, 1 },
      { "b", FALSE, 1 },
      { "c", FALSE, 1 },
      { "a", FALSE, 2 },
      { "d", FALSE, 2 },
      { "c", FALSE, 2 },
      { "b", TRUE, 2 } } },
  { "again after it was served",
    FALSE,
    { { "a", FALSE, 1 }, { "a", FALSE, 2 }, { "b", FALSE, 2 } } },
};

/* ---- the server ---- */

typedef struct
{
  GSocketConnection *stream;
  guint number;
  char *copy; /* of the last refusal; NULL: none */
} Line;

static struct
{
  GSocketService *service;
  char *address;
  gboolean copies;
  guint accepted, open, open_max;
  guint last; /* connection of the last request */
} server;

static void
line_free (gpointer data)
{
  Line *l = data;

  server.open--;
  g_io_stream_close (G_IO_STREAM (l->stream), NULL, NULL);
  g_object_unref (l->stream);
  g_free (l->copy);
  g_free (l);
}

static void
send_text (const Line *l, const char *text)
{
  g_socket_send (g_socket_connection_get_socket (l->stream), text,
                 strlen (text), NULL, NULL);
}

/* Returns the text between BEGIN and the end of its line in HEAD. */
static char *
text_after (const char *head, const char *begin)
{
  const char *at = strstr (head, begin);

  at += strlen (begin);
  return g_strndup (at, strcspn (at, "\r"));
}

/* Answers the request HEAD, whose path tells whether it is refused. */
static void
answer (Line *l, const char *head)
{
  gboolean refused = g_str_has_prefix (head, "GET /refused");
  g_autofree char *id = text_after (head, ECHO ": ");
  g_autofree char *text = g_strdup_printf ("HTTP/1.1 %u Status\r\n" ECHO
                                           ": %s\r\nContent-Length: 0\r\n\r\n",
                                           refused ? 503 : 200, id);

  if (l->copy != NULL)
    send_text (l, l->copy);
  g_clear_pointer (&l->copy, g_free);
  send_text (l, text);
  if (refused && server.copies)
    l->copy = g_steal_pointer (&text);
  server.last = l->number;
}

static gboolean
on_request (GSocket *socket, GIOCondition seen, gpointer data)
{
  char buffer[4096];
  gssize n = g_socket_receive (socket, buffer, sizeof buffer - 1, NULL, NULL);

  (void) seen;
  if (n <= 0)
    return G_SOURCE_REMOVE;
  buffer[n] = '\0';
  answer (data, buffer);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_connection (GSocketService *service, GSocketConnection *c, GObject *source,
               gpointer data)
{
  GSource *watch = g_socket_create_source (g_socket_connection_get_socket (c),
                                           G_IO_IN, NULL);
  Line *l = g_new0 (Line, 1);

  (void) service, (void) source, (void) data;
  l->stream = g_object_ref (c);
  l->number = ++server.accepted;
  server.open++;
  server.open_max = MAX (server.open_max, server.open);
  g_socket_set_blocking (g_socket_connection_get_socket (c), FALSE);
  g_source_set_callback (watch, G_SOURCE_FUNC (on_request), l, line_free);
  g_source_attach (watch, NULL);
  g_source_unref (watch);
  return TRUE;
}

static int
start_server (void **state)
{
  g_autoptr (GInetAddress) ip =
      g_inet_address_new_loopback (G_SOCKET_FAMILY_IPV4);
  g_autoptr (GSocketAddress) at = g_inet_socket_address_new (ip, 0);
  g_autoptr (GSocketAddress) got = NULL;

  (void) state;
  server.service = g_socket_service_new ();
  if (!g_socket_listener_add_address (G_SOCKET_LISTENER (server.service), at,
                                      G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, NULL, &got, NULL))
    return -1;
  server.address = g_strdup_printf (
      "127.0.0.1:%u",
      g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (got)));
  g_signal_connect (server.service, "incoming", G_CALLBACK (on_connection),
                    NULL);
  return 0;
}

/* ---- calls ---- */

typedef struct
{
  gboolean ended;
  CcHttpOutcome end;
  guint status;
} Outcome;

static void
on_done (const CcHttpResult *r, gpointer data)
{
  *(Outcome *) data = (Outcome){ TRUE, r->end, r->status };
}

/* Sends a request with ID and returns the status of its answer; 0: none. */
static guint
send_id (CcHttp *h, const char *id, gboolean refused, gint64 idle_max)
{
  g_autofree char *head =
      g_strdup_printf ("GET /%s HTTP/1.1\r\nHost: a\r\n" ECHO ": %s\r\n",
                       refused ? "refused" : "served", id);
  CcHttpRequest request = { .address = server.address,
                            .head = head,
                            .echo = ECHO,
                            .echo_value = id,
                            .connect_timeout = WITHIN,
                            .answer_timeout = WITHIN,
                            .idle_max = idle_max,
                            .connections_max = CONNECTIONS_MAX };
  Outcome out = { 0 };

  assert_non_null (cc_http_send (h, &request, on_done, &out));
  while (!out.ended)
    g_main_context_iteration (NULL, TRUE);
  return out.end == CC_HTTP_ANSWERED ? out.status : 0;
}

/* Returns a client, with the counts of the server set back. */
static CcHttp *
begin (gboolean copies)
{
  server.copies = copies;
  server.accepted = server.open_max = 0;
  return cc_http_new ("127.0.0.1");
}

/* Frees H, and waits until the server has found its connections closed. */
static void
end (CcHttp *h)
{
  cc_http_free (h);
  while (server.open > 0)
    g_main_context_iteration (NULL, TRUE);
}

/* Failure: the copy of a refusal counts as the answer to the same request on
 * the connection of that. */
static void
an_id_is_carried_once_by_a_connection (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      CcHttp *h = begin (c->copies);

      for (guint k = 0; k < STEPS_MAX && c->steps[k].id != NULL; k++)
        {
          const Step *s = &c->steps[k];
          guint status = send_id (h, s->id, s->refused, CC_SECOND);

          if (status != (s->refused ? 503 : 200) ||
              server.last != s->connection)
            fail_msg ("%s, request %u: status %u on connection %u", c->name, k,
                      status, server.last);
        }
      end (h);
    }
}

/* Failure: ids that come again and again open connections beyond the limit, or
 * fill the memory of the connections that are kept. */
static void
an_id_that_comes_a_thousand_times_keeps_the_limit (void **state)
{
  CcHttp *h = begin (TRUE);

  (void) state;
  for (guint i = 0; i < TIMES; i++)
    assert_int_equal (send_id (h, "a", i + 1 < TIMES, CC_SECOND),
                      i + 1 < TIMES ? 503 : 200);
  if (server.open_max > CONNECTIONS_MAX)
    fail_msg ("%u connections were open", server.open_max);
  end (h);
}

/* Failure: a connection that has carried as many ids as it keeps carries one of
 * them, or one that it can't keep, once more. */
static void
a_connection_that_keeps_no_more_ids_is_replaced (void **state)
{
  CcHttp *h = begin (FALSE);

  (void) state;
  for (guint i = 0; i < 2 * CC_CARRIED_IDS_MAX; i++)
    {
      g_autofree char *id = g_strdup_printf ("%u", i);

      assert_int_equal (send_id (h, id, FALSE, CC_SECOND), 200);
      if (server.last != i / CC_CARRIED_IDS_MAX + 1)
        fail_msg ("request %u came on connection %u", i, server.last);
    }
  end (h);
}

/* Failure: a request that must not use a connection that was idle gets the one
 * that became idle in the same microsecond. */
static void
a_new_connection_is_new_while_the_clock_stands (void **state)
{
  CcHttp *h = begin (FALSE);

  (void) state;
  cc_clock_pause (1000 * CC_SECOND, 1000 * CC_SECOND);
  assert_int_equal (send_id (h, "a", FALSE, 0), 200);
  assert_int_equal (send_id (h, "b", FALSE, 0), 200);
  assert_int_equal (server.last, 2);
  cc_clock_resume ();
  end (h);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (an_id_is_carried_once_by_a_connection),
    cmocka_unit_test (an_id_that_comes_a_thousand_times_keeps_the_limit),
    cmocka_unit_test (a_connection_that_keeps_no_more_ids_is_replaced),
    cmocka_unit_test (a_new_connection_is_new_while_the_clock_stands),
  };

  return cmocka_run_group_tests (tests, start_server, NULL);
}
