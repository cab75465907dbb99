/* Load pattern: most gateways of a fleet lose their links to a pool, and the
 * few that reach it serve the callers of all.  Nobody knows which ones these
 * are.  Random choice spends most requests on peers that do not reach the pool
 * either; asking all peers, or a list of states that is passed around, costs
 * messages in every calm second and is old when it is needed.
 *
 * So each gateway learns from the requests themselves.  A peer that does not
 * reach the pool says so at once, and is skipped for a while that doubles.  One
 * that has served is used again: among those, the one with the fewest requests
 * in progress from here, with a preference for the own zone, since bytes
 * between zones are expensive.  A small part of the requests explores peers
 * without a result, so that load spreads to all that serve. */
#include "peer_pick.h"

#include "backoff.h"

/* A peer is known to serve for this time after its last answer. */
#define SERVES_TIMEOUT (10 * CC_SECOND)
/* Serving peers to which the requests of one gateway are spread. */
#define SERVING_MAX 8
/* Part of the requests that explores another peer. */
#define EXPLORE_PART 0.125
/* Random draws for a peer to explore. */
#define DRAWS 8
/* Requests in progress at a peer of another zone count this many times. */
#define CROSS_ZONE_FACTOR 2.0
/* First and longest backoff after each end.  The longest one after a partition
 * bounds the time until a peer whose links are restored is found. */
#define PARTITIONED_FIRST (500 * CC_MS)
#define PARTITIONED_MAX (4 * CC_SECOND)
#define BUSY_FIRST (100 * CC_MS)
#define BUSY_MAX (1 * CC_SECOND)
#define FAILED_FIRST (1 * CC_SECOND)
#define FAILED_MAX (30 * CC_SECOND)
#define UNSUPPORTED_PERIOD (30 * CC_SECOND)
/* After this many failures in a row, with none served, no peer is explored
 * for a while: the upstreams themselves may be down. */
#define MISSED_MAX 12
#define ALL_FIRST (500 * CC_MS)
#define ALL_MAX (4 * CC_SECOND)

/* What is known of one peer. */
typedef struct
{
  const char *address; /* owned by the table */
  char *zone;
  guint in_flight;  /* requests of this gateway that are in progress there */
  gint64 served_at; /* last answer by which it serves, us; 0: not known to */
  CcBackoff backoff;
} State;

struct CcPeerPick
{
  GHashTable *states; /* address to State, for peers that were chosen */
  GPtrArray *serving; /* of State: served within SERVES_TIMEOUT */
  guint missed;       /* failures of peers since one served */
  CcBackoff backoff;  /* of the exploration of all peers */
};

static void
peer_free (gpointer data)
{
  CcPeer *p = data;

  g_free (p->address);
  g_free (p->zone);
  g_free (p);
}

/* Returns an empty list of peers (CcPeer), which owns its elements. */
GPtrArray *
cc_peers_new (void)
{
  return g_ptr_array_new_with_free_func (peer_free);
}

/* Adds the peer at ADDRESS (IP:PORT) in ZONE to PEERS; both are copied. */
void
cc_peers_add (GPtrArray *peers, const char *address, const char *zone)
{
  CcPeer *p = g_new0 (CcPeer, 1);

  p->address = g_strdup (address);
  p->zone = g_strdup (zone);
  g_ptr_array_add (peers, p);
}

static void
state_free (gpointer data)
{
  State *s = data;

  g_free (s->zone);
  g_free (s);
}

/* Returns a choice among peers of which nothing is known. */
CcPeerPick *
cc_peer_pick_new (void)
{
  CcPeerPick *p = g_new0 (CcPeerPick, 1);

  p->states =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, state_free);
  p->serving = g_ptr_array_new ();
  return p;
}

void
cc_peer_pick_free (CcPeerPick *p)
{
  g_ptr_array_unref (p->serving);
  g_hash_table_unref (p->states);
  g_free (p);
}

/* Whether TRIED contains ADDRESS. */
static gboolean
is_tried (const GPtrArray *tried, const char *address)
{
  for (guint i = 0; i < tried->len; i++)
    if (g_str_equal (tried->pdata[i], address))
      return TRUE;
  return FALSE;
}

/* Whether a peer in ZONE may get the request of C. */
static gboolean
is_allowed (const CcPeerChoice *c, const char *zone)
{
  return c->rules == NULL || cc_eligibility_peer (c->rules, zone, c->zone);
}

static gboolean
serves (const State *s, gint64 now)
{
  return s->served_at != 0 && now - s->served_at < SERVES_TIMEOUT &&
         !cc_backoff_is_active (&s->backoff, now);
}

/* Returns the serving peer with the least cost, or NULL.  Peers that have
 * stopped to serve are removed from the list. */
static const State *
least_loaded (CcPeerPick *p, const CcPeerChoice *c, gint64 now)
{
  const State *best = NULL;
  double least = 0;

  for (guint i = p->serving->len; i-- > 0;)
    {
      const State *s = p->serving->pdata[i];
      double cost = s->in_flight + 1.0;

      if (!serves (s, now))
        {
          g_ptr_array_remove_index_fast (p->serving, i);
          continue;
        }
      if (is_tried (c->tried, s->address) || !is_allowed (c, s->zone))
        continue;
      if (!g_str_equal (s->zone, c->zone))
        cost *= CROSS_ZONE_FACTOR;
      if (best == NULL || cost < least)
        {
          best = s;
          least = cost;
        }
    }
  return best;
}

