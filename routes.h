/* The configuration that requests are routed by: routes, the pools they lead
 * to, and what callers may send. */
#ifndef CC_ROUTES_H
#define CC_ROUTES_H

#include "capercrank.h"

/* A set of upstreams that serve the same work. */
typedef struct
{
  char *name;
  gboolean keyed;        /* each upstream owns ranges of keys alone */
  guint connections_max; /* that one upstream accepts from all; 0: not said */
} CcRoutePool;

/* A pool that gets a share of a route's requests. */
typedef struct
{
  char *pool;
  guint weight;
  gint64 credit; /* requests it is behind its share, in weights */
} CcRoutePart;

typedef struct
{
  char *name;
  char *host;
  char *prefix;        /* of the path; begins and ends with a slash */
  gboolean idempotent; /* may run more than once */
  gint64 timeout;      /* longest time a caller is kept waiting, us */
  gint64 target;       /* time within which an answer is wanted, us */
  guint attempts;      /* upstreams that one request may be sent to */
  guint priority;      /* 0 is the highest */
  GArray *parts;       /* of CcRoutePart, at least one */
} CcRoute;

typedef struct
{
  gsize headers_max;   /* bytes of a request's headers */
  gsize body_max;      /* bytes of its body */
  gint64 idle_timeout; /* a caller's connection may idle so long, us */
} CcCallerLimits;

typedef struct
{
  guint64 version;
  GHashTable *pools; /* name to CcRoutePool */
  GHashTable *hosts; /* host in lower case to its routes, of routes.c */
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

#endif
