/* Guards against a fleet that is derived wrongly from its members' rows: the
 * relays, the peer that a process follows or sends its load reports to, and the
 * peer that it polls when the table service is unreachable. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "clock.h"
#include "members.h"

#define OWN 4 /* index of this process among the members */
#define NONE 99

typedef struct
{
  const char *name;
  guint members;       /* alternately in zones a and b */
  gboolean listed;     /* this process has a row */
  gboolean damaged;    /* the row of member 1 can't be parsed */
  guint strong;        /* members from this one on have more cores */
  guint granter;       /* index of the granter; NONE: there is none yet */
  gboolean followed;   /* peers follow this process */
  const char *follows; /* address of the followed peer; NULL: none */
  const char *reports; /* address to which it reports load; NULL: none */
  gboolean relays;     /* it is a relay, which adds up its followers' reports */
  guint distance;
  guint rank;
} Case;

static const Case cases[] = {
  { "none known", 0, FALSE, FALSE, NONE, NONE, FALSE, NULL, NULL, FALSE, 1, 0 },
  { "there is no granter yet", 11, TRUE, FALSE, NONE, NONE, FALSE, NULL, NULL,
    FALSE, 1, OWN },
  { "a small fleet follows the granter", 11, TRUE, FALSE, NONE, 7, FALSE,
    "10.0.0.7:1", "10.0.0.7:1", FALSE, 1, OWN },
  { "the granter follows no peer", 11, TRUE, FALSE, NONE, OWN, TRUE, NULL,
    "10.0.0.4:1", FALSE, 0, OWN },
  { "the granter of a large fleet is no relay", 30, TRUE, FALSE, NONE, OWN,
    TRUE, NULL, "10.0.0.4:1", FALSE, 0, OWN },
  { "a relay of a large fleet follows the granter", 30, TRUE, FALSE, NONE, 7,
    TRUE, "10.0.0.7:1", "10.0.0.7:1", TRUE, 1, OWN },
  { "the strongest are the relays", 30, TRUE, FALSE, 10, 7, FALSE, "10.0.0.1",
    "10.0.0.1", FALSE, 2, 20 + OWN },
  { "the strongest come first", 30, TRUE, FALSE, OWN, 7, TRUE, "10.0.0.7:1",
    "10.0.0.7:1", TRUE, 1, 0 },
  { "one that is not listed yet follows a relay of its zone", 30, FALSE, FALSE,
    NONE, 7, FALSE, "10.0.0.", "10.0.0.", FALSE, 2, 29 },
  { "a damaged row is skipped", 30, TRUE, TRUE, NONE, 7, TRUE, "10.0.0.7:1",
    "10.0.0.7:1", TRUE, 1, OWN },
};

static void
put (CcView *v, guint i, guint strong, gboolean damaged)
{
  g_autofree char *key = g_strdup_printf ("member/i%03u", i);
  g_autofree char *value = g_strdup_printf (
      "{\"address\":\"10.0.0.%u:1\",\"zone\":\"%s\",\"cores\":%s}", i,
      i % 2 ? "b" : "a", i >= strong ? "0.5" : "0.1");

  cc_view_put (v, key, i + 1, damaged ? "[]" : value);
}

