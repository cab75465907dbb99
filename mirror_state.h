/* Internal state of CcMirror, shared by mirror.c and mirror_peers.c only.
 * Times are in us on the local monotonic clock. */
#ifndef CC_MIRROR_STATE_H
#define CC_MIRROR_STATE_H

#include "mirror.h"
#include "timers.h"

/* One followed table. */
typedef struct
{
  CcMirror *mirror;
  CcTableName name;
  CcView view;
  GPtrArray *changed; /* of CcRow in VIEW, not reported to the owner yet */
  gboolean complete; /* VIEW has held the whole table, read here or by a peer */
  guint64 history_from;  /* all deletions after this version are in VIEW */
  guint64 era;           /* of the last whole table (row_version.h) */
  gboolean unavailable;  /* the last call to the service failed */
  gint64 outage_at;      /* latest time at which the last outage ended */
  gint64 failed_call_at; /* when the last failed call was sent */
  gboolean recovered;    /* the service answered this process or a peer since */
  gint64 outage_from;    /* when the current outage began */
  gint64 pause;          /* retry pause after the next failure, us */
  gboolean running;      /* a call to the service is pending */
  guint calls;    /* calls to the service; only the last one's answer is used */
  gint64 sent_at; /* when the last call was sent */
  gint64 answered;      /* earliest time at which the last answer was given */
  gint64 fresh_at;      /* VIEW matched the service at this time or later */
  gboolean unconfirmed; /* no answer yet since it began to query the service
                           directly */
  CcTimer timer;
} CcMirrorTable;

struct CcMirror
{
  CcMirrorSetup setup;
  CcMirrorTable tables[CC_TABLE_FOLLOWED];
  gboolean polling;      /* a request to any peer is pending */
  gint64 polled_at;      /* when that request was sent */
  CcTimer poll_timer;    /* until the next poll of a peer */
  CcVersionClock clock;  /* relates versions of the service to times */
  gint64 last_answer_at; /* last answer of the service or the followed peer */
  gint64 answered_at;    /* last answer of the service to this process */
  gint64 fresh_at;       /* configuration and upstreams matched the service at
                            this time or later */
  gint64 started_at;
  gboolean knows_members; /* the rows that name the peer to follow are read */
  gint64 start_until;   /* until then missing tables are expected from a peer */
  CcTimer start;        /* until the members are read, then until START_UNTIL */
  guint64 lease;        /* newest known version of the lease's row */
  gint64 lease_seen_at; /* when it was first seen, by this process or an earlier
                           hop */
  CcMirrorRole role;
  gboolean following;     /* a request to the followed peer is pending */
  gint64 follow_sent_at;  /* when that request was sent */
  char *followed;         /* address of the peer that was followed last */
  gboolean lost;          /* last request to it failed or gave a stale copy */
  char *lost_address;     /* lost peer, in place of which the service is watched
                           directly */
  gint64 direct_until;    /* the service is watched directly until then */
  gboolean shared_outage; /* the followed peer reports an outage of its own */
  gint64 next_refresh;    /* earliest time of the next query for all tables */
  gboolean refreshing;    /* the query for all tables waits for the answer about
                             the configuration */
  CcTimer follow_timer;   /* until the next attempt to follow a peer */
  gint64 followed_outage; /* last outage of the followed peer; 0: none */
  gint64 peers_fresh_at;  /* newest time at which a peer's copy was fresh */
  gint64 peers_outage_at; /* last outage of that peer; 0: none */
};

/* Defined in mirror.c. */
void cc_mirror_query_service (CcMirrorTable *t);
gboolean cc_mirror_put_rows (CcMirrorTable *t, GVariant *rows);
gboolean cc_mirror_put_snapshot (CcMirrorTable *t, GVariant *rows,
                                 guint64 upto);
void cc_mirror_notify (CcMirrorTable *t);
void cc_mirror_service_answered (CcMirror *m, gint64 earliest, gint64 latest);
gboolean cc_mirror_is_cut_off (const CcMirror *m);
gboolean cc_mirror_awaits_peer (const CcMirrorTable *t);
gint64 cc_mirror_last_outage (const CcMirror *m);

/* Defined in mirror_peers.c. */
gboolean cc_mirror_follow (CcMirror *m);
void cc_mirror_poll_peers (CcMirror *m);
void cc_mirror_query_all (CcMirror *m);

#endif
