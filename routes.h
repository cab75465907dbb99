/* The routing configuration: routes, pools, and limits on callers' requests. */
#ifndef CC_ROUTES_H
#define CC_ROUTES_H

#include "capercrank.h"

/* A set of upstreams that serve the same requests. */
typedef struct
{
  char *name;
  gboolean keyed;        /* each upstream owns key ranges exclusively */
  guint connections_max; /* to one upstream from the whole fleet; 0: no limit */
  char *health_path;     /* of its upstreams; NULL: none */
  double cold_rate;      /* requests a second that a cold upstream takes from
                            the whole fleet; 0: not limited */
} CcRoutePool;

/* What may be done with the requests of a route. */
typedef enum
{
  CC_ROUTE_ONCE,       /* they run at most once */
  CC_ROUTE_IDEMPOTENT, /* they may run more than once */
  CC_ROUTE_UPLOAD      /* they have large bodies and run at most once */
} CcRouteKind;

/* A pool that gets a share of a route's requests. */
typedef struct
{
  char *pool;
  guint weight;
  gint64 credit; /* how far the pool is behind its share, in units of weight */
} CcRoutePart;

typedef struct
{
  char *name;
  char *host;
  char *prefix; /* of the path; begins and ends with a slash */
  CcRouteKind kind;
  gint64 timeout; /* latest answer after a request's arrival, us */
  gint64 target;  /* target response time, us */
  guint attempts; /* upstreams that one request may reach */
  guint priority; /* 0 is the highest */
  char **homes;   /* regions that may serve it; NULL: all */
  GArray *parts;  /* of CcRoutePart, at least one */
} CcRoute;

typedef struct
{
  gsize headers_max;      /* size of a request's headers, bytes */
  gsize body_max;         /* size of its body, bytes */
  gint64 idle_timeout;    /* of a caller's connection, us */
  gint64 headers_timeout; /* from the first byte of a request until its headers
                             are complete, us */
} CcCallerLimits;

typedef struct
{
  guint64 version;
  GHashTable *pools; /* name to CcRoutePool */
  GHashTable *hosts; /* lower-case host to HostRoutes (routes.c) */
  guint count;       /* routes of all hosts */
  CcCallerLimits limits;
} CcRoutes;

CcRoutes *cc_routes_new (guint64 version);
void cc_routes_free (CcRoutes *r);
void cc_routes_add_pool (CcRoutes *r, const CcRoutePool *pool);
CcRoute *cc_routes_add (CcRoutes *r, const char *name, const char *host,
                        const char *prefix);
void cc_route_add_part (CcRoute *route, const char *pool, guint weight);
CcRoute *cc_routes_find (const CcRoutes *r, const char *host, const char *path);
const CcRoutePool *cc_routes_pool (const CcRoutes *r, const char *name);
const char *cc_route_next_pool (CcRoute *route);
gboolean cc_route_is_idempotent (const CcRoute *route);

#endif
