/* The demo's callers. */
#ifndef TEST_DEMO_CALLER_H
#define TEST_DEMO_CALLER_H

#include <glib.h>

typedef struct
{
  char **gateways;   /* addresses; at least one */
  guint hot_percent; /* of the requests with a key are for HOT_KEY */
  gint32 hot_key;
  /* Called with each answer, its STATUS (0: none) and the us that it took. */
  void (*ended) (guint status, gint64 took);
} DemoCallers;

void demo_callers_start (DemoCallers *c, const char *ip, guint per_second);
void demo_callers_stop (void);

#endif
