/* A process writes one row, unless it is there, and reads those of the others.
 * Rows of processes that ended stay.  A peer that does not answer is skipped
 * for a while, and bounds of the fleet are divided among more members than
 * there are, which only makes each share smaller.
 *
 * A process follows the granter's copy of the rows (mirror.h).  In a large
 * fleet the relays of each zone do, and the rest of the zone follows them:
 * fewer requests to one process, and fewer bytes between zones. */
#include "members.h"

#include <json-glib/json-glib.h>

#include "clock.h"
#include "event_log.h"
#include "granter.h"
#include "timers.h"

#define MEMBER_PREFIX "member/"
#define REGISTER_RETRY (500 * CC_MS)
/* Processes from which on a zone has relays.  An answer takes 0.1 ms, and each
 * process makes three requests in two seconds. */
#define LARGE_FLEET 24
#define RELAYS 3          /* of each zone: two may be lost at once */
#define RELAYS_LEAST 2    /* beside which weak processes are none */
#define FOLLOWERS_MOST 40 /* of a relay, in the mean */
#define WEAK_PART 0.5     /* of the cores of the one before: less is weak */
#define FIRST_READERS 3   /* of the fleet */
/* A relay that did not answer is skipped for so long, doubled each time. */
#define BACKOFF_MIN (1 * CC_SECOND)
#define BACKOFF_MAX (30 * CC_SECOND)
/* Rows drawn until one names another process. */
#define DRAWS 4

typedef struct
{
  char *address;
  char *zone;
  double cores; /* processor that it may use; 0: not said */
  guint place;  /* of its row among those of all */
  guint nth;    /* how many of its zone are stronger */
  gboolean is_self;
} Member;

/* One that did not answer. */
typedef struct
{
  gint64 until; /* it is skipped, us */
  gint64 span;  /* ... for so long, us */
} Backoff;

struct CcMembers
{
  CcTable *table;
  char *key; /* of this process's row */
  char *address;
  char *zone;
  double cores;
  char **seeds;
  GArray *list;        /* of Member: the strongest of each zone, the next ... */
  char *granter;       /* address of the one that grants keys; NULL: none yet */
  GPtrArray *relays;   /* addresses of its zone's relays, without its own */
  gboolean falls_back; /* follows the granter if no relay answers */
  GHashTable *backoffs; /* address to Backoff */
  gboolean is_relay;
  guint rank;         /* of this process in LIST; its length: not in it */
  guint64 newest;     /* version of the newest row in LIST */
  gboolean registers; /* its row is written or is being written */
  CcTimer registering;
};

static void
member_clear (gpointer data)
{
  Member *m = data;

  g_free (m->address);
  g_free (m->zone);
}

/* The fleet as far as is known before any row was read. */
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

/* Frees M. */
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

static char *
own_value (const CcMembers *m)
{
  char cores[G_ASCII_DTOSTR_BUF_SIZE];

  g_ascii_formatd (cores, sizeof cores, "%.3f", m->cores);
  return g_strdup_printf ("{\"address\":\"%s\",\"zone\":\"%s\",\"cores\":%s}",
                          m->address, m->zone, cores);
}

/* Writes this process's row, and goes on trying until it is written. */
void
cc_members_register (CcMembers *m)
{
  CcTableChange *c = cc_table_change_new ();
  g_autofree char *value = own_value (m);

  m->registers = TRUE;
  cc_table_put (c, CC_TABLE_STATE, m->key, value);
  cc_table_commit (m->table, c, on_registered, m);
}

/* Registers by the rows of STATE, as they are read for the first time.
 *
 * Load pattern: the whole fleet is killed and started again, and each process
 * writes the row that is there already. */
void
cc_members_join (CcMembers *m, const CcView *state)
{
  const CcRow *row = cc_view_get (state, m->key);
  g_autofree char *value = own_value (m);

  if (m->registers)
    return;
  if (row == NULL || !g_str_equal (row->value, value))
    {
      cc_members_register (m);
      return;
    }
  m->registers = TRUE;
  cc_event (CC_EVENT_STATE, "already-registered", "row", m->key, "row_version",
            cc_event_int ((gint64) row->version), NULL);
}

static Member
read_member (const CcRow *row)
{
  g_autoptr (JsonNode) root = json_from_string (row->value, NULL);
  JsonObject *o = root != NULL && JSON_NODE_HOLDS_OBJECT (root)
                      ? json_node_get_object (root)
                      : NULL;

  if (o == NULL)
    return (Member){ g_strdup (""), g_strdup (""), 0, 0, 0, FALSE };
  return (Member){
    g_strdup (json_object_get_string_member_with_default (o, "address", "")),
    g_strdup (json_object_get_string_member_with_default (o, "zone", "")),
    json_object_get_double_member_with_default (o, "cores", 0),
    0,
    0,
    FALSE
  };
}