static void
the_fleet_is_derived_from_its_rows (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const Case *c = &cases[i];
      CcMembersSetup setup = { .instance = "i004",
                               .address = "10.0.0.4:1",
                               .zone = "a",
                               .seeds = g_strsplit ("10.9.9.9:1", ",", -1) };
      CcMembers *m = cc_members_new (&setup);
      g_autofree char *follows = NULL;
      g_autofree char *reports = NULL;
      g_autofree char *granter = g_strdup_printf ("10.0.0.%u:1", c->granter);
      g_autofree char *any = NULL;
      CcView v;

      cc_view_init (&v);
      for (guint k = 0; k < c->members; k++)
        if (k != OWN || c->listed)
          put (&v, k, c->strong, k == 1 && c->damaged);
      if (c->granter != NONE)
        cc_view_put (&v, "granter", 1000, granter);
      cc_members_update (m, &v);
      if (cc_members_is_followed (m) != c->followed)
        fail_msg ("%s: followed %d", c->name, cc_members_is_followed (m));
      assert_int_equal (cc_members_rank (m), c->rank);
      assert_int_equal (cc_members_reads_all (m), c->followed || c->rank < 3);
      follows = cc_members_peer (m, CC_PEER_FOLLOWED);
      reports = cc_members_report_address (m);
      any = cc_members_peer (m, CC_PEER_ANY);
      assert_int_equal (cc_members_distance (m), c->distance);
      if ((follows != NULL) != (c->follows != NULL) ||
          (follows != NULL && !g_str_has_prefix (follows, c->follows)))
        fail_msg ("%s: follows %s", c->name, follows);
      if ((reports != NULL) != (c->reports != NULL) ||
          (reports != NULL && !g_str_has_prefix (reports, c->reports)))
        fail_msg ("%s: reports to %s", c->name, reports);
      assert_int_equal (cc_members_is_relay (m), c->relays);
      assert_string_not_equal (any, "10.0.0.4:1");
      if (c->members == 0)
        assert_string_equal (any, "10.9.9.9:1");
      cc_view_clear (&v);
      cc_members_free (m);
    }
}

/* Load: ranges of keys change continually.  Guards against each change making
 * every process parse all member rows again. */
static void
only_rows_of_members_are_read (void **state)
{
  static const struct
  {
    const char *key;
    gboolean read;
  } rows[] = { { "member/i001", TRUE },
               { CC_GRANTER_KEY, TRUE },
               { "range/p/00000", FALSE },
               { "members", FALSE } };

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      if (cc_members_reads_row (rows[i].key) != rows[i].read)
        fail_msg ("%s", rows[i].key);
      /* All of them lie in the key range that a process reads first. */
      assert_true (!rows[i].read ||
                   (strcmp (rows[i].key, CC_MEMBERS_FROM) >= 0 &&
                    strcmp (rows[i].key, CC_MEMBERS_TO) < 0));
    }
}

typedef struct
{
  const char *name;
  const char *row; /* of this process when it starts; NULL: none */
  guint writes;
} Join;

#define OWN_ROW "{\"address\":\"10.0.0.4:1\",\"zone\":\"a\",\"cores\":0.100}"

static const Join joins[] = {
  { "it is new", NULL, 1 },
  { "it is restarted", OWN_ROW, 0 },
  { "its address has changed",
    "{\"address\":\"10.0.0.5:1\",\"zone\":\"a\",\"cores\":0.100}", 1 },
};

static guint writes;

CcTableChange *
cc_table_change_new (void)
{
  return NULL;
}

void
cc_table_put (CcTableChange *c, CcTableName name, const char *key,
              const char *value)
{
  (void) c;
  assert_int_equal (name, CC_TABLE_STATE);
  assert_string_equal (key, "member/i004");
  assert_string_equal (value, OWN_ROW);
}

void
cc_table_commit (CcTable *t, CcTableChange *c, CcTableChanged done,
                 gpointer data)
{
  (void) t, (void) c;
  writes++;
  done (CC_OK, 2, data);
}

/* Load: a whole fleet is restarted.  Guards against each process writing a row
 * that exists already. */
static void
a_restarted_process_writes_no_row (void **state)
{
  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (joins); i++)
    {
      CcMembersSetup setup = { .instance = "i004",
                               .address = "10.0.0.4:1",
                               .zone = "a",
                               .cores = 0.1,
                               .seeds = g_strsplit ("", ",", -1) };
      CcMembers *m = cc_members_new (&setup);
      CcView v;

      writes = 0;
      cc_view_init (&v);
      if (joins[i].row != NULL)
        cc_view_put (&v, "member/i004", 1, joins[i].row);
      for (guint k = 0; k < 3; k++)
        cc_members_join (m, &v);
      if (writes != joins[i].writes)
        fail_msg ("%s: %u writes", joins[i].name, writes);
      cc_view_clear (&v);
      cc_members_free (m);
    }
}

