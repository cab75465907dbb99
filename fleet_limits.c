/* Each request to an upstream that names a limit needs a token, for which the
 * gateway asks the holder of the granter's lease (limit_tokens.h), by datagram.
 * A question is repeated until it is answered, and its tokens are granted once.
 *
 * Without an answer for a while, since the holder is gone, of an older build,
 * or out of reach from here, a gateway uses a part of its equal share.  All
 * such shares together stay below the margin that the limit leaves, even if the
 * holder serves others meanwhile.
 *
 * A cold upstream is limited likewise, by the rate of its pool, which each
 * gateway knows from the upstream's row.  What may arrive in any second is
 * bounded, so the bucket is smaller than the bound by all that can add to it:
 * tokens that are still valid and the shares of gateways without answers.  Only
 * one gateway at a time hands out its tokens, while one that lost the table
 * goes on to hand out those of named limits. */
#include "fleet_limits.h"

#include <math.h>
#include <string.h>

#include "clock.h"
#include "cold_message.h"
#include "event_log.h"
#include "limit_message.h"
#include "metrics.h"

/* An answer that takes longer is taken for lost. */
#define ASK_TIMEOUT (60 * CC_MS)
/* Tokens must be used within this time after they were asked for. */
#define TOKEN_VALID (300 * CC_MS)
/* The holder counts as lost after this many questions without an answer and so
 * long after the last one. */
#define UNANSWERED_MAX 3
#define SOURCE_LOST_AFTER (500 * CC_MS)
/* So long after an answer the holder counts as one that knows the numbers of
 * questions, or as one of an older build, which does not. */
#define BUILD_KNOWN_FOR (5 * CC_SECOND)
/* Period of questions to a lost holder. */
#define LOST_RETRY (300 * CC_MS)
/* The same for cold upstreams, all of them together: so long for each gateway
 * of the fleet, within bounds.  A holder of an older build logs each question,
 * at most 50 lines a second. */
#define COLD_RETRY_PART (50 * CC_MS)
#define COLD_RETRY_MAX (3 * CC_SECOND)
/* Part of its equal share that a gateway uses without the holder. */
#define SHARE_PART 0.4
/* The same for a cold upstream.  What all gateways together use of it in a
 * second is taken off the bucket, and one request more, since a few may use
 * theirs at once. */
#define COLD_SHARE_PART 0.2
#define COLD_SHARE_BURST 1.0
/* No request waits longer for a token, however low the rate is. */
#define SHARE_WAIT_MAX (86400 * CC_SECOND)
/* Bound of the bucket of a cold upstream that names a lower limit. */
#define NAMED_BURST_MAX 3.0
/* Requests to an upstream that names a limit are reported to the gateway with
 * the tokens at most once in this time. */
#define USED_PERIOD (200 * CC_MS)
/* A question with a higher rate is not answered. */
#define COLD_RATE_MAX 1e6
/* Most tokens that are asked for at once. */
#define WANTED_MAX 10
/* The end of a limit is sent so many times more, each CC_FLEET_LIMITS_PERIOD.
 *
 * Failure: the gateway with the tokens loses the message.  It goes on to
 * report the limit, and to plan the upstream's keys by it, until it is
 * forgotten.
 */
#define END_REPEATS 2

/* What this gateway holds of a limited upstream. */
typedef struct
{
  guint64 born;
  guint tokens;
  gint64 tokens_until; /* us */
  gint64 asked_at;     /* question without an answer, us; 0: none */
  gint64 used_at;      /* when a request was last reported, us; 0: never */
  gint64 repeated_at;  /* when it was last sent, us */
  GBytes *question;    /* that is open; it is sent again if it has a number */
  guint32 number;      /* of the last question; 0: it has none */
  gboolean cold;       /* the upstream is cold, and all this is about that */
  gint64 refused_until[CC_LIMIT_PRIORITIES]; /* us */
  guint demand[CC_LIMIT_PRIORITIES];         /* since the last question */
  double share;                              /* tokens of the own share */
  gint64 share_updated;                      /* us */
} Holding;

/* Answers of the gateway with the tokens. */
typedef struct
{
  guint unanswered;   /* questions in a row */
  gint64 answered_at; /* last answer, us */
  gint64 asked_at;    /* first question after that, us; 0: none */
  gint64 last_at;     /* last question, us */
} Answers;

struct CcFleetLimits
{
  CcFleetLimitsSetup setup;
  CcUpstreamLimits *limits;
  CcColdUpstreams *cold;
  CcLimitTokens *tokens; /* used while this gateway is the source */
  GHashTable *holdings;  /* id to Holding */
  char *source;          /* address of the gateway that has the tokens, or NULL
                          */
  gboolean was_source;   /* this gateway had them at the last look */
  GHashTable *ended;     /* id of a limit that ended here to the number of times
                            that this is still to be sent */
  guint gateways;        /* in the fleet */
  Answers answers;       /* to questions for named limits */
  Answers cold_answers;  /* to questions for cold upstreams, which an older
                            build does not answer */
  guint32 number;        /* of the last question that has one */
  gint64 numbered_at;    /* last answer with a number, us */
  gint64 plain_at;       /* last answer without one, us */
  GHashTable *used;      /* id of an upstream that names a limit to its last
                            request (gint64), as known by the source */
  gint64 source_since;   /* when this gateway became the source, us */
};

