/* Translation between the router and the platform that it runs on: headers of
 * callers and servers, rows that other programs write, and calls that grant
 * keys.  The directory platform/ implements this header and table.h, and
 * nothing else. */
#ifndef CC_EDGE_H
#define CC_EDGE_H

#include <libsoup/soup.h>

#include "answer_rule.h"
#include "http_link.h"
#include "pick.h"
#include "routes.h"
#include "targets.h"

#define CC_KEYS 65536 /* keys are numbers below this */

/* Contents of the headers of a caller's request. */
typedef struct
{
  char *id;      /* unique to this attempt of the caller; "": not given */
  gint64 left;   /* time until the caller's deadline, us; -1: not given */
  gint32 key;    /* -1: none, or not a valid key */
  char *address; /* that its connection came from; NULL: unknown */
} CcCallerInfo;

/* Whether an answer names a limit on the requests to its server. */
typedef enum
{
  CC_LIMIT_NONE,
  CC_LIMIT_NAMED,
  CC_LIMIT_DAMAGED /* it names one that can't be read */
} CcNamedLimitKind;

typedef struct
{
  CcNamedLimitKind kind;
  double rate; /* NAMED: requests a second, from all gateways together */
} CcNamedLimit;

typedef struct
{
  CcServerReplyKind kind;
  CcLoadReport load;
  CcNamedLimit limit;
} CcServerReply;

/* Whether an answer asks for a time in which its server gets no more requests
 * from this gateway. */
typedef enum
{
  CC_REST_NONE,
  CC_REST_ASKED,
  CC_REST_DAMAGED /* it asks for one that can't be read */
} CcRestKind;

/* What a server states about itself in an answer, whatever that answers. */
typedef struct
{
  gboolean leaving; /* it leaves, and will not come back under its id */
  CcRestKind rest;
  gint64 rest_for; /* ASKED: from the answer on, us */
} CcServerNotice;

/* Whether a response to a health probe states for how long its server is cold.
 */
typedef enum
{
  CC_COLD_TIME_NONE,
  CC_COLD_TIME_STATED,
  CC_COLD_TIME_DAMAGED /* it states one that can't be read */
} CcColdTimeKind;

/* Contents of a response to a health probe. */
typedef struct
{
  gboolean healthy; /* its status is 200 */
  CcColdTimeKind cold;
  gint64 cold_for; /* STATED: us */
  CcNamedLimit limit;
} CcHealthReply;

/* A grant of the keys FROM to TO, both included, to one server. */
typedef struct
{
  const char *server; /* its id */
  guint from;
  guint to;
  guint64 fence;       /* increases with each change of owner */
  gint64 hold;         /* how long the server may hold the keys, us */
  const char *handoff; /* data from the previous owner; NULL: none */
} CcKeyGrant;

void cc_edge_read_caller (SoupMessageHeaders *h, CcCallerInfo *info);
void cc_caller_info_clear (CcCallerInfo *info);
gboolean cc_edge_forwards_header (const char *header);
void cc_edge_write_headers (GString *head, const CcCallerInfo *info,
                            gint64 left, const char *target);
const char *cc_edge_echo_header (void);
void cc_edge_read_server (const CcHttpResult *r, const char *id,
                          CcServerReply *reply);
void cc_edge_read_notice (const CcHttpResult *r, CcServerNotice *notice);

char *cc_edge_probe_head (const char *path, const char *address,
                          const char *target);
gboolean cc_edge_read_health (const CcHttpResult *r, CcHealthReply *reply);

char *cc_edge_grant_head (const CcKeyGrant *g, GBytes **body);
char *cc_edge_release_head (const CcKeyGrant *g, GBytes **body);
const char *cc_edge_handoff (const CcHttpResult *r);
gboolean cc_edge_is_other_server (const CcHttpResult *r);

CcRoutes *cc_edge_read_routes (const char *value, const char **why);
const char *cc_edge_routes_key (void);
const char *cc_edge_evacuated_zone (const char *key);
gboolean cc_edge_read_listing (const char *key, const char *value,
                               CcListing *l);
const char *cc_edge_ready_path (void);

#endif
