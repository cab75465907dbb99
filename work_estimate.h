/* Predicts the work of requests of a pool from what looks like them. */
#ifndef CC_WORK_ESTIMATE_H
#define CC_WORK_ESTIMATE_H

#include "pick.h"

/* What is known of a request before it runs. */
typedef struct
{
  const char *route;
  const char *method; /* NULL: not known */
  gsize body;         /* its size, bytes */
  guint32 path;       /* cc_work_path; 0: not known */
} CcWorkFeatures;

/* A moving mean. */
typedef struct
{
  double mean;   /* us */
  guint answers; /* number of responses in it, up to the window */
} CcWorkMean;

/* A feature of requests of a route, such as a path. */
typedef struct
{
  guint32 key; /* hash of route and feature; 0: free */
  float count; /* number of responses, up to a limit */
  float mean;  /* their work, us */
  float own;   /* mean squared error of MEAN as a prediction, us^2 */
  float base;  /* the same of the route's mean */
} CcWorkFeature;

/* What was measured on one route. */
typedef struct
{
  CcWorkMean work;
  CcWorkSpread spread; /* of the work relative to its predictions */
  /* Moving means over the last responses, us. */
  double expected; /* work that was predicted for them */
  double measured; /* work that they took */
  double error;    /* absolute difference of the two */
} CcWorkRoute;

/* What a gateway tells others of a route, or of a feature on it. */
typedef struct
{
  const char *route;
  guint32 feature; /* its key; 0: the route itself */
  double mean;     /* us */
  guint answers;   /* responses in it */
} CcWorkSample;

#define CC_WORK_SETS 128
#define CC_WORK_WAYS 4

typedef struct
{
  GHashTable *routes; /* name to CcWorkRoute */
  CcWorkMean any;     /* over all routes, weighted by frequency */
  CcWorkFeature (*features)[CC_WORK_WAYS]; /* CC_WORK_SETS of them */
} CcWorkEstimate;

guint32 cc_work_path (const char *path);
void cc_work_estimate_init (CcWorkEstimate *t);
void cc_work_estimate_clear (CcWorkEstimate *t);
void cc_work_estimate_add (CcWorkEstimate *t, const CcWorkFeatures *f,
                           double work);
void cc_work_estimate_merge (CcWorkEstimate *t, const CcWorkSample *s);
gboolean cc_work_estimate_sample (const CcWorkEstimate *t,
                                  const CcWorkFeatures *f, CcWorkSample *s);
double cc_work_estimate_any (const CcWorkEstimate *t);
gint64 cc_work_estimate_longest (const CcWorkEstimate *t, const char *route);
CcTypicalWork cc_work_estimate_of (const CcWorkEstimate *t,
                                   const CcWorkFeatures *f);

#endif