static void
holding_free (gpointer data)
{
  Holding *h = data;

  g_clear_pointer (&h->question, g_bytes_unref);
  g_free (h);
}

/* Another gateway may have the tokens: its build is not known. */
static void
forget_build (CcFleetLimits *f)
{
  f->numbered_at = f->plain_at = -BUILD_KNOWN_FOR;
}

/* Returns a gateway's part of the limits, without any.  SETUP is copied. */
CcFleetLimits *
cc_fleet_limits_new (const CcFleetLimitsSetup *setup)
{
  CcFleetLimits *f = g_new0 (CcFleetLimits, 1);

  f->setup = *setup;
  f->limits = cc_upstream_limits_new ();
  f->cold = cc_cold_upstreams_new ();
  f->tokens = cc_limit_tokens_new ();
  f->holdings =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, holding_free);
  f->number = g_random_int ();
  forget_build (f);
  f->used = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  f->ended = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->gateways = 1;
  return f;
}

/* Frees F. */
void
cc_fleet_limits_free (CcFleetLimits *f)
{
  g_hash_table_unref (f->ended);
  g_hash_table_unref (f->holdings);
  cc_limit_tokens_free (f->tokens);
  cc_cold_upstreams_free (f->cold);
  g_hash_table_unref (f->used);
  cc_upstream_limits_free (f->limits);
  g_free (f->source);
  g_free (f);
}

/* Sets the number of gateways in the fleet. */
void
cc_fleet_limits_set_gateways (CcFleetLimits *f, guint gateways)
{
  f->gateways = MAX (gateways, 1);
}

/* Sets the address of the gateway that hands out the tokens; NULL: none is
 * known. */
void
cc_fleet_limits_set_source (CcFleetLimits *f, const char *address)
{
  if (g_strcmp0 (f->source, address) == 0)
    return;
  g_free (f->source);
  f->source = g_strdup (address);
  f->answers.unanswered = 0;
  f->cold_answers.unanswered = 0;
  forget_build (f);
}

/* Returns whether this gateway hands out the tokens.  When it begins to, its
 * buckets are empty. */
static gboolean
is_source (CcFleetLimits *f)
{
  gboolean is = f->setup.is_source (f->setup.data);

  if (is && !f->was_source)
    {
      cc_limit_tokens_reset (f->tokens);
      cc_cold_upstreams_forget_fresh (f->cold);
      f->source_since = cc_clock_now ();
    }
  f->was_source = is;
  return is;
}

/* Returns whether this gateway hands out the tokens of cold upstreams. */
static gboolean
is_cold_source (CcFleetLimits *f)
{
  return is_source (f) && (f->setup.is_sole_source == NULL ||
                           f->setup.is_sole_source (f->setup.data));
}

/* ---- limits ---- */

static CcLimitTime
time_at (gint64 now)
{
  return (CcLimitTime){ now, cc_clock_wall () };
}

/* Returns the lower one of two limits, of which 0 is none. */
static double
lower (double a, double b)
{
  if (a <= 0 || b <= 0)
    return MAX (a, b);
  return MIN (a, b);
}

/* Returns the limit of the upstream ID that started at BORN as it holds at NOW,
 * requests a second; 0: none. */
static double
rate_at (const CcFleetLimits *f, const char *id, guint64 born, gint64 now)
{
  return lower (cc_upstream_limits_rate (f->limits, id, born),
                cc_cold_upstreams_rate (f->cold, id, born, now));
}

/* Applies the limit of the upstream ID, which may have changed. */
static void
apply_rate (CcFleetLimits *f, const char *id, guint64 born)
{
  double rate = rate_at (f, id, born, cc_clock_now ());

  if (rate <= 0)
    g_hash_table_remove (f->holdings, id);
  if (cc_upstream_limits_rate (f->limits, id, born) <= 0)
    g_hash_table_remove (f->used, id);
  f->setup.changed (id, born, rate, f->setup.data);
  f->setup.wake (f->setup.data);
}

/* Logs and applies the limit of the upstream ID, which has changed. */
static void
apply_change (CcFleetLimits *f, const char *id, guint64 born,
              const char *learned)
{
  double rate = cc_upstream_limits_rate (f->limits, id, born);
  char text[G_ASCII_DTOSTR_BUF_SIZE];

  g_ascii_formatd (text, sizeof text, "%.3f", rate);
  cc_event (CC_EVENT_STATE, "upstream-limit", "target", id, "born",
            cc_event_int ((gint64) born), "rate", rate > 0 ? text : "none",
            "learned", learned, NULL);
  apply_rate (f, id, born);
}