/* Failure: a zone is cut off, and the granter with it.  Guards against
 * candidates for its lease, the first few in the order, that are all in that
 * zone, whatever their names and cores. */
static void
the_first_of_the_order_are_of_different_zones (void **state)
{
  static const char *const zones[] = { "a", "a", "a", "b", "b", "c" };
  guint ranks[G_N_ELEMENTS (zones)];

  (void) state;
  for (guint self = 0; self < G_N_ELEMENTS (zones); self++)
    {
      g_autofree char *instance = g_strdup_printf ("i%u", self);
      CcMembersSetup setup = { .instance = instance,
                               .address = "10.0.0.9:1",
                               .zone = zones[self],
                               .seeds = g_strsplit ("", ",", -1) };
      CcMembers *m = cc_members_new (&setup);
      CcView v;

      cc_view_init (&v);
      for (guint i = 0; i < G_N_ELEMENTS (zones); i++)
        {
          g_autofree char *key = g_strdup_printf ("member/i%u", i);
          g_autofree char *value = g_strdup_printf (
              "{\"address\":\"10.0.0.%u:1\",\"zone\":\"%s\",\"cores\":%s}", i,
              zones[i], i < 3 ? "0.5" : "0.1");

          cc_view_put (&v, key, i + 1, value);
        }
      cc_members_update (m, &v);
      ranks[self] = cc_members_rank (m);
      cc_view_clear (&v);
      cc_members_free (m);
    }
  assert_int_equal (ranks[0], 0);
  assert_true (ranks[3] < 3 && ranks[5] < 3);
  assert_int_equal (ranks[1], 3);
}

/* Counts in DRAWN how often in DRAWS_MADE draws M follows member 0, 1 and 2. */
#define DRAWS_MADE 300

static void
draw (const CcMembers *m, guint *drawn)
{
  memset (drawn, 0, 3 * sizeof *drawn);
  for (guint i = 0; i < DRAWS_MADE; i++)
    {
      g_autofree char *address = cc_members_peer (m, CC_PEER_FOLLOWED);

      drawn[address[strlen ("10.0.0.")] - '0']++;
    }
}

/* Failure: a relay is removed permanently and its row stays.  Guards against
 * sending it one request in three, and against following no peer when no relay
 * answers. */
static void
a_relay_that_does_not_answer_is_skipped (void **state)
{
  CcMembersSetup setup = { .instance = "i090",
                           .address = "10.0.0.90:1",
                           .zone = "a",
                           .seeds = g_strsplit ("", ",", -1) };
  CcMembers *m = cc_members_new (&setup);
  guint drawn[3];
  CcView v;

  (void) state;
  cc_clock_pause (0, 0);
  cc_view_init (&v);
  for (guint i = 0; i < 30; i++)
    {
      g_autofree char *key = g_strdup_printf ("member/i%03u", i);
      g_autofree char *value = g_strdup_printf (
          "{\"address\":\"10.0.0.%u:1\",\"zone\":\"a\",\"cores\":1}", i);

      cc_view_put (&v, key, i + 1, value);
    }
  cc_view_put (&v, "granter", 1000, "10.0.0.7:1");
  cc_members_update (m, &v);
  draw (m, drawn);
  assert_true (drawn[0] > 0 && drawn[1] > 0 && drawn[2] > 0);
  for (guint i = 0; i < 5; i++)
    {
      cc_members_peer_result (m, "10.0.0.1:1", FALSE);
      draw (m, drawn);
      assert_true (drawn[0] > 0 && drawn[1] == 0 && drawn[2] > 0);
      cc_clock_advance ((CC_SECOND << i) - 1);
      draw (m, drawn);
      assert_int_equal (drawn[1], 0);
      cc_clock_advance (1);
      draw (m, drawn);
      assert_true (drawn[1] > 0);
    }
  cc_members_peer_result (m, "10.0.0.1:1", FALSE);
  cc_members_peer_result (m, "10.0.0.1:1", TRUE);
  draw (m, drawn);
  assert_true (drawn[1] > 0);
  for (guint i = 0; i < 3; i++)
    {
      g_autofree char *address = g_strdup_printf ("10.0.0.%u:1", i);

      cc_members_peer_result (m, address, FALSE);
    }
  draw (m, drawn);
  assert_int_equal (drawn[0] + drawn[1] + drawn[2], DRAWS_MADE);
  cc_view_clear (&v);
  cc_members_free (m);
  cc_clock_resume ();
}

