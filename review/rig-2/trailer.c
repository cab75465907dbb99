/* A client sends the body of a request in chunks, ends it with a trailer
 * section of two fields (RFC 9112, 7.1.2), reads the answer, and sends its next
 * request on the same connection.  Broken if that gets an answer that is not
 * its own. */
#include "stand.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CONNECTIONS 20
#define SERVERS 3

static Server servers[SERVERS];

static void
start_servers (void)
{
  for (int i = 0; i < SERVERS; i++)
    {
      Server *s = &servers[i];

      snprintf (s->id, sizeof s->id, "i-%08x", 0x7f3a9100 + i);
      snprintf (s->service, sizeof s->service, "pokladna");
      snprintf (s->zone, sizeof s->zone, "hala-a");
      net_address (s->ip, sizeof s->ip, 2, i + 1);
      s->port = 8185;
      s->work_ms = 20;
      server_start (s);
    }
}

/* Sends the request SECOND on FD and checks that it gets its own answer. */
static int
check_second (int fd, int number)
{
  char request[512], own[64], id[256];
  int size, status;

  snprintf (own, sizeof own, "second-%d", number);
  size = snprintf (request, sizeof request,
                   "POST /xapu221/second HTTP/1.1\r\nHost: hulo84.example\r\n"
                   "X-Request-Id: %s\r\nX-Deadline-Ms: 1200\r\n"
                   "Content-Length: 6\r\n\r\nticket",
                   own);
  record ("sent     %s on the same connection", own);
  if (!client_send (fd, request, (size_t) size))
    {
      record ("answer   none for %s: the connection was closed", own);
      return 0;
    }
  status = client_read (fd, 1500, id, sizeof id);
  record ("answer   %d for %s, id in it: %s, runs: %d", status, own,
          id[0] != '\0' ? id : "none", runs_of (own));
  if (status >= 400 && status < 500 && status != 408 && status != 421 &&
      status != 429 && strcmp (id, own) != 0)
    {
      record ("BROKEN   MIXED, DENIED: %s, a proper request, got %d, the "
              "answer to the rest of the request before it",
              own, status);
      return 1;
    }
  return 0;
}

int
main (int argc, char **argv)
{
  bool trouble = argc < 3 || strcmp (argv[2], "0") != 0;
  int broken = 0, answered = 0;

  record_open (argc > 1 ? argv[1] : "record.txt");
  net_choose ();
  store_start ();
  store_put ("op", "config",
             "{\"version\":\"00000007\",\"routes\":{\"gate-purchase\":{"
             "\"host\":\"hulo84.example\",\"prefix\":\"/xapu221/\",\"kind\":"
             "\"unsafe\",\"timeoutMs\":1200,\"targetLatencyMs\":500,"
             "\"priority\":0,\"service\":\"pokladna\",\"maxAttempts\":2}},"
             "\"services\":{\"pokladna\":{\"healthPath\":\"/health\","
             "\"maxConns\":130}},\"limits\":{\"maxHeaderBytes\":16384,"
             "\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
             "\"idleTimeoutMs\":15000}}");
  start_servers ();
  gateway_start (1, "hala-a", true);
  gateway_start (2, "hala-b", true);
  if (!gateway_ready (1, 20000) || !gateway_ready (2, 20000))
    {
      record ("a gateway is not ready");
      gateways_end ();
      return 2;
    }
  for (int i = 0; i < CONNECTIONS; i++)
    {
      char first[1024], id[256];
      int fd = client_connect (1 + i % 2), size, status;

      size = snprintf (first, sizeof first,
                       "POST /xapu221/first HTTP/1.1\r\nHost: hulo84.example"
                       "\r\nX-Request-Id: first-%d\r\nX-Deadline-Ms: 1200\r\n"
                       "%sTransfer-Encoding: chunked\r\n\r\n"
                       "6\r\nticket\r\n0\r\n%s\r\n",
                       i, trouble ? "Trailer: X-Checksum, X-Signed-By\r\n" : "",
                       trouble ? "X-Checksum: 7b1f\r\nX-Signed-By: till-4\r\n"
                               : "");
      record ("sent     first-%d to gateway %d, in chunks%s", i, 1 + i % 2,
              trouble ? ", with two trailer fields" : "");
      if (fd < 0 || !client_send (fd, first, (size_t) size))
        {
          record ("a connection failed");
          gateways_end ();
          return 2;
        }
      status = client_read (fd, 1500, id, sizeof id);
      record ("answer   %d for first-%d, runs: %d", status, i,
              (snprintf (first, sizeof first, "first-%d", i), runs_of (first)));
      answered += status == 200;
      broken += check_second (fd, i);
      close (fd);
    }
  gateways_end ();
  record ("%d sent twice, %d first ones answered, %d breaks", CONNECTIONS,
          answered, broken);
  if (answered == 0)
    return 2;
  /* DENIED: more than 5 and one in 500 of all. */
  return broken > 5 ? 1 : 0;
}