/* Sends the limit of the upstream ID to the other gateways. */
static void
broadcast_limit (CcFleetLimits *f, const char *id)
{
  g_autoptr (GArray) one = g_array_new (FALSE, FALSE, sizeof (CcUpstreamLimit));
  g_autoptr (GBytes) datagram = NULL;
  CcUpstreamLimit limit;

  if (!cc_upstream_limits_find (f->limits, id, &limit))
    return;
  g_array_append_val (one, limit);
  datagram = cc_limit_message_limits (one);
  f->setup.broadcast (datagram, f->setup.data);
}

/* An answer of the upstream ID, to a request that was sent at SENT and received
 * at NOW, us, names the limit RATE. */
void
cc_fleet_limits_answer_named (CcFleetLimits *f, const char *id, guint64 born,
                              double rate, gint64 sent, gint64 now)
{
  if (!cc_upstream_limits_named (f->limits, id, born, rate, sent,
                                 time_at (now)))
    return;
  apply_change (f, id, born, "answer");
  broadcast_limit (f, id);
}

/* An answer of the upstream ID, to a request that was sent at SENT and received
 * at NOW, us, names no limit. */
void
cc_fleet_limits_answer_unlimited (CcFleetLimits *f, const char *id,
                                  guint64 born, gint64 sent, gint64 now)
{
  if (!cc_upstream_limits_ended (f->limits, id, born, sent, time_at (now)))
    return;
  apply_change (f, id, born, "answer");
  broadcast_limit (f, id);
  g_hash_table_insert (f->ended, g_strdup (id), GUINT_TO_POINTER (END_REPEATS));
}

/* Another gateway reports LIMIT. */
static void
apply_report (CcFleetLimits *f, const CcUpstreamLimit *limit, gint64 now)
{
  if (cc_upstream_limits_reported (f->limits, limit, time_at (now)))
    apply_change (f, limit->id, limit->born, "peer");
}

/* Returns the limit of the upstream ID that started at BORN, requests a second;
 * 0: none. */
double
cc_fleet_limits_rate (const CcFleetLimits *f, const char *id, guint64 born)
{
  return rate_at (f, id, born, cc_clock_now ());
}

/* ---- cold upstreams ---- */

/* Logs that an upstream has turned cold, or warm if its RATE is 0. */
static void
log_cold (const char *id, guint64 born, double rate, gint64 left,
          const char *learned)
{
  char text[G_ASCII_DTOSTR_BUF_SIZE];

  g_ascii_formatd (text, sizeof text, "%.3f", rate);
  cc_event (CC_EVENT_STATE, rate > 0 ? "upstream-cold" : "upstream-warm",
            "target", id, "born", cc_event_int ((gint64) born), "rate", text,
            "left_ms", cc_event_int (left / CC_MS), "learned", learned, NULL);
}

/* Returns the requests a second that the upstream ID, which started at BORN,
 * takes at NOW, us, since it is cold; 0: it is warm. */
double
cc_fleet_limits_cold_rate (const CcFleetLimits *f, const char *id, guint64 born,
                           gint64 now)
{
  return cc_cold_upstreams_rate (f->cold, id, born, now);
}

/* Returns until when the upstream ID is cold, us; 0: it is not. */
gint64
cc_fleet_limits_cold_until (const CcFleetLimits *f, const char *id)
{
  return cc_cold_upstreams_until (f->cold, id);
}

/* Returns how much more than RATE a second a cold upstream can take at once. */
double
cc_fleet_limits_cold_burst (const CcFleetLimits *f, double rate)
{
  double reserved =
      rate * ((double) TOKEN_VALID / 1e6 + COLD_SHARE_PART) + COLD_SHARE_BURST;

  return MAX (f->setup.cold_slack - reserved, 1.0);
}

/* Returns the tokens a second of a cold upstream that takes RATE: less than
 * that if the slack is too small for a bucket of one token. */
static double
cold_refill (const CcFleetLimits *f, double rate)
{
  double valid = (double) TOKEN_VALID / 1e6;
  double most = (rate + f->setup.cold_slack - 1.0) / (1.0 + valid);

  return CLAMP (most, rate / 2, rate);
}

/* Returns how many requests may reach the upstream ID, which started at BORN
 * and is warm at NOW, us, in a second if it turns cold; 0: it is cold, or takes
 * any number. */
double
cc_fleet_limits_cold_bound (const CcFleetLimits *f, const char *id,
                            guint64 born, gint64 now)
{
  double rate = cc_cold_upstreams_warm_rate (f->cold, id, born, now);

  return rate > 0 ? rate + f->setup.cold_slack : 0.0;
}

/* Returns the requests a second that this gateway has sent to the upstream ID
 * lately, if its pool has a cold rate. */
double
cc_fleet_limits_traffic (const CcFleetLimits *f, const char *id, gint64 now)
{
  return cc_cold_upstreams_traffic (f->cold, id, now);
}

/* Returns whether the upstream ID, which started at BORN, names a limit, and
 * this gateway, which hands out its tokens, knows of no request to it for SPAN,
 * us. */