/* Whether PEER may be explored: it is neither known to serve nor backed off. */
static gboolean
is_unexplored (const CcPeerPick *p, const CcPeerChoice *c, const CcPeer *peer,
               gint64 now)
{
  const State *s = g_hash_table_lookup (p->states, peer->address);

  return !is_tried (c->tried, peer->address) &&
         (s == NULL ||
          !(cc_backoff_is_active (&s->backoff, now) || serves (s, now)));
}

/* Returns a random peer that may get the request of C, or NULL if there is
 * none.  Peers that may not are passed over, since a request with home regions
 * would otherwise seldom find one of the few that may. */
static const CcPeer *
draw_allowed (const CcPeerChoice *c)
{
  guint first = (guint) g_random_int_range (0, (gint32) c->peers->len);

  for (guint i = 0; i < c->peers->len; i++)
    {
      const CcPeer *peer = c->peers->pdata[(first + i) % c->peers->len];

      if (is_allowed (c, peer->zone))
        return peer;
    }
  return NULL;
}

/* Draws a peer to explore, one of this zone if possible; or only of this zone
 * if OWN_ZONE.  Returns NULL if none is drawn. */
static const CcPeer *
draw (const CcPeerPick *p, const CcPeerChoice *c, gboolean own_zone, gint64 now)
{
  const CcPeer *other = NULL;

  if (c->peers->len == 0 || cc_backoff_is_active (&p->backoff, now))
    return NULL;
  for (guint i = 0; i < DRAWS; i++)
    {
      const CcPeer *peer = draw_allowed (c);

      if (peer == NULL)
        return NULL;
      if (!is_unexplored (p, c, peer, now))
        continue;
      if (g_str_equal (peer->zone, c->zone))
        return peer;
      other = peer;
    }
  return own_zone ? NULL : other;
}

/* Returns the state of PEER, which is created if needed. */
static State *
find_state (CcPeerPick *p, const CcPeer *peer)
{
  State *s = g_hash_table_lookup (p->states, peer->address);
  char *address;

  if (s != NULL)
    return s;
  s = g_new0 (State, 1);
  address = g_strdup (peer->address);
  s->address = address;
  s->zone = g_strdup (peer->zone);
  g_hash_table_insert (p->states, address, s);
  return s;
}

/* Chooses the peer for the next request at NOW, us.  Returns its address, valid
 * as long as P, or NULL if none is known that may serve. */
const char *
cc_peer_pick_choose (CcPeerPick *p, const CcPeerChoice *c, gint64 now)
{
  const State *best = least_loaded (p, c, now);
  const CcPeer *peer = NULL;

  if (best == NULL)
    peer = draw (p, c, FALSE, now);
  else if (p->serving->len < SERVING_MAX && g_random_double () < EXPLORE_PART)
    peer = draw (p, c, g_str_equal (best->zone, c->zone), now);
  if (peer != NULL)
    return find_state (p, peer)->address;
  return best != NULL ? best->address : NULL;
}

/* Counts a request that is sent to the peer at ADDRESS, which was chosen. */
void
cc_peer_pick_sent (CcPeerPick *p, const char *address)
{
  ((State *) g_hash_table_lookup (p->states, address))->in_flight++;
}

/* Records that S did not serve. */
static void
count_missed (CcPeerPick *p, State *s, gint64 first, gint64 max, gint64 now)
{
  s->served_at = 0;
  if (!cc_backoff_fail (&s->backoff, first, max, now))
    return;
  p->missed++;
  if (p->missed % MISSED_MAX == 0)
    cc_backoff_fail (&p->backoff, ALL_FIRST, ALL_MAX, now);
}

static void
count_served (CcPeerPick *p, State *s, gint64 now)
{
  s->served_at = now;
  cc_backoff_clear (&s->backoff);
  cc_backoff_clear (&p->backoff);
  p->missed = 0;
  if (!g_ptr_array_find (p->serving, s, NULL))
    g_ptr_array_add (p->serving, s);
}

/* Records that a request at the peer at ADDRESS ended as END at NOW, us. */
void
cc_peer_pick_ended (CcPeerPick *p, const char *address, CcPeerEnd end,
                    gint64 now)
{
  State *s = g_hash_table_lookup (p->states, address);

  s->in_flight--;
  switch (end)
    {
    case CC_PEER_SERVED:
      count_served (p, s, now);
      break;
    case CC_PEER_PARTITIONED:
      count_missed (p, s, PARTITIONED_FIRST, PARTITIONED_MAX, now);
      break;
    case CC_PEER_BUSY:
      count_missed (p, s, BUSY_FIRST, BUSY_MAX, now);
      break;
    case CC_PEER_UNSUPPORTED:
      count_missed (p, s, UNSUPPORTED_PERIOD, UNSUPPORTED_PERIOD, now);
      break;
    case CC_PEER_FAILED:
      count_missed (p, s, FAILED_FIRST, FAILED_MAX, now);
      break;
    case CC_PEER_ABANDONED:
      break;
    }
}
