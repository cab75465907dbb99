/* Load generator: sends open-loop Poisson arrivals by a deployment's request
 * patterns, spread over the entries by a balancer, and runs the audit at the
 * end.  Arrivals do not wait for answers, so that a slow router does not reduce
 * the load on itself. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "admin.h"
#include "balancer.h"
#include "clock.h"
#include "document.h"
#include "http_link.h"
#include "metrics.h"
#include "records.h"
#include "settings.h"

#define SETTLE_MS 1500 /* after the last answer, for servers to finish */

/* When a second request with the same Idempotency-Key is sent. */
typedef enum
{
  DUPLICATE_DURING, /* while the first is in flight */
  DUPLICATE_AFTER,  /* right after its answer */
  DUPLICATE_LATE,   /* seconds after it, so that a fault can occur in between */
  DUPLICATE_KINDS
} DuplicateKind;

#define DUPLICATE_DURING_MS 3
#define DUPLICATE_AFTER_MS 20
#define DUPLICATE_LATE_MIN_MS 1000
#define DUPLICATE_LATE_MAX_MS 6000

typedef struct
{
  const CcClass *class;
  double rate; /* requests a second */
  char *method;
  char *path;
  char *key;
  guint keys;
  guint tenants;
  guint body; /* bytes */
} Pattern;

typedef struct
{
  const CcClass *class;
  guint asked;
  guint told[3];
  guint in_target;
  CcHistogram latency;           /* of run and unknown, us */
  CcHistogram refused;           /* of not-run, us */
  GHashTable *unavailable_since; /* by key: time of its first failure, us */
  gint64 longest_unavailable;    /* of a key, us */
} Tally;

/* The timeouts of a request are longer than those of any class; they end a run
 * in which an entry does not respond. */
#define CONNECT_WITHIN (4 * CC_SECOND)
#define ANSWER_WITHIN (10 * CC_SECOND)
#define IDLE_MAX (10 * CC_SECOND) /* of a connection */

/* Requests in flight; further arrivals are skipped.  A run in which the
 * deployment keeps up has a few tens. */
#define PENDING_MAX 1000

typedef struct
{
  CcDocument *document;
  GPtrArray *patterns;
  GPtrArray *tallies;
  GPtrArray *told;
  Balancer *balancer;
  SoupSession *session; /* of the balancer */
  CcHttp *http;
  GRand *rand;
  GMainLoop *loop;
  gint64 until;
  guint pending;
  guint skipped; /* arrivals beyond PENDING_MAX */
  guint repeats;
  gboolean ended;
  double scale;
  guint duplicate_percent; /* of once-only requests */
  guint duplicate_outcomes[DUPLICATE_KINDS][3];
  gboolean no_unknown; /* fail if an answer is unknown */
} Load;

typedef struct
{
  Load *load;
  CallerOutcomes *told;
  Tally *tally;
  const Pattern *pattern;
  char *key;
  char *url_path;
  gint64 asked;
  guint body_seed;
  guint tries;
  const char *entry; /* of the last attempt */
  gint64 sent;       /* last attempt, wall clock, us */
  gboolean is_duplicate;
  DuplicateKind kind; /* of a duplicate */
} Call;

/* Returns a UUIDv7 with random bits from RAND, to be freed. */
static char *
uuid_v7 (GRand *rand)
{
  guint64 ms = (guint64) (cc_clock_wall () / CC_MS);
  guint32 random[4];

  for (guint i = 0; i < G_N_ELEMENTS (random); i++)
    random[i] = g_rand_int (rand);
  return g_strdup_printf ("%08x-%04x-7%03x-%04x-%08x%04x", (guint) (ms >> 16),
                          (guint) (ms & 0xffff), random[0] & 0xfff,
                          0x8000 | (random[1] & 0x3fff), random[2],
                          random[3] & 0xffff);
}

static GBytes *
make_body (const Call *a)
{
  guint8 *data = g_malloc (a->pattern->body);

  for (guint i = 0; i < a->pattern->body; i++)
    data[i] = (guint8) (a->body_seed + i * 31);
  return g_bytes_new_take (data, a->pattern->body);
}

static gboolean
body_matches (const Call *a, GBytes *got)
{
  g_autoptr (GBytes) sent = make_body (a);

  return g_bytes_equal (sent, got);
}

