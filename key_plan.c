/* Load pattern: part of the keys turns busy from one second to the next, and
 * busy keys lie side by side, so one upstream gets several times what it can
 * serve while the others idle.  Divided by number, keys stay there, and all
 * that are asked for at that upstream wait.
 *
 * Keys go from upstreams that may not own any, and from those with much more
 * load than they can bear, to those with the least for their capacity.  A busy
 * region is cut into pieces by its load and spread over several at once, since
 * it may be busy for a few seconds only.  Nothing else moves: a key that
 * changes hands waits for the old owner to end its work. */
#include "key_plan.h"

#include <math.h>

#include "edge.h"

/* Ranges of an upstream that leaves are cut to at most this part of a fair
 * share, so that its load is spread over several others. */
#define PIECE_PART 0.5
/* A newcomer gets this part of a fair share at first, from DONORS others: its
 * caches are cold, and each key that moves is a risk for the requests on it. */
#define NEWCOMER_PART 0.6
#define DONORS 2
/* All keys together count as at least this part of the measured load, so that
 * keys that nobody asked for lately are not all one upstream's. */
#define FLOOR_PART 0.25
#define FLOOR_LEAST 1.0 /* requests a second, while nothing is measured */
/* Load is taken off an upstream that is busier than this, as a part of its
 * capacity: below, requests seldom wait and chance does not hurt. */
#define BUSY_FROM 0.75
/* ... and busier than the mean by this factor: counts of two seconds are off by
 * a fifth. */
#define BUSY_FACTOR 1.35
/* Moves of less than this part of the upstream's load are not worth it. */
#define MOVE_LEAST 0.08
/* A range may have this much more than what is to be moved: cutting it costs a
 * range for good. */
#define PIECE_EXCESS 1.2
/* A key that is asked for more often than its owner can serve counts as this
 * part of that owner's capacity: what lies beyond is refused, and would make
 * the pool look busier than it can be made. */
#define HOT_KEY_MOST 1.5

/* However slow an upstream is, it counts for this part of its capacity at
 * least: one that owns no keys at all is never measured again. */
#define WEIGHT_LEAST 0.1
/* Halvings in the search for how much each upstream is to have as headroom;
 * that of any is then known to a millionth. */
#define HALVINGS 20

typedef struct
{
  CcKeyPlan *plan;
  guint64 fence;     /* the highest that was given */
  double capacity;   /* of all owners */
  double per_key;    /* what each key counts for beside its load */
  double total;      /* load of all keys */
  GHashTable *by_id; /* id to CcKeyOwner */
} State;

static CcKeyOwner *
owner_at (const State *s, guint i)
{
  return &g_array_index (s->plan->owners, CcKeyOwner, i);
}

static CcKeyOwner *
find_owner (const State *s, const char *id, guint64 born)
{
  CcKeyOwner *o = g_hash_table_lookup (s->by_id, id);

  return o != NULL && o->born == born ? o : NULL;
}

static double
keys_of (const CcKeyRange *r)
{
  return (double) r->to - r->from + 1;
}

static double
load_of (const State *s, const CcKeyRange *r)
{
  return cc_key_load_rate (s->plan->load, r->from, r->to) +
         s->per_key * keys_of (r);
}

static double
use_of (const CcKeyOwner *o)
{
  return o->load / o->capacity;
}

static CcKeyOwner *
least (const State *s)
{
  CcKeyOwner *best = owner_at (s, 0);

  for (guint i = 1; i < s->plan->owners->len; i++)
    if (use_of (owner_at (s, i)) < use_of (best))
      best = owner_at (s, i);
  return best;
}

/* The busiest that can be helped; NULL: none. */
static CcKeyOwner *
most (const State *s)
{
  CcKeyOwner *best = NULL;

  for (guint i = 0; i < s->plan->owners->len; i++)
    if (!owner_at (s, i)->stuck &&
        (best == NULL || use_of (owner_at (s, i)) > use_of (best)))
      best = owner_at (s, i);
  return best;
}

static double
fair_share (const State *s, const CcKeyOwner *o)
{
  return s->total * o->capacity / s->capacity;
}

static gboolean
is_full (const State *s)
{
  return s->plan->changed->len >= s->plan->limit;
}

static void
note_changed (State *s, CcKeyRange *r)
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

/* Cuts KEYS keys, not all, off the end of R and returns them. */
static CcKeyRange *
cut_off (State *s, CcKeyRange *r, guint keys)
{
  CcKeyRange *tail = cc_key_range_copy (r);

  tail->from = r->to - keys + 1;
  tail->version = 0;
  r->to = tail->from - 1;
  note_changed (s, r);
  note_changed (s, tail);
  g_ptr_array_add (s->plan->ranges->list, tail);
  g_ptr_array_sort (s->plan->ranges->list, by_from);
  return tail;
}

