/* Load pattern: a caller repeats a request that crashes each upstream that runs
 * it, at any gateway.  Each crash also ends harmless requests: those that were
 * inside by chance, and those of busy paths, which are inside nearly every
 * upstream.  And upstreams crash for reasons of their own, many at once.
 *
 * All requests inside an upstream that crashed are suspects.  One crash counts
 * once for a request, however many attempts and gateways saw it.  A request is
 * found fatal if
 *  - it was inside CC_CRASHES_FATAL crashes or more,
 *  - few of its runs ended well, by which a busy path is told apart,
 *  - at least half of the pool's crashes since its first one are its own, by
 *    which crashes with another cause are told apart.
 * Crashes that a fatal request explains do not count against others, so those
 * that were inside together with it are not refused.  Of requests with equally
 * many crashes that with the fewest good runs is chosen; if it is the wrong
 * one, the next crash tells.
 *
 * The result depends on the reports alone, not on their order, so that gateways
 * with the same reports refuse the same requests. */
#include "crash_evidence.h"

#include <string.h>

/* Time for which evidence is kept. */
#define EVIDENCE_KEPT (10 * 60 * CC_SECOND)
/* Reports of crashes of one start of an upstream within this time are about one
 * crash: gateways find out within half a second of each other, and an upstream
 * takes longer to start. */
#define SAME_CRASH (1 * CC_SECOND)
/* Limits of memory, about 1 MB in all. */
#define CRASHES_MAX 512
#define SUSPECTS_MAX 4096
/* Good runs that speak against one crash. */
#define GOOD_RUNS_PER_CRASH 3
/* Good runs that speak against any number of crashes. */
#define GOOD_RUNS_ENOUGH (GOOD_RUNS_PER_CRASH * CC_CRASHES_KEPT)
/* A request with this many crashes is fatal whatever else crashes. */
#define CRASHES_ALWAYS_FATAL 5

typedef struct
{
  char *pool;
  char *target;
  char *name; /* "ID.BORN" */
  guint64 born;
  gint64 at; /* us */
  guint references;
  gboolean explained; /* by a fatal request, in the evaluation in progress */
} Crash;

typedef struct
{
  CcFingerprint fingerprint;
  gboolean by_content; /* the fingerprint of the content alone */
  GPtrArray *crashes;  /* of Crash, the oldest first */
  guint good_runs;
  gint64 changed_at;  /* last crash or report of good runs, us */
  gboolean evaluated; /* in the evaluation in progress */
} Suspect;

struct CcCrashEvidence
{
  GPtrArray *crashes;   /* of Crash, in the order of reports */
  GHashTable *suspects; /* CcFingerprint to Suspect */
  GHashTable *paths;    /* hash of a path to the number of suspects */
};

static Crash *
crash_ref (Crash *c)
{
  c->references++;
  return c;
}

static void
crash_unref (gpointer data)
{
  Crash *c = data;

  if (--c->references > 0)
    return;
  g_free (c->pool);
  g_free (c->target);
  g_free (c->name);
  g_free (c);
}

static void
suspect_free (gpointer data)
{
  Suspect *s = data;

  g_ptr_array_unref (s->crashes);
  g_free (s);
}

/* Returns evidence without any crash. */
CcCrashEvidence *
cc_crash_evidence_new (void)
{
  CcCrashEvidence *e = g_new0 (CcCrashEvidence, 1);

  e->crashes = g_ptr_array_new_with_free_func (crash_unref);
  e->suspects = g_hash_table_new_full (
      cc_fingerprint_hash, cc_fingerprint_equal, NULL, suspect_free);
  e->paths = g_hash_table_new (NULL, NULL);
  return e;
}

/* Frees E. */
void
cc_crash_evidence_free (CcCrashEvidence *e)
{
  g_hash_table_unref (e->paths);
  g_hash_table_unref (e->suspects);
  g_ptr_array_unref (e->crashes);
  g_free (e);
}

/* Returns the number of suspects. */
guint
cc_crash_evidence_size (const CcCrashEvidence *e)
{
  return g_hash_table_size (e->suspects);
}

