/* A client sends a request with the method VERSION-CONTROL (RFC 3253), and on
 * the same connection GET requests whose paths hold escaped characters.  Broken
 * if a server runs one with another path than the one that was sent. */
#include "stand.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CONNECTIONS 20
#define LATER 3 /* requests after the first one on a connection */
#define SERVERS 3

static const char *const paths[LATER] = {
  "/lepu270/%7Enovak/tour", "/lepu270/slots?castle=Karl%2D%C5%A0tejn&at=%39",
  "/lepu270/%41%2E/%5Fq"
};

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
      server_start (s);
    }
}

/* Sends a request on FD and compares what a server has run.  Returns 1 if the
 * path was changed, -1 if there was no answer. */
static int
check_request (int fd, const char *method, const char *path, const char *id)
{
  char request[512], answer_id[256];
  const char *ran;
  int size, status;

  size = snprintf (request, sizeof request,
                   "%s %s HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: "
                   "%s\r\nX-Deadline-Ms: 1500\r\n\r\n",
                   method, path, id);
  record ("sent     %s: %s %s", id, method, path);
  if (!client_send (fd, request, (size_t) size))
    return -1;
  status = client_read (fd, 2000, answer_id, sizeof answer_id);
  record ("answer   %d for %s", status, id);
  ran = path_of (id);
  if (status <= 0)
    return -1;
  if (ran == NULL || strcmp (ran, path) == 0)
    return 0;
  record ("BROKEN   UNASKED: %s was sent with %s and ran with %s", id, path,
          ran);
  return 1;
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
  for (int i = 0; i < CONNECTIONS; i++)
    {
      int fd = client_connect (1 + i % 2), result;
      char id[64];

      if (fd < 0)
        continue;
      snprintf (id, sizeof id, "c%d-first", i);
      result = check_request (fd, trouble ? "VERSION-CONTROL" : "REPORT",
                              "/lepu270/plans", id);
      answered += result >= 0;
      broken += result == 1;
      for (int k = 0; k < LATER && result >= 0; k++)
        {
          snprintf (id, sizeof id, "c%d-%d", i, k);
          result = check_request (fd, "GET", paths[k], id);
          answered += result >= 0;
          broken += result == 1;
        }
      close (fd);
    }
  gateways_end ();
  record ("%d requests answered, %d ran with another path", answered, broken);
  if (answered < CONNECTIONS)
    return 2;
  return broken > 0 ? 1 : 0;
}
