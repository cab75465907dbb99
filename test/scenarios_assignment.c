/* Moves of keys between servers under load, caused by hot keys and by servers
 * that join and leave.  Guards against a key with two owners while it moves. */
#include <stdio.h>

#include <json-glib/json-glib.h>

#include "prove.h"

#define HOT_SECONDS 14

/* Requests for one key of each pool, at several times the usual rate of a
 * key. */
static const char hot_requests[] =
    "[{\"class\":\"browse\",\"rate\":120,\"method\":\"GET\",\"path\":\"/slots/"
    "1\",\"key\":\"castle-%s\",\"keys\":1,\"tenants\":40,\"body\":0},"
    "{\"class\":\"book once\",\"rate\":40,\"method\":\"POST\",\"path\":"
    "\"/groups/1\",\"key\":\"group-%s\",\"keys\":1,\"tenants\":25,\"body\":400}"
    "]";

/* Writes a copy of the deployment's file with requests for the key NUMBER only.
 * Returns its path, to be freed. */
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

/* Starts a load generator that sends requests for the key NUMBER only.  Returns
 * its process id. */
static int
load_one_key (Cluster *c, const char *number, guint seed)
{
  g_autofree char *hot = write_hot_deployment (c, number);
  char *file = c->file;
  int load;

  c->file = hot;
  load = cluster_load (c, HOT_SECONDS, 100, 1, seed);
  c->file = file;
  return load;
}

/* Returns the sum of a metric over all pools and assigners. */
static guint
sum_of_assigners (Cluster *c, const char *name)
{
  return sum_metric (c, "assign", name);
}

static void
set_state_of_two (Cluster *c, const char *state)
{
  cluster_set_state (c, "catalogue-6", state);
  cluster_set_state (c, "group-booking-4", state);
}

/* Returns TRUE if at least two hot keys were split and units moved both for the
 * leaving and for the joining servers. */
static guint
hot_key_moves (Cluster *c, GRand *rand)
{
  guint before = sum_of_assigners (c, "capercrank_units_moved"), left, joined,
        splits;
  guint took, completed;
  int load = load_one_key (c, "11", g_rand_int (rand) >> 1);
  gboolean passed;

  pause_ms (6000);
  set_state_of_two (c, "leaving");
  pause_ms (3000);
  set_state_of_two (c, "gone");
  passed = cluster_wait (load) == 0;
  left = sum_of_assigners (c, "capercrank_units_moved");
  load = load_one_key (c, "12", g_rand_int (rand) >> 1);
  pause_ms (3000);
  set_state_of_two (c, "live");
  passed = cluster_wait (load) == 0 && passed;
  pause_ms (2000);
  joined = sum_of_assigners (c, "capercrank_units_moved");
  splits = sum_of_assigners (c, "capercrank_hot_splits");
  took = sum_of_assigners (c, "capercrank_move_seconds_sum");
  completed = sum_of_assigners (c, "capercrank_move_seconds_count");
  fprintf (stderr,
           "%u hot keys split, %u units moved for hot keys and leaves, "
           "%u for joins, a move took %.0f ms\n",
           splits, left - before, joined - left,
           1e3 * took / MAX (completed, 1));
  return passed && splits >= 2 && left > before && joined > left;
}

const Scenario assignment_scenarios[] = {
  { "hot-key-moves",
    "One key of each pool is hot, then another, while two servers leave and "
    "join; keys keep changing owners and none has two.",
    40, 1, hot_key_moves, FALSE },
  { NULL, NULL, 0, 0, NULL, FALSE }
};
