/* Planning of key ownership for one pool.
 *
 * Load pattern: from one second to the next some of the keys become hot, and
 * hot keys are adjacent.  If ranges have equal numbers of keys, one upstream
 * then receives several times the requests that it can serve while others are
 * idle, and all requests for its keys wait.
 *
 * Keys are moved away from upstreams that may no longer own any, and from those
 * with much more load than their capacity allows, to those with the least load
 * for their capacity.  A hot region is split into pieces by load, which go to
 * several upstreams at once, since it may be hot for only a few seconds.
 * Nothing else is moved, since a key that changes its owner has to wait until
 * the previous owner has finished its requests. */
#include "key_plan.h"

#include <math.h>

#include "edge.h"

/* Ranges of a leaving upstream are split into pieces of at most this part of a
 * fair share, so that its load is spread over several others. */
#define PIECE_SHARE 0.5
/* A new owner first gets this part of a fair share, taken from up to
 * NEW_OWNER_DONORS ranges: its caches are cold, and each move may delay
 * requests for the moved keys. */
#define NEW_OWNER_SHARE 0.6
#define NEW_OWNER_DONORS 2
/* Owners without keys that one plan supplies: this part of all owners, but at
 * least NEW_OWNERS_MIN.  The upstreams of a zone return all at once, and keys
 * that move at once all wait at once. */
#define NEW_OWNERS_SHARE 0.1
#define NEW_OWNERS_MIN 4
/* Base load that is added for all keys together, as a part of the measured
 * load, so that keys without recent requests are not all given to one upstream.
 */
#define BASE_LOAD_SHARE 0.25
#define BASE_LOAD_MIN 1.0 /* requests a second, without any measured load */
/* An upstream is relieved if its load exceeds this part of its capacity.  Below
 * it requests seldom queue, even with random variation. */
#define RELIEF_UTILISATION 0.75
/* The load must also exceed the mean by this factor, since counts of two
 * seconds vary by a fifth. */
#define RELIEF_FACTOR 1.35
/* And by this many standard deviations of such a count.  Without this, a slow
 * upstream, whose fair share is a few requests a second, is relieved at random
 * every few seconds. */
#define RELIEF_DEVIATIONS 2.0
/* An owner with more than this part of its capacity has hot keys.  Random
 * variation seldom takes one that far. */
#define HOT_UTILISATION 1.5
/* A move of less than this part of the upstream's load is not made. */
#define MIN_MOVE_SHARE 0.08
/* A piece of a hot set first fills up to this part of a receiver's room.  While
 * a set becomes hot, its measured rate is half of the true one; with 0.5,
 * small pieces remain that slow owners keep. */
#define PIECE_ROOM 0.7
/* A range that is moved may have up to this many times the load to be moved.
 * Whole ranges within this limit are preferred, since each split adds a range
 * permanently. */
#define PIECE_TOLERANCE 1.2
/* And at least this part of it.  With smaller pieces, relief takes more moves
 * than a plan may make. */
#define MIN_PIECE 0.5
/* A key with more requests than its owner can serve counts as at most this many
 * times the owner's capacity.  Requests beyond that are rejected, and counting
 * them would make the mean load of the pool higher than it can be. */
#define HOT_KEY_LIMIT 1.5

/* Part of a limited upstream's capacity that is planned with.  Requests beyond
 * its limit can't queue there, and arrive at random: at a third of the limit
 * few come too soon after each other, and it is seen within seconds when the
 * limit ends. */
#define LIMITED_PART 0.5
/* Lower bound of an upstream's weight, as a part of its capacity.  The capacity
 * of an upstream without any keys would never be measured again. */
#define MIN_WEIGHT 0.1
/* Bisection steps in the search for the headroom of the upstreams; they give a
 * relative precision of one millionth. */
#define BISECTION_STEPS 20

typedef struct
{
  CcKeyPlan *plan;
  guint64 fence;     /* highest fence so far */
  double capacity;   /* sum of all owners */
  double per_key;    /* added to the measured load of each key */
  double total;      /* load of all keys, requests a second */
  GHashTable *by_id; /* id to CcKeyOwner */
} PlanState;

static CcKeyOwner *
owner_at (const PlanState *s, guint i)
{
  return &g_array_index (s->plan->owners, CcKeyOwner, i);
}

/* Returns the owner ID whose process started at BORN, or NULL if it is not
 * among those that may own keys. */