/* Adds MORE to the number of suspects with the path of F. */
static void
count_path (CcCrashEvidence *e, const CcFingerprint *f, gint more)
{
  gpointer path = GUINT_TO_POINTER (cc_fingerprint_path (f));
  gint count = GPOINTER_TO_INT (g_hash_table_lookup (e->paths, path)) + more;

  if (count == 0)
    g_hash_table_remove (e->paths, path);
  else
    g_hash_table_insert (e->paths, path, GINT_TO_POINTER (count));
}

/* Returns whether a request for a path with the hash PATH may be a suspect. */
gboolean
cc_crash_evidence_has_path (const CcCrashEvidence *e, guint32 path)
{
  return g_hash_table_contains (e->paths, GUINT_TO_POINTER (path));
}

/* Removes what is known of F, which is not a suspect any more. */
void
cc_crash_evidence_forget (CcCrashEvidence *e, const CcFingerprint *f)
{
  if (!g_hash_table_contains (e->suspects, f))
    return;
  count_path (e, f, -1);
  g_hash_table_remove (e->suspects, f);
}

/* Returns the known crash that CRASH reports, or NULL. */
static Crash *
find_crash (const CcCrashEvidence *e, const CcCrash *crash)
{
  for (guint i = e->crashes->len; i > 0; i--)
    {
      Crash *c = e->crashes->pdata[i - 1];

      if (c->born == crash->born && ABS (c->at - crash->at) < SAME_CRASH &&
          g_str_equal (c->target, crash->target))
        return c;
    }
  return NULL;
}

static Crash *
add_crash (CcCrashEvidence *e, const CcCrash *crash)
{
  Crash *c = g_new0 (Crash, 1);

  if (e->crashes->len >= CRASHES_MAX)
    g_ptr_array_remove_index (e->crashes, 0);
  c->pool = g_strdup (crash->pool);
  c->target = g_strdup (crash->target);
  c->name =
      g_strdup_printf ("%s.%" G_GUINT64_FORMAT, crash->target, crash->born);
  c->born = crash->born;
  c->at = crash->at;
  c->references = 1;
  g_ptr_array_add (e->crashes, c);
  return c;
}

/* Evicts the suspect with the least evidence.  Returns FALSE if all of them
 * have been inside several crashes, and one more would push one of these out.
 *
 * Failure: a caller sends ever new requests beside the fatal one, and each
 * crash makes suspects of hundreds of them. */
static gboolean
evict (CcCrashEvidence *e)
{
  GHashTableIter i;
  gpointer value;
  Suspect *least = NULL;

  g_hash_table_iter_init (&i, e->suspects);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      Suspect *s = value;

      if (s->crashes->len <= 1 &&
          (least == NULL || s->crashes->len < least->crashes->len ||
           (s->crashes->len == least->crashes->len &&
            s->changed_at < least->changed_at)))
        least = s;
    }
  if (least == NULL)
    return FALSE;
  cc_crash_evidence_forget (e, &least->fingerprint);
  return TRUE;
}

/* Returns the suspect F, which is added if needed; NULL if there is no room. */
static Suspect *
find_suspect (CcCrashEvidence *e, const CcFingerprint *f)
{
  Suspect *s = g_hash_table_lookup (e->suspects, f);

  if (s != NULL)
    return s;
  if (g_hash_table_size (e->suspects) >= SUSPECTS_MAX && !evict (e))
    return NULL;
  s = g_new0 (Suspect, 1);
  s->fingerprint = *f;
  s->crashes = g_ptr_array_new_with_free_func (crash_unref);
  g_hash_table_insert (e->suspects, &s->fingerprint, s);
  count_path (e, f, 1);
  return s;
}

static gint
compare_crashes (gconstpointer a, gconstpointer b)
{
  const Crash *x = *(const Crash *const *) a, *y = *(const Crash *const *) b;

  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return strcmp (x->name, y->name);
}

