/* Moves of ownership for load, under load: hot keys, joins and leaves. */
#include <stdio.h>

#include <json-glib/json-glib.h>

#include "prove.h"

#define HOT_SECONDS 14

/* Requests for one key of each pool, each several times what a key has. */
static const char hot_requests[] =
    "[{\"class\":\"browse\",\"rate\":120,\"method\":\"GET\",\"path\":\"/slots/"
    "1\",\"key\":\"castle-%s\",\"keys\":1,\"tenants\":40,\"body\":0},"
    "{\"class\":\"book once\",\"rate\":40,\"method\":\"POST\",\"path\":"
    "\"/groups/1\",\"key\":\"group-%s\",\"keys\":1,\"tenants\":25,\"body\":400}"
    "]";

/* A copy of the deployment's file with requests for the key NUMBER only. */
static char *
write_hot_deployment (Cluster *c, const char *number)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  g_autofree char *name = g_strdup_printf ("hot-%s.json", number);
  g_autofree char *requests = g_strdup_printf (hot_requests, number, number);
  char *path = g_build_filename (c->folder, name, NULL);
  g_autofree char *text = NULL;
  JsonNode *root;

  if (!json_parser_load_from_file (parser, c->file, NULL))
    g_error ("can't read %s", c->file);
  root = json_parser_get_root (parser);
  json_object_set_member (json_node_get_object (root), "requests",
                          json_from_string (requests, NULL));
  text = json_to_string (root, FALSE);
  g_file_set_contents (path, text, -1, NULL);
  return path;
}

static int
heat (Cluster *c, const char *number, guint seed)
{
  g_autofree char *hot = write_hot_deployment (c, number);
  char *file = c->file;
  int load;

  c->file = hot;
  load = cluster_load (c, HOT_SECONDS, 100, 1, seed);
  c->file = file;
  return load;
}

/* The sum of a gauge over all pools and assigners. */
static guint
gauge (Cluster *c, const char *name)
{
  return sum_metric (c, "assign", name);
}

static void
list_both (Cluster *c, const char *state)
{
  cluster_set_state (c, "catalogue-6", state);
  cluster_set_state (c, "group-booking-4", state);
}

static guint
hot_key_moves (Cluster *c, GRand *rand)
{
  guint before = gauge (c, "capercrank_units_moved"), left, joined, splits;
  guint took, ended;
  int load = heat (c, "11", g_rand_int (rand) >> 1);
  gboolean good;

  pause_ms (6000);
  list_both (c, "leaving");
  pause_ms (3000);
  list_both (c, "gone");
  good = cluster_wait (load) == 0;
  left = gauge (c, "capercrank_units_moved");
  load = heat (c, "12", g_rand_int (rand) >> 1);
  pause_ms (3000);
  list_both (c, "live");
  good = cluster_wait (load) == 0 && good;
  pause_ms (2000);
  joined = gauge (c, "capercrank_units_moved");
  splits = gauge (c, "capercrank_hot_splits");
  took = gauge (c, "capercrank_move_seconds_sum");
  ended = gauge (c, "capercrank_move_seconds_count");
  fprintf (stderr,
           "%u hot keys split, %u units moved for hot keys and leaves, "
           "%u for joins, a move took %.0f ms\n",
           splits, left - before, joined - left, 1e3 * took / MAX (ended, 1));
  return good && splits >= 2 && left > before && joined > left;
}

const Scenario assignment_scenarios[] = {
  { "hot-key-moves",
    "One key of each pool is hot, then another, while two servers leave and "
    "join; keys change owners all the time and none has two.",
    40, 1, hot_key_moves, FALSE },
  { NULL, NULL, 0, 0, NULL, FALSE }
};