static CcKeyOwner *
find_owner (const PlanState *s, const char *id, guint64 born)
{
  CcKeyOwner *o = g_hash_table_lookup (s->by_id, id);

  return o != NULL && o->born == born ? o : NULL;
}

static double
key_count (const CcKeyRange *r)
{
  return (double) r->to - r->from + 1;
}

/* Returns the load of R, with the base load of its keys, requests a second. */
static double
load_of (const PlanState *s, const CcKeyRange *r)
{
  return cc_key_load_rate (s->plan->load, r->from, r->to) +
         s->per_key * key_count (r);
}

/* Returns O's load as a part of its capacity. */
static double
utilisation (const CcKeyOwner *o)
{
  return o->load / o->capacity;
}

/* Returns the owner with the highest utilisation that is not exhausted, or
 * NULL. */
static CcKeyOwner *
most_utilised (const PlanState *s)
{
  CcKeyOwner *best = NULL;

  for (guint i = 0; i < s->plan->owners->len; i++)
    if (!owner_at (s, i)->exhausted &&
        (best == NULL || utilisation (owner_at (s, i)) > utilisation (best)))
      best = owner_at (s, i);
  return best;
}

/* Returns the owner whose utilisation is lowest with LOAD added, so that a slow
 * owner gets no piece that is large for it. */
static CcKeyOwner *
least_utilised_with (const PlanState *s, double load)
{
  CcKeyOwner *best = owner_at (s, 0);

  for (guint i = 1; i < s->plan->owners->len; i++)
    {
      CcKeyOwner *o = owner_at (s, i);

      if ((o->load + load) * best->capacity < (best->load + load) * o->capacity)
        best = o;
    }
  return best;
}

/* Returns O's share of the total load by capacity, requests a second. */
static double
fair_share (const PlanState *s, const CcKeyOwner *o)
{
  return s->total * o->capacity / s->capacity;
}

/* Whether the plan has changed as many ranges as it may. */
static gboolean
limit_reached (const PlanState *s)
{
  return s->plan->changed->len >= s->plan->limit;
}

static void
mark_changed (PlanState *s, CcKeyRange *r)
{
  if (!g_ptr_array_find (s->plan->changed, r, NULL))
    g_ptr_array_add (s->plan->changed, r);
}

static gint
by_from (gconstpointer a, gconstpointer b)
{
  const CcKeyRange *x = *(CcKeyRange *const *) a, *y = *(CcKeyRange *const *) b;

  return (gint) x->from - (gint) y->from;
}

/* Splits KEYS keys, fewer than all, off the end of R and returns them as a new
 * range. */
static CcKeyRange *
split_tail (PlanState *s, CcKeyRange *r, guint keys)
{
  CcKeyRange *tail = cc_key_range_copy (r);

  tail->from = r->to - keys + 1;
  tail->version = 0;
  r->to = tail->from - 1;
  mark_changed (s, r);
  mark_changed (s, tail);
  g_ptr_array_add (s->plan->ranges->list, tail);
  g_ptr_array_sort (s->plan->ranges->list, by_from);
  return tail;
}

/* Splits about LOAD off the end of R, which has more than one key, and returns
 * the new range. */
static CcKeyRange *
split_load (PlanState *s, CcKeyRange *r, double load)
{
  return split_tail (s, r,
                     cc_key_load_split (s->plan->load, r->from, r->to, FALSE,
                                        load, s->per_key));
}

/* Assigns R to O with a new fence. */
static void
assign_range (PlanState *s, CcKeyRange *r, CcKeyOwner *o)
{
  cc_key_range_move (r, o->id, o->born, ++s->fence);
  o->load += load_of (s, r);
  mark_changed (s, r);
}

/* Divides the keys for the first time, into one range for each owner, by
 * capacity. */
static void
divide_initially (PlanState *s)
{
  double upto = 0;
  guint from = 0;

  for (guint i = 0; i < s->plan->owners->len; i++)
    {
      CcKeyOwner *o = owner_at (s, i);
      guint to;
      CcKeyRange *r;

      upto += CC_KEYS * o->capacity / s->capacity;
      to = i + 1 == s->plan->owners->len ? CC_KEYS - 1 : (guint) upto - 1;
      r = cc_key_range_new (from, to, o->id, o->born, ++s->fence);
      g_ptr_array_add (s->plan->ranges->list, r);
      mark_changed (s, r);
      from = to + 1;
    }
}

/* If the owner of R has restarted under its id, it keeps R with a new fence: it
 * holds no earlier grants, and no other upstream has to release the keys.
 * Returns FALSE if the owner is not available. */
