/* A server that answers each request with bytes without end, and what kinds of
 * these there are. */
#ifndef TEST_ENDLESS_SERVER_H
#define TEST_ENDLESS_SERVER_H

#include <gio/gio.h>

typedef struct
{
  const char *name;
  const char *head;  /* sent once */
  const char *piece; /* sent without end, many times over */
} EndlessKind;

#define ENDLESS_KINDS 11
extern const EndlessKind endless_kinds[ENDLESS_KINDS];
extern const EndlessKind *endless_playing; /* the kind that is sent */

typedef gboolean (*ConnectionHandler) (GThreadedSocketService *service,
                                       GSocketConnection *c, GObject *source,
                                       gpointer data);

gboolean endless_serve (GThreadedSocketService *service, GSocketConnection *c,
                        GObject *source, gpointer data);
char *endless_server_start (int threads, ConnectionHandler handler,
                            GSocketService **service);

#endif
