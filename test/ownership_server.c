/* The simulated servers, and the checks of the effects that they have. */
#include "ownership_world.h"

#include <string.h>

static gboolean
is_granted (const World *w, const Server *s, const Work *k)
{
  if (!s->checks || w->omit == OMIT_GRANT_CHECK)
    return TRUE;
  return k->term == s->term && w->now < s->valid_until &&
         s->epochs[k->slice] == k->epoch;
}

void
world_on_grant (World *w, Server *s, const Event *e)
{
  Event *ack = world_event (EV_ACK, 0, e->from);
  gint64 ttl = CC_GRANT_TTL;

  ack->incarnation = e->incarnation;
  ack->server = s->index;
  ack->serial = e->serial;
  ack->term = e->term;
  ack->sent = e->sent;
  ack->refused = e->term < s->term;
  if (w->omit != OMIT_GRANT_EXPIRY)
    ttl = MIN (ttl, e->deadline - world_wall (w, s->skew));
  if (e->serial != 0 && !ack->refused)
    {
      s->term = e->term;
      s->valid_until = w->now + ttl;
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
  e->incarnation = k->incarnation;
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
             .incarnation = e->incarnation };

  if (world_wall (w, s->skew) > e->deadline || !is_granted (w, s, &k))
    answer (w, s, &k);
  else
    g_array_append_val (s->works, k);
}

static void
check_effect (World *w, const Server *s, const Work *k)
{
  SliceModel *t = &w->model[k->slice];

  w->result.effects++;
  for (guint i = 0; i < SERVERS; i++)
    if (i != s->index && t->last_effect[i] > k->begun)
      world_fault (
          w, "%" G_GINT64_FORMAT ": slice %u at servers %u and %u at once",
          w->now, k->slice, i, s->index);
  if (k->epoch < t->epoch)
    world_fault (w, "%" G_GINT64_FORMAT ": slice %u at %u in an older epoch",
                 w->now, k->slice, s->index);
  t->last_effect[s->index] = w->now;
  t->epoch = MAX (t->epoch, k->epoch);
  t->last = w->now;
}

/* Completes work that is due.  A server that does not check grants completes
 * everything that it has started, whatever its deadline. */
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
        check_effect (w, s, &k);
      answer (w, s, &k);
    }
}
