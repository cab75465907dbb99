/* Guards against callers that wait a second to connect when many connect at
 * once.  GLib sets a listen backlog of ten; beyond it the kernel drops the SYN,
 * which the caller's kernel retransmits after a second. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <unistd.h>

#include <cmocka.h>

#include "admin.h"

#define CALLERS 200

static void
test_many_connect_at_once (void **state)
{
  guint port = 20000 + (guint) getpid () % 20000;
  g_autofree char *at = g_strdup_printf ("127.77.0.1:%u", port);
  g_autoptr (SoupServer) server = soup_server_new (NULL, NULL);
  g_autoptr (GSocketAddress) to =
      g_inet_socket_address_new_from_string ("127.77.0.1", port);
  g_autoptr (GPtrArray) callers =
      g_ptr_array_new_with_free_func (g_object_unref);
  g_autofree char *message = NULL;

  assert_true (cc_http_listen (server, at, &message));
  for (guint i = 0; i < CALLERS; i++)
    {
      GSocket *s = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, NULL);

      g_ptr_array_add (callers, s);
      g_socket_set_timeout (s, 1);
      if (!g_socket_connect (s, to, NULL, NULL))
        fail_msg ("caller %u of %u could not connect", i, CALLERS);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_many_connect_at_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
