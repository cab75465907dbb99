/* Clients ask for a part of an answer, by a Range header, and servers answer
 * with the whole, as they may (RFC 9110, 14.2).  Broken if a client gets a
 * success whose body is not the server's whole body, or a failure that bears a
 * server's signature and another status than the server gave. */
#include "stand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define REQUESTS 40
#define SERVERS 3
#define ANSWER_SIZE 1500 /* as large as the site's in the mean */

static const char *const ranges[] = { "bytes=0-99", "bytes=-200",
                                      "bytes=0-9,100-109", "bytes=5000-5999" };
#define RANGES ((int) (sizeof ranges / sizeof ranges[0]))

static Server servers[SERVERS];

static void
start_servers (void)
{
  for (int i = 0; i < SERVERS; i++)
    {
      Server *s = &servers[i];

      snprintf (s->id, sizeof s->id, "i-%08x", 0x7f3a9100 + i);
      snprintf (s->service, sizeof s->service, "katalog");
      snprintf (s->zone, sizeof s->zone, "hala-a");
      net_address (s->ip, sizeof s->ip, 2, i + 1);
      s->port = 8185;
      s->work_ms = 20;
      s->answer_size = ANSWER_SIZE;
      server_start (s);
    }
}

/* Checks the answer A to the request ID, which every server answers with 200
 * and its whole body.  Returns 1 if the rule is broken. */
static int
check_answer (const Answer *a, const char *id)
{
  static char whole[TEXT_MAX];
  size_t length = answer_body (id, ANSWER_SIZE, whole);

  if (a->status >= 200 && a->status < 300 &&
      (a->signature[0] == '\0' || a->length != length ||
       memcmp (a->body, whole, length) != 0))
    {
      record ("BROKEN   MIXED: %s got %d with the server's signature and %zu "
              "bytes, the server answered 200 with %zu",
              id, a->status, a->length, length);
      return 1;
    }
  if (a->status >= 300 && a->signature[0] != '\0')
    {
      record ("BROKEN   MIXED: %s got %d with the server's signature, the "
              "server answered 200",
              id, a->status);
      return 1;
    }
  return 0;
}

int
main (int argc, char **argv)
{
  bool trouble = argc < 3 || strcmp (argv[2], "0") != 0;
  Answer *a = malloc (sizeof *a);
  int broken = 0, answered = 0;

  record_open (argc > 1 ? argv[1] : "record.txt");
  net_choose ();
  store_start ();
  store_put ("op", "config",
             "{\"version\":\"00000007\",\"routes\":{\"slot-lookup\":{\"host\":"
             "\"jepu9.example\",\"prefix\":\"/lepu270/\",\"kind\":\"safe\","
             "\"timeoutMs\":1500,\"targetLatencyMs\":600,\"priority\":2,"
             "\"service\":\"katalog\",\"maxAttempts\":2}},\"services\":{"
             "\"katalog\":{\"healthPath\":\"/health\",\"maxConns\":130}},"
             "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
             "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  start_servers ();
  gateway_start (1, "hala-a", true);
  gateway_start (2, "hala-b", true);
  if (!gateway_ready (1, 20000) || !gateway_ready (2, 20000))
    {
      record ("a gateway is not ready");
      gateways_end ();
      return 2;
    }
  for (int i = 0; i < REQUESTS; i++)
    {
      char request[512], range[64] = "", id[32];
      int fd = client_connect (1 + i % 2), size;

      snprintf (id, sizeof id, "lookup-%d", i);
      if (trouble)
        snprintf (range, sizeof range, "Range: %s\r\n", ranges[i % RANGES]);
      size = snprintf (request, sizeof request,
                       "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\n"
                       "X-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\n%s\r\n",
                       id, range);
      record ("sent     %s%s%s", id, trouble ? ", range " : "",
              trouble ? ranges[i % RANGES] : "");
      if (fd < 0 || !client_send (fd, request, (size_t) size))
        {
          record ("a connection failed");
          gateways_end ();
          return 2;
        }
      if (client_answer (fd, 2000, a) > 0)
        {
          record ("answer   %d for %s, %zu bytes, signature: %s", a->status, id,
                  a->length, a->signature[0] != '\0' ? a->signature : "none");
          answered++;
          broken += check_answer (a, id);
        }
      close (fd);
    }
  gateways_end ();
  record ("%d requests answered, %d breaks", answered, broken);
  if (answered < REQUESTS / 2)
    return 2;
  return broken > 0 ? 1 : 0;
}
