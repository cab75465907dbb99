/* Guards against requests that are spent on peers which do not reach the pool
 * either, against a single peer that gets the requests of all, and against a
 * fleet that forwards without end when the upstreams themselves are down. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "peer_pick.h"

#define ZONES 3
#define TRIES_MAX 8
#define HOP (2 * CC_MS)     /* until a peer refuses */
#define WORK (200 * CC_MS)  /* until a peer answers */
#define PERIOD (10 * CC_MS) /* between requests of one gateway */
#define LENGTH (10 * CC_SECOND)
/* After the first requests the serving peers are known. */
#define LEARNED (1 * CC_SECOND)

typedef struct
{
  const char *name;
  guint fleet;
  guint serving;      /* peers that reach the pool: every (fleet / serving)th */
  guint old;          /* of the others, peers that do not forward */
  double share_min;   /* of requests that are served, once it has learned */
  double tries_max;   /* per request, on average */
  double busiest_max; /* share of the busiest serving peer, as a multiple of an
                         equal share */
} Case;

static const Case cases[] = {
  { "most of eleven are partitioned", 11, 3, 0, 0.99, 1.3, 2.5 },
  { "one of eleven serves", 11, 1, 0, 0.99, 1.3, 1.0 },
  { "beside older builds", 11, 3, 4, 0.99, 1.3, 2.5 },
  { "a tenth of 300 serves", 300, 30, 0, 0.97, 1.6, 0 },
  { "a tenth of 2700 serves", 2700, 270, 0, 0.97, 1.6, 0 },
};

/* A request at a serving peer. */
typedef struct
{
  const char *address;
  gint64 ends;
} Open;

static struct
{
  GPtrArray *peers;
  CcPeerPick *pick;
  GArray *open;       /* of Open */
  GHashTable *served; /* address to count */
  guint requests, tries, answered;
} w;

static guint
index_of (const char *address)
{
  return (guint) atoi (strchr (address, ':') + 1);
}

static CcPeerEnd
end_at (const Case *c, const char *address)
{
  guint i = index_of (address);

  if (c->serving > 0 && i % (c->fleet / c->serving) == 0 &&
      i / (c->fleet / c->serving) < c->serving)
    return CC_PEER_SERVED;
  return i % 7 < c->old ? CC_PEER_UNSUPPORTED : CC_PEER_PARTITIONED;
}

static void
end_requests (gint64 now)
{
  for (guint i = 0; i < w.open->len; i++)
    {
      Open *o = &g_array_index (w.open, Open, i);

      if (o->ends > now)
        continue;
      cc_peer_pick_ended (w.pick, o->address, CC_PEER_SERVED, now);
      g_array_remove_index_fast (w.open, i--);
    }
}

/* Forwards one request. */
static void
forward (const Case *c, gint64 now, gboolean counted)
{
  g_autoptr (GPtrArray) tried = g_ptr_array_new ();
  CcPeerChoice choice = { .peers = w.peers, .zone = "z0", .tried = tried };

  w.requests += counted;
  while (tried->len < TRIES_MAX)
    {
      const char *address = cc_peer_pick_choose (w.pick, &choice, now);
      CcPeerEnd end;

      if (address == NULL)
        return;
      w.tries += counted;
      g_ptr_array_add (tried, (gpointer) address);
      cc_peer_pick_sent (w.pick, address);
      end = end_at (c, address);
      if (end == CC_PEER_SERVED)
        {
          Open o = { address, now + WORK };
          guint n = GPOINTER_TO_UINT (g_hash_table_lookup (w.served, address));

          g_array_append_val (w.open, o);
          g_hash_table_insert (w.served, (gpointer) address,
                               GUINT_TO_POINTER (n + counted));
          w.answered += counted;
          return;
        }
      now += HOP;
      cc_peer_pick_ended (w.pick, address, end, now);
    }
}

static void
play (const Case *c, gint64 length)
{
  memset (&w, 0, sizeof w);
  g_random_set_seed (7);
  w.peers = cc_peers_new ();
  w.pick = cc_peer_pick_new ();
  w.open = g_array_new (FALSE, FALSE, sizeof (Open));
  w.served = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < c->fleet; i++)
    {
      g_autofree char *address = g_strdup_printf ("10.0.0.1:%u", i);
      g_autofree char *zone = g_strdup_printf ("z%u", i % ZONES);

      cc_peers_add (w.peers, address, zone);
    }
  for (gint64 t = 0; t < length; t += PERIOD)
    {
      end_requests (CC_SECOND + t);
      forward (c, CC_SECOND + t, t >= LEARNED);
    }
}

static void
clear (void)
{
  g_hash_table_unref (w.served);
  g_array_unref (w.open);
  cc_peer_pick_free (w.pick);
  g_ptr_array_unref (w.peers);
}

