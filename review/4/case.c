/* A drill of the platform: the store is away for a moment and comes back from a
 * copy that is some seconds old, made while a range of keys was on its way to a
 * new server.  Meanwhile the gateway that grants keys is stopped, as planned.
 *
 * The rule is broken if a server takes a key with a fencing token that isn't
 * above all with which other servers had it. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-glib/json-glib.h>

#include "rig.h"

#define GATEWAYS 3
#define SERVERS 3
#define CLIENTS 40
#define COPY_AGE_MAX 8000 /* "some seconds", ms */
#define AWAY_MS 1000      /* "a moment" */
#define AFTER_MS 24000

static RigGateway *gateways[GATEWAYS];
static const char *const zones[] = { "hala-a", "hala-b", "hala-c" };
static gint ending, sent, served, broken;
static gint busy_from, busy_to = -1; /* the busy keys; none at first */
static GMutex fence_lock;
static guint64 top_fence[RIG_KEYS];
static RigServer *top_owner[RIG_KEYS];
static RigServer *added;           /* the server that was added */
static guint moved_from, moved_to; /* the range on its way to it in the copy */
static guint64 moved_fence;
static gint moved_on; /* keys of that range that others have taken since */

static void
note_granted (RigServer *s, guint from, guint to, guint64 fence)
{
  guint bad = 0, first = 0;
  guint64 above = 0;
  const char *had = "";

  g_mutex_lock (&fence_lock);
  for (guint k = from; k <= to; k++)
    {
      if (top_owner[k] != NULL && top_owner[k] != s && fence <= top_fence[k])
        {
          if (bad++ == 0)
            first = k;
          above = MAX (above, top_fence[k]);
          had = top_owner[k]->id;
        }
      if (fence > top_fence[k])
        {
          if (moved_fence != 0 && s != added && k >= moved_from &&
              k <= moved_to)
            moved_on++;
          top_fence[k] = fence;
          top_owner[k] = s;
        }
    }
  g_mutex_unlock (&fence_lock);
  if (bad == 0)
    return;
  g_atomic_int_inc (&broken);
  rig_record ("BROKEN: %s takes %u..%u with fence %" G_GUINT64_FORMAT
              "; %u of these keys, from %u on, another had (%s) with up to "
              "%" G_GUINT64_FORMAT,
              s->id, from, to, fence, bad, first, had, above);
}

static gpointer
run_client (gpointer data)
{
  guint n = GPOINTER_TO_UINT (data);

  for (guint i = 0; !g_atomic_int_get (&ending); i++)
    {
      g_autofree char *id = g_strdup_printf ("c%02u-%05u", n, i);
      RigGateway *g = gateways[g_random_int_range (0, GATEWAYS)];
      gint32 key = g_random_int_range (0, RIG_KEYS);
      int status;

      if (busy_to >= 0 && g_random_int_range (0, 10) < 8)
        key = g_random_int_range (busy_from, busy_to + 1);
      rig_record ("send %s key %d to %s", id, key, g->name);
      g_atomic_int_inc (&sent);
      status = rig_request (g->front, "GET", "hall.example", "/slots/1", id,
                            key, 1500, NULL, NULL);
      rig_record ("answer %s %d", id, status);
      g_atomic_int_add (&served, status == 200);
      rig_sleep_ms (g_random_int_range (100, 400));
    }
  return NULL;
}

static RigServer *
start_server (void)
{
  static guint n;
  g_autofree char *address = rig_address (3, 1 + n, 7200);

  n++;
  return rig_server_start ("katalog", TRUE, zones[n % 3], address, 4, 16, 60,
                           200);
}

/* Finds the largest range that is on its way to the added server. */
static void
find_moving (const char *key, const char *value)
{
  g_autoptr (JsonNode) root = json_from_string (value, NULL);
  JsonObject *o = root != NULL && JSON_NODE_HOLDS_OBJECT (root)
                      ? json_node_get_object (root)
                      : NULL;
  guint from =
      (guint) atoi (strrchr (key, '/') != NULL ? strrchr (key, '/') + 1 : "0");
  guint to;

  if (!g_str_has_prefix (key, "range/") || o == NULL ||
      !json_object_has_member (o, "previous") ||
      strcmp (json_object_get_string_member_with_default (o, "owner", ""),
              added->id) != 0)
    return;
  to = (guint) json_object_get_int_member (o, "to");
  if (moved_fence != 0 && to - from <= moved_to - moved_from)
    return;
  moved_from = from;
  moved_to = to;
  moved_fence = (guint64) json_object_get_int_member (o, "fence");
}

