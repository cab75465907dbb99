/* Membership of the fleet.  Each process registers itself by a row in STATE and
 * reads the rows of the other members.  Rows of processes that have exited
 * stay: a peer that does not answer is skipped for a while, and limits of the
 * whole fleet are divided among more members than are running, which only makes
 * each share smaller.
 *
 * A process follows the granter's copy of the tables (mirror.h).  In a large
 * fleet only the relays of each zone follow the granter, and the other members
 * of the zone follow a relay, which means fewer requests to one process and
 * fewer bytes between zones. */
#include "members.h"

#include <json-glib/json-glib.h>

#include "backoff.h"
#include "clock.h"
#include "event_log.h"
#include "granter.h"
#include "json_tree.h"
#include "timers.h"

#define MEMBER_PREFIX "member/"
#define REGISTER_RETRY (500 * CC_MS)
/* Size of the fleet from which on zones have relays.  An answer takes 0.1 ms,
 * and each process makes three requests in two seconds. */
#define RELAY_FLEET_MIN 24
#define RELAYS 3         /* in each zone; two may be lost at once */
#define RELAYS_MIN 2     /* enough if all further candidates are weak */
#define FOLLOWERS_MAX 40 /* of a relay, on average */
/* A candidate is weak if it has less than this fraction of the cores of the
 * next stronger one. */
#define WEAK_PART 0.5
#define FIRST_READERS 3 /* members that read all tables when they start */
/* A relay that did not answer is skipped for this time, which doubles with each
 * failure. */
#define BACKOFF_MIN (1 * CC_SECOND)
#define BACKOFF_MAX (30 * CC_SECOND)
/* Number of random draws of a member other than this process. */
#define DRAWS 4

typedef struct
{
  char *address;
  char *zone;
  double cores;    /* processor time that it may use, in cores; 0: unknown */
  guint row_index; /* index of its row in the order of keys */
  guint zone_rank; /* number of stronger members of its zone */
  gboolean is_self;
} Member;

struct CcMembers
{
  CcTable *table;
  char *key; /* of this process's row */
  char *address;
  char *zone;
  double cores;
  char **seeds;
  GArray *list;              /* of Member: the strongest of each zone, then the
                                second strongest of each, and so on */
  char *granter;             /* address of the granter; NULL: none yet */
  GPtrArray *relays;         /* addresses of the other relays of its zone */
  gboolean granter_fallback; /* follow the granter if no relay answers */
  GHashTable *backoffs;      /* address to CcBackoff */
  gboolean is_relay;
  guint rank;     /* index of this process in LIST; LIST's length: not in it */
  guint64 newest; /* version of the newest member row */
  gboolean registered; /* its row is written, or the write is pending */
  gboolean seen;       /* its row was in the table */
  CcTimer registering;
};

static void
member_clear (gpointer data)
{
  Member *m = data;

  g_free (m->address);
  g_free (m->zone);
}

/* Creates an empty fleet, to be filled by cc_members_update.  Takes over
 * SETUP->seeds and copies the other strings. */
CcMembers *
cc_members_new (const CcMembersSetup *setup)
{
  CcMembers *m = g_new0 (CcMembers, 1);

  m->table = setup->table;
  m->key = g_strconcat (MEMBER_PREFIX, setup->instance, NULL);
  m->address = g_strdup (setup->address);
  m->zone = g_strdup (setup->zone);
  m->cores = setup->cores;
  m->seeds = setup->seeds;
  m->list = g_array_new (FALSE, FALSE, sizeof (Member));
  g_array_set_clear_func (m->list, member_clear);
  m->relays = g_ptr_array_new_with_free_func (g_free);
  m->backoffs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return m;
}

/* Frees M; no write of its row may be pending. */
void
cc_members_free (CcMembers *m)
{
  cc_timer_stop (&m->registering);
  g_ptr_array_unref (m->relays);
  g_hash_table_unref (m->backoffs);
  g_free (m->granter);
  g_array_unref (m->list);
  g_strfreev (m->seeds);
  g_free (m->zone);
  g_free (m->address);
  g_free (m->key);
  g_free (m);
}

static void
on_register (gpointer data)
{
  cc_members_register (data);
}

static void
on_registered (CcStatus status, guint64 version, gpointer data)
{
  CcMembers *m = data;

  if (status == CC_OK)
    {
      cc_event (CC_EVENT_STATE, "registered", "row", m->key, "row_version",
                cc_event_int ((gint64) version), NULL);
      return;
    }
  cc_timer_start (&m->registering, REGISTER_RETRY, on_register, m);
}

