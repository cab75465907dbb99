/* The reason of a change is derived from the two maps rather than reported by
 * the code that made it.  This covers every way in which a map can change, and
 * operators see what was actually written.
 *
 * A move takes two versions.  The second only completes the first and keeps
 * its reason, so that an operator who looks a second later still sees the
 * cause.
 */
#include "map_change.h"

#include <string.h>

#define MAX_NAMED 3 /* names listed in full; further ones are counted */

/* Servers with the same kind of change: the first names and the total. */
typedef struct
{
  GString *names;
  guint count;
} Tally;

static void
tally_add (Tally *t, const char *name)
{
  if (t->names == NULL)
    t->names = g_string_new (NULL);
  if (t->count < MAX_NAMED)
    g_string_append_printf (t->names, "%s%s", t->count > 0 ? ", " : "", name);
  t->count++;
}

/* Appends T's names and TEXT to INTO, and frees the names. */
static void
tally_print (Tally *t, const char *text, GString *into)
{
  if (t->count == 0)
    return;
  g_string_append_printf (into, "%s%s %s", into->len > 0 ? "; " : "",
                          t->names->str, text);
  if (t->count > MAX_NAMED)
    g_string_append_printf (into, " (and %u more)", t->count - MAX_NAMED);
  g_string_free (t->names, TRUE);
}

typedef struct
{
  Tally joined, back, leaving, lost, dropped, taken_over, handed_over;
} ServerTallies;

static void
tally_state (ServerTallies *t, const CcMapServer *now, const CcMapServer *old)
{
  if (now->state == old->state)
    return;
  if (now->state == CC_SERVER_LIVE)
    tally_add (&t->back, now->name);
  else if (now->state == CC_SERVER_LEAVING)
    tally_add (&t->leaving, now->name);
  else
    tally_add (&t->lost, now->name);
}

static void
tally_dispatcher (ServerTallies *t, const CcMapServer *now,
                  const CcMapServer *old)
{
  if (strcmp (now->dispatcher, old->dispatcher) == 0 ||
      old->dispatcher[0] == '\0')
    return;
  if (now->from[0] != '\0')
    tally_add (&t->handed_over, now->name);
  else
    tally_add (&t->taken_over, now->name);
}

static void
tally_servers (ServerTallies *t, const CcSliceMap *m, const CcSliceMap *before)
{
  for (guint i = 0; i < m->servers->len; i++)
    {
      const CcMapServer *now = m->servers->pdata[i];
      const CcMapServer *old =
          cc_slicemap_server (before, cc_slicemap_find (before, now->name));

      if (old == NULL)
        {
          tally_add (&t->joined, now->name);
          continue;
        }
      tally_state (t, now, old);
      tally_dispatcher (t, now, old);
    }
  for (guint i = 0; i < before->servers->len; i++)
    {
      const CcMapServer *old = before->servers->pdata[i];

      if (cc_slicemap_find (m, old->name) < 0)
        tally_add (&t->dropped, old->name);
    }
}

static void
print_servers (ServerTallies *t, GString *into)
{
  tally_print (&t->joined, "joined", into);
  tally_print (&t->back, "answers again, or is no longer drained", into);
  tally_print (&t->leaving, "is leaving or drained", into);
  tally_print (&t->lost, "is silent or no longer listed", into);
  tally_print (&t->dropped, "was dropped", into);
  tally_print (&t->taken_over, "was taken over, its dispatcher lost its lease",
               into);
  tally_print (&t->handed_over, "is handed over, its dispatcher drains", into);
}

/* Counts the slices that started to move or got their first owner. */
static guint
count_started_moves (const CcSliceMap *m, const CcSliceMap *before)
{
  guint n = 0;

  for (guint i = 0; i < MIN (m->slices->len, before->slices->len); i++)
    if (cc_slicemap_at (m, i)->epoch != cc_slicemap_at (before, i)->epoch)
      n++;
  return n;
}

static void
set_reason (CcSliceMap *m, const char *text)
{
  g_free (m->reason);
  m->reason = g_strdup (text);
}

/* Sets M's reason from its differences to BEFORE, the map that it replaces;
 * NULL if it is the first. */
void
cc_slicemap_update_reason (CcSliceMap *m, const CcSliceMap *before)
{
  ServerTallies t = { 0 };
  g_autoptr (GString) text = g_string_new (NULL);
  guint moves;

  if (before == NULL)
    {
      set_reason (m, "the pool is new");
      return;
    }
  moves = count_started_moves (m, before);
  tally_servers (&t, m, before);
  print_servers (&t, text);
  if (moves > 0)
    g_string_append_printf (text, "%s%u slices move",
                            text->len > 0 ? ": " : "balance of load: ", moves);
  if (text->len > 0)
    set_reason (m, text->str);
}

static void
add_dispatchers (GHashTable *ids, const CcMapServer *s)
{
  if (s == NULL)
    return;
  if (s->dispatcher[0] != '\0')
    g_hash_table_add (ids, g_strdup (s->dispatcher));
  if (s->from[0] != '\0')
    g_hash_table_add (ids, g_strdup (s->from));
}

static gboolean
unit_changed (const CcSliceMap *m, const CcSliceMap *before, guint unit)
{
  const CcMapSlice *now = cc_slicemap_at (m, unit);
  const CcMapSlice *old =
      unit < cc_slicemap_units (before) ? cc_slicemap_at (before, unit) : NULL;

  return old == NULL || old->server != now->server || old->from != now->from ||
         old->epoch != now->epoch;
}

static gboolean
server_changed (const CcMapServer *s, const CcSliceMap *before)
{
  const CcMapServer *old =
      cc_slicemap_server (before, cc_slicemap_find (before, s->name));

  return old == NULL || old->term != s->term ||
         !g_str_equal (old->dispatcher, s->dispatcher) ||
         !g_str_equal (old->from, s->from);
}

/* Returns the ids of the dispatchers that must act on M, which replaces
 * BEFORE: those that hold, or are about to hold, a server that changes
 * dispatchers or any of whose units change.  Free with g_hash_table_unref. */
GHashTable *
cc_slicemap_affected_dispatchers (const CcSliceMap *m, const CcSliceMap *before)
{
  GHashTable *ids =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < cc_slicemap_units (m); i++)
    if (unit_changed (m, before, i))
      {
        add_dispatchers (ids,
                         cc_slicemap_server (m, cc_slicemap_at (m, i)->server));
        add_dispatchers (ids,
                         cc_slicemap_server (m, cc_slicemap_at (m, i)->from));
      }
  for (guint i = 0; i < m->servers->len; i++)
    if (server_changed (m->servers->pdata[i], before))
      add_dispatchers (ids, m->servers->pdata[i]);
  return ids;
}
