#include "world.h"

#include <math.h>

#define LOADS_PERIOD CC_SECOND /* longer than in reality, for speed */

/* Returns a pool of SERVERS servers that own all slices evenly, without load.
 */
World *
world_new (guint slices, guint servers, CcPreference prefer, guint32 seed)
{
  World *w = g_new0 (World, 1);

  w->map = cc_slicemap_new ("p", slices);
  w->pool.name = g_strdup ("p");
  w->pool.prefer = prefer;
  w->pool.slices = slices;
  w->planner = cc_planner_new ();
  w->servers = g_ptr_array_new ();
  w->base = g_new0 (double, slices);
  w->keys = g_array_new (FALSE, TRUE, sizeof (WorldKey));
  w->written = g_array_new (FALSE, TRUE, sizeof (gint64));
  w->unowned_for = g_array_new (FALSE, TRUE, sizeof (gint64));
  w->rand = g_rand_new_with_seed (seed);
  w->now = CC_SECOND;
  for (guint i = 0; i < servers; i++)
    {
      g_autofree char *name = g_strdup_printf ("s%u", i);

      world_join (w, name);
    }
  world_run (w, 30);
  w->moves = 0;
  w->unavailable = 0;
  return w;
}

/* Frees W. */
void
world_free (World *w)
{
  for (guint i = 0; i < w->servers->len; i++)
    {
      g_free (((WorldServer *) w->servers->pdata[i])->name);
      g_free (w->servers->pdata[i]);
    }
  g_ptr_array_unref (w->servers);
  g_array_unref (w->keys);
  g_array_unref (w->written);
  g_array_unref (w->unowned_for);
  g_rand_free (w->rand);
  cc_planner_free (w->planner);
  cc_slicemap_free (w->map);
  g_free (w->pool.name);
  g_free (w->base);
  g_free (w);
}

/* The server NAME, or NULL. */
WorldServer *
world_find (World *w, const char *name)
{
  for (guint i = 0; i < w->servers->len; i++)
    if (g_str_equal (((WorldServer *) w->servers->pdata[i])->name, name))
      return w->servers->pdata[i];
  return NULL;
}

/* Lists the server NAME from now on. */
WorldServer *
world_join (World *w, const char *name)
{
  WorldServer *s = world_find (w, name);

  if (s == NULL)
    {
      s = g_new0 (WorldServer, 1);
      s->name = g_strdup (name);
      g_ptr_array_add (w->servers, s);
    }
  s->listed = TRUE;
  s->leaving = s->silent = FALSE;
  return s;
}

/* The true load of UNIT. */
double
world_load (const World *w, guint unit)
{
  double load = unit < w->map->slices->len ? w->base[unit] : 0;

  for (guint i = 0; i < w->keys->len; i++)
    {
      const WorldKey *k = &g_array_index (w->keys, WorldKey, i);

      if (cc_slicemap_unit (w->map, k->hash) == unit)
        load += k->load;
    }
  return load;
}

static CcRoster *
roster_of (const World *w)
{
  CcRoster *r = cc_roster_new ();

  cc_roster_add_dispatcher (r, "d", "a", FALSE);
  for (guint i = 0; i < w->servers->len; i++)
    {
      const WorldServer *s = w->servers->pdata[i];

      if (s->listed)
        cc_roster_add_server (r, s->name, "127.0.0.1:1", "a", s->leaving);
    }
  return r;
}

static double
measured (const World *w, double load)
{
  double u = 1 - g_rand_double (w->rand), v = g_rand_double (w->rand);

  return load *
         MAX (0, 1 + w->noise * sqrt (-2 * log (u)) * cos (2 * G_PI * v));
}

static void
report_loads (World *w, gint32 server)
{
  const char *name = cc_slicemap_server (w->map, server)->name;
  GVariantBuilder b;
  g_autoptr (GVariant) loads = NULL;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(ud)"));
  for (guint i = 0; i < cc_slicemap_units (w->map); i++)
    if (cc_slicemap_at (w->map, i)->server == server &&
        cc_slicemap_at (w->map, i)->from < 0)
      g_variant_builder_add (&b, "(ud)", i, measured (w, world_load (w, i)));
  loads = g_variant_ref_sink (g_variant_builder_end (&b));
  cc_unit_loads_update (w->planner->loads, w->map, name, loads, w->now);
}

static void
report_hot (World *w)
{
  GVariantBuilder b;
  g_autoptr (GVariant) hot = NULL;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(tud)"));
  for (guint i = 0; i < w->keys->len; i++)
    {
      const WorldKey *k = &g_array_index (w->keys, WorldKey, i);

      g_variant_builder_add (&b, "(tud)", k->hash,
                             cc_slicemap_unit (w->map, k->hash),
                             measured (w, k->load));
    }
  hot = g_variant_ref_sink (g_variant_builder_end (&b));
  cc_hot_units_update (w->planner->hot, hot, w->now);
}

/* The newest version of the map that dispatchers have applied by now. */
static guint64
applied_version (World *w)
{
  guint64 v = w->map->version;

  while (w->written->len <= v)
    g_array_append_val (w->written, w->now);
  while (v > 0 && g_array_index (w->written, gint64, v) > w->now - w->lag)
    v--;
  return v;
}

