/* Load pattern: a pool receives kinds of work of which one takes six times as
 * long as another, for example when a new configuration points a route to it,
 * or when one path of a route exports what the others only show.  With one mean
 * for all, short work is refused because of a time that only long work takes,
 * and long work is sent where it cannot be in time.
 *
 * A request is predicted by its path if that has proved to predict, else by its
 * method and the size of its body, else by its route.  A feature has proved to
 * predict when the squared error of its own mean was lower than that of the
 * route's mean by a part, both taken before each response was added.
 *
 * All of it is learned from measured responses, and a feature that was never
 * measured gets the mean of its route: a caller that varies its paths, or hides
 * long work behind a path of short work, changes the estimate of that path and
 * gains nothing.  Features are kept in a table of fixed size.  A new feature
 * takes the place of the weakest of its set, and only after it has been met as
 * often as that one is strong, so that paths that occur once do not displace
 * those that recur. */
#include "work_estimate.h"

#include <math.h>

#include "work_spread.h"

/* Work time without any measurement, us. */
#define DEFAULT_WORK_TIME (100.0 * CC_MS)
/* Window of the moving mean, in responses: its error is then a fifth, as times
 * deviate by about their mean.  A window of 200 made the estimate of an owner's
 * queue follow a burst later, and more requests were reset. */
#define MEAN_WINDOW 20
/* Weight of a response in the watched means is one in so many. */
#define ERROR_WINDOW 100
/* Factor on the mean that one response in a hundred exceeds if times deviate
 * by their mean, as they do at services with the most variable times. */
#define LONGEST_FACTOR 4.5
/* Responses after which a feature may predict, and up to which they count. */
#define PROOF_MIN 8
#define COUNT_MAX 64
/* Part of the route's error that a feature's own must be below. */
#define PROOF_PART 0.75
/* Responses that the route's mean weighs as much as in a feature's
 * prediction. */
#define PRIOR 2.0
/* A feature changes the prediction by this factor at most. */
#define FEATURE_FACTOR_MAX 16.0
/* Loss of strength of a feature for each time that another needs its place. */
#define DISPLACE 0.25F
/* Characters of a path that are read. */
#define PATH_MAX_READ 256
/* The longest work that is believed, us. */
#define WORK_MAX (3600.0 * CC_SECOND)

/* Returns the hash of PATH without its query, and with each number as the same
 * number, since paths with ids of their own rarely occur twice. */
guint32
cc_work_path (const char *path)
{
  guint32 hash = 2166136261U; /* FNV-1a */
  gboolean digit = FALSE;

  for (gsize i = 0; i < PATH_MAX_READ && path[i] != '\0' && path[i] != '?'; i++)
    {
      gboolean was_digit = digit;

      digit = g_ascii_isdigit (path[i]);
      if (!digit || !was_digit)
        hash = (hash ^ (digit ? '0' : (guchar) path[i])) * 16777619U;
    }
  return hash != 0 ? hash : 1;
}

/* Initialises T without any measurement. */
void
cc_work_estimate_init (CcWorkEstimate *t)
{
  t->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  t->any = (CcWorkMean){ 0 };
  t->features = g_malloc0_n (CC_WORK_SETS, sizeof *t->features);
}

/* Frees the memory of T. */
void
cc_work_estimate_clear (CcWorkEstimate *t)
{
  g_hash_table_unref (t->routes);
  g_free (t->features);
}

/* Adds a response of WORK us to the moving mean. */
static void
update_mean (CcWorkMean *m, double work)
{
  if (m->answers < MEAN_WINDOW)
    m->answers++;
  m->mean += (work - m->mean) / m->answers;
}

/* Mixes the bits of X. */
static guint32
mix (guint32 x)
{
  x ^= x >> 16;
  x *= 0x7feb352dU;
  x ^= x >> 15;
  x *= 0x846ca68bU;
  return x ^ (x >> 16);
}

/* Returns the key of the path of F; 0: not known. */
static guint32
path_key (const CcWorkFeatures *f)
{
  return f->path == 0 ? 0 : mix (g_str_hash (f->route) * 31 + f->path) | 1;
}