gboolean
cc_fleet_limits_is_idle (CcFleetLimits *f, const char *id, guint64 born,
                         gint64 span, gint64 now)
{
  const gint64 *used = g_hash_table_lookup (f->used, id);
  gint64 at = MAX (used != NULL ? *used : 0,
                   cc_upstream_limits_known_at (f->limits, id));

  return cc_upstream_limits_rate (f->limits, id, born) > 0 && is_source (f) &&
         now - MAX (at, f->source_since) >= span;
}

/* A request is sent to the upstream ID at NOW, us, from here or elsewhere. */
static void
note_used (CcFleetLimits *f, const char *id, gint64 now)
{
  g_hash_table_replace (f->used, g_strdup (id), g_memdup2 (&now, sizeof now));
}

/* Reports to the gateway with the tokens that a request is sent to the upstream
 * ID, which has a limit.
 *
 * Failure: a request that has asked for a token is sent to another upstream
 * before the answer comes.  So tokens are granted, but none is used, and no
 * response tells that the limit has ended. */
static void
report_used (CcFleetLimits *f, const char *id, gint64 now)
{
  Holding *h = g_hash_table_lookup (f->holdings, id);
  g_autoptr (GBytes) datagram = NULL;

  if (h == NULL || cc_upstream_limits_rate (f->limits, id, h->born) <= 0 ||
      (h->used_at != 0 && now - h->used_at < USED_PERIOD))
    return;
  h->used_at = now;
  if (f->was_source)
    {
      note_used (f, id, now);
      return;
    }
  if (f->source == NULL)
    return;
  datagram = cc_limit_message_used (id);
  f->setup.send (f->source, datagram, f->setup.data);
}

/* A request is sent to the upstream ID at NOW, us. */
void
cc_fleet_limits_sent (CcFleetLimits *f, const char *id, gint64 now)
{
  cc_cold_upstreams_sent (f->cold, id, now);
  report_used (f, id, now);
}

/* ---- tokens ---- */

static Holding *
find_holding (CcFleetLimits *f, const char *id, guint64 born, gboolean cold)
{
  Holding *h = g_hash_table_lookup (f->holdings, id);

  if (h != NULL && h->born == born && h->cold == cold)
    return h;
  h = g_new0 (Holding, 1);
  h->born = born;
  h->cold = cold;
  g_hash_table_replace (f->holdings, g_strdup (id), h);
  return h;
}

static guint
class_of (guint priority)
{
  return MIN (priority, CC_LIMIT_PRIORITIES - 1);
}

/* Counts a request of PRIORITY that needs a token of the upstream ID. */
void
cc_fleet_limits_count (CcFleetLimits *f, const char *id, guint priority)
{
  Holding *h = g_hash_table_lookup (f->holdings, id);

  if (h != NULL)
    h->demand[class_of (priority)]++;
}

/* Returns until when requests of PRIORITY get no token of the upstream ID, us;
 * 0 if that is unknown. */
gint64
cc_fleet_limits_refused_until (const CcFleetLimits *f, const char *id,
                               guint priority)
{
  const Holding *h = g_hash_table_lookup (f->holdings, id);

  return h != NULL && h->tokens == 0 ? h->refused_until[class_of (priority)]
                                     : 0;
}

/* Counts the answer GRANT to a question, for a COLD upstream or another. */
static void
count_answer (const CcLimitGrant *grant, gboolean cold)
{
  static CcCounter *counters[2][2]; /* by cold, granted */
  CcCounter **c = &counters[cold][grant->granted > 0];

  if (*c == NULL)
    *c = cc_metrics_counter (
        cold ? "capercrank_cold_questions" : "capercrank_limit_questions",
        grant->granted > 0 ? "answer=\"granted\"" : "answer=\"refused\"");
  ++**c;
}

/* Applies the answer GRANT to a question of PRIORITY. */
static void
apply_grant (Holding *h, guint priority, const CcLimitGrant *grant, gint64 now)
{
  count_answer (grant, h->cold);
  if (grant->granted > 0)
    {
      h->tokens = grant->granted;
      h->tokens_until = (h->asked_at != 0 ? h->asked_at : now) + TOKEN_VALID;
    }
  else
    {
      for (guint p = class_of (priority); p < CC_LIMIT_PRIORITIES; p++)
        h->refused_until[p] = MAX (h->refused_until[p], now + grant->wait);
    }
  h->asked_at = 0;
  g_clear_pointer (&h->question, g_bytes_unref);
}

/* Whether the next question for a named limit has no number, as an older build
 * that is the holder answers only those.  While nobody answers, some have none.
 */
static gboolean
asks_without_number (const CcFleetLimits *f, gint64 now)
{
  if (now - f->numbered_at < BUILD_KNOWN_FOR)
    return FALSE;
  if (now - f->plain_at < BUILD_KNOWN_FOR)
    return TRUE;
  return f->answers.unanswered % UNANSWERED_MAX == UNANSWERED_MAX - 1;
}