/* The share of the busiest peer, as a multiple of an equal share. */
static double
busiest (const Case *c)
{
  GHashTableIter i;
  gpointer count;
  guint most = 0;

  g_hash_table_iter_init (&i, w.served);
  while (g_hash_table_iter_next (&i, NULL, &count))
    most = MAX (most, GPOINTER_TO_UINT (count));
  return (double) most * c->serving / MAX (w.answered, 1);
}

static void
serving_peers_are_found_and_share_the_load (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      double share, tries;

      play (c, LENGTH);
      share = (double) w.answered / w.requests;
      tries = (double) w.tries / w.requests;
      if (share < c->share_min || tries > c->tries_max ||
          (c->busiest_max > 0 && busiest (c) > c->busiest_max))
        fail_msg ("%s: %.3f served, %.2f tries, busiest %.2f", c->name, share,
                  tries, busiest (c));
      clear ();
    }
}

/* While the upstreams are down for all gateways, nearly nothing is forwarded.
 */
static void
a_pool_that_nobody_reaches_costs_few_tries (void **state)
{
  const Case eleven = { .fleet = 11 }, many = { .fleet = 2700 };

  (void) state;
  play (&eleven, LENGTH);
  if (w.tries > 0.1 * w.requests)
    fail_msg ("%u tries for %u requests", w.tries, w.requests);
  clear ();
  play (&many, LENGTH);
  if (w.tries > 0.1 * w.requests)
    fail_msg ("%u tries for %u requests of 2700", w.tries, w.requests);
  clear ();
}

/* Bytes between zones are expensive: a peer of the own zone is used while it
 * serves, however many others serve. */
static void
peers_of_the_own_zone_are_preferred (void **state)
{
  const Case all = { .fleet = 12, .serving = 12 };
  guint own = 0;
  GHashTableIter i;
  gpointer address, count;

  (void) state;
  play (&all, LENGTH);
  g_hash_table_iter_init (&i, w.served);
  while (g_hash_table_iter_next (&i, &address, &count))
    if (index_of (address) % ZONES == 0)
      own += GPOINTER_TO_UINT (count);
  if (own < 0.95 * w.answered)
    fail_msg ("%u of %u in the own zone", own, w.answered);
  clear ();
}

typedef struct
{
  const char *name;
  CcPeerEnd end;
  gint64 again_ms; /* it may be chosen again after this time ... */
  gint64 not_ms;   /* ... and not after this one */
} EndCase;

static const EndCase end_cases[] = {
  { "partitioned", CC_PEER_PARTITIONED, 600, 400 },
  { "busy", CC_PEER_BUSY, 150, 50 },
  { "an older build", CC_PEER_UNSUPPORTED, 31000, 29000 },
  { "lost", CC_PEER_FAILED, 1100, 900 },
};

/* A peer that has not served is skipped for a while, and tried again after. */
static void
peers_that_do_not_serve_are_skipped_for_a_while (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (end_cases); i++)
    {
      const EndCase *c = &end_cases[i];
      g_autoptr (GPtrArray) peers = cc_peers_new ();
      g_autoptr (GPtrArray) tried = g_ptr_array_new ();
      CcPeerChoice choice = { .peers = peers, .zone = "a", .tried = tried };
      CcPeerPick *p = cc_peer_pick_new ();
      const char *address;

      cc_peers_add (peers, "10.0.0.1:1", "a");
      address = cc_peer_pick_choose (p, &choice, CC_SECOND);
      cc_peer_pick_sent (p, address);
      cc_peer_pick_ended (p, address, c->end, CC_SECOND);
      if (cc_peer_pick_choose (p, &choice, CC_SECOND + c->not_ms * CC_MS) !=
              NULL ||
          cc_peer_pick_choose (p, &choice, CC_SECOND + c->again_ms * CC_MS) ==
              NULL)
        fail_msg ("%s", c->name);
      cc_peer_pick_free (p);
    }
}

/* Failure: a peer refuses several requests that are in progress together, each
 * lengthens its backoff, and callers are refused while the peer could serve. */
static void
requests_that_fail_together_count_as_one_failure (void **state)
{
  static const guint together[] = { 1, 2, 6, 12, 100 };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (end_cases) * G_N_ELEMENTS (together); i++)
    {
      const EndCase *c = &end_cases[i % G_N_ELEMENTS (end_cases)];
      guint n = together[i / G_N_ELEMENTS (end_cases)];
      g_autoptr (GPtrArray) peers = cc_peers_new ();
      g_autoptr (GPtrArray) tried = g_ptr_array_new ();
      CcPeerChoice choice = { .peers = peers, .zone = "a", .tried = tried };
      CcPeerPick *p = cc_peer_pick_new ();
      const char *address = NULL;

      cc_peers_add (peers, "10.0.0.1:1", "a");
      for (guint k = 0; k < n; k++)
        {
          address = cc_peer_pick_choose (p, &choice, CC_SECOND);
          cc_peer_pick_sent (p, address);
        }
      for (guint k = 0; k < n; k++)
        cc_peer_pick_ended (p, address, c->end, CC_SECOND + k);
      if (cc_peer_pick_choose (p, &choice, CC_SECOND + c->not_ms * CC_MS) !=
              NULL ||
          cc_peer_pick_choose (p, &choice, CC_SECOND + c->again_ms * CC_MS) ==
              NULL)
        fail_msg ("%s, %u together", c->name, n);
      cc_peer_pick_free (p);
    }
}

