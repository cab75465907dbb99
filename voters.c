/* Chooses the dispatchers that vote (promise.h), without network or clock.
 *
 * The set changes by one voter at a time.  Any majority of a set shares a voter
 * with any majority of the next set, but not with one of the set after that;
 * a promise and a release could then both get a majority.  So the assigner
 * makes a change only when every dispatcher has read the previous one, which
 * each records in its lease row, and a takeover checks the version of the
 * voters' row.
 *
 * Voters are spread over the zones, so that a majority remains when a zone is
 * lost.
 */
#include "voters.h"

#include <json-glib/json-glib.h>

#include "json_tree.h"
#include "promise.h"

/* Frees a CcVoterInfo. */
static void
voter_free (gpointer data)
{
  CcVoterInfo *v = data;

  g_free (v->address);
  g_free (v->zone);
  g_free (v);
}

/* Appends a voter to VOTERS, with copies of the strings. */
static void
add_voter (GPtrArray *voters, const char *address, const char *zone)
{
  CcVoterInfo *v = g_new0 (CcVoterInfo, 1);

  v->address = g_strdup (address);
  v->zone = g_strdup (zone);
  g_ptr_array_add (voters, v);
}

/* Parses the value of the voters' row into an array of CcVoterInfo, which is
 * empty if JSON is NULL or not an array.  The caller unrefs it. */
GPtrArray *
cc_voters_parse (const char *json)
{
  GPtrArray *voters = g_ptr_array_new_with_free_func (voter_free);
  g_autoptr (JsonNode) root =
      json != NULL ? cc_json_parse (json, -1, NULL) : NULL;
  JsonArray *list = cc_json_array (root);

  for (guint i = 0; list != NULL && i < json_array_get_length (list); i++)
    {
      JsonArray *one = cc_json_array (json_array_get_element (list, i));

      if (one != NULL)
        add_voter (voters, cc_json_text_element (one, 0, ""),
                   cc_json_text_element (one, 1, ""));
    }
  return voters;
}

/* Formats VOTERS as the value of the voters' row.  The caller frees it. */
char *
cc_voters_print (const GPtrArray *voters)
{
  g_autoptr (JsonBuilder) b = json_builder_new ();
  g_autoptr (JsonNode) root = NULL;

  json_builder_begin_array (b);
  for (guint i = 0; i < voters->len; i++)
    {
      const CcVoterInfo *v = voters->pdata[i];

      json_builder_begin_array (b);
      json_builder_add_string_value (b, v->address);
      json_builder_add_string_value (b, v->zone);
      json_builder_end_array (b);
    }
  json_builder_end_array (b);
  root = json_builder_get_root (b);
  return json_to_string (root, FALSE);
}

/* Whether VOTERS contains the one with ADDRESS. */
gboolean
cc_voters_contain (const GPtrArray *voters, const char *address)
{
  for (guint i = 0; i < voters->len; i++)
    if (g_str_equal (((CcVoterInfo *) voters->pdata[i])->address, address))
      return TRUE;
  return FALSE;
}

/* How many of VOTERS are in ZONE. */
static guint
count_in_zone (const GPtrArray *voters, const char *zone)
{
  guint n = 0;

  for (guint i = 0; i < voters->len; i++)
    n += g_str_equal (((CcVoterInfo *) voters->pdata[i])->zone, zone);
  return n;
}

/* The member that is not a voter and whose zone has the fewest voters; NULL if
 * all members are voters. */
static const CcVoterInfo *
next_voter (const GPtrArray *voters, const GPtrArray *members)
{
  const CcVoterInfo *best = NULL;

  for (guint i = 0; i < members->len; i++)
    {
      const CcVoterInfo *m = members->pdata[i];

      if (!cc_voters_contain (voters, m->address) &&
          (best == NULL || count_in_zone (voters, m->zone) <
                               count_in_zone (voters, best->zone)))
        best = m;
    }
  return best;
}

/* Records for each voter whether, and since when, it has no member row. */
static void
update_missing (GPtrArray *voters, const GPtrArray *members, gint64 now)
{
  for (guint i = 0; i < voters->len; i++)
    {
      CcVoterInfo *v = voters->pdata[i];

      if (cc_voters_contain (members, v->address))
        v->missing_since = 0;
      else if (v->missing_since == 0)
        v->missing_since = now;
    }
}

/* Removes the first voter that has had no member row for CC_VOTER_MISSING_MAX.
 * Returns whether there was one. */
static gboolean
remove_missing (GPtrArray *voters, gint64 now)
{
  for (guint i = 0; i < voters->len; i++)
    {
      const CcVoterInfo *v = voters->pdata[i];

      if (v->missing_since == 0 ||
          now < v->missing_since + CC_VOTER_MISSING_MAX)
        continue;
      g_ptr_array_remove_index (voters, i);
      return TRUE;
    }
  return FALSE;
}

/* Adds the next voter, unless all members vote or CC_VOTERS_MAX is reached.
 * Returns whether it did. */
static gboolean
add_one (GPtrArray *voters, const GPtrArray *members)
{
  const CcVoterInfo *next = next_voter (voters, members);

  if (next == NULL || voters->len >= CC_VOTERS_MAX)
    return FALSE;
  add_voter (voters, next->address, next->zone);
  return TRUE;
}

/* Adds one voter or removes one that has no member row, or chooses the first
 * CC_VOTERS_MIN if there are none.  MEMBERS (of CcVoterInfo) are the registered
 * dispatchers at NOW.  Returns whether VOTERS changed.  A missing voter is
 * removed only if there are more than CC_VOTERS_MIN, so that its replacement
 * is added first. */
gboolean
cc_voters_update (GPtrArray *voters, const GPtrArray *members, gint64 now)
{
  update_missing (voters, members, now);
  if (voters->len == 0)
    {
      if (members->len < CC_VOTERS_MIN)
        return FALSE;
      while (voters->len < CC_VOTERS_MIN)
        add_one (voters, members);
      return TRUE;
    }
  if (add_one (voters, members))
    return TRUE;
  return voters->len > CC_VOTERS_MIN && remove_missing (voters, now);
}
