/* Ordinary least squares.  A time is the median of several rounds, as other
 * work on the machine lengthens some of them.  Each round is so long that the
 * resolution of the clock is below 0.1% of it. */
#include "slopes.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#define ROUNDS 7
#define ROUND_MIN_US 4000

/* Adds a point; aborts beyond POINTS_MAX. */
void
points_add (Points *p, double x, double y)
{
  g_assert (p->n < POINTS_MAX);
  p->x[p->n] = x;
  p->y[p->n] = y;
  p->n++;
}

/* Returns the arithmetic mean of N VALUES. */
static double
mean (const double *values, guint n)
{
  double sum = 0;

  for (guint i = 0; i < n; i++)
    sum += values[i];
  return sum / n;
}

/* Returns the line with the least sum of squared distances in y.  Needs two
 * points with different x. */
Line
points_fit (const Points *p)
{
  double mx = mean (p->x, p->n), my = mean (p->y, p->n);
  double xx = 0, xy = 0, yy = 0;
  Line l;

  for (guint i = 0; i < p->n; i++)
    {
      xx += (p->x[i] - mx) * (p->x[i] - mx);
      xy += (p->x[i] - mx) * (p->y[i] - my);
      yy += (p->y[i] - my) * (p->y[i] - my);
    }
  l.slope = xy / xx;
  l.intercept = my - l.slope * mx;
  l.r2 = yy > 0 ? xy * xy / (xx * yy) : 1;
  return l;
}

/* Prints a table line for LABEL: the fit in UNIT for each PER, then all points.
 */
void
points_print (const Points *p, const char *label, const char *unit,
              const char *per)
{
  Line l = points_fit (p);

  printf ("%-34s %11.4g + %10.4g %s for each %s, r2 %.3f  [", label,
          l.intercept, l.slope, unit, per, l.r2);
  for (guint i = 0; i < p->n; i++)
    printf ("%s%g:%.4g", i > 0 ? " " : "", p->x[i], p->y[i]);
  printf ("]\n");
  fflush (stdout);
}

/* Orders doubles for qsort. */
static int
compare (const void *a, const void *b)
{
  double x = *(const double *) a, y = *(const double *) b;

  return (x > y) - (x < y);
}

/* Returns the duration of TIMES executions of WORK, us. */
static double
time_round (TimedWork work, gpointer data, guint times)
{
  gint64 start = g_get_monotonic_time ();

  for (guint i = 0; i < times; i++)
    work (data);
  return (double) (g_get_monotonic_time () - start);
}

/* Returns the duration of one execution of WORK, us. */
double
median_time_us (TimedWork work, gpointer data)
{
  double rounds[ROUNDS];
  guint times = 1;

  while (time_round (work, data, times) < ROUND_MIN_US)
    times *= 2;
  for (guint i = 0; i < ROUNDS; i++)
    rounds[i] = time_round (work, data, times) / times;
  qsort (rounds, ROUNDS, sizeof rounds[0], compare);
  return rounds[ROUNDS / 2];
}

/* Returns the number of bytes allocated on the heap. */
double
heap_bytes_used (void)
{
  struct mallinfo2 m = mallinfo2 ();

  return (double) (m.uordblks + m.hblkhd);
}