static gboolean
keep_restarted_owner (PlanState *s, CcKeyRange *r)
{
  CcKeyOwner *o = g_hash_table_lookup (s->by_id, r->owner);

  if (o == NULL)
    return FALSE;
  r->born = o->born;
  r->fence = ++s->fence;
  o->load += load_of (s, r);
  mark_changed (s, r);
  return TRUE;
}

/* Assigns the ranges whose owner may no longer own keys, split if they have
 * much load. */
static void
assign_unowned (PlanState *s)
{
  for (guint i = 0; i < s->plan->ranges->list->len && !limit_reached (s); i++)
    {
      CcKeyRange *r = s->plan->ranges->list->pdata[i];
      double piece = PIECE_SHARE * s->total / s->plan->owners->len;

      if (find_owner (s, r->owner, r->born) != NULL)
        continue;
      if (r->locked)
        {
          s->plan->skipped = TRUE;
          continue;
        }
      if (keep_restarted_owner (s, r))
        continue;
      if (load_of (s, r) > 1.5 * piece && key_count (r) > 2)
        split_load (s, r, load_of (s, r) - piece);
      assign_range (s, r, least_utilised_with (s, load_of (s, r)));
    }
}

/* Whether R must not be moved for load: it is being moved, was moved recently,
 * or is locked. */
static gboolean
is_pinned (const CcKeyRange *r)
{
  return r->previous != NULL || r->settling || r->locked;
}

/* Returns the movable range with the highest sum of its own load and its
 * owner's, among owners other than NEW_OWNER, or NULL. */
static CcKeyRange *
find_donor_range (const PlanState *s, const CcKeyOwner *new_owner)
{
  CcKeyRange *best = NULL;
  double best_weight = 0;

  for (guint i = 0; i < s->plan->ranges->list->len; i++)
    {
      CcKeyRange *r = s->plan->ranges->list->pdata[i];
      const CcKeyOwner *owner = find_owner (s, r->owner, r->born);
      double weight;

      if (owner == NULL || owner == new_owner || is_pinned (r) ||
          key_count (r) < 2)
        continue;
      weight = load_of (s, r) + owner->load;
      if (weight > best_weight)
        best = r;
      best_weight = MAX (best_weight, weight);
    }
  return best;
}

/* Moves a part of a fair share to O, which has no load yet. */
static void
supply_new_owner (PlanState *s, CcKeyOwner *o)
{
  for (guint i = 0; i < NEW_OWNER_DONORS && !limit_reached (s); i++)
    {
      double requested = NEW_OWNER_SHARE * fair_share (s, o) / NEW_OWNER_DONORS;
      CcKeyRange *r = find_donor_range (s, o);
      CcKeyOwner *donor;

      if (r == NULL || key_count (r) <= 2)
        return;
      donor = find_owner (s, r->owner, r->born);
      r = split_load (s, r, MIN (requested, load_of (s, r) / 2));
      donor->load -= load_of (s, r);
      assign_range (s, r, o);
    }
}

/* Moves keys to owners that have none, to a few of them in one plan.  The
 * others wait for the next one. */
static void
supply_new_owners (PlanState *s)
{
  guint all = s->plan->owners->len;
  guint left = MAX ((guint) (NEW_OWNERS_SHARE * all), NEW_OWNERS_MIN);

  for (guint i = 0; i < all; i++)
    {
      CcKeyOwner *o = owner_at (s, i);

      if (o->load > 0)
        continue;
      o->waits = left == 0;
      if (o->waits)
        continue;
      supply_new_owner (s, o);
      left--;
    }
}

/* Returns O's movable range with the most load for each of its keys, among
 * those whose load is LEAST to MOST; NULL if there is none.  Each moved key has
 * a cost, and hot keys are few. */
static CcKeyRange *
find_range (const PlanState *s, const CcKeyOwner *o, double least, double most)
{
  CcKeyRange *best = NULL;
  double best_density = 0;

  for (guint i = 0; i < s->plan->ranges->list->len; i++)
    {
      CcKeyRange *r = s->plan->ranges->list->pdata[i];
      double load;

      if (is_pinned (r) || find_owner (s, r->owner, r->born) != o)
        continue;
      load = load_of (s, r);
      if (load < least || load > most || load <= best_density * key_count (r))
        continue;
      best = r;
      best_density = load / key_count (r);
    }
  return best;
}

/* Splits about AMOUNT off one end of R and returns that part, or NULL if the
 * key at either end alone has more load than that. */