/* Fills ASK for the upstream ID, and starts to count its demand anew. */
static void
prepare_ask (CcFleetLimits *f, Holding *h, const char *id, guint priority,
             gint64 now, CcLimitAsk *ask)
{
  guint all = 0;

  *ask = (CcLimitAsk){ .gateway = f->setup.address,
                       .id = id,
                       .born = h->born,
                       .rate = rate_at (f, id, h->born, now),
                       .priority = class_of (priority) };
  memcpy (ask->demand, h->demand, sizeof ask->demand);
  for (guint p = 0; p < CC_LIMIT_PRIORITIES; p++)
    all += h->demand[p];
  ask->wanted = CLAMP (all, 1, WANTED_MAX);
  memset (h->demand, 0, sizeof h->demand);
  h->number = 0;
  if (!h->cold && asks_without_number (f, now))
    return;
  if (++f->number == 0)
    f->number = 1;
  h->number = ask->number = f->number;
}

/* Answers ASK for tokens of a cold upstream. */
static CcLimitGrant
grant_cold (CcFleetLimits *f, CcLimitAsk *ask, gint64 now)
{
  double named = cc_upstream_limits_rate (f->limits, ask->id, ask->born);
  double cold = cc_cold_upstreams_rate (f->cold, ask->id, ask->born, now);

  ask->burst.known = cold > 0;
  ask->burst.full = cc_cold_upstreams_take_fresh (f->cold, ask->id, ask->born);
  ask->rate = lower (lower (cold, ask->rate), named);
  ask->burst.size = cc_fleet_limits_cold_burst (f, ask->rate);
  if (named > 0 && named <= ask->rate)
    ask->burst.size = MIN (ask->burst.size, NAMED_BURST_MAX);
  ask->rate = cold_refill (f, ask->rate);
  return cc_limit_tokens_ask (f->tokens, ask, now);
}

/* Sends the question of H, perhaps again. */
static void
send_question (CcFleetLimits *f, Holding *h, gint64 now)
{
  Answers *a = h->cold ? &f->cold_answers : &f->answers;

  h->repeated_at = now;
  if (a->unanswered++ == 0)
    a->asked_at = now;
  a->last_at = now;
  f->setup.send (f->source, h->question, f->setup.data);
}

/* Sends QUESTION, which H takes over, to the gateway with the tokens. */
static void
ask_source (CcFleetLimits *f, Holding *h, GBytes *question, gint64 now)
{
  h->asked_at = now;
  g_clear_pointer (&h->question, g_bytes_unref);
  h->question = question;
  send_question (f, h, now);
}

/* Asks the gateway with the tokens for some of a cold upstream. */
static void
ask_cold (CcFleetLimits *f, Holding *h, CcLimitAsk *ask, gint64 now)
{
  if (is_cold_source (f))
    {
      CcLimitGrant grant = grant_cold (f, ask, now);

      apply_grant (h, ask->priority, &grant, now);
      return;
    }
  if (f->was_source)
    return;
  ask_source (f, h, cc_cold_message_ask (ask), now);
}

/* Asks for tokens of the upstream ID. */
static void
ask_for_tokens (CcFleetLimits *f, Holding *h, const char *id, guint priority,
                gint64 now)
{
  CcUpstreamLimit limit;
  CcLimitAsk ask;

  prepare_ask (f, h, id, priority, now, &ask);
  if (h->cold)
    {
      ask_cold (f, h, &ask, now);
      return;
    }
  if (is_source (f))
    {
      CcLimitGrant grant = cc_limit_tokens_ask (f->tokens, &ask, now);

      apply_grant (h, ask.priority, &grant, now);
      return;
    }
  if (!cc_upstream_limits_find (f->limits, id, &limit))
    return;
  ask_source (f, h, cc_limit_message_ask (&ask, &limit), now);
}

/* ---- changes of cold upstreams ---- */

/* Reports the requests that were sent to the upstream ID in the second before
 * it turned cold, if any, by a question for no tokens.
 *
 * Failure: a gateway that sent some and has none later does not ask, and others
 * get tokens in the same second. */
static void
report_former (CcFleetLimits *f, const char *id, guint64 born, gint64 now)
{
  guint former = cc_cold_upstreams_take_former (f->cold, id, born);
  Holding *h;
  CcLimitAsk ask;

  if (former == 0 || f->source == NULL)
    return;
  h = find_holding (f, id, born, TRUE);
  prepare_ask (f, h, id, CC_LIMIT_PRIORITIES - 1, now, &ask);
  ask.wanted = 0;
  ask.burst.former = former;
  ask_cold (f, h, &ask, now);
}

