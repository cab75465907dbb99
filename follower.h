/* Keeps a process's view of the table up to date from the platform and from
 * peers. */
#ifndef CC_FOLLOWER_H
#define CC_FOLLOWER_H

#include "document.h"
#include "mailbox.h"
#include "platform.h"
#include "slicemap.h"
#include "view.h"

/* A registered dispatcher, from its row member/ID. */
typedef struct
{
  char *id;
  char *instance;
  char *address; /* of its mailbox */
  char *zone;
  guint64 incarnation;
  gboolean draining;
} CcMember;

typedef struct CcFollower CcFollower;
typedef void (*CcFollowerChanged) (CcFollower *f, gpointer data);

struct CcFollower
{
  CcView view;
  CcDocument *document;     /* the configuration in force; NULL: none yet */
  guint64 document_version; /* version of the configuration's row */
  GHashTable *maps;         /* pool to CcSliceMap */
  GHashTable *members;      /* id to CcMember */
  CcMailbox *mailbox;
  CcPlatform *platform;        /* NULL: rows come from peers only */
  const char *skip;            /* prefix of keys that the platform leaves out */
  char **seeds;                /* addresses of peers, nearest first */
  GHashTable *subscribers;     /* address to Subscriber */
  gboolean polling;            /* a call to the platform is in progress */
  gint64 platform_answered_at; /* last answer of the platform, us */
  gboolean logged_reachable;   /* last state of the platform in the log */
  guint ticks;                 /* number of timer ticks */
  gboolean gossips;            /* also polls random members */
  CcFollowerChanged changed;
  gpointer data;
};

CcFollower *cc_follower_new (CcMailbox *box, CcPlatform *platform,
                             const char *skip, char **seeds, gboolean gossips,
                             CcFollowerChanged changed, gpointer data);
void cc_follower_start (CcFollower *f);
void cc_follower_receive (CcFollower *f, const CcMessage *m);
void cc_follower_poll (CcFollower *f);
void cc_follower_wrote (CcFollower *f, const char *key, guint64 version,
                        const char *value);
void cc_follower_send_map (CcFollower *f, const char *key, GHashTable *ids);
CcSliceMap *cc_follower_map (const CcFollower *f, const char *pool);
const CcMember *cc_follower_member (const CcFollower *f, const char *id);

#endif
