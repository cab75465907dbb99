/* A client sends a request whose body is the text of another request, and tells
 * the length of the body in a way in which a server must refuse the message
 * with 400 (RFC 9112): by turns with two lengths that differ (6.3), and with a
 * blank before the colon (5.1).  Broken if a server runs the request that
 * stands in the body, or runs the outer one with another body. */
#include "stand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define REQUESTS 20
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
  for (int i = 0; i < REQUESTS; i++)
    {
      bool two = i % 4 < 2;
      char inner[512], outer[2048], id[256];
      int fd = client_connect (1 + i % 2), size, status;

      snprintf (inner, sizeof inner,
                "POST /xapu221/inner HTTP/1.1\r\nHost: hulo84.example\r\n"
                "X-Request-Id: inner-%d\r\nX-Deadline-Ms: 1200\r\n"
                "Content-Length: 0\r\n\r\n",
                i);
      size = snprintf (outer, sizeof outer,
                       "POST /xapu221/outer HTTP/1.1\r\nHost: hulo84.example"
                       "\r\nX-Request-Id: outer-%d\r\nX-Deadline-Ms: 1200\r\n"
                       "Content-Length%s: %zu\r\n%s\r\n%s",
                       i, trouble && !two ? " " : "", strlen (inner),
                       trouble && two ? "Content-Length: 0\r\n" : "", inner);
      record ("sent     outer-%d to gateway %d, with inner-%d as its body%s", i,
              1 + i % 2, i,
              !trouble ? ""
              : two    ? ", two lengths"
                       : ", blank before a colon");
      if (fd < 0 || !client_send (fd, outer, (size_t) size))
        {
          record ("a connection failed");
          gateways_end ();
          return 2;
        }
      while ((status = client_read (fd, 700, id, sizeof id)) > 0)
        {
          record ("answer   %d for %s", status, id[0] != '\0' ? id : "-");
          answered++;
        }
      close (fd);
    }
  sleep_ms (500);
  for (int i = 0; i < REQUESTS; i++)
    {
      char id[64], text[64];
      const char *body;

      snprintf (id, sizeof id, "inner-%d", i);
      if (runs_of (id) > 0)
        {
          record ("BROKEN   UNASKED: %s ran, which was the body of another "
                  "request",
                  id);
          broken++;
        }
      snprintf (id, sizeof id, "outer-%d", i);
      snprintf (text, sizeof text, "X-Request-Id: inner-%d\r\n", i);
      body = body_of (id);
      if (body != NULL && strstr (body, text) == NULL)
        {
          record ("BROKEN   UNASKED: %s ran without its body", id);
          broken++;
        }
    }
  gateways_end ();
  record ("%d sent, %d answers, %d breaks", REQUESTS, answered, broken);
  if (answered == 0)
    return 2;
  return broken > 0 ? 1 : 0;
}