/* Returns the outcome that R carries; unknown without an answer. */
static CcOutcome
outcome_of (const CcHttpResult *r)
{
  const char *text =
      r->end == CC_HTTP_ANSWERED ? cc_http_header (r, CC_HDR_OUTCOME) : NULL;

  if (text == NULL)
    return CC_OUTCOME_UNKNOWN;
  if (g_str_equal (text, "run"))
    return CC_OUTCOME_RUN;
  return g_str_equal (text, "not-run") ? CC_OUTCOME_NOT_RUN
                                       : CC_OUTCOME_UNKNOWN;
}

/* Updates how long A's key has been unavailable: from the first request that
 * did not run to the next that did. */
static void
update_availability (Call *a, CcOutcome outcome, gint64 now)
{
  gint64 *since = g_hash_table_lookup (a->tally->unavailable_since, a->key);

  if (outcome == CC_OUTCOME_RUN && since != NULL)
    {
      a->tally->longest_unavailable =
          MAX (a->tally->longest_unavailable, now - *since);
      g_hash_table_remove (a->tally->unavailable_since, a->key);
    }
  else if (outcome != CC_OUTCOME_RUN && since == NULL)
    g_hash_table_insert (a->tally->unavailable_since, g_strdup (a->key),
                         g_memdup2 (&a->asked, sizeof a->asked));
}

static void send_call (Call *a);

static gboolean
on_send_due (gpointer data)
{
  send_call (data);
  return G_SOURCE_REMOVE;
}

/* Sends A's request again after MS, through another entry. */
static void
schedule_duplicate (const Call *a, DuplicateKind kind, guint ms)
{
  Call *duplicate = g_memdup2 (a, sizeof *a);

  duplicate->key = g_strdup (a->key);
  duplicate->url_path = g_strdup (a->url_path);
  duplicate->is_duplicate = TRUE;
  duplicate->kind = kind;
  a->load->pending++;
  g_timeout_add (ms, on_send_due, duplicate);
}

/* Schedules a duplicate after the answer to A, with the probability set. */
static void
schedule_duplicate_after (const Call *a)
{
  GRand *rand = a->load->rand;

  if (!a->told->once_only ||
      (guint) g_rand_int_range (rand, 0, 100) >= a->load->duplicate_percent)
    return;
  if (g_rand_boolean (rand))
    schedule_duplicate (a, DUPLICATE_AFTER, DUPLICATE_AFTER_MS);
  else
    schedule_duplicate (a, DUPLICATE_LATE,
                        (guint) g_rand_int_range (rand, DUPLICATE_LATE_MIN_MS,
                                                  DUPLICATE_LATE_MAX_MS));
}

static void
end_call (Call *a)
{
  Load *l = a->load;

  l->pending--;
  g_free (a->key);
  g_free (a->url_path);
  g_free (a);
  if (l->ended && l->pending == 0)
    g_main_loop_quit (l->loop);
}

static const char *
header_of (const CcHttpResult *r, const char *name)
{
  return r->end == CC_HTTP_ANSWERED ? cc_http_header (r, name) : NULL;
}

/* Records an answer that belongs to another request: its marker or body differs
 * from what A sent. */
static void
check_answer (Call *a, const CcHttpResult *r)
{
  const char *marker = header_of (r, "X-Marker");
  const char *reason = header_of (r, CC_HDR_REASON);

  if (marker == NULL && reason != NULL && g_str_equal (reason, "repeat"))
    return; /* a stored outcome has no body */
  if (marker == NULL || !g_str_equal (marker, a->told->marker) ||
      !body_matches (a, r->body))
    a->told->crossed = TRUE;
}

/* Prints an unknown outcome in a run in which there must be none. */
static void
print_unknown (const Call *a, const CcHttpResult *r, gint64 now)
{
  const char *reason = header_of (r, CC_HDR_REASON);

  printf ("unknown: key %s, class %s, try %u, twin %d, by %s after "
          "%" G_GINT64_FORMAT " ms, status %u, reason \"%s\"\n",
          a->key, a->tally->class->name, a->tries,
          a->is_duplicate ? (int) a->kind : -1, a->entry,
          (now - a->asked) / CC_MS, r->end == CC_HTTP_ANSWERED ? r->status : 0,
          reason != NULL               ? reason
          : r->end != CC_HTTP_ANSWERED ? r->why
                                       : "");
}