/* By turns from each zone.  The first few of the order take over the lease when
 * its holder is lost, and a cut of one zone must not take all of them with it.
 */
static gint
by_turns (gconstpointer a, gconstpointer b)
{
  const Member *x = a, *y = b;

  if (x->nth != y->nth)
    return x->nth < y->nth ? -1 : 1;
  if (x->cores != y->cores)
    return x->cores > y->cores ? -1 : 1;
  return x->place < y->place ? -1 : 1;
}

static gint
by_strength (gconstpointer a, gconstpointer b)
{
  const Member *x = a, *y = b;

  if (x->cores != y->cores)
    return x->cores > y->cores ? -1 : 1;
  return x->place < y->place ? -1 : 1;
}

/* Counts for each member of LIST, the strongest first, the stronger ones of its
 * zone. */
static void
count_in_zones (GArray *list)
{
  g_autoptr (GHashTable) counts = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < list->len; i++)
    {
      Member *one = &g_array_index (list, Member, i);

      /* A row that can't be read names nobody who could take over. */
      if (one->address[0] == '\0')
        {
          one->nth = G_MAXUINT;
          continue;
        }
      one->nth = GPOINTER_TO_UINT (g_hash_table_lookup (counts, one->zone));
      g_hash_table_insert (counts, one->zone, GUINT_TO_POINTER (one->nth + 1));
    }
}

static gboolean
is_granter_at (const CcMembers *m, const char *address)
{
  return g_strcmp0 (m->granter, address) == 0;
}

/* The members of this zone, the strongest first. */
static GPtrArray *
zone_members (const CcMembers *m)
{
  GPtrArray *found = g_ptr_array_new ();

  for (guint i = 0; i < m->list->len; i++)
    {
      Member *one = &g_array_index (m->list, Member, i);

      if (g_str_equal (one->zone, m->zone))
        g_ptr_array_add (found, one);
    }
  return found;
}

/* Takes the granter out of MEMBERS, since it has the most to do already.
 * Returns its place there, or -1. */
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

/* How many of CANDIDATES are relays: RELAYS, or as few as RELAYS_LEAST if the
 * next one is much weaker than those; more in a zone of hundreds. */
static guint
count_relays (const GPtrArray *candidates)
{
  guint least = (candidates->len + FOLLOWERS_MOST) / (FOLLOWERS_MOST + 1);
  guint count = MIN (candidates->len, MAX (RELAYS, least));

  for (guint i = MAX (RELAYS_LEAST, least); i < count; i++)
    {
      const Member *before = candidates->pdata[i - 1];

      if (((const Member *) candidates->pdata[i])->cores <
          WEAK_PART * before->cores)
        return i;
    }
  return count;
}

/* Chooses this zone's relays.  In a large fleet they are its strongest
 * processes beside the granter. */