/* Peers in the zones a, b, c and d, of the regions x, x, y and an unknown one.
 */
typedef struct
{
  const char *home;  /* NULL: all */
  const char *own;   /* zone of this gateway; e is in region w */
  const char *zones; /* peers that are chosen, one letter each */
} HomeCase;

static const HomeCase home_cases[] = {
  { NULL, "a", "abcd" }, { "x", "a", "ab" }, { "y", "a", "abc" },
  { "z", "a", "ab" },    { "x", "e", "ab" }, { "y", "e", "c" },
  { "z", "e", "" },
};

/* Makes all peers of ALL, four, known to serve.  TRIED is its list. */
static void
make_serving (CcPeerPick *p, const CcPeerChoice *all, GPtrArray *tried)
{
  while (tried->len < 4)
    {
      const char *address = cc_peer_pick_choose (p, all, CC_SECOND);

      assert_non_null (address);
      cc_peer_pick_sent (p, address);
      cc_peer_pick_ended (p, address, CC_PEER_SERVED, CC_SECOND);
      g_ptr_array_add (tried, (gpointer) address);
    }
  g_ptr_array_set_size (tried, 0);
}

/* Checks that the first choice finds a peer in ZONES, one letter each, however
 * few there are, and none if there are none. */
static void
check_first_choice (const CcPeerChoice *allowed, const char *zones)
{
  for (guint n = 0; n < 50; n++)
    {
      CcPeerPick *p = cc_peer_pick_new ();
      const char *address = cc_peer_pick_choose (p, allowed, CC_SECOND);

      assert_int_equal (address == NULL, zones[0] == '\0');
      if (address != NULL)
        assert_non_null (strchr (zones, 'a' + address[7] - '0'));
      cc_peer_pick_free (p);
    }
}

/* Guards against a body that goes to a gateway in a region outside the home
 * regions, be it explored or known to serve, and against allowed peers that are
 * not found among many others. */
static void
requests_go_to_peers_in_allowed_regions_only (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (home_cases); i++)
    {
      const HomeCase *c = &home_cases[i];
      g_autoptr (GPtrArray) peers = cc_peers_new ();
      g_autoptr (GPtrArray) tried = g_ptr_array_new ();
      CcZones *zones = cc_zones_new ("a=x,b=x,c=y,e=w");
      char *homes[] = { (char *) c->home, NULL };
      CcEligibilityRules rules = { .zones = zones,
                                   .homes = c->home != NULL ? homes : NULL };
      CcPeerChoice all = { .peers = peers, .zone = c->own, .tried = tried };
      CcPeerChoice allowed = all;
      CcPeerPick *p = cc_peer_pick_new ();
      gboolean seen[4] = { 0 };

      allowed.rules = &rules;
      for (guint k = 0; k < 4; k++)
        {
          g_autofree char *address = g_strdup_printf ("10.0.0.%u:1", k);
          char zone[] = { (char) ('a' + k), '\0' };

          cc_peers_add (peers, address, zone);
        }
      make_serving (p, &all, tried);
      for (guint n = 0; n < 400; n++)
        {
          gint64 now = CC_SECOND + n * 10 * CC_MS;
          const char *address =
              cc_peer_pick_choose (p, n % 2 == 0 ? &allowed : &all, now);

          if (address == NULL)
            continue;
          if (n % 2 == 0)
            seen[address[7] - '0'] = TRUE;
          cc_peer_pick_sent (p, address);
          cc_peer_pick_ended (p, address, CC_PEER_SERVED, now);
          /* One stays in progress, so that other peers become cheaper. */
          cc_peer_pick_sent (p, address);
        }
      for (guint k = 0; k < 4; k++)
        if (seen[k] != (strchr (c->zones, (int) ('a' + k)) != NULL))
          fail_msg ("home %s: zone %c", c->home, 'a' + k);
      cc_peer_pick_free (p);
      check_first_choice (&allowed, c->zones);
      cc_zones_free (zones);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (serving_peers_are_found_and_share_the_load),
    cmocka_unit_test (a_pool_that_nobody_reaches_costs_few_tries),
    cmocka_unit_test (peers_of_the_own_zone_are_preferred),
    cmocka_unit_test (peers_that_do_not_serve_are_skipped_for_a_while),
    cmocka_unit_test (requests_go_to_peers_in_allowed_regions_only),
    cmocka_unit_test (requests_that_fail_together_count_as_one_failure),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