#define UNANSWERED_MAX 3

typedef struct
{
  const char *name;
  guint members; /* of the fleet */
  guint in_zone; /* this many, from the first, are in this process's zone */
  guint strong;  /* this many, from the first, have more cores */
  guint granter;
  guint unanswered[UNANSWERED_MAX +
                   1];  /* members that did not answer; ends with NONE */
  const char *followed; /* expected members, in order */
} RelayCase;

static const RelayCase relay_cases[] = {
  { "the granter is in another zone", 30, 20, 3, 25, { NONE }, "0 1 2" },
  { "the granter is weak", 30, 20, 3, 7, { NONE }, "0 1 2" },
  { "two strong members beside the granter", 30, 20, 3, 1, { NONE }, "0 2" },
  { "three strong members beside it", 30, 20, 4, 0, { NONE }, "1 2 3" },
  { "one strong member beside it", 30, 20, 2, 0, { NONE }, "1 2 3" },
  { "none beside it", 30, 20, 1, 0, { NONE }, "1 2 3" },
  { "all have the same cores", 30, 20, 0, 0, { NONE }, "1 2 3" },
  { "one weak member beside it", 30, 2, 1, 0, { NONE }, "1" },
  { "no member beside it", 30, 1, 1, 0, { NONE }, "0" },
  { "a weaker granter in a zone of two, and the other does not answer",
    30,
    2,
    1,
    1,
    { 0, NONE },
    "1" },
  { "no third relay while two serve all", 90, 81, 3, 85, { NONE }, "0 1 2" },
  { "as many as two can serve, beside the granter",
    90,
    83,
    3,
    1,
    { NONE },
    "0 2" },
  { "one member more, for which a weak relay is added",
    90,
    84,
    3,
    1,
    { NONE },
    "0 2 3" },
  { "a zone of 200", 900, 200, 3, 300, { NONE }, "0 1 2 3 4" },
  { "a zone of 200 with the granter", 900, 200, 3, 0, { NONE }, "1 2 3 4 5" },
  { "a small fleet", 11, 11, 3, 1, { NONE }, "1" },
  { "one relay does not answer", 30, 20, 3, 1, { 0, NONE }, "2" },
  { "neither relay answers, and the granter is left",
    30,
    20,
    3,
    1,
    { 0, 2, NONE },
    "1" },
  { "the granter does not answer either",
    30,
    20,
    3,
    1,
    { 0, 1, 2, NONE },
    "0 2" },
  { "no relay answers, and the granter is weak",
    30,
    20,
    3,
    7,
    { 0, 1, 2, NONE },
    "0 1 2" },
  { "no relay answers, and the granter is in another zone",
    30,
    20,
    3,
    25,
    { 0, 1, 2, NONE },
    "0 1 2" },
};

