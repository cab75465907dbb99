/* The quarantine is one small row, so that it outlasts all processes, reaches
 * those that missed the crashes, and is bounded however many requests are
 * fatal.  A request in quarantine may run again after a while, once in the
 * whole fleet, as a mended release of the upstream may serve it; after each
 * trial the next one is later.  One that ended well is on probation. */
#include "quarantine.h"

#include "json_tree.h"

#include <string.h>

#include <json-glib/json-glib.h>

#define ENTRIES_MAX 64
/* Delay of the first trial, and its factor and limit for further ones.  Each
 * trial of a request that is still fatal costs an upstream. */
#define TRIAL_FIRST (60 * CC_SECOND)
#define TRIAL_FACTOR 4
#define TRIAL_MAX (3600 * CC_SECOND)
/* A request that nobody has sent for this long after its trial was due is
 * forgotten. */
#define ENTRY_KEPT (3600 * CC_SECOND)

struct CcQuarantine
{
  GHashTable *entries; /* CcFingerprint to CcQuarantineEntry */
  gboolean unwritten;  /* differs from the row */
};

static void
entry_free (gpointer data)
{
  CcQuarantineEntry *e = data;

  g_free (e->pool);
  g_ptr_array_unref (e->crashes);
  g_free (e);
}

/* Returns an empty quarantine. */
CcQuarantine *
cc_quarantine_new (void)
{
  CcQuarantine *q = g_new0 (CcQuarantine, 1);

  q->entries = g_hash_table_new_full (cc_fingerprint_hash, cc_fingerprint_equal,
                                      NULL, entry_free);
  return q;
}

/* Frees Q. */
void
cc_quarantine_free (CcQuarantine *q)
{
  g_hash_table_unref (q->entries);
  g_free (q);
}

static CcQuarantineEntry *
entry_new (const CcFingerprint *f, const char *pool)
{
  CcQuarantineEntry *e = g_new0 (CcQuarantineEntry, 1);

  e->fingerprint = *f;
  e->pool = g_strdup (pool);
  e->crashes = g_ptr_array_new_with_free_func (g_free);
  return e;
}

static gboolean
has_crash (const CcQuarantineEntry *e, const char *crash)
{
  return g_ptr_array_find_with_equal_func (e->crashes, crash, g_str_equal,
                                           NULL);
}

/* Adds CRASH to E.  Returns TRUE if it is new. */
static gboolean
add_crash (CcQuarantineEntry *e, const char *crash)
{
  if (has_crash (e, crash))
    return FALSE;
  g_ptr_array_add (e->crashes, g_strdup (crash));
  if (e->crashes->len > CC_CRASHES_KEPT)
    g_ptr_array_remove_index (e->crashes, 0);
  return TRUE;
}

/* Returns whether all crashes of E are among the more numerous ones of BY. */
static gboolean
is_explained (const CcQuarantineEntry *e, const CcQuarantineEntry *by)
{
  if (e == by || e->crashes->len >= by->crashes->len)
    return FALSE;
  for (guint i = 0; i < e->crashes->len; i++)
    if (!has_crash (by, e->crashes->pdata[i]))
      return FALSE;
  return TRUE;
}

/* Releases the requests whose crashes BY explains.  Returns TRUE if there are
 * any.
 *
 * Failure: a harmless request was inside the same crashes as the fatal one, and
 * was chosen of the two; the next crash shows which it was. */
