/* Guards against a view that goes back to an older row, holds a value that the
 * table never had, or counts as complete while rows are missing; compared with
 * a list of all transactions. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "view.h"

#define SEEDS 3000
#define WRITES 40 /* transactions of a history */
#define KEYS 6
#define STEPS 60

typedef struct
{
  guint key;
  guint64 version;
  char value[16]; /* "": deleted */
} Write;

typedef struct
{
  Write log[WRITES];
} History;

static void
make_history (History *h, GRand *rand)
{
  for (guint i = 0; i < WRITES; i++)
    {
      Write *w = &h->log[i];

      w->key = (guint) g_rand_int_range (rand, 0, KEYS);
      w->version = i + 1;
      g_snprintf (w->value, sizeof w->value, "%s",
                  g_rand_int_range (rand, 0, 4) == 0 ? "" : "v");
      if (w->value[0] != '\0')
        g_snprintf (w->value, sizeof w->value, "v%u", i + 1);
    }
}

/* Returns the newest write of KEY up to version UPTO, or NULL. */
static const Write *
newest (const History *h, guint key, guint64 upto)
{
  const Write *found = NULL;

  for (guint i = 0; i < WRITES && h->log[i].version <= upto; i++)
    if (h->log[i].key == key)
      found = &h->log[i];
  return found;
}

/* Returns the table's changes after SINCE up to UPTO. */
static GVariant *
changes (const History *h, guint64 since, guint64 upto)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(sts)"));
  for (guint k = 0; k < KEYS; k++)
    {
      const Write *w = newest (h, k, upto);
      g_autofree char *key = g_strdup_printf ("k%u", k);

      if (w != NULL && w->version > since)
        g_variant_builder_add (&b, "(sts)", key, w->version, w->value);
    }
  return g_variant_ref_sink (g_variant_builder_end (&b));
}

/* Returns TRUE if every row is at least as new as the table's at v->upto, and
 * the table held each row of V. */
static gboolean
matches_history (const CcView *v, const History *h)
{
  for (guint k = 0; k < KEYS; k++)
    {
      g_autofree char *key = g_strdup_printf ("k%u", k);
      const CcRow *row = g_tree_lookup (v->rows, key);
      const Write *least = newest (h, k, v->upto);

      if (least != NULL && (row == NULL || row->version < least->version))
        return FALSE;
      if (row != NULL &&
          (row->version > WRITES || h->log[row->version - 1].key != k ||
           g_strcmp0 (row->value != NULL ? row->value : "",
                      h->log[row->version - 1].value) != 0))
        return FALSE;
    }
  return TRUE;
}

/* Delivers a random update: an old or a new answer, from any version on, or a
 * single row that makes nothing complete. */
static void
deliver (CcView *v, const History *h, GRand *rand)
{
  guint64 upto = (guint64) g_rand_int_range (rand, 0, WRITES + 1);
  guint64 since = (guint64) g_rand_int_range (rand, 0, (gint32) upto + 1);
  g_autoptr (GVariant) rows = NULL;
  const Write *w;

  if (g_rand_int_range (rand, 0, 3) > 0)
    {
      rows = changes (h, since, upto);
      cc_view_apply (v, since, upto, rows);
      return;
    }
  w = &h->log[g_rand_int_range (rand, 0, WRITES)];
  {
    g_autofree char *key = g_strdup_printf ("k%u", w->key);

    cc_view_put (v, key, w->version, w->value);
  }
}

static void
read_versions (const CcView *v, guint64 *versions)
{
  for (guint k = 0; k < KEYS; k++)
    {
      g_autofree char *key = g_strdup_printf ("k%u", k);
      const CcRow *row = g_tree_lookup (v->rows, key);

      versions[k] = row != NULL ? row->version : 0;
    }
}

static gboolean
run_seed (guint seed)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  guint64 before[KEYS] = { 0 }, now[KEYS], upto = 0;
  gboolean good = TRUE;
  History h;
  CcView v;

  make_history (&h, rand);
  cc_view_init (&v);
  for (guint i = 0; i < STEPS && good; i++)
    {
      deliver (&v, &h, rand);
      read_versions (&v, now);
      for (guint k = 0; k < KEYS; k++)
        good = good && now[k] >= before[k];
      good = good && v.upto >= upto && matches_history (&v, &h);
      memcpy (before, now, sizeof now);
      upto = v.upto;
    }
  cc_view_clear (&v);
  return good;
}

static void
test_deliveries (void **state)
{
  for (guint seed = 1; seed <= SEEDS; seed++)
    if (!run_seed (seed))
      fail_msg ("seed %u: went back, or lacks rows up to its version", seed);
}

/* Guards against rows that are lost or changed when a view is filled from
 * another by cc_view_since and cc_view_apply. */
static void
test_view_filled_from_view (void **state)
{
  for (guint seed = 1; seed <= 300; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      History h;
      CcView sender, receiver;

      make_history (&h, rand);
      cc_view_init (&sender);
      cc_view_init (&receiver);
      for (guint i = 0; i < STEPS; i++)
        {
          g_autoptr (GVariant) rows = NULL;

          deliver (&sender, &h, rand);
          rows = g_variant_ref_sink (cc_view_since (&sender, receiver.upto));
          cc_view_apply (&receiver, receiver.upto, sender.upto, rows);
          if (!matches_history (&receiver, &h))
            fail_msg ("seed %u: the receiver lacks rows up to its version",
                      seed);
        }
      cc_view_clear (&sender);
      cc_view_clear (&receiver);
    }
}

/* Returns TRUE if cc_view_since gives exactly the rows of V that were written
 * after SINCE, in the order of writing. */
static gboolean
since_is_exact (const CcView *v, guint64 since)
{
  g_autoptr (GVariant) rows = g_variant_ref_sink (cc_view_since (v, since));
  g_autoptr (GPtrArray) all = cc_view_rows (v);
  guint64 last = since, version;
  const char *key, *value;
  GVariantIter iter;
  guint newer = 0;

  for (guint i = 0; i < all->len; i++)
    newer += ((CcRow *) all->pdata[i])->version > since ? 1 : 0;
  g_variant_iter_init (&iter, rows);
  while (g_variant_iter_next (&iter, "(&st&s)", &key, &version, &value))
    {
      const CcRow *row = g_tree_lookup (v->rows, key);

      if (row == NULL || row->version != version || version <= last)
        return FALSE;
      last = version;
    }
  return g_variant_n_children (rows) == newer;
}

static void
test_since_returns_newer_rows (void **state)
{
  for (guint seed = 1; seed <= 300; seed++)
    {
      g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
      History h;
      CcView v;

      make_history (&h, rand);
      cc_view_init (&v);
      for (guint i = 0; i < STEPS; i++)
        {
          deliver (&v, &h, rand);
          for (guint64 since = 0; since <= WRITES; since++)
            if (!since_is_exact (&v, since))
              fail_msg ("seed %u: wrong rows since %u", seed, (guint) since);
        }
      cc_view_clear (&v);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_deliveries),
    cmocka_unit_test (test_view_filled_from_view),
    cmocka_unit_test (test_since_returns_newer_rows)
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
