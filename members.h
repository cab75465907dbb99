/* Membership of the fleet: which processes exist, which of them are relays, and
 * which peer this process follows. */
#ifndef CC_MEMBERS_H
#define CC_MEMBERS_H

#include "granter.h"
#include "mirror.h"
#include "peer_pick.h"

typedef struct CcMembers CcMembers;

/* Key range of the rows of STATE that cc_members_update reads: the first key,
 * and the first key after the range, which sorts after all that begin with
 * "member/". */
#define CC_MEMBERS_FROM CC_GRANTER_KEY
#define CC_MEMBERS_TO "member0"

typedef struct
{
  CcTable *table;
  const char *instance;
  const char *address; /* at which this process serves its peers, IP:PORT */
  const char *zone;
  double cores; /* processor time that this process may use, in cores */
  char **seeds; /* addresses of peers to use while no member is known;
                          cc_members_new takes them over */
} CcMembersSetup;

CcMembers *cc_members_new (const CcMembersSetup *setup);
void cc_members_free (CcMembers *m);
void cc_members_register (CcMembers *m);
void cc_members_join (CcMembers *m, const CcView *state);
gboolean cc_members_reads_row (const char *key);
void cc_members_update (CcMembers *m, const CcView *state);
guint cc_members_count (const CcMembers *m);
GPtrArray *cc_members_others (const CcMembers *m);
guint cc_members_rank (const CcMembers *m);
gboolean cc_members_is_followed (const CcMembers *m);
gboolean cc_members_is_relay (const CcMembers *m);
gboolean cc_members_reads_all (const CcMembers *m);
guint cc_members_distance (const CcMembers *m);
void cc_members_peer_result (CcMembers *m, const char *address,
                             gboolean answered);
char *cc_members_peer (const CcMembers *m, CcPeerKind kind);
char *cc_members_report_address (const CcMembers *m);
const char *cc_members_granter (const CcMembers *m);

#endif