static gboolean
release_explained (CcQuarantine *q, const CcQuarantineEntry *by)
{
  GHashTableIter i;
  gpointer value;
  gboolean released = FALSE;

  g_hash_table_iter_init (&i, q->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (is_explained (value, by))
      {
        g_hash_table_iter_remove (&i);
        released = TRUE;
      }
  return released;
}

/* Returns the time until trial TRIALS + 1, us. */
static gint64
trial_delay (guint trials)
{
  gint64 delay = TRIAL_FIRST;

  for (guint i = 0; i < trials && delay < TRIAL_MAX; i++)
    delay *= TRIAL_FACTOR;
  return MIN (delay, TRIAL_MAX);
}

/* Makes room for one more entry. */
static void
evict_oldest (CcQuarantine *q)
{
  GHashTableIter i;
  gpointer value;
  const CcQuarantineEntry *oldest = NULL;

  if (g_hash_table_size (q->entries) < ENTRIES_MAX)
    return;
  g_hash_table_iter_init (&i, q->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (oldest == NULL || ((CcQuarantineEntry *) value)->since < oldest->since)
      oldest = value;
  g_hash_table_remove (q->entries, &oldest->fingerprint);
}

/* Adds F, found at WALL, us.  Returns TRUE if it is new or has more crashes
 * than before. */
gboolean
cc_quarantine_add (CcQuarantine *q, const CcFatalRequest *f, gint64 wall)
{
  CcQuarantineEntry *e = g_hash_table_lookup (q->entries, &f->fingerprint);
  gboolean changed = FALSE;

  if (e == NULL)
    {
      evict_oldest (q);
      e = entry_new (&f->fingerprint, f->pool);
      e->since = wall;
      e->trial_at = wall + trial_delay (0);
      g_hash_table_insert (q->entries, &e->fingerprint, e);
      changed = TRUE;
    }
  for (guint i = 0; i < f->crashes->len; i++)
    changed |= add_crash (e, f->crashes->pdata[i]);
  changed |= release_explained (q, e);
  q->unwritten |= changed;
  return changed;
}

/* Adds CRASH, seen at WALL, us, to the request F if that is in quarantine; one
 * on probation is refused again.  Returns TRUE if that changed anything. */
gboolean
cc_quarantine_crashed_again (CcQuarantine *q, const CcFingerprint *f,
                             const char *crash, gint64 wall)
{
  CcQuarantineEntry *e = g_hash_table_lookup (q->entries, f);

  if (e == NULL || !add_crash (e, crash))
    return FALSE;
  if (e->probation)
    e->trial_at = wall + trial_delay (e->trials);
  e->probation = FALSE;
  q->unwritten = TRUE;
  (void) release_explained (q, e);
  return TRUE;
}

/* Returns the entry of F, or NULL. */
const CcQuarantineEntry *
cc_quarantine_find (const CcQuarantine *q, const CcFingerprint *f)
{
  return g_hash_table_lookup (q->entries, f);
}

/* Returns whether a request for a path with the hash PATH may be in it. */
gboolean
cc_quarantine_has_path (const CcQuarantine *q, guint32 path)
{
  GHashTableIter i;
  gpointer key;

  g_hash_table_iter_init (&i, q->entries);
  while (g_hash_table_iter_next (&i, &key, NULL))
    if (cc_fingerprint_path (key) == path)
      return TRUE;
  return FALSE;
}

/* Returns the number of requests in it. */
guint
cc_quarantine_size (const CcQuarantine *q)
{
  return g_hash_table_size (q->entries);
}

/* Begins a trial of F at WALL, us: the next one is later. */
void
cc_quarantine_begin_trial (CcQuarantine *q, const CcFingerprint *f, gint64 wall)
{
  CcQuarantineEntry *e = g_hash_table_lookup (q->entries, f);

  if (e == NULL)
    return;
  e->trials++;
  e->trial_at = wall + trial_delay (e->trials);
  q->unwritten = TRUE;
}

/* The trial of F ended well at WALL, us: puts it on probation. */
void
cc_quarantine_release (CcQuarantine *q, const CcFingerprint *f, gint64 wall)
{
  CcQuarantineEntry *e = g_hash_table_lookup (q->entries, f);

  if (e == NULL || e->probation)
    return;
  e->probation = TRUE;
  e->trial_at = wall;
  q->unwritten = TRUE;
}

/* Returns whether Q has changes that its row does not have. */
gboolean
cc_quarantine_is_unwritten (const CcQuarantine *q)
{
  return q->unwritten;
}

/* The row is about to be written with the present contents of Q. */
void
cc_quarantine_begin_write (CcQuarantine *q)
{
  GHashTableIter i;
  gpointer value;

  q->unwritten = FALSE;
  g_hash_table_iter_init (&i, q->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    ((CcQuarantineEntry *) value)->writing = TRUE;
}

/* That write has ended.  WRITTEN: the row has those contents. */
void
cc_quarantine_end_write (CcQuarantine *q, gboolean written)
{
  GHashTableIter i;
  gpointer value;

  q->unwritten |= !written;
  g_hash_table_iter_init (&i, q->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      CcQuarantineEntry *e = value;

      e->in_row |= e->writing && written;
      e->writing = FALSE;
    }
}

/* The table service has lost the latest writes of the row: an entry that it
 * lacks was not removed by another gateway. */
void
cc_quarantine_row_lost (CcQuarantine *q)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, q->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      ((CcQuarantineEntry *) value)->in_row = FALSE;
      q->unwritten = TRUE;
    }
}

static void
build_entry (JsonBuilder *b, const CcQuarantineEntry *e)
{
  char text[CC_FINGERPRINT_TEXT];

  cc_fingerprint_write (&e->fingerprint, text);
  json_builder_begin_object (b);
  json_builder_set_member_name (b, "fingerprint");
  json_builder_add_string_value (b, text);
  json_builder_set_member_name (b, "pool");
  json_builder_add_string_value (b, e->pool);
  json_builder_set_member_name (b, "crashes");
  json_builder_begin_array (b);
  for (guint i = 0; i < e->crashes->len; i++)
    json_builder_add_string_value (b, e->crashes->pdata[i]);
  json_builder_end_array (b);
  json_builder_set_member_name (b, "since_ms");
  json_builder_add_int_value (b, e->since / CC_MS);
  json_builder_set_member_name (b, "trials");
  json_builder_add_int_value (b, e->trials);
  json_builder_set_member_name (b, "trial_at_ms");
  json_builder_add_int_value (b, e->trial_at / CC_MS);
  json_builder_set_member_name (b, "probation");
  json_builder_add_boolean_value (b, e->probation);
  json_builder_end_object (b);
}

/* Returns the value of the row for Q, to be freed by the caller. */
char *
cc_quarantine_encode (const CcQuarantine *q)
{
  g_autoptr (JsonBuilder) b = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;
  GHashTableIter i;
  gpointer value;

  json_builder_begin_object (b);
  json_builder_set_member_name (b, "requests");
  json_builder_begin_array (b);
  g_hash_table_iter_init (&i, q->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    build_entry (b, value);
  json_builder_end_array (b);
  json_builder_end_object (b);
  root = json_builder_get_root (b);
  return json_to_string (root, FALSE);
}

/* Latest time in a row, ms since 1970: the year 2262, of which us fit gint64.
 */
#define TIME_MAX_MS (G_MAXINT64 / CC_MS)

/* Returns the crashes of the entry O of a row, an array of texts that belong to
 * O; NULL if it can't be read. */
static GPtrArray *
read_crashes (JsonObject *o)
{
  JsonArray *a = cc_json_array_member (o, "crashes");
  g_autoptr (GPtrArray) crashes = g_ptr_array_new ();

  for (guint i = 0; a != NULL && i < json_array_get_length (a); i++)
    {
      const char *crash = cc_json_text_element (a, i, NULL);

      if (crash == NULL)
        return NULL;
      g_ptr_array_add (crashes, (gpointer) crash);
    }
  return a != NULL ? g_steal_pointer (&crashes) : NULL;
}

/* Returns the entry of F, which is added if needed. */
static CcQuarantineEntry *
find_or_add (CcQuarantine *q, const CcFingerprint *f, const char *pool)
{
  CcQuarantineEntry *e = g_hash_table_lookup (q->entries, f);

  if (e != NULL)
    return e;
  evict_oldest (q);
  e = entry_new (f, pool);
  g_hash_table_insert (q->entries, &e->fingerprint, e);
  return e;
}

/* Whether E, which the row is not known to have, is later than an entry of the
 * row with TRIALS and CRASHES: the row may be of an older copy. */
static gboolean
is_later (const CcQuarantineEntry *e, gint64 trials, guint crashes)
{
  return !e->in_row &&
         (e->trials > trials ||
          (e->trials == trials && (e->probation || e->crashes->len > crashes)));
}

/* Sets the state of E from the entry O of a row with CRASHES.  A crash that the
 * row does not have yet ends a probation. */
static void
read_state (CcQuarantineEntry *e, JsonObject *o, guint crashes)
{
  e->since = cc_json_whole_member (o, "since_ms", 0, TIME_MAX_MS, 0) * CC_MS;
  e->trials = (guint) cc_json_whole_member (o, "trials", 0, G_MAXINT, 0);
  e->trial_at =
      cc_json_whole_member (o, "trial_at_ms", 0, TIME_MAX_MS, 0) * CC_MS;
  e->probation =
      e->crashes->len <= crashes && cc_json_flag_member (o, "probation");
}

/* Applies the entry O of a row.  Returns FALSE if it can't be read. */
static gboolean
apply_entry (CcQuarantine *q, JsonObject *o)
{
  const char *text = cc_json_text_member (o, "fingerprint", "");
  gint64 trials = cc_json_whole_member (o, "trials", G_MININT64, G_MAXINT, 0);
  g_autoptr (GPtrArray) crashes = read_crashes (o);
  CcFingerprint f;
  CcQuarantineEntry *e;
  gboolean later;

  if (!cc_fingerprint_read (text, &f) || trials < 0 || crashes == NULL)
    return FALSE;
  e = find_or_add (q, &f, cc_json_text_member (o, "pool", ""));
  later = is_later (e, trials, crashes->len);
  for (guint i = 0; i < crashes->len; i++)
    add_crash (e, crashes->pdata[i]);
  if (!later)
    read_state (e, o, crashes->len);
  e->in_row = TRUE;
  e->absent = FALSE;
  q->unwritten |= later || e->crashes->len > crashes->len;
  return TRUE;
}

/* Removes the entries that another gateway has removed from the row, those
 * that are explained, and those that are too old at WALL, us. */
static void
remove_obsolete (CcQuarantine *q, gint64 wall)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, q->entries);
  while (g_hash_table_iter_next (&i, NULL, &value))
    {
      const CcQuarantineEntry *e = value;

      if (e->absent || wall - e->trial_at >= ENTRY_KEPT)
        g_hash_table_iter_remove (&i);
      else
        {
          q->unwritten |= !e->in_row;
          g_ptr_array_add (keys,
                           g_memdup2 (&e->fingerprint, sizeof e->fingerprint));
        }
    }
  for (guint k = 0; k < keys->len; k++)
    {
      const CcQuarantineEntry *e =
          g_hash_table_lookup (q->entries, keys->pdata[k]);

      q->unwritten |= e != NULL && release_explained (q, e);
    }
}

/* Applies VALUE, the contents of the row, at WALL, us.  Entries that are not
 * written yet are kept.  Returns FALSE if the row or an entry can't be read;
 * the others are applied. */
gboolean
cc_quarantine_apply (CcQuarantine *q, const char *value, gint64 wall)
{
  g_autoptr (JsonNode) root = cc_json_parse (value, -1, NULL);
  JsonArray *a = cc_json_array_member (cc_json_object (root), "requests");
  gboolean valid = TRUE;
  GHashTableIter i;
  gpointer entry;

  if (a == NULL)
    return FALSE;
  g_hash_table_iter_init (&i, q->entries);
  while (g_hash_table_iter_next (&i, NULL, &entry))
    ((CcQuarantineEntry *) entry)->absent =
        ((CcQuarantineEntry *) entry)->in_row;
  q->unwritten = FALSE;
  for (guint n = 0; n < json_array_get_length (a); n++)
    {
      JsonNode *o = json_array_get_element (a, n);

      valid &= JSON_NODE_HOLDS_OBJECT (o) &&
               apply_entry (q, json_node_get_object (o));
    }
  remove_obsolete (q, wall);
  return valid;
}