/* Appends an answer to the history that the audit prints if it contradicts the
 * servers' records. */
static void
record_answer (const Call *a, const CcHttpResult *r, CcOutcome outcome)
{
  const char *reason = header_of (r, CC_HDR_REASON);
  gint64 now = cc_clock_wall ();

  g_string_append_printf (
      a->told->answers, "%stry %u twin %d by %s from %.3f to %.3f: %s %s",
      a->told->answers->len > 0 ? "; " : "", a->tries,
      a->is_duplicate ? (int) a->kind : -1, a->entry,
      (double) (a->sent % (86400 * CC_SECOND)) / 1e6,
      (double) (now % (86400 * CC_SECOND)) / 1e6, cc_outcome_name (outcome),
      reason != NULL ? reason : r->why);
}

/* Returns the delay before the next attempt that R asks for, 100 ms if none. */
static guint
retry_after (const CcHttpResult *r)
{
  const char *text = header_of (r, CC_HDR_RETRY_MS);

  return text != NULL ? (guint) atoi (text) : 100;
}

static void
end_duplicate (Call *a, CcOutcome outcome)
{
  a->load->duplicate_outcomes[a->kind][outcome]++;
  end_call (a);
}

/* Counts an outcome; sends the request again if it did not run and has attempts
 * left. */
static void
on_answer (const CcHttpResult *r, gpointer data)
{
  Call *a = data;
  CcOutcome outcome = outcome_of (r);
  gint64 now = cc_clock_now ();
  gboolean retries = outcome != CC_OUTCOME_RUN && a->tries < a->load->repeats;

  a->told->told[outcome]++;
  a->told->last = outcome;
  record_answer (a, r, outcome);
  if (a->load->no_unknown && outcome == CC_OUTCOME_UNKNOWN)
    print_unknown (a, r, now);
  if (outcome == CC_OUTCOME_RUN)
    check_answer (a, r);
  if (a->is_duplicate)
    {
      end_duplicate (a, outcome);
      return;
    }
  update_availability (a, outcome, now);
  if (retries)
    {
      g_timeout_add (retry_after (r), on_send_due, a);
      return;
    }
  a->tally->told[outcome]++;
  cc_histogram_add (outcome == CC_OUTCOME_NOT_RUN ? &a->tally->refused
                                                  : &a->tally->latency,
                    now - a->asked);
  if (outcome == CC_OUTCOME_RUN && now - a->asked <= a->tally->class->within)
    a->tally->in_target++;
  schedule_duplicate_after (a);
  end_call (a);
}

/* Returns the request line and headers of A, to be freed. */
static char *
head_of (const Call *a)
{
  GString *s = g_string_new (NULL);

  g_string_append_printf (s, "%s %s HTTP/1.1\r\nHost: %s\r\n",
                          a->pattern->method, a->url_path, a->entry);
  if (a->pattern->body > 0)
    g_string_append (s, "Content-Type: application/octet-stream\r\n");
  g_string_append_printf (
      s,
      CC_HDR_CLASS ": %s\r\n" CC_HDR_KEY ": %s\r\n" CC_HDR_TENANT
                   ": tenant-%d\r\nX-Marker: %s\r\n",
      a->pattern->class->name, a->key,
      g_rand_int_range (a->load->rand, 0, (gint32) a->pattern->tenants),
      a->told->marker);
  if (a->told->once_only)
    g_string_append_printf (s, CC_HDR_IDEMPOTENCY ": %s\r\n", a->told->marker);
  return g_string_free (s, FALSE);
}

/* No connection could be opened, as to an entry that has exited. */
static gboolean
on_not_connected (gpointer data)
{
  CcHttpResult r = { .end = CC_HTTP_UNSENT, .why = "no-connection" };

  on_answer (&r, data);
  return G_SOURCE_REMOVE;
}

/* Adds an audit entry for a request of CLASS. */
static CallerOutcomes *
add_told (Load *l, const CcClass *class)
{
  CallerOutcomes *t = g_new0 (CallerOutcomes, 1);

  t->marker = uuid_v7 (l->rand);
  t->once_only = class->once_only;
  t->answers = g_string_new (NULL);
  g_ptr_array_add (l->told, t);
  return t;
}