/* Returns the value of this process's row; the caller frees it. */
static char *
own_value (const CcMembers *m)
{
  char cores[G_ASCII_DTOSTR_BUF_SIZE];

  g_ascii_formatd (cores, sizeof cores, "%.3f", m->cores);
  return g_strdup_printf ("{\"address\":\"%s\",\"zone\":\"%s\",\"cores\":%s}",
                          m->address, m->zone, cores);
}

/* Writes this process's row, and retries until it is written. */
void
cc_members_register (CcMembers *m)
{
  CcTableChange *c = cc_table_change_new ();
  g_autofree char *value = own_value (m);

  m->registered = TRUE;
  cc_table_put (c, CC_TABLE_STATE, m->key, value);
  cc_table_commit (m->table, c, on_registered, m);
}

/* Registers this process unless STATE already holds the same row.
 *
 * Load pattern: the whole fleet is killed and restarted, and each process
 * writes a row that exists already. */
void
cc_members_join (CcMembers *m, const CcView *state)
{
  const CcRow *row = cc_view_get (state, m->key);
  g_autofree char *value = own_value (m);

  /* The table service has lost the row. */
  if (m->seen && row == NULL)
    m->registered = m->seen = FALSE;
  m->seen |= row != NULL && g_str_equal (row->value, value);
  if (m->registered)
    return;
  if (row == NULL || !g_str_equal (row->value, value))
    {
      cc_members_register (m);
      return;
    }
  m->registered = TRUE;
  cc_event (CC_EVENT_STATE, "already-registered", "row", m->key, "row_version",
            cc_event_int ((gint64) row->version), NULL);
}

/* Cores of one process; a row with more is an error of its writer. */
#define CORES_MAX 4096

/* Parses a member's row.  A row that can't be parsed gives a member without
 * address. */
static Member
read_member (const CcRow *row)
{
  g_autoptr (JsonNode) root = cc_json_parse (row->value, -1, NULL);
  JsonObject *o = cc_json_object (root);
  double cores = 0;

  cc_json_number_member (o, "cores", 0, CORES_MAX, &cores);
  return (Member){ g_strdup (cc_json_text_member (o, "address", "")),
                   g_strdup (cc_json_text_member (o, "zone", "")),
                   cores,
                   0,
                   0,
                   FALSE };
}

/* Orders members round-robin by zone, the strongest of each zone first.  The
 * first few members in this order take over the lease when its holder is lost,
 * and the loss of one zone must not remove all of them. */
static gint
compare_by_zone_rank (gconstpointer a, gconstpointer b)
{
  const Member *x = a, *y = b;

  if (x->zone_rank != y->zone_rank)
    return x->zone_rank < y->zone_rank ? -1 : 1;
  if (x->cores != y->cores)
    return x->cores > y->cores ? -1 : 1;
  return x->row_index < y->row_index ? -1 : 1;
}

static gint
compare_by_cores (gconstpointer a, gconstpointer b)
{
  const Member *x = a, *y = b;

  if (x->cores != y->cores)
    return x->cores > y->cores ? -1 : 1;
  return x->row_index < y->row_index ? -1 : 1;
}

/* Sets for each member of LIST, which is ordered by cores, the number of
 * stronger members of its zone. */
static void
assign_zone_ranks (GArray *list)
{
  g_autoptr (GHashTable) counts = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < list->len; i++)
    {
      Member *member = &g_array_index (list, Member, i);

      /* A row that can't be parsed names no process that could take over. */
      if (member->address[0] == '\0')
        {
          member->zone_rank = G_MAXUINT;
          continue;
        }
      member->zone_rank =
          GPOINTER_TO_UINT (g_hash_table_lookup (counts, member->zone));
      g_hash_table_insert (counts, member->zone,
                           GUINT_TO_POINTER (member->zone_rank + 1));
    }
}

/* Returns TRUE if ADDRESS is the granter's; NULL means that there is none. */
static gboolean
is_granter_at (const CcMembers *m, const char *address)
{
  return g_strcmp0 (m->granter, address) == 0;
}

/* Returns the members of this zone (Member), the strongest first. */
static GPtrArray *
zone_members (const CcMembers *m)
{
  GPtrArray *found = g_ptr_array_new ();

  for (guint i = 0; i < m->list->len; i++)
    {
      Member *member = &g_array_index (m->list, Member, i);

      if (g_str_equal (member->zone, m->zone))
        g_ptr_array_add (found, member);
    }
  return found;
}

/* Removes the granter from MEMBERS, since it has the most work already.
 * Returns its index there, or -1. */
static gint
remove_granter (const CcMembers *m, GPtrArray *members)
{
  for (guint i = 0; i < members->len; i++)
    if (is_granter_at (m, ((const Member *) members->pdata[i])->address))
      {
        g_ptr_array_remove_index (members, i);
        return (gint) i;
      }
  return -1;
}