static CcKeyRange *
split_end (PlanState *s, CcKeyRange *r, double amount)
{
  const CcKeyLoad *h = s->plan->load;
  guint tail = cc_key_load_split (h, r->from, r->to, FALSE, amount, s->per_key);
  guint head = cc_key_load_split (h, r->from, r->to, TRUE, amount, s->per_key);
  double most = PIECE_TOLERANCE * amount;

  if (cc_key_load_rate (h, r->to - tail + 1, r->to) <= most)
    return split_tail (s, r, tail);
  if (cc_key_load_rate (h, r->from, r->from + head - 1) > most)
    return NULL;
  split_tail (s, r, (guint) key_count (r) - head);
  return r;
}

/* Notes that R is moved off FROM, for the report of a hot set. */
static void
note_piece (PlanState *s, const CcKeyOwner *from, const CcKeyRange *r)
{
  CcHotSet *h = &s->plan->hot_set;

  if (utilisation (from) < HOT_UTILISATION)
    return;
  if (h->owner == NULL)
    {
      h->owner = from->id;
      h->load = from->load;
      h->share = from->capacity;
    }
  h->pieces++;
  h->keys += (guint) key_count (r);
}

/* Moves about AMOUNT of load from FROM to TO: a whole range, or else a part of
 * one.  Returns FALSE if no range of FROM can be moved, because a single key
 * has too much load or all ranges were moved recently. */
static gboolean
move_load (PlanState *s, CcKeyOwner *from, CcKeyOwner *to, double amount)
{
  double most = PIECE_TOLERANCE * amount;
  CcKeyRange *r = find_range (s, from, MIN_PIECE * amount, most);

  if (r == NULL)
    {
      CcKeyRange *whole = find_range (s, from, most, G_MAXDOUBLE);

      if (whole != NULL && key_count (whole) > 1)
        r = split_end (s, whole, amount);
    }
  if (r == NULL)
    return FALSE;
  note_piece (s, from, r);
  from->load -= load_of (s, r);
  assign_range (s, r, to);
  return TRUE;
}

/* Returns the load, requests a second, that O can take until its utilisation is
 * LEVEL; negative if it is higher. */
static double
room_of (const CcKeyOwner *o, double level)
{
  return level * o->capacity - o->load;
}

/* Returns the owner that can take most load until its utilisation is LEVEL,
 * among those that get keys by this plan; NULL if there is none.  A slow owner
 * with a low utilisation may still have no room for a hot key. */
static CcKeyOwner *
most_room (const PlanState *s, double level)
{
  CcKeyOwner *best = NULL;

  for (guint i = 0; i < s->plan->owners->len; i++)
    {
      CcKeyOwner *o = owner_at (s, i);

      if (!o->waits &&
          (best == NULL || room_of (o, level) > room_of (best, level)))
        best = o;
    }
  return best;
}

/* Moves as much of the excess load of FROM as fits into the part PART of the
 * room of the owner with most room below the utilisation LEVEL.  Returns FALSE
 * if nothing can be moved. */
static gboolean
move_excess (PlanState *s, CcKeyOwner *from, double level, double part)
{
  double mean = s->total / s->capacity;
  CcKeyOwner *to = most_room (s, level);
  double amount = to != NULL
                      ? MIN (-room_of (from, mean), part * room_of (to, level))
                      : 0.0;

  return to != NULL && amount >= MIN_MOVE_SHARE * mean * from->capacity &&
         move_load (s, from, to, amount);
}

/* Returns the standard deviation of a measured rate RATE, requests a second. */
static double
deviation (double rate)
{
  return sqrt (rate * CC_SECOND / (2.0 * CC_LOAD_DECAY_TIME));
}

/* Moves load off the owner with the highest utilisation.  Returns FALSE if none
 * has to be relieved.
 *
 * Receivers are filled up to the mean.  With a hot set, single keys have more
 * requests than any owner is below the mean, so receivers are then filled up to
 * the utilisation at which they would be relieved themselves.
 *
 * If one key receives more requests than its owner can serve, no move helps.
 * Such an owner is marked as exhausted after its other keys were moved, so that
 * the plan continues with the other overloaded owners. */