static void
choose_relays (CcMembers *m)
{
  g_autoptr (GPtrArray) members = zone_members (m);
  gint place = remove_granter (m, members);
  guint count = m->list->len < LARGE_FLEET ? 0 : count_relays (members);

  g_ptr_array_set_size (m->relays, 0);
  m->is_relay = FALSE;
  m->falls_back = place >= 0 && place < RELAYS;
  for (guint i = 0; i < count; i++)
    {
      const Member *one = members->pdata[i];

      if (one->is_self)
        m->is_relay = TRUE;
      else
        g_ptr_array_add (m->relays, g_strdup (one->address));
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

static void
read_members (CcMembers *m, const GPtrArray *rows)
{
  g_array_set_size (m->list, 0);
  m->rank = rows->len;
  for (guint i = 0; i < rows->len; i++)
    {
      Member one = read_member (rows->pdata[i]);

      one.place = i;
      one.is_self = g_str_equal (((CcRow *) rows->pdata[i])->key, m->key);
      g_array_append_val (m->list, one);
    }
  g_array_sort (m->list, by_strength);
  count_in_zones (m->list);
  g_array_sort (m->list, by_turns);
  for (guint i = 0; i < m->list->len; i++)
    if (g_array_index (m->list, Member, i).is_self)
      m->rank = i;
}

/* Whether the row KEY of STATE is one that cc_members_update reads.  Most
 * changes there are of ranges of keys. */
gboolean
cc_members_reads_row (const char *key)
{
  return g_str_has_prefix (key, MEMBER_PREFIX) ||
         g_str_equal (key, CC_GRANTER_KEY);
}

/* Reads the fleet from the rows of STATE.  Members are read anew only if one of
 * them has changed. */
void
cc_members_update (CcMembers *m, const CcView *state)
{
  g_autoptr (GPtrArray) rows = cc_view_list (state, MEMBER_PREFIX);
  const CcRow *granter = cc_view_get (state, CC_GRANTER_KEY);
  const char *address = granter != NULL ? granter->value : NULL;
  guint64 newest = newest_of (rows);
  gboolean is_listed = newest == m->newest && rows->len == m->list->len;

  if (is_listed && is_granter_at (m, address))
    return;
  g_free (m->granter);
  m->granter = g_strdup (address);
  m->newest = newest;
  if (!is_listed)
    read_members (m, rows);
  choose_relays (m);
}

/* How many processes ever registered. */
guint
cc_members_count (const CcMembers *m)
{
  return m->list->len;
}

/* This process's place in the order that all processes see. */
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

/* Whether others follow this process's copy of the rows. */
gboolean
cc_members_is_followed (const CcMembers *m)
{
  return m->is_relay || is_granter (m);
}

/* Whether it is one of its zone's relays. */
gboolean
cc_members_is_relay (const CcMembers *m)
{
  return m->is_relay;
}

/* Whether this process reads all rows itself when it starts: the one that
 * grants keys, those that would take over from it, and relays.
 *
 * Load pattern: the whole fleet is started again, and its granter is a weak
 * process, whose link bears the rows of one relay after the other. */
gboolean
cc_members_reads_all (const CcMembers *m)
{
  return cc_members_is_followed (m) || m->rank < FIRST_READERS;
}

/* How many processes the rows pass on their way to this one: 0 at the granter,
 * 1 at who follows it, 2 at who follows a relay. */
guint
cc_members_distance (const CcMembers *m)
{
  if (is_granter (m))
    return 0;
  return m->relays->len == 0 || m->is_relay ? 1 : 2;
}

/* Any other process of the fleet; a seed, while none is known. */
static char *
any_peer (const CcMembers *m)
{
  guint seeds = g_strv_length (m->seeds);

  for (guint i = 0; m->list->len > 0 && i < DRAWS; i++)
    {
      gint32 drawn = g_random_int_range (0, (gint32) m->list->len);
      const Member *one = &g_array_index (m->list, Member, drawn);

      if (one->address[0] != '\0' && !g_str_equal (one->address, m->address))
        return g_strdup (one->address);
    }
  return seeds > 0 && m->seeds[0][0] != '\0'
             ? g_strdup (m->seeds[g_random_int_range (0, (gint32) seeds)])
             : NULL;
}

/* The one at ADDRESS, which was asked, has ANSWERED or not.
 *
 * Failure: a relay is gone for good, and its row stays.  Symptom: those that
 * follow the relays of its zone draw it again and again, wait for it in vain,
 * and ask the table in its place. */
void
cc_members_peer_result (CcMembers *m, const char *address, gboolean answered)
{
  Backoff *s = g_hash_table_lookup (m->backoffs, address);

  if (answered)
    {
      if (s != NULL)
        g_hash_table_remove (m->backoffs, address);
      return;
    }
  if (s == NULL)
    {
      s = g_new0 (Backoff, 1);
      g_hash_table_insert (m->backoffs, g_strdup (address), s);
    }
  s->span = CLAMP (2 * s->span, BACKOFF_MIN, BACKOFF_MAX);
  s->until = cc_clock_now () + s->span;
}

static gboolean
is_backed_off (const CcMembers *m, const char *address)
{
  const Backoff *s = g_hash_table_lookup (m->backoffs, address);

  return s != NULL && cc_clock_now () < s->until;
}

/* One of the relays, of those that answer if there are any; the granter, if it
 * is among the strongest of this zone and no relay answers. */
static char *
any_relay (const CcMembers *m)
{
  g_autoptr (GPtrArray) answering = g_ptr_array_new ();
  const GPtrArray *from = answering;

  for (guint i = 0; i < m->relays->len; i++)
    if (!is_backed_off (m, m->relays->pdata[i]))
      g_ptr_array_add (answering, m->relays->pdata[i]);
  if (answering->len == 0 && m->falls_back && !is_backed_off (m, m->granter))
    return g_strdup (m->granter);
  if (answering->len == 0)
    from = m->relays;
  return g_strdup (from->pdata[g_random_int_range (0, (gint32) from->len)]);
}

static char *
followed (const CcMembers *m)
{
  if (m->granter == NULL || is_granter (m))
    return NULL;
  if (m->relays->len == 0 || m->is_relay)
    return g_strdup (m->granter);
  return any_relay (m);
}

/* The address of a process to ask, or NULL; the caller frees it. */
char *
cc_members_peer (const CcMembers *m, CcPeerKind kind)
{
  switch (kind)
    {
    case CC_PEER_ANY:
      return any_peer (m);
    case CC_PEER_FOLLOWED:
      return followed (m);
    }
  return NULL;
}

/* Where this process sends its reports of load, or NULL; the caller frees it.
 * The granter sends them to itself. */
char *
cc_members_report_address (const CcMembers *m)
{
  return is_granter (m) ? g_strdup (m->address) : followed (m);
}
