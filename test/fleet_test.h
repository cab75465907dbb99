/* Shared by the tests that send requests to the gateways of the demo fleet. */
#ifndef TEST_FLEET_TEST_H
#define TEST_FLEET_TEST_H

#include <gio/gio.h>

#include "demo_fleet.h"
#include "http_link.h"

/* Kinds of requests in the configuration of the demo fleet. */
#define FLEET_TEST_KINDS 4

typedef struct
{
  const char *method, *prefix;
  gboolean once, keyed;
} FleetTestKind;

extern const FleetTestKind fleet_test_kinds[FLEET_TEST_KINDS];

/* A request; DATA is the test's. */
typedef struct
{
  guint gateway;
  const char *method, *path, *key;
  gboolean once;
  CcHttpDone done; /* called after the audit of the answer */
  gpointer data;
} FleetTestRequest;

void fleet_test_run_for (guint ms);
gboolean fleet_test_start (const char *program, const char *name);
guint64 fleet_test_next_id (void);
void fleet_test_send (const FleetTestRequest *r);
void fleet_test_send_as (const FleetTestRequest *r, const char *id,
                         gboolean again);
GSocket *fleet_test_connect (guint gateway, guint port);

#endif
