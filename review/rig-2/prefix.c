/* A configuration splits a route: two prefixes below it, each with an escape in
 * a form that is legal and not the normal one of RFC 3986 (a lower-case escape,
 * an escaped unreserved character), belong to another service.  Clients send
 * requests whose paths begin with exactly these prefixes.  Broken if a server
 * of the outer route's service runs one. */
#include "stand.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define REQUESTS 40
#define PREFIXES 2
#define SERVERS 6 /* the first half katalog, the rest pokladna */

static const char *const odd[PREFIXES] = { "/lepu270/p%c5%99ibor/",
                                           "/lepu270/%7Enovak/" };
static const char *const plain[PREFIXES] = { "/lepu270/p%C5%99ibor/",
                                             "/lepu270/~novak/" };

static Server servers[SERVERS];

static void
start_servers (void)
{
  for (int i = 0; i < SERVERS; i++)
    {
      Server *s = &servers[i];

      snprintf (s->id, sizeof s->id, "i-%08x", 0x7f3a9100 + i);
      snprintf (s->service, sizeof s->service, "%s",
                i < SERVERS / 2 ? "katalog" : "pokladna");
      snprintf (s->zone, sizeof s->zone, "hala-a");
      net_address (s->ip, sizeof s->ip, 2, i + 1);
      s->port = 8185;
      s->work_ms = 20;
      server_start (s);
    }
}

static void
put_config (const char *const prefixes[PREFIXES])
{
  char text[4096];

  snprintf (text, sizeof text,
            "{\"version\":\"00000007\",\"routes\":{\"slot-lookup\":{\"host\":"
            "\"jepu9.example\",\"prefix\":\"/lepu270/\",\"kind\":\"safe\","
            "\"timeoutMs\":1500,\"targetLatencyMs\":600,\"priority\":2,"
            "\"service\":\"katalog\",\"maxAttempts\":2},\"gate-purchase\":{"
            "\"host\":\"jepu9.example\",\"prefix\":\"%s\",\"kind\":\"unsafe\","
            "\"timeoutMs\":1200,\"targetLatencyMs\":500,\"priority\":0,"
            "\"service\":\"pokladna\",\"maxAttempts\":2},\"gate-purchase-2\":{"
            "\"host\":\"jepu9.example\",\"prefix\":\"%s\",\"kind\":\"unsafe\","
            "\"timeoutMs\":1200,\"targetLatencyMs\":500,\"priority\":0,"
            "\"service\":\"pokladna\",\"maxAttempts\":2}},\"services\":{"
            "\"katalog\":{\"healthPath\":\"/health\",\"maxConns\":130},"
            "\"pokladna\":{\"healthPath\":\"/health\",\"maxConns\":130}},"
            "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
            prefixes[0], prefixes[1]);
  record ("config   routes /lepu270/ to katalog, %s and %s to pokladna",
          prefixes[0], prefixes[1]);
  store_put ("op", "config", text);
}

int
main (int argc, char **argv)
{
  bool trouble = argc < 3 || strcmp (argv[2], "0") != 0;
  const char *const *prefixes = trouble ? odd : plain;
  int broken = 0, answered = 0;

  record_open (argc > 1 ? argv[1] : "record.txt");
  net_choose ();
  store_start ();
  put_config (prefixes);
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
      int fd = client_connect (1 + i % 2), size, status;
      char request[512], id[64], answer_id[256], path[128];
      const char *service;

      if (fd < 0)
        continue;
      snprintf (id, sizeof id, "purchase-%d", i);
      snprintf (path, sizeof path, "%s%d", prefixes[i / 2 % PREFIXES], i);
      size = snprintf (request, sizeof request,
                       "PUT %s HTTP/1.1\r\nHost: jepu9.example\r\n"
                       "X-Request-Id: %s\r\nX-Deadline-Ms: 1200\r\n"
                       "Content-Length: 4\r\n\r\nbuy.",
                       path, id);
      record ("sent     %s: PUT %s", id, path);
      if (!client_send (fd, request, (size_t) size))
        {
          close (fd);
          continue;
        }
      status = client_read (fd, 2000, answer_id, sizeof answer_id);
      record ("answer   %d for %s", status, id);
      answered += status > 0;
      service = service_of (id);
      if (service != NULL && strcmp (service, "pokladna") != 0)
        {
          record ("BROKEN   ROUTE: %s is for pokladna and was run by %s", id,
                  service);
          broken++;
        }
      close (fd);
    }
  gateways_end ();
  record ("%d requests answered, %d run by the wrong service", answered,
          broken);
  if (answered < REQUESTS)
    return 2;
  return broken > 0 ? 1 : 0;
}