/* Returns the key of method and body of F, the latter in powers of four; 0: not
 * known. */
static guint32
shape_key (const CcWorkFeatures *f)
{
  if (f->method == NULL)
    return 0;
  return mix ((g_str_hash (f->route) * 31 + g_str_hash (f->method)) * 31 +
              (g_bit_storage (f->body) + 1) / 2) |
         1;
}

/* Returns the feature KEY of T; NULL if there is none. */
static CcWorkFeature *
find_feature (const CcWorkEstimate *t, guint32 key)
{
  CcWorkFeature *set = t->features[(key >> 1) % CC_WORK_SETS];

  for (guint i = 0; key != 0 && i < CC_WORK_WAYS; i++)
    if (set[i].key == key)
      return &set[i];
  return NULL;
}

/* Makes room for the feature KEY, or brings that closer.  Returns NULL if there
 * is none yet. */
static CcWorkFeature *
claim_feature (CcWorkEstimate *t, guint32 key)
{
  CcWorkFeature *set = t->features[(key >> 1) % CC_WORK_SETS];
  CcWorkFeature *weakest = &set[0];

  for (guint i = 1; i < CC_WORK_WAYS; i++)
    if (set[i].count < weakest->count)
      weakest = &set[i];
  weakest->count -= DISPLACE;
  if (weakest->count > 0)
    return NULL;
  *weakest = (CcWorkFeature){ .key = key };
  return weakest;
}

/* Adds a response of WORK us to the feature KEY, for which the route's mean
 * predicted BASE us. */
static void
update_feature (CcWorkEstimate *t, guint32 key, double base, double work)
{
  CcWorkFeature *u = key == 0 ? NULL : find_feature (t, key);
  double own_error, base_error, gain;

  if (key != 0 && u == NULL)
    u = claim_feature (t, key);
  if (u == NULL)
    return;
  work = MIN (work, FEATURE_FACTOR_MAX * base);
  own_error = u->count > 0 ? work - u->mean : work - base;
  base_error = work - base;
  u->count = MIN (u->count + 1.0F, (float) COUNT_MAX);
  gain = 1.0 / MAX (u->count, 1.0F);
  u->mean += (float) (gain * (work - u->mean));
  u->own += (float) (gain * (own_error * own_error - u->own));
  u->base += (float) (gain * (base_error * base_error - u->base));
}

/* Returns whether U predicts better than the mean of its route. */
static gboolean
is_proved (const CcWorkFeature *u)
{
  return u != NULL && u->count >= PROOF_MIN && u->own < PROOF_PART * u->base;
}

/* Returns the feature by which the work of F is predicted; NULL: none. */
static const CcWorkFeature *
find_proved (const CcWorkEstimate *t, const CcWorkFeatures *f)
{
  const CcWorkFeature *u = find_feature (t, path_key (f));

  if (!is_proved (u))
    u = find_feature (t, shape_key (f));
  return is_proved (u) ? u : NULL;
}

/* Returns the work predicted for F, us, if its route's mean is BASE. */
static double
predict (const CcWorkEstimate *t, const CcWorkFeatures *f, double base)
{
  const CcWorkFeature *u = find_proved (t, f);

  if (u == NULL)
    return base;
  return CLAMP ((u->count * u->mean + PRIOR * base) / (u->count + PRIOR),
                base / FEATURE_FACTOR_MAX, base * FEATURE_FACTOR_MAX);
}

/* Returns the record of ROUTE, which is added if there is none. */
static CcWorkRoute *
claim_route (CcWorkEstimate *t, const char *route)
{
  CcWorkRoute *r = g_hash_table_lookup (t->routes, route);

  if (r != NULL)
    return r;
  r = g_new0 (CcWorkRoute, 1);
  g_hash_table_insert (t->routes, g_strdup (route), r);
  return r;
}

/* Adds a response of WORK us, for which EXPECTED us were predicted, to the
 * means of R by which its predictions are watched. */
