/* Points of a measurement, and the straight line through them. */
#ifndef TEST_SLOPES_H
#define TEST_SLOPES_H

#include <glib.h>

#define POINTS_MAX 12

typedef struct
{
  double x[POINTS_MAX]; /* what was varied */
  double y[POINTS_MAX]; /* what was measured */
  guint n;
} Points;

typedef struct
{
  double base;  /* y at x = 0 */
  double slope; /* y for one more x */
  double r2;    /* share of y's variance that the line explains, 0 to 1 */
} Line;

/* Does the work to be timed once. */
typedef void (*TimedWork) (gpointer data);

void points_add (Points *p, double x, double y);
Line points_fit (const Points *p);
void points_print (const Points *p, const char *what, const char *unit,
                   const char *per);
double time_of (TimedWork work, gpointer data);
double heap_used (void);

#endif