static gboolean
relieve_owner (PlanState *s)
{
  CcKeyOwner *from = most_utilised (s);
  double mean = s->total / s->capacity;
  double relief = MAX (RELIEF_UTILISATION, RELIEF_FACTOR * mean);

  if (from == NULL || utilisation (from) < relief)
    return FALSE;
  if (-room_of (from, mean) < RELIEF_DEVIATIONS * deviation (from->load))
    {
      from->exhausted = TRUE;
      return TRUE;
    }
  if (!move_excess (s, from, mean, PIECE_ROOM) &&
      !move_excess (s, from, mean, 1.0) && !move_excess (s, from, relief, 1.0))
    from->exhausted = TRUE;
  return TRUE;
}

/* Returns the load that an upstream of CAPACITY should have if HEADROOM times
 * the square root of its capacity is to stay free. */
static double
weight_of (double capacity, double headroom)
{
  return MAX (capacity - headroom * sqrt (capacity), MIN_WEIGHT * capacity);
}

/* Returns the sum of the weights of all owners with HEADROOM. */
static double
sum_of_weights (const PlanState *s, double headroom)
{
  double sum = 0;

  for (guint i = 0; i < s->plan->owners->len; i++)
    sum += weight_of (owner_at (s, i)->capacity, headroom);
  return sum;
}

/* Replaces the capacity of each owner by a weight for its share of the load;
 * the sum stays the same.
 *
 * This matters if the load is low and upstreams differ in speed.  With shares
 * in proportion to capacity, the slow ones receive requests that take 1.5 times
 * as long there while the fast ones are idle.  The mean response time is lowest
 * if the headroom of each is in proportion to the square root of its capacity:
 * with low load the fast ones serve nearly everything, with high load all have
 * the same utilisation. */
static void
weigh_capacities (PlanState *s)
{
  double low = 0, high = 0, weights;

  for (guint i = 0; i < s->plan->owners->len; i++)
    high = MAX (high, sqrt (owner_at (s, i)->capacity));
  for (guint i = 0; i < BISECTION_STEPS; i++)
    {
      double middle = (low + high) / 2;

      if (sum_of_weights (s, middle) > s->total)
        low = middle;
      else
        high = middle;
    }
  weights = sum_of_weights (s, low);
  for (guint i = 0; i < s->plan->owners->len; i++)
    {
      CcKeyOwner *o = owner_at (s, i);

      /* A limited one gets what it can take: its requests take no longer. */
      if (o->limited)
        o->capacity *= LIMITED_PART;
      else
        o->capacity = weight_of (o->capacity, low) * s->capacity / weights;
    }
}

/* Computes the loads of all owners and the totals of the pool. */
static void
measure_load (PlanState *s)
{
  double measured = cc_key_load_rate (s->plan->load, 0, CC_KEYS - 1);

  s->per_key = MAX (BASE_LOAD_SHARE * measured, BASE_LOAD_MIN) / CC_KEYS;
  s->total = measured + s->per_key * CC_KEYS;
  for (guint i = 0; i < s->plan->owners->len; i++)
    {
      s->capacity += owner_at (s, i)->capacity;
      owner_at (s, i)->load = 0;
      owner_at (s, i)->exhausted = FALSE;
      owner_at (s, i)->waits = FALSE;
      g_hash_table_insert (s->by_id, (gpointer) owner_at (s, i)->id,
                           owner_at (s, i));
    }
  weigh_capacities (s);
  for (guint i = 0; i < s->plan->ranges->list->len; i++)
    {
      const CcKeyRange *r = s->plan->ranges->list->pdata[i];
      CcKeyOwner *o = find_owner (s, r->owner, r->born);
      double load = load_of (s, r);

      if (o == NULL)
        continue;
      if (key_count (r) < 2 && load > HOT_KEY_LIMIT * o->capacity)
        {
          s->total -= load - HOT_KEY_LIMIT * o->capacity;
          load = HOT_KEY_LIMIT * o->capacity;
        }
      o->load += load;
    }
}

/* Plans one pool: changes P's ranges and lists the changed ones in P->changed.
 * Does nothing without owners. */
void
cc_key_plan (CcKeyPlan *p)
{
  g_autoptr (GHashTable) by_id = g_hash_table_new (g_str_hash, g_str_equal);
  PlanState s = { .plan = p,
                  .fence = cc_key_ranges_top_fence (p->ranges),
                  .by_id = by_id };

  if (p->owners->len == 0)
    return;
  measure_load (&s);
  if (p->ranges->list->len == 0)
    {
      divide_initially (&s);
      return;
    }
  assign_unowned (&s);
  supply_new_owners (&s);
  while (p->rebalance && !limit_reached (&s) && relieve_owner (&s))
    ;
}