/* Returns how many of CANDIDATES become relays: RELAYS, or as few as RELAYS_MIN
 * if the next candidate is much weaker; more in a zone of hundreds. */
static guint
count_relays (const GPtrArray *candidates)
{
  guint required = (candidates->len + FOLLOWERS_MAX) / (FOLLOWERS_MAX + 1);
  guint count = MIN (candidates->len, MAX (RELAYS, required));

  for (guint i = MAX (RELAYS_MIN, required); i < count; i++)
    {
      const Member *before = candidates->pdata[i - 1];

      if (((const Member *) candidates->pdata[i])->cores <
          WEAK_PART * before->cores)
        return i;
    }
  return count;
}

/* Chooses this zone's relays: in a large fleet, its strongest members except
 * the granter; otherwise none. */
static void
choose_relays (CcMembers *m)
{
  g_autoptr (GPtrArray) members = zone_members (m);
  gint granter_index = remove_granter (m, members);
  guint count = m->list->len < RELAY_FLEET_MIN ? 0 : count_relays (members);

  g_ptr_array_set_size (m->relays, 0);
  m->is_relay = FALSE;
  m->granter_fallback = granter_index >= 0 && granter_index < RELAYS;
  for (guint i = 0; i < count; i++)
    {
      const Member *member = members->pdata[i];

      if (member->is_self)
        m->is_relay = TRUE;
      else
        g_ptr_array_add (m->relays, g_strdup (member->address));
    }
}

static guint64
newest_of (const GPtrArray *rows)
{
  guint64 newest = 0;

  for (guint i = 0; i < rows->len; i++)
    newest = MAX (newest, ((CcRow *) rows->pdata[i])->version);
  return newest;
}

/* Replaces the list of members by ROWS and sets the rank of this process. */
static void
read_members (CcMembers *m, const GPtrArray *rows)
{
  g_array_set_size (m->list, 0);
  m->rank = rows->len;
  for (guint i = 0; i < rows->len; i++)
    {
      Member member = read_member (rows->pdata[i]);

      member.row_index = i;
      member.is_self = g_str_equal (((CcRow *) rows->pdata[i])->key, m->key);
      g_array_append_val (m->list, member);
    }
  g_array_sort (m->list, compare_by_cores);
  assign_zone_ranks (m->list);
  g_array_sort (m->list, compare_by_zone_rank);
  for (guint i = 0; i < m->list->len; i++)
    if (g_array_index (m->list, Member, i).is_self)
      m->rank = i;
}

/* Returns TRUE if cc_members_update reads the row KEY of STATE.  Most changes
 * in STATE concern key ranges and can be skipped. */
gboolean
cc_members_reads_row (const char *key)
{
  return g_str_has_prefix (key, MEMBER_PREFIX) ||
         g_str_equal (key, CC_GRANTER_KEY);
}

/* Updates the fleet from the rows of STATE.  Members are parsed again only if a
 * member row has changed. */
void
cc_members_update (CcMembers *m, const CcView *state)
{
  g_autoptr (GPtrArray) rows = cc_view_list (state, MEMBER_PREFIX);
  const CcRow *granter = cc_view_get (state, CC_GRANTER_KEY);
  const char *address = granter != NULL ? granter->value : NULL;
  guint64 newest = newest_of (rows);
  gboolean is_unchanged = newest == m->newest && rows->len == m->list->len;

  if (is_unchanged && is_granter_at (m, address))
    return;
  g_free (m->granter);
  m->granter = g_strdup (address);
  m->newest = newest;
  if (!is_unchanged)
    read_members (m, rows);
  choose_relays (m);
}

/* Returns how many processes have ever registered. */
guint
cc_members_count (const CcMembers *m)
{
  return m->list->len;
}

/* Returns the other members as a list of CcPeer, which the caller frees. */
GPtrArray *
cc_members_others (const CcMembers *m)
{
  GPtrArray *others = cc_peers_new ();

  for (guint i = 0; i < m->list->len; i++)
    {
      const Member *member = &g_array_index (m->list, Member, i);

      if (!member->is_self && member->address[0] != '\0')
        cc_peers_add (others, member->address, member->zone);
    }
  return others;
}

/* Returns this process's index in the order of members, which is the same at
 * all processes with the same rows. */
guint
cc_members_rank (const CcMembers *m)
{
  return m->rank;
}

static gboolean
is_granter (const CcMembers *m)
{
  return is_granter_at (m, m->address);
}

/* Returns TRUE if peers follow this process's copy of the tables. */
gboolean
cc_members_is_followed (const CcMembers *m)
{
  return m->is_relay || is_granter (m);
}

