/* Load pattern: requests that look alike take very different times, and a few
 * take seven times as long as the others.  A mean says nothing of how long a
 * request that runs already will go on: with little spread, the rest of its
 * time; with a long tail, a request that has run for long has longer still to
 * go.
 *
 * Ratios of measured to predicted work are counted in a log-scale histogram of
 * fixed size, in which older ratios lose weight.  Until enough were counted, or
 * where they are all alike, the spread is taken as none. */
#include "work_spread.h"

#include <math.h>

/* Weight of a new ratio is one in so many.  A tail of 3 in 100 requests is
 * seen six times in a window. */
#define WINDOW 200
/* Ratios before which nothing is known of the spread. */
#define SAMPLES_MIN 30
/* Squared relative deviation that counts as none: that of a service whose
 * times deviate by 0.3 of their mean, and of the noise of its measurement. */
#define VARIATION_NONE 0.15
/* Ratios between two computations of the table of remaining work. */
#define TABLE_PERIOD 16
/* Exponent of the first bucket. */
#define FIRST_EXPONENT (-5)
/* Middle of a bucket relative to its lower bound. */
#define BUCKET_MIDDLE 1.19
#define RATIO_MIN 0.03
#define RATIO_MAX 100.0

/* Returns the bucket of RATIO, which is positive.  Uses frexp and not a
 * logarithm, since the choice of an upstream reads it per request inside. */
static guint
bucket_of (double ratio)
{
  int exponent;
  double mantissa = frexp (ratio, &exponent); /* 0.5 to 1 */
  int b = 2 * (exponent - 1 - FIRST_EXPONENT) + (mantissa >= G_SQRT2 / 2.0);

  return (guint) CLAMP (b, 0, CC_WORK_BUCKETS - 1);
}

/* Returns the lower bound of the bucket B. */
static double
lower_bound (guint b)
{
  return ldexp (b % 2 == 1 ? G_SQRT2 : 1.0, (int) (b / 2) + FIRST_EXPONENT);
}

/* Computes the expected remaining work at the lower bound of each bucket. */
static void
compute_rest (CcWorkSpread *s)
{
  double count = 0, sum = 0;

  for (guint b = CC_WORK_BUCKETS; b-- > 0;)
    {
      count += s->counts[b];
      sum += s->counts[b] * BUCKET_MIDDLE * lower_bound (b);
      /* Beyond all that was seen, as long again as it has taken so far. */
      s->rest[b] = (float) (count > 0.5 ? sum / count - lower_bound (b)
                                        : lower_bound (b));
    }
}

/* Adds RATIO, measured to predicted work, to S.  One that is no positive number
 * is ignored. */
void
cc_work_spread_add (CcWorkSpread *s, double ratio)
{
  double gain;

  if (!isfinite (ratio) || ratio <= 0)
    return;
  ratio = CLAMP (ratio, RATIO_MIN, RATIO_MAX);
  if (s->samples < WINDOW)
    s->samples++;
  gain = 1.0 / s->samples;
  s->mean += gain * (ratio - s->mean);
  s->square += gain * (ratio * ratio - s->square);
  s->common += gain * (MIN (ratio, CC_WORK_COMMON) - s->common);
  for (guint b = 0; b < CC_WORK_BUCKETS; b++)
    s->counts[b] *= (float) (1.0 - 1.0 / WINDOW);
  s->counts[bucket_of (ratio)] += 1.0F;
  s->wide = s->samples >= SAMPLES_MIN &&
            s->square > (1.0 + VARIATION_NONE) * s->mean * s->mean;
  if (s->until_table-- == 0)
    {
      compute_rest (s);
      s->until_table = TABLE_PERIOD - 1;
    }
}

/* Returns the expected remaining work of a request that has run for AGE, both
 * as multiples of the predicted work; 1 where there is no spread, or S is
 * NULL. */
double
cc_work_spread_rest (const CcWorkSpread *s, double age)
{
  if (s == NULL || !s->wide || age <= RATIO_MIN)
    return 1.0;
  return s->rest[bucket_of (age)];
}

/* Returns RATIO limited to what is common, so that its mean is 1 still; RATIO
 * itself where there is no spread, or S is NULL. */
double
cc_work_spread_common (const CcWorkSpread *s, double ratio)
{
  if (s == NULL || !s->wide)
    return ratio;
  return MIN (ratio, CC_WORK_COMMON) / s->common;
}