static void
report (World *w, GHashTable *reports)
{
  guint64 applied = applied_version (w);

  for (gint32 i = 0; i < (gint32) w->map->servers->len; i++)
    {
      const CcMapServer *s = cc_slicemap_server (w->map, i);
      CcServerReport *r = g_new0 (CcServerReport, 1);

      r->applied =
          w->now < world_find (w, s->name)->unconfirmed_until ? 0 : applied;
      r->lost = world_find (w, s->name)->silent;
      r->dispatcher = g_strdup ("d");
      g_hash_table_insert (reports, g_strdup (s->name), r);
      if (!r->lost && w->now % LOADS_PERIOD == 0)
        report_loads (w, i);
    }
}

static void
report_free (gpointer data)
{
  g_free (((CcServerReport *) data)->dispatcher);
  g_free (data);
}

static const char *
server_name (const CcSliceMap *m, gint32 server)
{
  return server >= 0 ? cc_slicemap_server (m, server)->name : "";
}

/* The names of the units' servers; "" for none. */
static GPtrArray *
owners_of (const CcSliceMap *m)
{
  GPtrArray *all = g_ptr_array_new ();

  for (guint i = 0; i < cc_slicemap_units (m); i++)
    g_ptr_array_add (all, (gpointer) g_intern_string (
                              server_name (m, cc_slicemap_at (m, i)->server)));
  return all;
}

static void
count_unowned (World *w, guint unit, gboolean moves)
{
  gint64 *unowned_for;

  if (w->unowned_for->len <= unit)
    g_array_set_size (w->unowned_for, unit + 1);
  unowned_for = &g_array_index (w->unowned_for, gint64, unit);
  *unowned_for = moves ? *unowned_for + WORLD_TICK : 0;
  w->longest = MAX (w->longest, *unowned_for);
}

static void
count_moves (World *w, const GPtrArray *before)
{
  for (guint i = 0; i < cc_slicemap_units (w->map); i++)
    {
      const CcMapSlice *s = cc_slicemap_at (w->map, i);
      const char *now = server_name (w->map, s->server);
      const char *then = i < before->len ? before->pdata[i] : "";

      w->moves += now[0] != '\0' && then[0] != '\0' && !g_str_equal (now, then);
      count_unowned (w, i, s->from >= 0);
      if (s->from >= 0)
        w->unavailable += WORLD_TICK;
    }
}

/* Epochs of the moving units; 0 for the others. */
static GArray *
moving_epochs (const CcSliceMap *m)
{
  GArray *all = g_array_new (FALSE, TRUE, sizeof (guint64));

  for (guint i = 0; i < cc_slicemap_units (m); i++)
    {
      const CcMapSlice *s = cc_slicemap_at (m, i);
      guint64 epoch = s->from >= 0 ? s->epoch : 0;

      g_array_append_val (all, epoch);
    }
  return all;
}

static void
count_unsettled (World *w, const GArray *before)
{
  for (guint i = 0; i < MIN (before->len, cc_slicemap_units (w->map)); i++)
    {
      guint64 epoch = g_array_index (before, guint64, i);

      w->unsettled += epoch != 0 && cc_slicemap_at (w->map, i)->epoch != epoch;
    }
}

/* Advances the clock by one period: reports are received, and the assigner
 * runs one step. */
void
world_tick (World *w)
{
  g_autoptr (GHashTable) reports =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, report_free);
  g_autoptr (GPtrArray) before = owners_of (w->map);
  g_autoptr (GArray) moving = moving_epochs (w->map);
  CcRoster *roster = roster_of (w);

  w->now += WORLD_TICK;
  report (w, reports);
  if (w->now % LOADS_PERIOD == 0)
    report_hot (w);
  cc_planner_set_write_time (w->planner, w->write);
  if (w->now >= w->writing && cc_planner_step (w->planner, w->map, &w->pool,
                                               roster, reports, w->now) > 0)
    {
      w->map->version++;
      w->writing = w->now + w->write;
    }
  count_moves (w, before);
  count_unsettled (w, moving);
  cc_roster_free (roster);
}

/* Advances the clock by SECONDS. */
void
world_run (World *w, guint seconds)
{
  for (guint i = 0; i < seconds * (guint) (CC_SECOND / WORLD_TICK); i++)
    world_tick (w);
}

/* The true peak over mean load of the servers that are listed and reachable.
 */
double
world_imbalance (const World *w)
{
  g_autofree double *held = g_new0 (double, w->map->servers->len + 1);
  double total = 0, peak = 0;
  guint n = 0;

  for (guint i = 0; i < cc_slicemap_units (w->map); i++)
    if (cc_slicemap_at (w->map, i)->server >= 0)
      {
        held[cc_slicemap_at (w->map, i)->server] += world_load (w, i);
        total += world_load (w, i);
      }
  for (guint i = 0; i < w->map->servers->len; i++)
    {
      n += cc_slicemap_server (w->map, (gint32) i)->state == CC_SERVER_LIVE;
      peak = MAX (peak, held[i]);
    }
  return total > 0 ? peak * n / total : 1;
}

/* The number of units of server NAME. */
guint
world_owned (const World *w, const char *name)
{
  gint32 i = cc_slicemap_find (w->map, name);

  return i >= 0 ? cc_slicemap_owned (w->map, i) : 0;
}

/* Distributes a load of TOTAL unevenly over the slices. */
void
world_spread (World *w, double total)
{
  double sum = 0;

  for (guint i = 0; i < w->pool.slices; i++)
    sum += w->base[i] = g_rand_double_range (w->rand, 0.2, 1.8);
  for (guint i = 0; i < w->pool.slices; i++)
    w->base[i] *= total / sum;
}
