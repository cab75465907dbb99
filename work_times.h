/* Typical work times of the kinds of work that a pool receives. */
#ifndef CC_WORK_TIMES_H
#define CC_WORK_TIMES_H

#include "pick.h"

/* A moving mean. */
typedef struct
{
  double mean;   /* us */
  guint answers; /* number of responses in it, up to the window */
} CcWorkTime;

typedef struct
{
  GHashTable *kinds; /* name to CcWorkTime */
  CcWorkTime any;    /* over all kinds, weighted by frequency */
} CcWorkTimes;

void cc_work_times_init (CcWorkTimes *t);
void cc_work_times_clear (CcWorkTimes *t);
void cc_work_times_add (CcWorkTimes *t, const char *kind, double work);
double cc_work_times_any (const CcWorkTimes *t);
gint64 cc_work_times_longest (const CcWorkTimes *t, const char *kind);
CcTypicalWork cc_work_times_of (const CcWorkTimes *t, const char *kind);

#endif