static void
update_error (CcWorkRoute *r, double expected, double work)
{
  double gain = r->measured > 0 ? 1.0 / ERROR_WINDOW : 1.0;

  r->expected += gain * (expected - r->expected);
  r->measured += gain * (work - r->measured);
  r->error += gain * (fabs (work - expected) - r->error);
}

/* Returns whether WORK may be the time of a response, us. */
static gboolean
is_work (double work)
{
  return isfinite (work) && work >= 0 && work <= WORK_MAX;
}

/* Records a response to a request like F that took WORK us of work.  A time
 * that is none is ignored. */
void
cc_work_estimate_add (CcWorkEstimate *t, const CcWorkFeatures *f, double work)
{
  CcWorkRoute *r;
  double base, expected;

  if (!is_work (work))
    return;
  r = claim_route (t, f->route);
  base = r->work.mean;
  if (base > 0)
    {
      expected = predict (t, f, base);
      update_error (r, expected, work);
      cc_work_spread_add (&r->spread, work / expected);
      update_feature (t, path_key (f), base, work);
      update_feature (t, shape_key (f), base, work);
    }
  update_mean (&r->work, work);
  update_mean (&t->any, work);
}

/* Adds the sample S of another gateway.  It counts for as many responses as it
 * has, but for no more than are missing here: what this gateway has measured
 * itself is newer, and a gateway that has just started learns the most.  A
 * sample that is no time is ignored. */
void
cc_work_estimate_merge (CcWorkEstimate *t, const CcWorkSample *s)
{
  const CcWorkFeature *u = find_feature (t, s->feature);
  CcWorkRoute *r;
  guint counts;

  if (!is_work (s->mean) || s->mean <= 0 || s->answers == 0)
    return;
  r = claim_route (t, s->route);
  counts = MIN (s->answers, PROOF_MIN);
  if (s->feature != 0)
    for (guint i = u != NULL ? (guint) u->count : 0;
         r->work.mean > 0 && i < counts; i++)
      update_feature (t, s->feature, r->work.mean, s->mean);
  else
    for (guint i = r->work.answers; i < counts; i++)
      {
        update_mean (&r->work, s->mean);
        update_mean (&t->any, s->mean);
      }
}

/* Sets S to what another gateway is to be told of requests like F: of their
 * path or else their method and body, if these predict, else of their route.
 * Returns FALSE if nothing was measured. */
gboolean
cc_work_estimate_sample (const CcWorkEstimate *t, const CcWorkFeatures *f,
                         CcWorkSample *s)
{
  const CcWorkRoute *r = g_hash_table_lookup (t->routes, f->route);
  const CcWorkFeature *u = find_proved (t, f);

  if (r == NULL || r->work.answers == 0)
    return FALSE;
  *s = (CcWorkSample){ .route = f->route,
                       .mean = r->work.mean,
                       .answers = r->work.answers };
  if (u != NULL)
    {
      s->feature = u->key;
      s->mean = u->mean;
      s->answers = (guint) u->count;
    }
  return TRUE;
}

/* Returns the mean work time over all routes, us. */
double
cc_work_estimate_any (const CcWorkEstimate *t)
{
  return t->any.answers > 0 ? t->any.mean : DEFAULT_WORK_TIME;
}

/* Returns a time that few requests on ROUTE exceed, us; G_MAXINT64 if ROUTE was
 * never measured. */
gint64
cc_work_estimate_longest (const CcWorkEstimate *t, const char *route)
{
  const CcWorkRoute *r = g_hash_table_lookup (t->routes, route);

  return r != NULL ? (gint64) (LONGEST_FACTOR * r->work.mean) : G_MAXINT64;
}

/* Returns the typical work times for a request like F. */
CcTypicalWork
cc_work_estimate_of (const CcWorkEstimate *t, const CcWorkFeatures *f)
{
  const CcWorkRoute *r = g_hash_table_lookup (t->routes, f->route);
  double any = cc_work_estimate_any (t);

  if (r == NULL)
    return (CcTypicalWork){ .kind = any, .any = any };
  return (CcTypicalWork){ .kind = r->work.mean,
                          .any = any,
                          .predicted = predict (t, f, r->work.mean),
                          .spread = &r->spread };
}