/* Handles CHANGE of an upstream as LEARNED. */
static void
apply_cold (CcFleetLimits *f, const CcColdState *state, CcColdChange change,
            const char *learned, gint64 now)
{
  gboolean cold = change != CC_COLD_ENDED;

  if (change == CC_COLD_SAME)
    return;
  if (change == CC_COLD_BEGAN)
    {
      static CcCounter *turns;

      if (turns == NULL)
        turns = cc_metrics_counter ("capercrank_upstreams_turned_cold", "");
      ++*turns;
      g_hash_table_remove (f->holdings, state->id);
      cc_limit_tokens_empty (f->tokens, state->id, now);
      report_former (f, state->id, state->born, now);
    }
  log_cold (state->id, state->born, cold ? state->rate : 0.0,
            MAX (cc_cold_upstreams_until (f->cold, state->id) - now, 0),
            learned);
  apply_rate (f, state->id, state->born);
  if (!cold)
    f->setup.ready (f->setup.data);
}

/* The row of an upstream, read at NOW, us, contains STATE. */
void
cc_fleet_limits_row (CcFleetLimits *f, const CcColdState *state, gint64 now)
{
  (void) is_source (f);
  apply_cold (f, state, cc_cold_upstreams_row (f->cold, state, now), "row",
              now);
}

/* The rows of all upstreams have been read: those that follow have just
 * started. */
void
cc_fleet_limits_rows_read (CcFleetLimits *f)
{
  cc_cold_upstreams_set_listed (f->cold);
}

static void
on_cold_ended (const char *id, guint64 born, gpointer data)
{
  CcColdState state = { .id = id, .born = born };

  apply_cold (data, &state, CC_COLD_ENDED, "time", cc_clock_now ());
}

/* A response to a health probe, received at NOW, us, as LEARNED, states that
 * the upstream of N stays cold for some time. */
static void
apply_notice (CcFleetLimits *f, const CcColdNotice *n, const char *learned,
              gint64 now)
{
  CcColdChange change =
      cc_cold_upstreams_probe (f->cold, n->id, n->born, n->left, now);
  CcColdState state = { .id = n->id,
                        .born = n->born,
                        .rate = cc_cold_upstreams_rate (f->cold, n->id, n->born,
                                                        now) };

  apply_cold (f, &state, change, learned, now);
}

/* A response to a health probe by this gateway, received at NOW, us, states
 * that the upstream ID, which started at BORN, stays cold for LEFT, us.  All
 * others are notified; one that misses that reads the row. */
void
cc_fleet_limits_probed_cold (CcFleetLimits *f, const char *id, guint64 born,
                             gint64 left, gint64 now)
{
  CcColdNotice notice = { id, born, left };
  g_autoptr (GBytes) datagram = cc_cold_message_notice (&notice);

  apply_notice (f, &notice, "probe", now);
  f->setup.broadcast (datagram, f->setup.data);
}

/* Ends the limits of upstreams whose cold time is over at NOW, us.  Returns
 * when the next one's is, us; 0: there is none. */
gint64
cc_fleet_limits_end_cold (CcFleetLimits *f, gint64 now)
{
  gint64 next = cc_cold_upstreams_expire (f->cold, now, on_cold_ended, f);

  cc_metrics_gauge ("capercrank_cold_upstreams", "",
                    cc_cold_upstreams_count (f->cold, now));
  return next;
}

/* ---- taking tokens ---- */

/* Returns whether nobody answers questions for tokens, of COLD upstreams or
 * others. */
static gboolean
is_source_lost (CcFleetLimits *f, gboolean cold, gint64 now)
{
  const Answers *a = cold ? &f->cold_answers : &f->answers;

  if (f->was_source)
    return cold && !is_cold_source (f);
  if (f->source == NULL)
    return TRUE;
  return a->unanswered >= UNANSWERED_MAX &&
         now - (cold ? a->asked_at : a->answered_at) >= SOURCE_LOST_AFTER;
}

/* Adds to the share of H what has accrued at OWN tokens a second until NOW.
 *
 * The share of a cold upstream begins at random and grows only without answers.
 * Failure: all gateways lose the holder together, and use a share of the same
 * age in the same moment. */
static void
update_share (const CcFleetLimits *f, Holding *h, double own, gint64 now)
{
  gint64 since = h->share_updated;

  if (h->cold && since == 0)
    h->share = g_random_double ();
  if (h->cold && since != 0)
    since = MIN (MAX (since, f->cold_answers.answered_at), now);
  if (since != 0)
    h->share = MIN (h->share + own * (double) (now - since) / 1e6, 1.0);
  h->share_updated = now;
}

/* Takes a token of this gateway's own share of RATE.  Otherwise sets *AT to
 * when there is one. */
static CcLimitVerdict
take_share (const CcFleetLimits *f, Holding *h, double rate, gint64 now,
            gint64 *at)
{
  double own = (h->cold ? COLD_SHARE_PART : SHARE_PART) * rate / f->gateways;

  update_share (f, h, own, now);
  if (h->share >= 1.0)
    {
      h->share -= 1.0;
      return CC_LIMIT_PASSES;
    }
  *at = now + (gint64) fmin (fmax ((1.0 - h->share) / own * 1e6, CC_MS),
                             SHARE_WAIT_MAX);
  return CC_LIMIT_REFUSED;
}

