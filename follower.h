/* Keeps a process's view of the table fresh, from the platform and peers. */
#ifndef CC_FOLLOWER_H
#define CC_FOLLOWER_H

#include "document.h"
#include "mailbox.h"
#include "platform.h"
#include "slicemap.h"
#include "view.h"

/* A dispatcher that has registered, from its row member/ID. */
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
  CcDocument *document;     /* in force; NULL until one was accepted */
  guint64 document_version; /* of its row */
  GHashTable *maps;         /* pool to CcSliceMap */
  GHashTable *members;      /* id to CcMember */
  CcMailbox *mailbox;
  CcPlatform *platform;        /* NULL: learns from peers only */
  const char *skip;            /* keys the platform need not send */
  char **seeds;                /* addresses of peers, the nearest first */
  GHashTable *listeners;       /* address to Listener, who asked lately */
  gboolean polling;            /* a call to the platform is in progress */
  gint64 platform_answered_at; /* when the platform last answered, us */
  gboolean platform_told;      /* whether the log last said that it answers */
  guint turn;                  /* counts ticks */
  gboolean gossips;            /* asks other members, too */
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