/* Adds C to the crashes of the request F.  Returns TRUE if that is new. */
static gboolean
add_crash_to (CcCrashEvidence *e, Crash *c, const CcFingerprint *f,
              gboolean by_content)
{
  Suspect *s = find_suspect (e, f);

  if (s == NULL || g_ptr_array_find (s->crashes, c, NULL))
    return FALSE;
  s->by_content = by_content;
  s->changed_at = MAX (s->changed_at, c->at);
  g_ptr_array_add (s->crashes, crash_ref (c));
  g_ptr_array_sort (s->crashes, compare_crashes);
  if (s->crashes->len > CC_CRASHES_KEPT)
    g_ptr_array_remove_index (s->crashes, 0);
  return TRUE;
}

/* Adds CRASH with the COUNT requests INSIDE that a gateway lost in it.  Returns
 * TRUE if any of that was unknown. */
gboolean
cc_crash_evidence_add (CcCrashEvidence *e, const CcCrash *crash,
                       const CcFingerprints *inside, guint count)
{
  Crash *c = find_crash (e, crash);
  gboolean is_new = c == NULL;

  if (c == NULL)
    c = add_crash (e, crash);
  for (guint i = 0; i < count; i++)
    {
      is_new |= add_crash_to (e, c, &inside[i].by_caller, FALSE);
      if (!cc_fingerprint_equal (&inside[i].by_caller, &inside[i].by_content))
        is_new |= add_crash_to (e, c, &inside[i].by_content, TRUE);
    }
  return is_new;
}

/* Counts RUNS of the request F after which the upstream still worked.  Returns
 * TRUE if F is a suspect and these runs may matter, so that other gateways
 * should learn of them. */
gboolean
cc_crash_evidence_add_good_runs (CcCrashEvidence *e, const CcFingerprint *f,
                                 guint runs)
{
  Suspect *s = g_hash_table_lookup (e->suspects, f);
  gboolean matters;

  if (s == NULL)
    return FALSE;
  matters = s->good_runs < GOOD_RUNS_ENOUGH;
  s->good_runs += runs;
  return matters;
}

/* Counts RUNS that another gateway reports at NOW, us.
 *
 * Failure: the report of the crash is lost and repeated.  If the good runs that
 * are reported meanwhile did not count, a busy path would be found fatal. */
void
cc_crash_evidence_add_reported_runs (CcCrashEvidence *e, const CcFingerprint *f,
                                     guint runs, gint64 now)
{
  Suspect *s = find_suspect (e, f);

  if (s == NULL)
    return;
  s->good_runs += runs;
  s->changed_at = MAX (s->changed_at, now);
}

/* Returns whether the request F may be found fatal with CRASHES crashes: it was
 * inside that many, and few of its runs ended well. */
gboolean
cc_crash_evidence_is_suspect (const CcCrashEvidence *e, const CcFingerprint *f,
                              guint crashes)
{
  const Suspect *s = g_hash_table_lookup (e->suspects, f);

  return s != NULL && s->crashes->len >= crashes &&
         s->good_runs < GOOD_RUNS_ENOUGH;
}

/* Removes evidence that is too old at NOW, us. */
void
cc_crash_evidence_expire (CcCrashEvidence *e, gint64 now)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, e->suspects);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      Suspect *s = value;

      if (now - s->changed_at < EVIDENCE_KEPT)
        continue;
      count_path (e, &s->fingerprint, -1);
      g_hash_table_iter_remove (&i);
    }
  for (guint c = e->crashes->len; c > 0; c--)
    if (now - ((const Crash *) e->crashes->pdata[c - 1])->at >= EVIDENCE_KEPT)
      g_ptr_array_remove_index (e->crashes, c - 1);
}

/* Returns the number of S's crashes that no fatal request explains. */
static guint
unexplained (const Suspect *s)
{
  guint n = 0;

  for (guint i = 0; i < s->crashes->len; i++)
    n += !((const Crash *) s->crashes->pdata[i])->explained;
  return n;
}

/* Returns the number of crashes without S of the same pool since its first one,
 * those left out that are explained. */
static guint
other_crashes (const CcCrashEvidence *e, const Suspect *s)
{
  const Crash *first = s->crashes->pdata[0];
  guint n = 0;

  for (guint i = 0; i < e->crashes->len; i++)
    {
      Crash *c = e->crashes->pdata[i];

      n += !c->explained && c->at >= first->at &&
           g_str_equal (c->pool, first->pool) &&
           !g_ptr_array_find (s->crashes, c, NULL);
    }
  return n;
}

