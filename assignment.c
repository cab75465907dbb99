/* One step of assignment for one pool: what is known goes in, the next map
 * comes out.  No network, no clock.
 *
 * Safety: a server changes dispatchers, and a slice changes servers, in two
 * versions of the map.  The first names the new one and, in `from`, the old
 * one, who on reading it stops and drains.  The second, without `from`, is
 * written only after the old one's dispatcher reported that it has applied the
 * first.  A dispatcher that is no longer in the roster has lost its lease, so
 * it has stopped, and its servers go to another at once under a higher term.
 *
 * Balance: slices are counted; a server that joins takes slices from those
 * that have most, a server that leaves gives each to the one that has fewest.
 * Both move the fewest slices that restore the balance.
 */
#include "assignment.h"

/* An empty roster. */
CcRoster *
cc_roster_new (void)
{
  CcRoster *r = g_new0 (CcRoster, 1);

  r->dispatchers = g_ptr_array_new ();
  r->servers = g_ptr_array_new ();
  return r;
}

/* Frees R. */
void
cc_roster_free (CcRoster *r)
{
  for (guint i = 0; i < r->dispatchers->len; i++)
    {
      CcRosterDispatcher *d = r->dispatchers->pdata[i];

      g_free (d->id);
      g_free (d->zone);
      g_free (d);
    }
  for (guint i = 0; i < r->servers->len; i++)
    {
      CcRosterServer *s = r->servers->pdata[i];

      g_free (s->name);
      g_free (s->address);
      g_free (s->zone);
      g_free (s);
    }
  g_ptr_array_unref (r->dispatchers);
  g_ptr_array_unref (r->servers);
  g_free (r);
}

/* Adds a dispatcher whose lease stands. */
void
cc_roster_add_dispatcher (CcRoster *r, const char *id, const char *zone,
                          gboolean draining)
{
  CcRosterDispatcher *d = g_new0 (CcRosterDispatcher, 1);

  d->id = g_strdup (id);
  d->zone = g_strdup (zone);
  d->draining = draining;
  g_ptr_array_add (r->dispatchers, d);
}

/* Adds a server that is listed for the pool. */
void
cc_roster_add_server (CcRoster *r, const char *name, const char *address,
                      const char *zone, gboolean leaving)
{
  CcRosterServer *s = g_new0 (CcRosterServer, 1);

  s->name = g_strdup (name);
  s->address = g_strdup (address);
  s->zone = g_strdup (zone);
  s->leaving = leaving;
  g_ptr_array_add (r->servers, s);
}

static const CcRosterServer *
listed_server (const CcRoster *r, const char *name)
{
  for (guint i = 0; i < r->servers->len; i++)
    {
      const CcRosterServer *s = r->servers->pdata[i];

      if (g_str_equal (s->name, name))
        return s;
    }
  return NULL;
}

static const CcRosterDispatcher *
find_dispatcher (const CcRoster *r, const char *id)
{
  for (guint i = 0; i < r->dispatchers->len; i++)
    {
      const CcRosterDispatcher *d = r->dispatchers->pdata[i];

      if (g_str_equal (d->id, id))
        return d;
    }
  return NULL;
}

static const CcServerReport *
report_of (GHashTable *reports, const CcMapServer *s, const char *dispatcher)
{
  const CcServerReport *r = g_hash_table_lookup (reports, s->name);

  return r != NULL && g_str_equal (r->dispatcher, dispatcher) ? r : NULL;
}

static guint
set_state (CcMapServer *s, CcServerState state)
{
  if (s->state == state)
    return 0;
  s->state = state;
  return 1;
}

/* Takes in servers that joined; marks those that leave or are lost. */
static guint
update_servers (CcSliceMap *m, const CcRoster *roster, GHashTable *reports)
{
  guint changes = 0;

  for (guint i = 0; i < roster->servers->len; i++)
    {
      const CcRosterServer *l = roster->servers->pdata[i];

      if (cc_slicemap_find (m, l->name) >= 0 || l->leaving)
        continue;
      cc_slicemap_add (m, l->name, l->address, l->zone);
      changes++;
    }
  for (guint i = 0; i < m->servers->len; i++)
    {
      CcMapServer *s = m->servers->pdata[i];
      const CcRosterServer *l = listed_server (roster, s->name);
      const CcServerReport *r = report_of (reports, s, s->dispatcher);

      if (l == NULL)
        changes += set_state (s, CC_SERVER_GONE);
      else if (r != NULL && r->lost)
        changes += set_state (s, CC_SERVER_LOST);
      else if (l->leaving)
        changes += set_state (s, CC_SERVER_LEAVING);
      else if (r != NULL && !r->lost)
        changes += set_state (s, CC_SERVER_LIVE);
    }
  return changes;
}

static guint
servers_held (const CcSliceMap *m, const char *id)
{
  guint n = 0;

  for (guint i = 0; i < m->servers->len; i++)
    n += g_str_equal (((CcMapServer *) m->servers->pdata[i])->dispatcher, id);
  return n;
}

/* The dispatcher for a server in ZONE: of the same zone if there is one, since
 * others may be cut off from it, and among those the one that holds fewest. */
static const CcRosterDispatcher *
choose_dispatcher (const CcSliceMap *m, const CcRoster *r, const char *zone)
{
  const CcRosterDispatcher *best = NULL;
  guint best_cost = G_MAXUINT;

  for (guint i = 0; i < r->dispatchers->len; i++)
    {
      const CcRosterDispatcher *d = r->dispatchers->pdata[i];
      guint cost = servers_held (m, d->id);

      cost += g_str_equal (d->zone, zone) ? 0 : 100000;
      if (d->draining || cost >= best_cost)
        continue;
      best = d;
      best_cost = cost;
    }
  return best;
}

