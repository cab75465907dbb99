/* Load pattern: a pool receives kinds of work of which one takes six times as
 * long as another, for example when a new configuration points a route to it.
 * With one mean for all, short work is refused because of a time that only
 * long work takes, and long work is sent where it cannot be in time.
 *
 * A kind is a route.  Its mean is taken over all responses while they are few,
 * so that an entry that has just started is not wrong for its first minute;
 * after that it is a moving mean. */
#include "work_times.h"

/* Work time without any measurement, us. */
#define DEFAULT_WORK_TIME (100.0 * CC_MS)
/* Window of the moving mean, in responses: its error is then a fifth, as times
 * deviate by about their mean. */
#define MEAN_WINDOW 20
/* Factor on the mean that one response in a hundred exceeds if times deviate
 * by their mean, as they do at services with the most variable times. */
#define LONGEST_FACTOR 4.5

/* Initialises T without any measurement. */
void
cc_work_times_init (CcWorkTimes *t)
{
  t->kinds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  t->any = (CcWorkTime){ 0 };
}

/* Frees the memory of T. */
void
cc_work_times_clear (CcWorkTimes *t)
{
  g_hash_table_unref (t->kinds);
}

/* Adds a response of WORK us to the moving mean. */
static void
update_mean (CcWorkTime *u, double work)
{
  if (u->answers < MEAN_WINDOW)
    u->answers++;
  u->mean += (work - u->mean) / u->answers;
}

/* Records a response of KIND that took WORK us of work. */
void
cc_work_times_add (CcWorkTimes *t, const char *kind, double work)
{
  CcWorkTime *u = g_hash_table_lookup (t->kinds, kind);

  if (u == NULL)
    {
      u = g_new0 (CcWorkTime, 1);
      g_hash_table_insert (t->kinds, g_strdup (kind), u);
    }
  update_mean (u, work);
  update_mean (&t->any, work);
}

/* Returns the mean work time over all kinds, us. */
double
cc_work_times_any (const CcWorkTimes *t)
{
  return t->any.answers > 0 ? t->any.mean : DEFAULT_WORK_TIME;
}

/* Returns a time that few requests of KIND exceed, us; G_MAXINT64 if KIND was
 * never measured. */
gint64
cc_work_times_longest (const CcWorkTimes *t, const char *kind)
{
  const CcWorkTime *u = g_hash_table_lookup (t->kinds, kind);

  return u != NULL ? (gint64) (LONGEST_FACTOR * u->mean) : G_MAXINT64;
}

/* Returns the typical work times for a request of KIND. */
CcTypicalWork
cc_work_times_of (const CcWorkTimes *t, const char *kind)
{
  const CcWorkTime *u = g_hash_table_lookup (t->kinds, kind);
  double any = cc_work_times_any (t);

  return (CcTypicalWork){ .kind = u != NULL ? u->mean : any, .any = any };
}