/* Sends the next attempt of A, to another entry than the last one. */
static void
send_call (Call *a)
{
  Load *l = a->load;
  g_autofree char *head = NULL;
  g_autoptr (GBytes) body = a->pattern->body > 0 ? make_body (a) : NULL;
  CcHttpRequest o = { .body = body,
                      .connect_timeout = CONNECT_WITHIN,
                      .answer_timeout = ANSWER_WITHIN,
                      .idle_max = a->pattern->body > 0 ? 0 : IDLE_MAX,
                      .closes = a->pattern->body > 0 };

  /* Without an idempotency key an attempt has no relation to the one before it
   * and gets its own audit entry. */
  if (a->tries > 0 && !a->told->once_only)
    a->told = add_told (l, a->pattern->class);
  a->tries++;
  a->sent = cc_clock_wall ();
  a->entry = balancer_pick (l->balancer, l->rand, a->entry);
  head = head_of (a);
  o.address = a->entry;
  o.head = head;
  if (cc_http_send (l->http, &o, on_answer, a) == NULL)
    g_idle_add (on_not_connected, a);
}

/* Returns the counts of CLASS. */
static Tally *
tally_of (Load *l, const CcClass *class)
{
  for (guint i = 0; i < l->tallies->len; i++)
    if (((Tally *) l->tallies->pdata[i])->class == class)
      return l->tallies->pdata[i];
  return NULL;
}

/* Draws the key of an arrival of P and sends its request, with the probability
 * set also a duplicate while it is in flight. */
static void
start_call (Load *l, const Pattern *p)
{
  Call *a = g_new0 (Call, 1);
  guint number = (guint) g_rand_int_range (l->rand, 0, (gint32) p->keys);
  g_auto (GStrv) key = g_strsplit (p->key, "%u", 2);
  g_auto (GStrv) path = g_strsplit (p->path, "%u", 2);
  g_autofree char *digits = g_strdup_printf ("%u", number);

  a->load = l;
  a->pattern = p;
  a->tally = tally_of (l, p->class);
  a->key = g_strjoinv (digits, key);
  a->url_path = g_strjoinv (digits, path);
  a->asked = cc_clock_now ();
  a->body_seed = g_rand_int (l->rand);
  a->told = add_told (l, p->class);
  a->tally->asked++;
  l->pending++;
  send_call (a);
  if (a->told->once_only &&
      (guint) g_rand_int_range (l->rand, 0, 100) < l->duplicate_percent)
    schedule_duplicate (a, DUPLICATE_DURING, DUPLICATE_DURING_MS);
}

typedef struct
{
  Load *load;
  const Pattern *pattern;
  gint64 next; /* arrival, us */
} Arrivals;

/* Sends the requests of one pattern that are due, with exponential gaps. */
static gboolean
on_arrivals (gpointer data)
{
  Arrivals *r = data;
  Load *l = r->load;
  gint64 now = cc_clock_now ();

  while (r->next <= now && now < l->until)
    {
      double gap =
          -log (1.0 - g_rand_double (l->rand)) / (r->pattern->rate * l->scale);

      if (l->pending < PENDING_MAX)
        start_call (l, r->pattern);
      else
        l->skipped++;
      r->next += (gint64) (gap * 1e6);
    }
  if (now < l->until)
    return G_SOURCE_CONTINUE;
  return G_SOURCE_REMOVE;
}

/* Prints the progress each second and ends the run once its time is over and no
 * request is in flight. */
static gboolean
on_progress (gpointer data)
{
  Load *l = data;
  gint64 left = (l->until - cc_clock_now ()) / CC_SECOND;

  fprintf (stderr, "\r%u asked, %u pending, %" G_GINT64_FORMAT " s left   ",
           l->told->len, l->pending, MAX (left, 0));
  if (cc_clock_now () < l->until)
    return G_SOURCE_CONTINUE;
  l->ended = TRUE;
  fprintf (stderr, "\n");
  if (l->skipped > 0)
    fprintf (stderr, "%u arrivals were skipped\n", l->skipped);
  if (l->pending == 0)
    g_main_loop_quit (l->loop);
  return G_SOURCE_REMOVE;
}

static const char *
text_in (JsonObject *o, const char *name)
{
  return json_object_get_string_member_with_default (o, name, "");
}

