/* Reports are sent as datagrams: a lost one makes a count slightly too low, and
 * a slow or failed granter never blocks the sender. */
#include "load_reporter.h"

#include <math.h>

#include "key_load.h"

/* Request counts by pool and key; then upstream, work time (us) and answers. */
#define REPORT_TYPE "(a{sa(qq)}a(sdu))"
/* Keys of one pool in a report; the others are sent in the next period. */
#define KEYS_MAX 2000
/* Upstreams in a report; more are sent in further reports at once. */
#define UPSTREAMS_MAX 500
/* Longer work times of one report are not believed, us. */
#define WORK_TIME_MAX 1e12
/* Most answers of an upstream in one report. */
#define ANSWERS_MAX 1000000u

/* The work of an upstream since the last report. */
typedef struct
{
  double time; /* work time, us */
  guint answers;
} Work;

struct CcLoadReporter
{
  CcPeerDatagrams *datagrams;
  GHashTable *pools; /* name to GHashTable of key to count */
  GHashTable *works; /* upstream to Work */
  gboolean relays;   /* adds what it receives to its own reports */
  CcLoadCount count;
  CcWorkReport work;
  gpointer data;
};

/* Adds MORE requests for KEY of POOL to the next report. */
static void
add_count (CcLoadReporter *l, const char *pool, guint key, guint more)
{
  GHashTable *counts = g_hash_table_lookup (l->pools, pool);
  gpointer name = GUINT_TO_POINTER (key);
  guint count;

  if (counts == NULL)
    {
      counts = g_hash_table_new (NULL, NULL);
      g_hash_table_insert (l->pools, g_strdup (pool), counts);
    }
  count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, name));
  g_hash_table_insert (counts, name, GUINT_TO_POINTER (count + more));
}

/* Adds ANSWERS answers of the upstream TARGET, which took TIME us of work time
 * in all, to the next report. */
void
cc_load_reporter_work (CcLoadReporter *l, const char *target, double time,
                       guint answers)
{
  Work *w = g_hash_table_lookup (l->works, target);

  if (w == NULL)
    {
      w = g_new0 (Work, 1);
      g_hash_table_insert (l->works, g_strdup (target), w);
    }
  w->time += time;
  w->answers += answers;
}

/* Adds received counts to the own report of a relay, or passes them to the
 * callback. */
static void
apply_counts (CcLoadReporter *l, GVariant *pools)
{
  GVariantIter i, k;
  const char *pool;
  GVariant *keys;
  guint16 key, count;

  g_variant_iter_init (&i, pools);
  while (g_variant_iter_next (&i, "{&s@a(qq)}", &pool, &keys))
    {
      g_variant_iter_init (&k, keys);
      while (g_variant_iter_next (&k, "(qq)", &key, &count))
        if (l->relays)
          add_count (l, pool, key, count);
        else
          l->count (pool, key, count, l->data);
      g_variant_unref (keys);
    }
}

/* Whether TIME, of another gateway's report, is the time of some work: one that
 * is not a number would spoil each sum that it enters. */
static gboolean
is_work_time (double time)
{
  return isfinite (time) && time >= 0 && time <= WORK_TIME_MAX;
}

/* Adds received work to the own report of a relay, or passes it to the
 * callback. */
static void
apply_work (CcLoadReporter *l, const char *target, double time, guint answers)
{
  if (l->relays)
    cc_load_reporter_work (l, target, time, answers);
  else
    l->work (target, time, answers, l->data);
}

/* Adds a received report to the own report of a relay, or passes it to the
 * callbacks. */
static void
apply_report (CcLoadReporter *l, GVariant *report)
{
  g_autoptr (GVariant) pools = g_variant_get_child_value (report, 0);
  g_autoptr (GVariant) upstreams = g_variant_get_child_value (report, 1);
  GVariantIter i;
  const char *target;
  double time;
  guint answers;

  apply_counts (l, pools);
  g_variant_iter_init (&i, upstreams);
  while (g_variant_iter_next (&i, "(&sdu)", &target, &time, &answers))
    if (is_work_time (time))
      apply_work (l, target, time, MIN (answers, ANSWERS_MAX));
}

