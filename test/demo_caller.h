/* The simulated callers of the demo. */
#ifndef TEST_DEMO_CALLER_H
#define TEST_DEMO_CALLER_H

#include <glib.h>

typedef struct
{
  char **gateways;   /* addresses, NULL-terminated; at least one */
  guint hot_percent; /* of keyed requests that are for HOT_KEY */
  gint32 hot_key;
  /* Called when a request completes, with the HTTP STATUS (0: no response) and
   * the time that it TOOK in us. */
  void (*ended) (guint status, gint64 took);
} DemoCallers;

void demo_callers_start (DemoCallers *c, const char *ip, guint per_second);
void demo_callers_stop (void);

#endif