static void
read_pattern (Load *l, JsonObject *o)
{
  Pattern *p = g_new0 (Pattern, 1);

  p->class = cc_document_class (l->document, text_in (o, "class"));
  p->rate = json_object_get_double_member_with_default (o, "rate", 1);
  p->method = g_strdup (text_in (o, "method"));
  p->path = g_strdup (text_in (o, "path"));
  p->key = g_strdup (text_in (o, "key"));
  p->keys = (guint) json_object_get_int_member_with_default (o, "keys", 1);
  p->tenants =
      (guint) json_object_get_int_member_with_default (o, "tenants", 1);
  p->body = (guint) json_object_get_int_member_with_default (o, "body", 0);
  if (p->class == NULL)
    g_error ("no class \"%s\" in the document", text_in (o, "class"));
  g_ptr_array_add (l->patterns, p);
}

/* Reads the configuration document and request patterns from FILE; an invalid
 * file ends the program. */
static void
read_deployment (Load *l, const char *file)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  g_autofree char *document = NULL;
  g_autofree char *findings = NULL;
  JsonObject *root;
  JsonArray *requests;
  CcFindings f;

  if (!json_parser_load_from_file (parser, file, NULL))
    g_error ("can't read %s", file);
  root = json_node_get_object (json_parser_get_root (parser));
  document = json_to_string (json_object_get_member (root, "document"), FALSE);
  cc_findings_init (&f);
  l->document = cc_document_parse (document, -1, &f);
  findings = cc_findings_text (&f);
  if (l->document == NULL)
    g_error ("%s", findings);
  for (guint i = 0; i < l->document->classes->len; i++)
    {
      Tally *t = g_new0 (Tally, 1);

      t->class = l->document->classes->pdata[i];
      t->unavailable_since =
          g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_ptr_array_add (l->tallies, t);
    }
  requests = json_object_get_array_member (root, "requests");
  for (guint i = 0; i < json_array_get_length (requests); i++)
    read_pattern (l, json_array_get_object_element (requests, i));
}

/* Prints outcomes, latencies and unavailability by class, and whether each met
 * its target share and reliability. */
static void
print_table (const Load *l)
{
  printf ("\n%-16s %8s %8s %8s %8s %8s %8s %8s %8s %10s  %s\n", "class",
          "asked", "run", "not-run", "told p99", "unknown", "p50 ms", "p99 ms",
          "p99.9", "unavail", "target");
  for (guint i = 0; i < l->tallies->len; i++)
    {
      const Tally *t = l->tallies->pdata[i];
      double asked = MAX (t->asked, 1);
      gboolean met = t->in_target / asked >= t->class->share &&
                     t->told[CC_OUTCOME_RUN] / asked >= t->class->reliability;

      printf ("%-16s %8u %8u %8u %8.1f %8u %8.1f %8.1f %8.1f %8" G_GINT64_FORMAT
              "ms  %s\n",
              t->class->name, t->asked, t->told[0], t->told[1],
              (double) cc_histogram_quantile (&t->refused, 0.99) / 1e3,
              t->told[2],
              (double) cc_histogram_quantile (&t->latency, 0.5) / 1e3,
              (double) cc_histogram_quantile (&t->latency, 0.99) / 1e3,
              (double) cc_histogram_quantile (&t->latency, 0.999) / 1e3,
              t->longest_unavailable / CC_MS, met ? "met" : "MISSED");
    }
}

/* Prints the outcomes of duplicates by kind.  Returns how many kinds did not
 * occur. */
static guint
print_duplicates (const Load *l)
{
  static const char *const names[] = { "during", "after", "late" };
  guint missing = 0;

  for (guint i = 0; i < DUPLICATE_KINDS && l->duplicate_percent > 0; i++)
    {
      const guint *t = l->duplicate_outcomes[i];

      printf ("repeats %-6s: %u run, %u not-run, %u unknown\n", names[i], t[0],
              t[1], t[2]);
      missing += t[0] + t[1] + t[2] == 0;
    }
  return missing;
}

/* Returns the number of unknown answers, and prints it where none may be. */
static guint
count_unknown (const Load *l)
{
  guint n = 0;

  for (guint i = 0; i < l->told->len; i++)
    n += ((const CallerOutcomes *) l->told->pdata[i])->told[CC_OUTCOME_UNKNOWN];
  if (l->no_unknown && n > 0)
    printf ("%u answers are unknown, none may be\n", n);
  return n;
}