/* Takes a token that this gateway holds. */
static gboolean
take_held (Holding *h, gint64 now)
{
  if (h->tokens == 0 || now >= h->tokens_until)
    {
      h->tokens = 0;
      return FALSE;
    }
  h->tokens--;
  return TRUE;
}

/* Returns the period of questions for cold upstreams to a lost holder. */
static gint64
cold_retry (const CcFleetLimits *f)
{
  return CLAMP (f->gateways * COLD_RETRY_PART, LOST_RETRY, COLD_RETRY_MAX);
}

/* Asks for tokens of the upstream ID if it is time to, for a request of
 * PRIORITY.  LOST: nobody answers. */
static void
ask_if_due (CcFleetLimits *f, Holding *h, const char *id, guint priority,
            gboolean lost, gint64 now)
{
  gint64 timeout = lost ? LOST_RETRY : ASK_TIMEOUT;

  if (lost && h->cold && now - f->cold_answers.last_at < cold_retry (f))
    return;
  if (f->source == NULL || now < h->refused_until[class_of (priority)])
    return;
  if (h->question != NULL && h->number != 0 && now - h->asked_at < TOKEN_VALID)
    {
      if (now - h->repeated_at >= timeout)
        send_question (f, h, now);
      return;
    }
  if (h->asked_at == 0 || now - h->asked_at >= timeout)
    ask_for_tokens (f, h, id, priority, now);
}

/* Decides as cc_fleet_limits_take.  REFUSED sets *AT to when a token may be
 * had, us, however late that is. */
static CcLimitVerdict
take (CcFleetLimits *f, const char *id, guint64 born, guint priority,
      gint64 now, gint64 *at)
{
  double rate = rate_at (f, id, born, now);
  gboolean cold = cc_cold_upstreams_rate (f->cold, id, born, now) > 0;
  guint class = class_of (priority);
  gboolean lost;
  Holding *h;

  if (rate <= 0)
    return CC_LIMIT_PASSES;
  h = find_holding (f, id, born, cold);
  if (take_held (h, now))
    return CC_LIMIT_PASSES;
  lost = is_source_lost (f, cold, now);
  ask_if_due (f, h, id, priority, lost, now);
  if (take_held (h, now))
    return CC_LIMIT_PASSES;
  if (lost)
    return take_share (f, h, rate, now, at);
  if (now < h->refused_until[class])
    {
      *at = h->refused_until[class];
      return CC_LIMIT_REFUSED;
    }
  return CC_LIMIT_ASKED;
}

/* Decides at NOW, us, whether a request of PRIORITY is sent to the upstream ID
 * that started at BORN, and takes the token that it needs.  REFUSED sets *AT to
 * when one may be had, us, or to the end of the cold time if that is sooner. */
CcLimitVerdict
cc_fleet_limits_take (CcFleetLimits *f, const char *id, guint64 born,
                      guint priority, gint64 now, gint64 *at)
{
  CcLimitVerdict verdict = take (f, id, born, priority, now, at);

  if (verdict == CC_LIMIT_REFUSED &&
      cc_cold_upstreams_rate (f->cold, id, born, now) > 0 &&
      cc_upstream_limits_rate (f->limits, id, born) <= 0)
    *at = MIN (*at, cc_cold_upstreams_until (f->cold, id));
  return verdict;
}

/* ---- messages ---- */

/* Answers the question ASK of a gateway that knows LIMIT. */
static void
answer (CcFleetLimits *f, CcLimitAsk *ask, const CcUpstreamLimit *limit,
        gint64 now)
{
  CcLimitAnswer a = { .priority = ask->priority, .number = ask->number };
  g_autoptr (GBytes) datagram = NULL;

  if (!is_source (f))
    return;
  apply_report (f, limit, now);
  if (!cc_upstream_limits_find (f->limits, ask->id, &a.limit) ||
      a.limit.born != ask->born)
    a.limit = *limit;
  ask->rate = a.limit.rate;
  /* A gateway of an older build does not know that the upstream is cold. */
  if (cc_cold_upstreams_rate (f->cold, ask->id, ask->born, now) > 0)
    {
      if (is_cold_source (f))
        a.grant = grant_cold (f, ask, now);
    }
  else if (ask->rate > 0)
    a.grant = cc_limit_tokens_ask (f->tokens, ask, now);
  datagram = cc_limit_message_answer (&a);
  f->setup.send (ask->gateway, datagram, f->setup.data);
}

/* Handles the answer A to a question of this gateway. */
static void
handle_answer (CcFleetLimits *f, const CcLimitAnswer *a, gint64 now)
{
  Holding *h;

  f->answers = (Answers){ .answered_at = now };
  if (a->number != 0)
    f->numbered_at = now;
  else
    f->plain_at = now;
  apply_report (f, &a->limit, now);
  h = g_hash_table_lookup (f->holdings, a->limit.id);
  /* An answer may arrive late or again, when another question is open. */
  if (h != NULL && h->born == a->limit.born && h->asked_at != 0 && !h->cold &&
      h->number == a->number && a->limit.rate > 0)
    apply_grant (h, a->priority, &a->grant, now);
  f->setup.ready (f->setup.data);
}