/* Cuts a part of about LOAD off the end of R, which has more than one key, and
 * returns it. */
static CcKeyRange *
cut (State *s, CcKeyRange *r, double load)
{
  return cut_off (s, r,
                  cc_key_load_split (s->plan->load, r->from, r->to, FALSE, load,
                                     s->per_key));
}

static void
give (State *s, CcKeyRange *r, CcKeyOwner *o)
{
  cc_key_range_move (r, o->id, o->born, ++s->fence);
  o->load += load_of (s, r);
  note_changed (s, r);
}

/* The first division: as many ranges as owners, by their capacity. */
static void
divide (State *s)
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
      note_changed (s, r);
      from = to + 1;
    }
}

/* The same upstream, started again under its id, holds nothing of before: it
 * gets its keys back, and nobody else needs to stop for them. */
static gboolean
take_back (State *s, CcKeyRange *r)
{
  CcKeyOwner *o = g_hash_table_lookup (s->by_id, r->owner);

  if (o == NULL)
    return FALSE;
  r->born = o->born;
  r->fence = ++s->fence;
  o->load += load_of (s, r);
  note_changed (s, r);
  return TRUE;
}

static void
place_orphans (State *s)
{
  for (guint i = 0; i < s->plan->ranges->list->len && !is_full (s); i++)
    {
      CcKeyRange *r = s->plan->ranges->list->pdata[i];
      double piece = PIECE_PART * s->total / s->plan->owners->len;

      if (find_owner (s, r->owner, r->born) != NULL)
        continue;
      if (r->locked)
        {
          s->plan->skipped = TRUE;
          continue;
        }
      if (take_back (s, r))
        continue;
      if (load_of (s, r) > 1.5 * piece && keys_of (r) > 2)
        cut (s, r, load_of (s, r) - piece);
      give (s, r, least (s));
    }
}

/* Whether R is R's owner's to keep: being moved, moved lately, or in a call. */
static gboolean
stays (const CcKeyRange *r)
{
  return r->previous != NULL || r->settling || r->locked;
}

/* The range of the busiest owners but NEWCOMER that has the most load and may
 * be moved. */
static CcKeyRange *
heaviest (const State *s, const CcKeyOwner *newcomer)
{
  CcKeyRange *best = NULL;
  double best_weight = 0;

  for (guint i = 0; i < s->plan->ranges->list->len; i++)
    {
      CcKeyRange *r = s->plan->ranges->list->pdata[i];
      const CcKeyOwner *its = find_owner (s, r->owner, r->born);
      double weight;

      if (its == NULL || its == newcomer || stays (r) || keys_of (r) < 2)
        continue;
      weight = load_of (s, r) + its->load;
      if (weight > best_weight)
        best = r;
      best_weight = MAX (best_weight, weight);
    }
  return best;
}

static void
supply_newcomer (State *s, CcKeyOwner *o)
{
  for (guint i = 0; i < DONORS && !is_full (s); i++)
    {
      double wanted = NEWCOMER_PART * fair_share (s, o) / DONORS;
      CcKeyRange *r = heaviest (s, o);
      CcKeyOwner *donor;

      if (r == NULL || keys_of (r) <= 2)
        return;
      donor = find_owner (s, r->owner, r->born);
      r = cut (s, r, MIN (wanted, load_of (s, r) / 2));
      donor->load -= load_of (s, r);
      give (s, r, o);
    }
}

/* The range of O with the most load up to MOST, or with SPLITTABLE the one with
 * the most that can be cut; NULL: none. */
static CcKeyRange *
find_range (const State *s, const CcKeyOwner *o, double most,
            gboolean splittable)
{
  CcKeyRange *best = NULL;
  double best_load = 0;

  for (guint i = 0; i < s->plan->ranges->list->len; i++)
    {
      CcKeyRange *r = s->plan->ranges->list->pdata[i];
      double load;

      if (stays (r) || find_owner (s, r->owner, r->born) != o ||
          (splittable && keys_of (r) < 2))
        continue;
      load = load_of (s, r);
      if (load <= best_load || (!splittable && load > most))
        continue;
      best = r;
      best_load = load;
    }
  return best;
}

/* Cuts about AMOUNT off one end of R and returns that part; NULL if the key at
 * either end is busier than that by itself. */
static CcKeyRange *
cut_end (State *s, CcKeyRange *r, double amount)
{
  const CcKeyLoad *h = s->plan->load;
  guint tail = cc_key_load_split (h, r->from, r->to, FALSE, amount, s->per_key);
  guint head = cc_key_load_split (h, r->from, r->to, TRUE, amount, s->per_key);
  double most = PIECE_EXCESS * amount;

  if (cc_key_load_rate (h, r->to - tail + 1, r->to) <= most)
    return cut_off (s, r, tail);
  if (cc_key_load_rate (h, r->from, r->from + head - 1) > most)
    return NULL;
  cut_off (s, r, (guint) keys_of (r) - head);
  return r;
}

