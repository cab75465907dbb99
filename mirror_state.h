/* The state of a copy, for mirror.c and mirror_peers.c only. */
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
  GPtrArray *changed;   /* of CcRow in VIEW, not told of yet */
  gboolean complete;    /* it was read whole once, here or by a peer */
  guint64 history_from; /* deletions after this version are known */
  gboolean unavailable; /* the last call failed */
  gint64 outage_at;     /* the service was last silent then at the latest, us */
  gint64 failed_asked;  /* when the call that failed last was made, us */
  gboolean relieved;    /* it has answered somebody since */
  gint64 outage_from;   /* when the present outage began, us */
  gint64 pause;         /* after the next failure, us */
  gboolean running;     /* it is read or watched at the service */
  guint calls;          /* at the service; only the last one's answer counts */
  gint64 asked;         /* when that was made, us */
  gint64 answered;      /* the last answer was given then at the earliest, us */
  gint64 fresh_at;      /* the service told all its rows then or later, us */
  gboolean unproven;    /* no answer since this process began to ask itself */
  CcTimer timer;
} CcMirrorTable;

struct CcMirror
{
  CcMirrorSetup setup;
  CcMirrorTable tables[CC_TABLE_FOLLOWED];
  gboolean asking;      /* a peer */
  gint64 asked_any;     /* ... since then, us */
  CcTimer asks;         /* until a peer is asked next */
  CcVersionClock clock; /* of the service's versions */
  gint64 heard_at;      /* the table service last answered, us */
  gint64 answered_at;   /* ... this process itself, us */
  gint64 fresh_at;      /* all rows but ranges and members were known to be the
                           newest, us */
  gint64 started_at;
  gboolean knows_members; /* the rows were read that tell whom to follow */
  gint64 start_until;     /* rows that it lacks are expected of a peer, us */
  CcTimer start;          /* until STATE is read, then until START_UNTIL */
  guint64 lease;          /* newest known version of the lease's row */
  gint64 lease_at;        /* when anybody on its way here first knew it, us */
  CcMirrorRole role;
  gboolean following;     /* the one that is followed is being asked */
  gint64 asked_followed;  /* ... since then, us */
  char *followed;         /* address of the one that was asked last */
  gboolean lost;          /* it did not answer, or had an old copy, at last */
  char *lost_address;     /* ... and this process watches by itself for that */
  gint64 self_until;      /* watches by itself until then, us */
  gboolean shared_outage; /* it tells of an outage of its own */
  gint64 refresh_at;      /* the service is not asked for all before, us */
  gboolean refreshing;    /* ... and is asked for the configuration first */
  CcTimer again;          /* until somebody is followed again */
  gint64 followed_outage; /* of the one that is followed, us; 0: never */
  gint64 others_fresh;    /* rows of a peer were fresh then, us */
  gint64 others_outage;   /* ... which last had an outage then, us; 0: never */
};

/* What mirror_peers.c uses of mirror.c. */
void cc_mirror_ask_service (CcMirrorTable *t);
gboolean cc_mirror_put_rows (CcMirrorTable *t, GVariant *rows);
gboolean cc_mirror_put_whole (CcMirrorTable *t, GVariant *rows, guint64 upto);
void cc_mirror_notify (CcMirrorTable *t);
void cc_mirror_service_well (CcMirror *m, gint64 earliest, gint64 latest);
gboolean cc_mirror_is_cut_off (const CcMirror *m);
gboolean cc_mirror_awaits_peer (const CcMirrorTable *t);
gint64 cc_mirror_last_outage (const CcMirror *m);

/* What mirror.c uses of mirror_peers.c. */
gboolean cc_mirror_follow (CcMirror *m);
void cc_mirror_ask_anyone (CcMirror *m);
void cc_mirror_ask_all (CcMirror *m);

#endif