/* Returns whether S is fatal, by its CRASHES that are not explained. */
static gboolean
is_fatal (const CcCrashEvidence *e, const Suspect *s, guint crashes)
{
  return crashes >= CC_CRASHES_FATAL &&
         s->good_runs <=
             GOOD_RUNS_PER_CRASH * (crashes - CC_CRASHES_FATAL + 1) &&
         (crashes >= CRASHES_ALWAYS_FATAL || crashes >= other_crashes (e, s));
}

/* Returns whether S, with CRASHES, goes before OTHER, with OTHER_CRASHES. */
static gboolean
goes_before (const Suspect *s, guint crashes, const Suspect *other,
             guint other_crashes)
{
  if (other == NULL || crashes != other_crashes)
    return other == NULL || crashes > other_crashes;
  if (s->good_runs != other->good_runs)
    return s->good_runs < other->good_runs;
  if (s->by_content != other->by_content)
    return !s->by_content;
  return memcmp (&s->fingerprint, &other->fingerprint, sizeof s->fingerprint) <
         0;
}

/* Returns the suspect with most unexplained crashes that was not evaluated yet,
 * or NULL; sets *CRASHES to their number. */
static Suspect *
next_suspect (CcCrashEvidence *e, guint *crashes)
{
  GHashTableIter i;
  gpointer value;
  Suspect *best = NULL;

  *crashes = 0;
  g_hash_table_iter_init (&i, e->suspects);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      Suspect *s = value;
      guint n = s->evaluated ? 0 : unexplained (s);

      if (n >= CC_CRASHES_FATAL && goes_before (s, n, best, *crashes))
        {
          best = s;
          *crashes = n;
        }
    }
  return best;
}

static void
fatal_free (gpointer data)
{
  CcFatalRequest *f = data;

  g_ptr_array_unref (f->crashes);
  g_free (f);
}

/* Adds S to FOUND and marks its crashes as explained. */
static void
add_fatal (GPtrArray *found, const Suspect *s)
{
  CcFatalRequest *f = g_new0 (CcFatalRequest, 1);

  f->fingerprint = s->fingerprint;
  f->crashes = g_ptr_array_new ();
  for (guint i = 0; i < s->crashes->len; i++)
    {
      Crash *c = s->crashes->pdata[i];

      f->pool = c->pool;
      c->explained = TRUE;
      g_ptr_array_add (f->crashes, c->name);
    }
  g_ptr_array_add (found, f);
}

/* Starts an evaluation: nothing is explained. */
static void
begin_evaluation (CcCrashEvidence *e)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, e->suspects);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      Suspect *s = value;

      s->evaluated = FALSE;
      for (guint c = 0; c < s->crashes->len; c++)
        ((Crash *) s->crashes->pdata[c])->explained = FALSE;
    }
  for (guint c = 0; c < e->crashes->len; c++)
    ((Crash *) e->crashes->pdata[c])->explained = FALSE;
}

/* Returns the fatal requests (CcFatalRequest), which the caller frees: one
 * after the other the one that explains most crashes.  One that is not fatal is
 * looked at again when a later one has explained some crashes of its pool. */
GPtrArray *
cc_crash_evidence_fatal (CcCrashEvidence *e)
{
  GPtrArray *found = g_ptr_array_new_with_free_func (fatal_free);
  gboolean again = TRUE;

  begin_evaluation (e);
  while (again)
    {
      GHashTableIter i;
      gpointer value;
      guint crashes;
      Suspect *s;

      again = FALSE;
      while (!again && (s = next_suspect (e, &crashes)) != NULL)
        {
          s->evaluated = TRUE;
          if (!is_fatal (e, s, crashes))
            continue;
          add_fatal (found, s);
          again = TRUE;
        }
      g_hash_table_iter_init (&i, e->suspects);
      while (again && g_hash_table_iter_next (&i, NULL, &value))
        ((Suspect *) value)->evaluated = FALSE;
    }
  return found;
}
