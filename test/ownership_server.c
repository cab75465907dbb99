/* The servers of the small world, and the judge of what took effect there. */
#include "ownership_world.h"

#include <string.h>

static gboolean
is_granted (const World *w, const Server *s, const Work *k)
{
  if (!s->checks || w->omit == OMIT_GRANT_CHECK)
    return TRUE;
  return k->term == s->term && w->now < s->lapses &&
         s->epochs[k->slice] == k->epoch;
}

void
world_on_grant (World *w, Server *s, const Event *e)
{
  Event *ack = world_event (EV_ACK, 0, e->from);
  gint64 life = CC_GRANT_TTL;

  ack->life = e->life;
  ack->server = s->index;
  ack->serial = e->serial;
  ack->term = e->term;
  ack->sent = e->sent;
  ack->refused = e->term < s->term;
  if (w->omit != OMIT_GRANT_EXPIRY)
    life = MIN (life, e->deadline - world_wall (w, s->skew));
  if (e->serial != 0 && !ack->refused)
    {
      s->term = e->term;
      s->lapses = w->now + life;
      memcpy (s->epochs, e->epochs, sizeof s->epochs);
    }
  world_post (w, ack);
}

static void
answer (World *w, const Server *s, const Work *k)
{
  Event *e = world_event (EV_ANSWER, 0, k->from);

  e->server = s->index;
  e->call = k->id;
  e->life = k->life;
  world_post (w, e);
}

void
world_on_work (World *w, Server *s, const Event *e)
{
  Work k = { .slice = e->slice,
             .epoch = e->epochs[e->slice],
             .term = e->term,
             .id = e->call,
             .begun = w->now,
             .ends = w->now + world_span (w, 5 * CC_MS, 200 * CC_MS),
             .deadline = e->deadline,
             .from = e->from,
             .life = e->life };

  if (world_wall (w, s->skew) > e->deadline || !is_granted (w, s, &k))
    answer (w, s, &k);
  else
    g_array_append_val (s->works, k);
}

static void
judge_effect (World *w, const Server *s, const Work *k)
{
  Truth *t = &w->truth[k->slice];

  w->verdict.effects++;
  for (guint i = 0; i < SERVERS; i++)
    if (i != s->index && t->ended[i] > k->begun)
      world_fault (
          w, "%" G_GINT64_FORMAT ": slice %u at servers %u and %u at once",
          w->now, k->slice, i, s->index);
  if (k->epoch < t->epoch)
    world_fault (w, "%" G_GINT64_FORMAT ": slice %u at %u in an older epoch",
                 w->now, k->slice, s->index);
  t->ended[s->index] = w->now;
  t->epoch = MAX (t->epoch, k->epoch);
  t->last = w->now;
}

/* Work ends.  A server that doesn't check grants lets all take effect that it
 * has begun, whatever its deadline. */
void
world_tick_server (World *w, Server *s)
{
  for (guint i = s->works->len; i-- > 0;)
    {
      Work k = g_array_index (s->works, Work, i);

      if (w->now < k.ends)
        continue;
      g_array_remove_index_fast (s->works, i);
      if (!s->checks || is_granted (w, s, &k))
        judge_effect (w, s, &k);
      answer (w, s, &k);
    }
}