/* Answers the question ASK of a gateway for tokens of a cold upstream. */
static void
answer_cold (CcFleetLimits *f, CcLimitAsk *ask, gint64 now)
{
  CcColdAnswer a = { ask->id, ask->born, ask->number, ask->priority, { 0 } };
  g_autoptr (GBytes) datagram = NULL;

  if (!(ask->rate > 0 && ask->rate < COLD_RATE_MAX) || !is_cold_source (f))
    return;
  a.grant = grant_cold (f, ask, now);
  datagram = cc_cold_message_answer (&a);
  f->setup.send (ask->gateway, datagram, f->setup.data);
}

/* Handles the answer A to a question of this gateway for tokens of a cold
 * upstream. */
static void
handle_cold_answer (CcFleetLimits *f, const CcColdAnswer *a, gint64 now)
{
  Holding *h = g_hash_table_lookup (f->holdings, a->id);

  f->cold_answers = (Answers){ .answered_at = now };
  /* An answer arrives again if its question was repeated. */
  if (h != NULL && h->cold && h->born == a->born && h->asked_at != 0 &&
      h->number == a->number)
    apply_grant (h, a->priority, &a->grant, now);
  f->setup.ready (f->setup.data);
}

/* Handles DATAGRAM of another gateway if it is about cold upstreams. */
static gboolean
receive_cold (CcFleetLimits *f, GBytes *datagram, gint64 now)
{
  g_autoptr (GVariant) holder = NULL;
  CcColdNotice notice;
  CcColdAnswer a;
  CcLimitAsk ask;

  holder = cc_cold_message_read_notice (datagram, &notice);
  if (holder != NULL)
    {
      apply_notice (f, &notice, "peer", now);
      return TRUE;
    }
  holder = cc_cold_message_read_ask (datagram, &ask);
  if (holder != NULL)
    {
      answer_cold (f, &ask, now);
      return TRUE;
    }
  holder = cc_cold_message_read_answer (datagram, &a);
  if (holder != NULL)
    handle_cold_answer (f, &a, now);
  return holder != NULL;
}

/* Handles DATAGRAM of another gateway.  Returns FALSE if it is not about
 * limits. */
gboolean
cc_fleet_limits_receive (CcFleetLimits *f, GBytes *datagram, gint64 now)
{
  g_autoptr (GArray) limits =
      g_array_new (FALSE, FALSE, sizeof (CcUpstreamLimit));
  g_autoptr (GVariant) holder = NULL;
  CcUpstreamLimit limit;
  CcLimitAnswer a;
  CcLimitAsk ask;
  const char *id;

  if (receive_cold (f, datagram, now))
    return TRUE;
  holder = cc_limit_message_read_used (datagram, &id);
  if (holder != NULL)
    {
      note_used (f, id, now);
      return TRUE;
    }
  holder = cc_limit_message_read_ask (datagram, &ask, &limit);
  if (holder != NULL)
    {
      answer (f, &ask, &limit, now);
      return TRUE;
    }
  holder = cc_limit_message_read_answer (datagram, &a);
  if (holder != NULL)
    {
      handle_answer (f, &a, now);
      return TRUE;
    }
  holder = cc_limit_message_read_limits (datagram, limits);
  if (holder == NULL)
    return FALSE;
  for (guint i = 0; i < limits->len; i++)
    apply_report (f, &g_array_index (limits, CcUpstreamLimit, i), now);
  return TRUE;
}

/* Sends limits that have ended again. */
static void
repeat_ends (CcFleetLimits *f)
{
  GHashTableIter i;
  gpointer id, left;

  g_hash_table_iter_init (&i, f->ended);
  while (g_hash_table_iter_next (&i, &id, &left))
    {
      broadcast_limit (f, id);
      if (GPOINTER_TO_UINT (left) > 1)
        g_hash_table_iter_replace (
            &i, GUINT_TO_POINTER (GPOINTER_TO_UINT (left) - 1));
      else
        g_hash_table_iter_remove (&i);
    }
}

/* The gateway with the tokens sends the limits in force to all
 * others, for those that have started or lost a message.  Returns TRUE if there
 * are any, so that it is to be called again. */
gboolean
cc_fleet_limits_tick (CcFleetLimits *f)
{
  g_autoptr (GArray) limits =
      cc_upstream_limits_list (f->limits, cc_clock_wall ());
  g_autoptr (GBytes) datagram = NULL;

  cc_metrics_gauge ("capercrank_limited_upstreams", "", limits->len);
  repeat_ends (f);
  if (limits->len > 0 && is_source (f))
    {
      datagram = cc_limit_message_limits (limits);
      f->setup.broadcast (datagram, f->setup.data);
    }
  return limits->len > 0 || g_hash_table_size (f->ended) > 0;
}