/* Compares the answers with the servers' records in FOLDER.  Returns 1 if the
 * audit found a fault. */
static int
print_audit (Load *l, const char *folder)
{
  GString *details = g_string_new (NULL);
  Audit a = audit_records (folder, l->told, details);

  printf ("%s", details->str);
  printf ("audit: %u asked, %u lost, %u doubled, %u crossed, "
          "%u run twice owned\n",
          a.asked, a.lost, a.executed_twice, a.crossed, a.owner_conflicts);
  g_string_free (details, TRUE);
  return a.lost + a.executed_twice + a.crossed + a.owner_conflicts > 0;
}

static gboolean
on_settled (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_REMOVE;
}

int
main (int argc, char **argv)
{
  CcSetting settings[] = {
    { CC_SETTING_STRING, "instance", "load", "name in logs", 0, 0, NULL },
    { CC_SETTING_ADDRESSES, "entries", NULL, "their addresses", 0, 0, NULL },
    { CC_SETTING_STRING, "deployment", NULL, "file with requests", 0, 0, NULL },
    { CC_SETTING_STRING, "records", NULL, "folder of servers' records", 0, 0,
      NULL },
    { CC_SETTING_ADDRESS, "source", "127.0.0.1:1", "source address", 0, 0,
      NULL },
    { CC_SETTING_NUMBER, "seconds", "20", "duration", 1, 3600, NULL },
    { CC_SETTING_NUMBER, "seed", "1", "of the arrivals", 0, G_MAXINT32, NULL },
    { CC_SETTING_NUMBER, "percent", "100", "of the configured load", 1, 10000,
      NULL },
    { CC_SETTING_NUMBER, "twins", "0", "percent of once-only sent twice", 0,
      100, NULL },
    { CC_SETTING_NUMBER, "calm", "0", "1: fail on unknown outcomes", 0, 1,
      NULL },
    { CC_SETTING_NUMBER, "health-port", "0", "of /readyz; 0: not polled", 0,
      65535, NULL },
    { CC_SETTING_NUMBER, "repeats", "1", "attempts until run", 1, 1000, NULL },
    { CC_SETTING_STRING, NULL, NULL, NULL, 0, 0, NULL }
  };
  g_autofree char *ip = NULL;
  Load l = { 0 };
  gboolean failed;

  if (cc_settings_read (settings, "load", "Load generator and audit.", argc,
                        argv) != CC_START_RUN)
    return 2;
  l.patterns = g_ptr_array_new ();
  l.tallies = g_ptr_array_new ();
  l.told = g_ptr_array_new ();
  l.rand =
      g_rand_new_with_seed ((guint32) cc_setting_number (settings, "seed"));
  l.scale = (double) cc_setting_number (settings, "percent") / 100;
  l.repeats = (guint) cc_setting_number (settings, "repeats");
  l.loop = g_main_loop_new (NULL, FALSE);
  read_deployment (&l, cc_setting (settings, "deployment"));
  l.session = cc_http_client (cc_setting (settings, "source"), 4);
  cc_address_parse (cc_setting (settings, "source"), &ip, NULL);
  l.http = cc_http_new (ip);
  l.duplicate_percent = (guint) cc_setting_number (settings, "twins");
  l.no_unknown = cc_setting_number (settings, "calm") != 0;
  l.balancer = balancer_new (
      cc_setting_list (settings, "entries"),
      (guint) cc_setting_number (settings, "health-port"), l.session);
  l.until =
      cc_clock_now () + cc_setting_number (settings, "seconds") * CC_SECOND;
  for (guint i = 0; i < l.patterns->len; i++)
    {
      Arrivals *r = g_new0 (Arrivals, 1);

      r->load = &l;
      r->pattern = l.patterns->pdata[i];
      r->next = cc_clock_now ();
      g_timeout_add (1, on_arrivals, r);
    }
  g_timeout_add (1000, on_progress, &l);
  g_main_loop_run (l.loop);
  g_timeout_add (SETTLE_MS, on_settled, l.loop);
  g_main_loop_run (l.loop);
  print_table (&l);
  failed = print_duplicates (&l) > 0;
  if (l.no_unknown)
    failed |= count_unknown (&l) > 0;
  failed |= print_audit (&l, cc_setting (settings, "records")) != 0;
  return failed;
}