/* Returns TRUE if this process is a relay of its zone. */
gboolean
cc_members_is_relay (const CcMembers *m)
{
  return m->is_relay;
}

/* Returns TRUE if this process reads all tables from the service when it
 * starts: the granter, those that would take over from it, and relays.
 *
 * Load pattern: the whole fleet is restarted, its granter is a weak process,
 * and the granter's link would carry the rows for one relay after the other. */
gboolean
cc_members_reads_all (const CcMembers *m)
{
  return cc_members_is_followed (m) || m->rank < FIRST_READERS;
}

/* Returns the number of hops from the granter's copy to this process's: 0 at
 * the granter, 1 at its followers, 2 at the followers of a relay. */
guint
cc_members_distance (const CcMembers *m)
{
  if (is_granter (m))
    return 0;
  return m->relays->len == 0 || m->is_relay ? 1 : 2;
}

/* Returns the address of a random other member, or of a random seed if none was
 * drawn; NULL if there is no seed either. */
static char *
random_peer (const CcMembers *m)
{
  guint seeds = g_strv_length (m->seeds);

  for (guint i = 0; m->list->len > 0 && i < DRAWS; i++)
    {
      gint32 drawn = g_random_int_range (0, (gint32) m->list->len);
      const Member *member = &g_array_index (m->list, Member, drawn);

      if (member->address[0] != '\0' &&
          !g_str_equal (member->address, m->address))
        return g_strdup (member->address);
    }
  return seeds > 0 && m->seeds[0][0] != '\0'
             ? g_strdup (m->seeds[g_random_int_range (0, (gint32) seeds)])
             : NULL;
}

/* Records whether the followed peer at ADDRESS ANSWERED a request.
 *
 * Failure: a relay has exited permanently, and its row stays.  Symptom: the
 * followers of its zone's relays keep drawing it, time out, and query the table
 * service instead. */
void
cc_members_peer_result (CcMembers *m, const char *address, gboolean answered)
{
  CcBackoff *backoff = g_hash_table_lookup (m->backoffs, address);

  if (answered)
    {
      if (backoff != NULL)
        g_hash_table_remove (m->backoffs, address);
      return;
    }
  if (backoff == NULL)
    {
      backoff = g_new0 (CcBackoff, 1);
      g_hash_table_insert (m->backoffs, g_strdup (address), backoff);
    }
  cc_backoff_fail (backoff, BACKOFF_MIN, BACKOFF_MAX, cc_clock_now ());
}

static gboolean
is_backed_off (const CcMembers *m, const char *address)
{
  const CcBackoff *backoff = g_hash_table_lookup (m->backoffs, address);

  return backoff != NULL && cc_backoff_is_active (backoff, cc_clock_now ());
}

/* Returns the address of a random relay that is not backed off.  If there is
 * none, returns the granter's, if that is among the strongest of this zone and
 * not backed off, or else that of any relay. */
static char *
random_relay (const CcMembers *m)
{
  g_autoptr (GPtrArray) reachable = g_ptr_array_new ();
  const GPtrArray *from = reachable;

  for (guint i = 0; i < m->relays->len; i++)
    if (!is_backed_off (m, m->relays->pdata[i]))
      g_ptr_array_add (reachable, m->relays->pdata[i]);
  if (reachable->len == 0 && m->granter_fallback &&
      !is_backed_off (m, m->granter))
    return g_strdup (m->granter);
  if (reachable->len == 0)
    from = m->relays;
  return g_strdup (from->pdata[g_random_int_range (0, (gint32) from->len)]);
}

/* Returns the address of the peer to follow, or NULL at the granter or if there
 * is no granter; the caller frees it. */
static char *
followed (const CcMembers *m)
{
  if (m->granter == NULL || is_granter (m))
    return NULL;
  if (m->relays->len == 0 || m->is_relay)
    return g_strdup (m->granter);
  return random_relay (m);
}

/* Returns the address of a peer of KIND, or NULL; the caller frees it. */
char *
cc_members_peer (const CcMembers *m, CcPeerKind kind)
{
  switch (kind)
    {
    case CC_PEER_ANY:
      return random_peer (m);
    case CC_PEER_FOLLOWED:
      return followed (m);
    }
  return NULL;
}

/* Returns the address to which this process sends its load reports, or NULL;
 * the caller frees it.  The granter sends them to itself. */
char *
cc_members_report_address (const CcMembers *m)
{
  return is_granter (m) ? g_strdup (m->address) : followed (m);
}

/* Returns the address of the granter, or NULL if there is none. */
const char *
cc_members_granter (const CcMembers *m)
{
  return m->granter;
}
