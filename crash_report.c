/* A time is sent as an age, since clocks of instances differ. */
#include "crash_report.h"

#include <string.h>

#include "peer_datagrams.h"

#define VERSION 1
#define REPORT "(ua(sstxa(ayay))a(ayu))"

/* Returns a copy of CRASH with the COUNT requests INSIDE. */
CcReportedCrash *
cc_reported_crash_new (const CcCrash *crash, const CcFingerprints *inside,
                       guint count)
{
  CcReportedCrash *c = g_new0 (CcReportedCrash, 1);

  c->pool = g_strdup (crash->pool);
  c->target = g_strdup (crash->target);
  c->born = crash->born;
  c->at = crash->at;
  c->inside = g_array_new (FALSE, FALSE, sizeof (CcFingerprints));
  g_array_append_vals (c->inside, inside, count);
  return c;
}

static void
crash_free (gpointer data)
{
  CcReportedCrash *c = data;

  g_free (c->pool);
  g_free (c->target);
  g_array_unref (c->inside);
  g_free (c);
}

/* Initialises R as an empty report. */
void
cc_crash_report_init (CcCrashReport *r)
{
  r->crashes = g_ptr_array_new_with_free_func (crash_free);
  r->good_runs = g_array_new (FALSE, FALSE, sizeof (CcGoodRuns));
}

/* Frees the contents of R. */
void
cc_crash_report_clear (CcCrashReport *r)
{
  g_clear_pointer (&r->crashes, g_ptr_array_unref);
  g_clear_pointer (&r->good_runs, g_array_unref);
}

static GVariant *
pack_fingerprint (const CcFingerprint *f)
{
  return g_variant_new_fixed_array (G_VARIANT_TYPE_BYTE, f->bytes,
                                    sizeof f->bytes, 1);
}

/* Reads the byte array V into F.  Returns FALSE if it is none. */
static gboolean
unpack_fingerprint (GVariant *v, CcFingerprint *f)
{
  gsize size;
  const guint8 *bytes = g_variant_get_fixed_array (v, &size, 1);

  if (size != sizeof f->bytes)
    return FALSE;
  memcpy (f->bytes, bytes, size);
  return TRUE;
}

static GVariant *
pack_inside (const GArray *inside)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(ayay)"));
  for (guint i = 0; i < inside->len; i++)
    {
      const CcFingerprints *f = &g_array_index (inside, CcFingerprints, i);

      g_variant_builder_add (&b, "(@ay@ay)", pack_fingerprint (&f->by_caller),
                             pack_fingerprint (&f->by_content));
    }
  return g_variant_builder_end (&b);
}

/* Encodes R at NOW, us; the caller unrefs the result. */
GBytes *
cc_crash_report_encode (const CcCrashReport *r, gint64 now)
{
  GVariantBuilder crashes, runs;

  g_variant_builder_init (&crashes, G_VARIANT_TYPE ("a(sstxa(ayay))"));
  for (guint i = 0; i < r->crashes->len; i++)
    {
      const CcReportedCrash *c = r->crashes->pdata[i];

      g_variant_builder_add (&crashes, "(sstx@a(ayay))", c->pool, c->target,
                             c->born, now - c->at, pack_inside (c->inside));
    }
  g_variant_builder_init (&runs, G_VARIANT_TYPE ("a(ayu)"));
  for (guint i = 0; i < r->good_runs->len; i++)
    {
      const CcGoodRuns *g = &g_array_index (r->good_runs, CcGoodRuns, i);

      g_variant_builder_add (&runs, "(@ayu)",
                             pack_fingerprint (&g->fingerprint), g->runs);
    }
  return cc_datagram_seal (
      CC_DATAGRAM_CRASHES,
      g_variant_new ("(ua(sstxa(ayay))a(ayu))", VERSION, &crashes, &runs));
}

/* Adds the requests in LIST to C.  Returns FALSE if one can't be read. */
static gboolean
unpack_inside (GVariant *list, CcReportedCrash *c)
{
  GVariantIter i;
  GVariant *by_caller, *by_content;
  gboolean valid = TRUE;

  g_variant_iter_init (&i, list);
  while (g_variant_iter_next (&i, "(@ay@ay)", &by_caller, &by_content))
    {
      CcFingerprints f;

      valid &= unpack_fingerprint (by_caller, &f.by_caller) &&
               unpack_fingerprint (by_content, &f.by_content);
      g_variant_unref (by_caller);
      g_variant_unref (by_content);
      if (!valid)
        return FALSE;
      g_array_append_val (c->inside, f);
    }
  return TRUE;
}

static gboolean
unpack_crashes (GVariant *list, gint64 now, CcCrashReport *r)
{
  GVariantIter i;
  const char *pool, *target;
  GVariant *inside;
  guint64 born;
  gint64 age;
  gboolean valid = TRUE;

  g_variant_iter_init (&i, list);
  while (valid && g_variant_iter_next (&i, "(&s&stx@a(ayay))", &pool, &target,
                                       &born, &age, &inside))
    {
      CcCrash crash = { pool, target, born, now - MAX (age, 0) };
      CcReportedCrash *c = cc_reported_crash_new (&crash, NULL, 0);

      g_ptr_array_add (r->crashes, c);
      valid = unpack_inside (inside, c);
      g_variant_unref (inside);
    }
  return valid;
}

static gboolean
unpack_good_runs (GVariant *list, CcCrashReport *r)
{
  GVariantIter i;
  GVariant *fingerprint;
  CcGoodRuns g;
  gboolean valid = TRUE;

  g_variant_iter_init (&i, list);
  while (valid && g_variant_iter_next (&i, "(@ayu)", &fingerprint, &g.runs))
    {
      valid = unpack_fingerprint (fingerprint, &g.fingerprint);
      g_variant_unref (fingerprint);
      if (valid)
        g_array_append_val (r->good_runs, g);
    }
  return valid;
}

/* Decodes BYTES, received at NOW, us, into R, to be cleared.  Returns FALSE,
 * with R cleared, if they are no crash report. */
gboolean
cc_crash_report_decode (GBytes *bytes, gint64 now, CcCrashReport *r)
{
  g_autoptr (GVariant) all =
      cc_datagram_open (bytes, CC_DATAGRAM_CRASHES, REPORT);
  g_autoptr (GVariant) crashes = NULL;
  g_autoptr (GVariant) runs = NULL;
  guint32 version;

  if (all == NULL)
    return FALSE;
  g_variant_get (all, "(u@a(sstxa(ayay))@a(ayu))", &version, &crashes, &runs);
  if (version != VERSION)
    return FALSE;
  cc_crash_report_init (r);
  if (unpack_crashes (crashes, now, r) && unpack_good_runs (runs, r))
    return TRUE;
  cc_crash_report_clear (r);
  return FALSE;
}