/* Applies DATAGRAM of another gateway.  Returns FALSE if it is no load report.
 */
gboolean
cc_load_reporter_receive (CcLoadReporter *l, GBytes *datagram)
{
  g_autoptr (GVariant) report = g_variant_ref_sink (
      g_variant_new_from_bytes (G_VARIANT_TYPE (REPORT_TYPE), datagram, FALSE));

  if (!g_variant_is_normal_form (report))
    return FALSE;
  apply_report (l, report);
  return TRUE;
}

static void
counts_free (gpointer data)
{
  g_hash_table_unref (data);
}

/* Returns a reporter that sends its reports by DATAGRAMS and passes those that
 * it receives to COUNT and WORK with DATA. */
CcLoadReporter *
cc_load_reporter_new (CcPeerDatagrams *datagrams, CcLoadCount count,
                      CcWorkReport work, gpointer data)
{
  CcLoadReporter *l = g_new0 (CcLoadReporter, 1);

  l->datagrams = datagrams;
  l->count = count;
  l->work = work;
  l->data = data;
  l->pools =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, counts_free);
  l->works = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return l;
}

/* Frees L. */
void
cc_load_reporter_free (CcLoadReporter *l)
{
  g_hash_table_unref (l->works);
  g_hash_table_unref (l->pools);
  g_free (l);
}

/* Sets whether L is a relay, which adds the reports that it receives to its
 * own, or passes them to its callbacks. */
void
cc_load_reporter_set_relay (CcLoadReporter *l, gboolean relays)
{
  l->relays = relays;
}

/* Counts a request for KEY of POOL. */
void
cc_load_reporter_count (CcLoadReporter *l, const char *pool, guint key)
{
  add_count (l, pool, key, 1);
}

/* Packs up to KEYS_MAX of COUNTS and removes them. */
static GVariant *
pack_keys (GHashTable *counts)
{
  GVariantBuilder b;
  GHashTableIter i;
  gpointer key, count;
  guint n = 0;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(qq)"));
  g_hash_table_iter_init (&i, counts);
  while (n++ < KEYS_MAX && g_hash_table_iter_next (&i, &key, &count))
    {
      g_variant_builder_add (
          &b, "(qq)", (guint16) GPOINTER_TO_UINT (key),
          (guint16) MIN (GPOINTER_TO_UINT (count), G_MAXUINT16));
      g_hash_table_iter_remove (&i);
    }
  return g_variant_builder_end (&b);
}

static GVariant *
pack_pools (CcLoadReporter *l)
{
  GVariantBuilder b;
  GHashTableIter i;
  gpointer pool, counts;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a{sa(qq)}"));
  g_hash_table_iter_init (&i, l->pools);
  while (g_hash_table_iter_next (&i, &pool, &counts))
    if (g_hash_table_size (counts) > 0)
      g_variant_builder_add (&b, "{s@a(qq)}", pool, pack_keys (counts));
  return g_variant_builder_end (&b);
}

/* Packs the work of up to UPSTREAMS_MAX upstreams and removes it. */
static GVariant *
pack_works (CcLoadReporter *l)
{
  GVariantBuilder b;
  GHashTableIter i;
  gpointer target, value;
  guint n = 0;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(sdu)"));
  g_hash_table_iter_init (&i, l->works);
  while (n++ < UPSTREAMS_MAX && g_hash_table_iter_next (&i, &target, &value))
    {
      const Work *w = value;

      g_variant_builder_add (&b, "(sdu)", target, w->time, w->answers);
      g_hash_table_iter_remove (&i);
    }
  return g_variant_builder_end (&b);
}

/* Sends the counts and work since the last report to ADDRESS (IP:PORT). */
void
cc_load_reporter_send (CcLoadReporter *l, const char *address)
{
  do
    {
      g_autoptr (GVariant) report = g_variant_ref_sink (g_variant_new (
          "(@a{sa(qq)}@a(sdu))", pack_pools (l), pack_works (l)));

      cc_peer_datagrams_send (l->datagrams, address,
                              g_variant_get_data (report),
                              g_variant_get_size (report));
    }
  while (g_hash_table_size (l->works) > 0);
}
