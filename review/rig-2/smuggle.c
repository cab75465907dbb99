/* A client sends a request whose body is the text of another request, and tells
 * the length of the body in a way in which a server must refuse the message
 * (RFC 9112): by turns with two lengths that differ (6.3), with a blank before
 * the colon (5.1), and with a chunk whose size is no number (7.1).  Broken if a
 * server runs the request that stands in the body, or runs the outer one with
 * another body. */
#include "stand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define REQUESTS 21
#define SERVERS 3

typedef enum
{
  TWO_LENGTHS,
  BLANK,
  CHUNK_SIZE,
  FORMS
} Form;

static const char *const form_names[] = { "two lengths",
                                          "a blank before the colon",
                                          "a chunk without a size" };

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

/* Writes the outer request NUMBER with the body INNER to OUTER: as FORM tells
 * its length, or properly.  Returns its size. */
static int
write_outer (char *outer, size_t size, int number, Form form, bool proper,
             const char *inner)
{
  size_t length = strlen (inner);
  int n = snprintf (outer, size,
                    "POST /xapu221/outer HTTP/1.1\r\nHost: hulo84.example\r\n"
                    "X-Request-Id: outer-%d\r\nX-Deadline-Ms: 1200\r\n",
                    number);

  outer += n;
  size -= (size_t) n;
  switch (form)
    {
    case TWO_LENGTHS:
      n += snprintf (outer, size, "Content-Length: %zu\r\n%s\r\n%s", length,
                     proper ? "" : "Content-Length: 0\r\n", inner);
      break;
    case BLANK:
      n += snprintf (outer, size, "Content-Length%s: %zu\r\n\r\n%s",
                     proper ? "" : " ", length, inner);
      break;
    case CHUNK_SIZE:
      n += proper ? snprintf (outer, size,
                              "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s"
                              "\r\n0\r\n\r\n",
                              length, inner)
                  : snprintf (outer, size,
                              "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n%s"
                              "\r\n0\r\n\r\n",
                              inner);
      break;
    case FORMS:
      break;
    }
  return n;
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
      Form form = i % FORMS;
      char inner[512], outer[2048], id[256];
      int fd = client_connect (1 + i % 2), size, status;

      snprintf (inner, sizeof inner,
                "POST /xapu221/inner HTTP/1.1\r\nHost: hulo84.example\r\n"
                "X-Request-Id: inner-%d\r\nX-Deadline-Ms: 1200\r\n"
                "Content-Length: 0\r\n\r\n",
                i);
      size = write_outer (outer, sizeof outer, i, form, !trouble, inner);
      record ("sent     outer-%d to gateway %d, with inner-%d as its body%s%s",
              i, 1 + i % 2, i, trouble ? ", " : "",
              trouble ? form_names[form] : "");
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