static void
put_fleet (CcView *v, const RelayCase *c)
{
  g_autofree char *granter = g_strdup_printf ("10.0.0.%u:1", c->granter);

  for (guint i = 0; i < c->members; i++)
    {
      g_autofree char *key = g_strdup_printf ("member/i%03u", i);
      g_autofree char *value = g_strdup_printf (
          "{\"address\":\"10.0.0.%u:1\",\"zone\":\"%s\",\"cores\":%s}", i,
          i < c->in_zone ? "a" : "b", i < c->strong ? "0.5" : "0.1");

      cc_view_put (v, key, i + 1, value);
    }
  cc_view_put (v, CC_GRANTER_KEY, 1000 + c->granter, granter);
}

/* Returns the members that M follows in DRAWS_MADE draws, in order. */
static char *
drawn_members (const CcMembers *m)
{
  gboolean drawn[NONE] = { FALSE };
  GString *all = g_string_new (NULL);

  for (guint i = 0; i < DRAWS_MADE; i++)
    {
      g_autofree char *address = cc_members_peer (m, CC_PEER_FOLLOWED);

      drawn[g_ascii_strtoull (address + strlen ("10.0.0."), NULL, 10)] = TRUE;
    }
  for (guint i = 0; i < NONE; i++)
    if (drawn[i])
      g_string_append_printf (all, all->len > 0 ? " %u" : "%u", i);
  return g_string_free (all, FALSE);
}

static void
check_relays (CcMembers *m, const RelayCase *c)
{
  g_autofree char *followed = NULL;
  CcView v;

  cc_view_init (&v);
  put_fleet (&v, c);
  cc_members_update (m, &v);
  for (guint i = 0; c->unanswered[i] != NONE; i++)
    {
      g_autofree char *address =
          g_strdup_printf ("10.0.0.%u:1", c->unanswered[i]);

      cc_members_peer_result (m, address, FALSE);
    }
  followed = drawn_members (m);
  if (!g_str_equal (followed, c->followed))
    fail_msg ("%s: follows %s", c->name, followed);
  cc_view_clear (&v);
}

/* Load: a fleet of hundreds.  Guards against a granter that is a relay of its
 * zone as well, and against a zone that lacks relays because the granter is
 * excluded. */
static void
the_granter_does_not_relay (void **state)
{
  (void) state;
  cc_clock_pause (0, 0);
  for (guint i = 0; i < G_N_ELEMENTS (relay_cases); i++)
    {
      CcMembersSetup setup = { .instance = "i090",
                               .address = "10.0.0.90:1",
                               .zone = "a",
                               .seeds = g_strsplit ("", ",", -1) };
      CcMembers *m = cc_members_new (&setup);

      check_relays (m, &relay_cases[i]);
      cc_members_free (m);
    }
  cc_clock_resume ();
}

/* Failure: the granter is lost and another process takes over.  Guards against
 * relays that are still chosen for the previous granter. */
static void
relays_change_with_the_granter (void **state)
{
  static const RelayCase changes[] = {
    { "first", 30, 20, 3, 0, { NONE }, "1 2" },
    { "second", 30, 20, 3, 1, { NONE }, "0 2" },
    { "of another zone", 30, 20, 3, 25, { NONE }, "0 1 2" },
  };
  CcMembersSetup setup = { .instance = "i090",
                           .address = "10.0.0.90:1",
                           .zone = "a",
                           .seeds = g_strsplit ("", ",", -1) };
  CcMembers *m = cc_members_new (&setup);

  (void) state;
  for (guint i = 0; i < G_N_ELEMENTS (changes); i++)
    check_relays (m, &changes[i]);
  cc_members_free (m);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_fleet_is_derived_from_its_rows),
    cmocka_unit_test (a_restarted_process_writes_no_row),
    cmocka_unit_test (only_rows_of_members_are_read),
    cmocka_unit_test (the_first_of_the_order_are_of_different_zones),
    cmocka_unit_test (a_relay_that_does_not_answer_is_skipped),
    cmocka_unit_test (the_granter_does_not_relay),
    cmocka_unit_test (relays_change_with_the_granter),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