/* Takes AMOUNT off FROM and gives it to TO.  FALSE: nothing of FROM's can be
 * moved, since a single key is too busy or all was moved lately. */
static gboolean
shift (State *s, CcKeyOwner *from, CcKeyOwner *to, double amount)
{
  CcKeyRange *r = find_range (s, from, PIECE_EXCESS * amount, FALSE);

  if (r == NULL || load_of (s, r) < MOVE_LEAST * from->load)
    {
      CcKeyRange *whole = find_range (s, from, 0, TRUE);
      CcKeyRange *part = whole != NULL ? cut_end (s, whole, amount) : NULL;

      r = part != NULL ? part : r;
    }
  if (r == NULL)
    return FALSE;
  from->load -= load_of (s, r);
  give (s, r, to);
  return TRUE;
}

/* Takes load off the busiest owner.  Returns FALSE if nothing is to be done.
 *
 * Failure: one key is asked for more often than its owner can serve, and no
 * move helps; a plan that ends there leaves all other busy owners as they are.
 * So such an owner is left out, after its other keys were taken off it. */
static gboolean
relieve (State *s)
{
  CcKeyOwner *from = most (s), *to = least (s);
  double mean = s->total / s->capacity;
  double amount;

  if (from == NULL || use_of (from) < MAX (BUSY_FROM, BUSY_FACTOR * mean))
    return FALSE;
  amount =
      MIN (from->load - mean * from->capacity, mean * to->capacity - to->load);
  if (amount < MOVE_LEAST * mean * from->capacity ||
      !shift (s, from, to, amount))
    from->stuck = TRUE;
  return TRUE;
}

/* What an upstream of CAPACITY is to be asked for, if HEADROOM times the root
 * of it is to be left. */
static double
weight_of (double capacity, double headroom)
{
  return MAX (capacity - headroom * sqrt (capacity), WEIGHT_LEAST * capacity);
}

static double
sum_of_weights (const State *s, double headroom)
{
  double sum = 0;

  for (guint i = 0; i < s->plan->owners->len; i++)
    sum += weight_of (owner_at (s, i)->capacity, headroom);
  return sum;
}

/* Load pattern: little is asked for, and upstreams differ in speed.  Divided in
 * proportion to what they can serve, the slow ones get requests that take half
 * as long again there while the fast ones idle.
 *
 * The mean time of an answer is least if each has headroom in proportion to
 * the root of its capacity: with little load the fast ones serve nearly all,
 * with much all are equally busy.  So capacities are weighed by what is to be
 * asked for, and keep their sum. */
static void
weigh_capacities (State *s)
{
  double low = 0, high = 0, weights;

  for (guint i = 0; i < s->plan->owners->len; i++)
    high = MAX (high, sqrt (owner_at (s, i)->capacity));
  for (guint i = 0; i < HALVINGS; i++)
    {
      double middle = (low + high) / 2;

      if (sum_of_weights (s, middle) > s->total)
        low = middle;
      else
        high = middle;
    }
  weights = sum_of_weights (s, low);
  for (guint i = 0; i < s->plan->owners->len; i++)
    owner_at (s, i)->capacity =
        weight_of (owner_at (s, i)->capacity, low) * s->capacity / weights;
}

static void
measure (State *s)
{
  double measured = cc_key_load_rate (s->plan->load, 0, CC_KEYS - 1);

  s->per_key = MAX (FLOOR_PART * measured, FLOOR_LEAST) / CC_KEYS;
  s->total = measured + s->per_key * CC_KEYS;
  for (guint i = 0; i < s->plan->owners->len; i++)
    {
      s->capacity += owner_at (s, i)->capacity;
      owner_at (s, i)->load = 0;
      owner_at (s, i)->stuck = FALSE;
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
      if (keys_of (r) < 2 && load > HOT_KEY_MOST * o->capacity)
        {
          s->total -= load - HOT_KEY_MOST * o->capacity;
          load = HOT_KEY_MOST * o->capacity;
        }
      o->load += load;
    }
}

/* Plans for one pool. */
void
cc_key_plan (CcKeyPlan *p)
{
  g_autoptr (GHashTable) by_id = g_hash_table_new (g_str_hash, g_str_equal);
  State s = { .plan = p,
              .fence = cc_key_ranges_top_fence (p->ranges),
              .by_id = by_id };

  if (p->owners->len == 0)
    return;
  measure (&s);
  if (p->ranges->list->len == 0)
    {
      divide (&s);
      return;
    }
  place_orphans (&s);
  for (guint i = 0; i < p->owners->len; i++)
    if (owner_at (&s, i)->load == 0)
      supply_newcomer (&s, owner_at (&s, i));
  while (p->rebalance && !is_full (&s) && relieve (&s))
    ;
}