static void
set_text (char **field, const char *value)
{
  g_free (*field);
  *field = g_strdup (value);
}

/* The first half of a change of dispatchers, or the whole of it if the old one
 * has no lease any more. */
static guint
replace_dispatcher (CcSliceMap *m, CcMapServer *s, const CcRoster *roster)
{
  const CcRosterDispatcher *now = find_dispatcher (roster, s->dispatcher);
  const CcRosterDispatcher *next;

  if (now != NULL && !now->draining)
    return 0;
  next = choose_dispatcher (m, roster, s->zone);
  if (next == NULL)
    return 0;
  set_text (&s->from, now != NULL ? s->dispatcher : "");
  set_text (&s->dispatcher, next->id);
  s->term++;
  return 1;
}

/* The second half: the old dispatcher has stopped, or has lost its lease. */
static guint
finish_handover (CcSliceMap *m, CcMapServer *s, const CcRoster *roster,
                 GHashTable *reports)
{
  const CcServerReport *r = report_of (reports, s, s->from);

  if (find_dispatcher (roster, s->from) != NULL &&
      (r == NULL || r->applied < m->version))
    return 0;
  set_text (&s->from, "");
  return 1;
}

static guint
update_dispatchers (CcSliceMap *m, const CcRoster *roster, GHashTable *reports)
{
  guint changes = 0;

  for (guint i = 0; i < m->servers->len; i++)
    {
      CcMapServer *s = m->servers->pdata[i];

      if (s->from[0] != '\0')
        changes += finish_handover (m, s, roster, reports);
      else
        changes += replace_dispatcher (m, s, roster);
    }
  return changes;
}

/* Lets slices settle whose old server has stopped serving them. */
static guint
finish_moves (CcSliceMap *m, GHashTable *reports)
{
  guint changes = 0;

  for (guint i = 0; i < m->slices->len; i++)
    {
      CcMapSlice *s = cc_slicemap_at (m, i);
      const CcMapServer *from = cc_slicemap_server (m, s->from);
      const CcServerReport *r =
          from != NULL ? report_of (reports, from, from->dispatcher) : NULL;

      if (from == NULL || from->from[0] != '\0' || r == NULL ||
          r->applied < m->version)
        continue;
      s->from = -1;
      changes++;
    }
  return changes;
}

static gboolean
can_own (const CcSliceMap *m, gint32 server)
{
  const CcMapServer *s = cc_slicemap_server (m, server);

  return s != NULL && s->state == CC_SERVER_LIVE && s->dispatcher[0] != '\0';
}

static gint32
fewest_slices (const CcSliceMap *m, const guint *owned)
{
  gint32 best = -1;

  for (gint32 i = 0; i < (gint32) m->servers->len; i++)
    if (can_own (m, i) && (best < 0 || owned[i] < owned[best]))
      best = i;
  return best;
}

static gint32
most_slices (const CcSliceMap *m, const guint *owned)
{
  gint32 best = -1;

  for (gint32 i = 0; i < (gint32) m->servers->len; i++)
    if (can_own (m, i) && (best < 0 || owned[i] > owned[best]))
      best = i;
  return best;
}

static void
start_move (CcMapSlice *s, gint32 to)
{
  s->from = s->server;
  s->server = to;
  s->epoch++;
}

/* Slices without a fit owner go to the server that has fewest. */
static guint
place_homeless (CcSliceMap *m, guint *owned)
{
  guint changes = 0;

  for (guint i = 0; i < m->slices->len; i++)
    {
      CcMapSlice *s = cc_slicemap_at (m, i);
      gint32 to;

      if (s->from >= 0 || can_own (m, s->server))
        continue;
      to = fewest_slices (m, owned);
      if (to < 0)
        return changes;
      if (s->server >= 0)
        owned[s->server]--;
      owned[to]++;
      start_move (s, to);
      changes++;
    }
  return changes;
}

static CcMapSlice *
settled_slice_of (const CcSliceMap *m, gint32 server)
{
  for (guint i = 0; i < m->slices->len; i++)
    {
      CcMapSlice *s = cc_slicemap_at (m, i);

      if (s->server == server && s->from < 0)
        return s;
    }
  return NULL;
}

/* Evens out the counts to a difference of one. */
static guint
even_out (CcSliceMap *m, guint *owned)
{
  guint changes = 0;

  for (;;)
    {
      gint32 low = fewest_slices (m, owned);
      gint32 high = most_slices (m, owned);
      CcMapSlice *s;

      if (low < 0 || owned[high] <= owned[low] + 1)
        return changes;
      s = settled_slice_of (m, high);
      if (s == NULL)
        return changes;
      owned[high]--;
      owned[low]++;
      start_move (s, low);
      changes++;
    }
}

static guint
move_slices (CcSliceMap *m)
{
  g_autofree guint *owned = g_new0 (guint, m->servers->len + 1);
  guint changes;

  for (gint32 i = 0; i < (gint32) m->servers->len; i++)
    owned[i] = cc_slicemap_owned (m, i);
  changes = place_homeless (m, owned);
  return changes + even_out (m, owned);
}

/* Changes M, read at m->version, by one step.  REPORTS maps a server's name to
 * its CcServerReport.  Returns how many changes were made; with none there is
 * nothing to write. */
guint
cc_assignment_step (CcSliceMap *m, const CcPool *pool, const CcRoster *roster,
                    GHashTable *reports)
{
  guint changes = 0;

  (void) pool;
  changes += update_servers (m, roster, reports);
  changes += update_dispatchers (m, roster, reports);
  changes += finish_moves (m, reports);
  changes += move_slices (m);
  cc_slicemap_compact (m);
  return changes;
}
