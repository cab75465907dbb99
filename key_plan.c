/* Keys go from upstreams that may not own any to those that own the fewest for
 * their size; one that is new gets a part of what the others own.  Nothing else
 * moves: a key that changes hands is cold at its new owner and waits for the
 * old one to end its work. */
#include "key_plan.h"

#include "edge.h"

/* Ranges of an upstream that leaves are cut to at most this part of a fair
 * share, so that its load is spread over several others. */
#define PIECE_PART 0.5
/* A newcomer gets this part of a fair share at first, from DONORS others: its
 * caches are cold, and each key that moves is a risk for the requests on it. */
#define NEWCOMER_PART 0.6
#define DONORS 2
/* No range is cut below this many keys. */
#define RANGE_LEAST 64

typedef struct
{
  CcKeyRanges *ranges;
  GArray *owners;
  GPtrArray *changed;
  guint limit;
  guint64 fence; /* the highest that was given */
  double slots;  /* of all owners */
} Plan;

static CcKeyOwner *
owner_at (const Plan *p, guint i)
{
  return &g_array_index (p->owners, CcKeyOwner, i);
}

static CcKeyOwner *
find_owner (const Plan *p, const char *id, guint64 born)
{
  for (guint i = 0; i < p->owners->len; i++)
    if (g_str_equal (owner_at (p, i)->id, id) && owner_at (p, i)->born == born)
      return owner_at (p, i);
  return NULL;
}

static double
keys_of (const CcKeyRange *r)
{
  return (double) r->to - r->from + 1;
}

/* The owner with the fewest keys for its slots. */
static CcKeyOwner *
least (const Plan *p)
{
  CcKeyOwner *best = owner_at (p, 0);

  for (guint i = 1; i < p->owners->len; i++)
    if (owner_at (p, i)->keys / owner_at (p, i)->slots <
        best->keys / best->slots)
      best = owner_at (p, i);
  return best;
}

static double
fair_share (const Plan *p, const CcKeyOwner *o)
{
  return CC_KEYS * o->slots / p->slots;
}

static gboolean
is_full (const Plan *p)
{
  return p->changed->len >= p->limit;
}

static void
note_changed (Plan *p, CcKeyRange *r)
{
  if (!g_ptr_array_find (p->changed, r, NULL))
    g_ptr_array_add (p->changed, r);
}

static gint
by_from (gconstpointer a, gconstpointer b)
{
  const CcKeyRange *x = *(CcKeyRange *const *) a, *y = *(CcKeyRange *const *) b;

  return (gint) x->from - (gint) y->from;
}

/* Cuts R so that it ends with KEYS fewer, and returns the part cut off. */
static CcKeyRange *
cut (Plan *p, CcKeyRange *r, guint keys)
{
  CcKeyRange *tail = cc_key_range_copy (r);

  tail->from = r->to - keys + 1;
  tail->version = 0;
  r->to = tail->from - 1;
  note_changed (p, r);
  note_changed (p, tail);
  g_ptr_array_add (p->ranges->list, tail);
  g_ptr_array_sort (p->ranges->list, by_from);
  return tail;
}

static void
give (Plan *p, CcKeyRange *r, CcKeyOwner *o)
{
  cc_key_range_move (r, o->id, o->born, ++p->fence);
  o->keys += keys_of (r);
  note_changed (p, r);
}

/* The first division: as many ranges as owners, by their slots. */
static void
divide (Plan *p)
{
  guint from = 0;
  double upto = 0;

  for (guint i = 0; i < p->owners->len; i++)
    {
      CcKeyOwner *o = owner_at (p, i);
      guint to;
      CcKeyRange *r;

      upto += fair_share (p, o);
      to = i + 1 == p->owners->len ? CC_KEYS - 1 : (guint) upto - 1;
      r = cc_key_range_new (from, to, o->id, o->born, ++p->fence);
      g_ptr_array_add (p->ranges->list, r);
      note_changed (p, r);
      from = to + 1;
    }
}

/* The same upstream, started again under its id, holds nothing of before: it
 * gets its keys back, and nobody else needs to stop for them. */
static gboolean
take_back (Plan *p, CcKeyRange *r)
{
  for (guint i = 0; i < p->owners->len; i++)
    {
      CcKeyOwner *o = owner_at (p, i);

      if (!g_str_equal (o->id, r->owner))
        continue;
      r->born = o->born;
      r->fence = ++p->fence;
      o->keys += keys_of (r);
      note_changed (p, r);
      return TRUE;
    }
  return FALSE;
}

static void
place_orphans (Plan *p)
{
  for (guint i = 0; i < p->ranges->list->len && !is_full (p); i++)
    {
      CcKeyRange *r = p->ranges->list->pdata[i];
      double piece = PIECE_PART * CC_KEYS / p->owners->len;

      if (find_owner (p, r->owner, r->born) != NULL || take_back (p, r))
        continue;
      if (keys_of (r) >= piece + RANGE_LEAST && piece >= RANGE_LEAST)
        cut (p, r, (guint) (keys_of (r) - piece));
      give (p, r, least (p));
    }
}

/* The range to take KEYS from: of the owner with the most keys for its slots,
 * its largest that doesn't move. */
static CcKeyRange *
donor_range (const Plan *p, const CcKeyOwner *newcomer)
{
  CcKeyRange *best = NULL;
  double most = 0;

  for (guint i = 0; i < p->ranges->list->len; i++)
    {
      CcKeyRange *r = p->ranges->list->pdata[i];
      const CcKeyOwner *o = find_owner (p, r->owner, r->born);
      double weight;

      if (o == NULL || o == newcomer || r->previous != NULL ||
          keys_of (r) < 2 * RANGE_LEAST)
        continue;
      weight = o->keys / o->slots + keys_of (r) / CC_KEYS;
      if (weight > most)
        best = r;
      most = MAX (most, weight);
    }
  return best;
}

static void
supply_newcomer (Plan *p, CcKeyOwner *o)
{
  guint keys = (guint) (NEWCOMER_PART * fair_share (p, o) / DONORS);

  for (guint i = 0; i < DONORS && !is_full (p); i++)
    {
      CcKeyRange *r = donor_range (p, o);
      guint part;

      if (r == NULL)
        return;
      part = MIN (MAX (keys, RANGE_LEAST), (guint) keys_of (r) / 2);
      find_owner (p, r->owner, r->born)->keys -= part;
      give (p, cut (p, r, part), o);
    }
}

void
cc_key_plan (CcKeyRanges *ranges, GArray *owners, GPtrArray *changed,
             guint limit)
{
  Plan p = { .ranges = ranges,
             .owners = owners,
             .changed = changed,
             .limit = limit,
             .fence = cc_key_ranges_top_fence (ranges) };

  if (owners->len == 0)
    return;
  for (guint i = 0; i < owners->len; i++)
    {
      p.slots += owner_at (&p, i)->slots;
      owner_at (&p, i)->keys = 0;
    }
  if (ranges->list->len == 0)
    {
      divide (&p);
      return;
    }
  for (guint i = 0; i < ranges->list->len; i++)
    {
      const CcKeyRange *r = ranges->list->pdata[i];
      CcKeyOwner *o = find_owner (&p, r->owner, r->born);

      if (o != NULL)
        o->keys += keys_of (r);
    }
  place_orphans (&p);
  for (guint i = 0; i < owners->len; i++)
    if (owner_at (&p, i)->keys == 0)
      supply_newcomer (&p, owner_at (&p, i));
}