int
main (int argc, char **argv)
{
  static const char configuration[] =
      "{\"version\":\"00000001\",\"routes\":{\"r\":{\"host\":\"hall.example\","
      "\"prefix\":\"/slots/\",\"service\":\"katalog\",\"kind\":\"safe\","
      "\"maxAttempts\":3,\"timeoutMs\":1500,\"targetLatencyMs\":600,"
      "\"priority\":2}},\"services\":{\"katalog\":{\"sharding\":true,"
      "\"maxConns\":130,\"healthPath\":\"/health\"}},\"limits\":{"
      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  g_autofree char *table = NULL;
  g_autofree char *text = NULL;
  gint64 end;
  guint granter;

  if (argc < 2 || !rig_init (argv[1]))
    return 2;
  rig_hooks.granted = note_granted;
  table = rig_address (2, 1, 7000);
  rig_store_start (table);
  rig_store_put ("op", "config", configuration);
  for (guint i = 0; i < SERVERS; i++)
    start_server ();
  for (guint i = 0; i < GATEWAYS; i++)
    gateways[i] = rig_gateway_start (i + 1, zones[i], table, TRUE);
  rig_sleep_ms (8000);
  if (!rig_gateways_are_ready (gateways, GATEWAYS))
    rig_exit (2);
  for (guint i = 0; i < CLIENTS; i++)
    g_thread_unref (g_thread_new ("client", run_client, GUINT_TO_POINTER (i)));
  rig_sleep_ms (5000);

  /* An empty server is added; the copy is made as keys are on their way to it.
   */
  text = g_strdup_printf ("\"owner\":\"i-%04d\",", SERVERS + 1);
  rig_store_copy_at (text);
  added = start_server ();
  for (end = rig_now_ms () + 10000; rig_store_copied_at () == 0;)
    {
      if (rig_now_ms () > end)
        {
          fprintf (stderr, "no keys were moved to the added server\n");
          rig_exit (2);
        }
      rig_sleep_ms (5);
    }
  rig_store_each_copied ("router", find_moving);
  rig_record ("in the copy %u..%u are on their way to %s with fence "
              "%" G_GUINT64_FORMAT,
              moved_from, moved_to, added->id, moved_fence);

  /* These keys become the busy ones, so that some are moved on. */
  busy_from = (gint) moved_from;
  busy_to = (gint) moved_to;
  for (end = rig_store_copied_at () + COPY_AGE_MAX - AWAY_MS; moved_on == 0;)
    {
      if (rig_now_ms () > end)
        {
          fprintf (stderr, "no busy keys were moved on\n");
          rig_exit (2);
        }
      rig_sleep_ms (20);
    }
  rig_sleep_ms (100);
  busy_to = -1;

  /* The drill; the gateway that grants keys is stopped in it and is back after
   * its end. */
  granter = (guint) rig_last_granter;
  if (rig_trouble ())
    rig_store_leave ();
  rig_record ("SIGTERM for gw%u, which grants keys", granter);
  kill (gateways[granter - 1]->pid, SIGTERM);
  rig_sleep_ms (AWAY_MS);
  if (rig_trouble ())
    rig_store_return ();
  rig_gateway_wait (gateways[granter - 1]);
  rig_record ("gw%u has ended", granter);
  gateways[granter - 1] =
      rig_gateway_start (granter, zones[granter - 1], table, FALSE);
  for (end = rig_now_ms () + AFTER_MS; broken == 0 && rig_now_ms () < end;)
    rig_sleep_ms (100);
  rig_sleep_ms (1000);
  g_atomic_int_set (&ending, 1);
  rig_sleep_ms (1600);
  printf ("sent %d, served %d, grants with a fence that was too low: %d\n",
          sent, served, broken);
  rig_exit (broken > 0 ? 1 : served < sent / 4 ? 2 : 0);
}
