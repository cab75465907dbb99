/* Measures time and memory, and fits a straight line to the results. */
#ifndef TEST_SLOPES_H
#define TEST_SLOPES_H

#include <glib.h>

#define POINTS_MAX 12

typedef struct
{
  double x[POINTS_MAX]; /* the independent variable */
  double y[POINTS_MAX]; /* the measurements */
  guint n;
} Points;

typedef struct
{
  double intercept; /* y at x = 0 */
  double slope;     /* increase of y per unit of x */
  double r2;        /* coefficient of determination, 0 to 1 */
} Line;

/* Executes the work to be timed once. */
typedef void (*TimedWork) (gpointer data);

void points_add (Points *p, double x, double y);
Line points_fit (const Points *p);
void points_print (const Points *p, const char *label, const char *unit,
                   const char *per);
double median_time_us (TimedWork work, gpointer data);
double heap_bytes_used (void);

#endif
