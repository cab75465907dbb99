/* Load pattern: an upstream in need takes two requests a second from hundreds
 * of gateways, far less than one each in many seconds, and its callers are
 * spread unevenly.  Equal shares would leave most of it unused; a share for
 * each gateway alone is no limit at all.
 *
 * So one gateway, the holder of the granter's lease, hands out a token for each
 * request, from a bucket for each upstream.  Lower priorities get what the
 * higher ones leave by their recent demand, from a bucket of their own, and
 * what nobody has taken; while there are higher ones, a few tokens are kept for
 * them.
 *
 * A question has a number, so that the tokens are granted once if it arrives
 * again.  A cold upstream gets few requests from many gateways, often for some
 * seconds only, so a lost answer is a notable part of them, and questions for
 * its tokens are repeated until they are answered. */
#include "limit_tokens.h"

#include <math.h>
#include <string.h>

/* Size of a bucket: a few requests, or those of this time at high rates. */
#define BURST_MIN 3.0
#define BURST_TIME (250 * CC_MS)
/* Time over which demand is averaged, and for which a gateway counts as one of
 * those that ask. */
#define DEMAND_TIME (2 * CC_SECOND)
/* Tokens that are kept for the higher priorities, if these have more than a
 * part of the limit as demand. */
#define KEPT 2.0
#define KEPT_FROM 0.05
/* Bounds of the time after which a gateway asks again. */
#define WAIT_MIN (50 * CC_MS)
#define WAIT_MAX (3 * CC_SECOND)
/* Span in which the requests to a cold upstream are bounded: those before it
 * turned cold count for this long. */
#define FORMER_TIME (1 * CC_SECOND)
/* A gateway that reports more is taken for one that reports this many. */
#define FORMER_MAX 1000
/* Bounds of what is believed of another gateway's message: tokens of one
 * question, time until the next one, requests since the last one. */
#define BELIEVED_TOKENS 1000
#define BELIEVED_WAIT (10 * CC_SECOND)
#define BELIEVED_DEMAND 1000000
/* A question is not repeated after this time. */
#define REPEATS_FOR (1 * CC_SECOND)
/* Upstreams that nobody has asked for in this time are forgotten. */
#define KEPT_FOR (30 * CC_SECOND)

/* The answer to a gateway's last numbered question. */
typedef struct
{
  guint32 number;
  gint64 at; /* us */
  CcLimitGrant grant;
} LastAnswer;

typedef struct
{
  guint64 born;
  double tokens;
  double of_priority[CC_LIMIT_PRIORITIES]; /* tokens that each may take */
  double demand[CC_LIMIT_PRIORITIES];      /* requests a second */
  gint64 updated;                          /* us */
  /* Address of a gateway to its last question (gint64), by priority. */
  GHashTable *asking[CC_LIMIT_PRIORITIES];
  GHashTable *answers; /* address of a gateway to LastAnswer */
  gint64 cold_since;   /* when the upstream turned cold, us; 0: not known */
  guint former;        /* requests in the second before that, as known so far */
} Bucket;

struct CcLimitTokens
{
  GHashTable *buckets; /* id to Bucket */
};

/* Returns whether RATE, of another gateway's message, is one, or 0 for none. */
gboolean
cc_limit_rate_is_valid (double rate)
{
  return isfinite (rate) && rate >= 0;
}

/* Bounds the numbers in ASK, of another gateway. */
void
cc_limit_ask_bound (CcLimitAsk *ask)
{
  ask->wanted = MIN (ask->wanted, BELIEVED_TOKENS);
  for (guint p = 0; p < CC_LIMIT_PRIORITIES; p++)
    ask->demand[p] = MIN (ask->demand[p], BELIEVED_DEMAND);
}

/* Bounds the numbers in GRANT, of another gateway. */
void
cc_limit_grant_bound (CcLimitGrant *grant)
{
  grant->granted = MIN (grant->granted, BELIEVED_TOKENS);
  grant->wait = CLAMP (grant->wait, 0, BELIEVED_WAIT);
}

static void
bucket_free (gpointer data)
{
  Bucket *b = data;

  for (guint p = 0; p < CC_LIMIT_PRIORITIES; p++)
    g_hash_table_unref (b->asking[p]);
  g_hash_table_unref (b->answers);
  g_free (b);
}

/* Returns a source of tokens without buckets. */
CcLimitTokens *
cc_limit_tokens_new (void)
{
  CcLimitTokens *t = g_new0 (CcLimitTokens, 1);

  t->buckets =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, bucket_free);
  return t;
}

/* Frees T. */
void
cc_limit_tokens_free (CcLimitTokens *t)
{
  g_hash_table_unref (t->buckets);
  g_free (t);
}

/* Empties all buckets: another gateway may just have handed out its last
 * tokens. */
void
cc_limit_tokens_reset (CcLimitTokens *t)
{
  g_hash_table_remove_all (t->buckets);
}

/* Returns the size of the bucket for ASK. */
static double
burst_of (const CcLimitAsk *ask)
{
  return ask->burst.size > 0
             ? ask->burst.size
             : MAX (BURST_MIN, ask->rate * (double) BURST_TIME / 1e6);
}

/* Takes the tokens from B, whose upstream has turned cold at NOW, us. */
static void
begin_cold (Bucket *b, gint64 now)
{
  b->tokens = MIN (b->tokens, 0.0);
  memset (b->of_priority, 0, sizeof b->of_priority);
  b->updated = MAX (b->updated, now);
  b->cold_since = now;
  b->former = 0;
}

/* Takes the tokens from the bucket of the upstream ID, which has turned cold at
 * NOW, us: the requests of the second before count. */
void
cc_limit_tokens_empty (CcLimitTokens *t, const char *id, gint64 now)
{
  Bucket *b = g_hash_table_lookup (t->buckets, id);

  if (b != NULL && now - b->cold_since >= FORMER_TIME)
    begin_cold (b, now);
}

/* Returns the tokens that FORMER requests before an upstream turned cold take
 * of what it gets.  After FORMER_TIME they no longer count. */
static double
debt_of (const CcLimitAsk *ask, guint former)
{
  return CLAMP (former - ask->burst.size, 0.0,
                ask->rate * (double) FORMER_TIME / 1e6);
}

/* Fills B, whose upstream has just started.  It has the tokens that were
 * granted since, if other gateways have learned of it first. */
static void
fill (Bucket *b, const CcLimitAsk *ask)
{
  double burst = burst_of (ask);

  b->tokens = MIN (b->tokens + burst, burst);
  for (guint p = 0; p < CC_LIMIT_PRIORITIES; p++)
    b->of_priority[p] = burst;
}

/* Counts the requests that the sender of ASK sent to the upstream of B before
 * it turned cold. */
static void
add_former (Bucket *b, const CcLimitAsk *ask, gint64 now)
{
  guint sum = b->former + MIN (ask->burst.former, FORMER_MAX);

  if (ask->burst.former == 0 || now - b->cold_since >= FORMER_TIME)
    return;
  b->tokens -= debt_of (ask, sum) - debt_of (ask, b->former);
  b->former = sum;
}

/* Removes the gateways that no longer ask B for PRIORITY or higher, and returns
 * the others' number. */
static guint
count_asking (Bucket *b, guint priority, gint64 now)
{
  GHashTableIter i;
  gpointer value;
  guint n = 0;

  for (guint p = 0; p <= priority; p++)
    {
      g_hash_table_iter_init (&i, b->asking[p]);
      while (g_hash_table_iter_next (&i, NULL, &value))
        if (now - *(gint64 *) value >= DEMAND_TIME)
          g_hash_table_iter_remove (&i);
      n += g_hash_table_size (b->asking[p]);
    }
  return n;
}

/* Forgets the upstreams that nobody asks for. */
static void
remove_unused (CcLimitTokens *t, gint64 now)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, t->buckets);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (now - ((Bucket *) value)->updated >= KEPT_FOR)
      g_hash_table_iter_remove (&i);
}

/* Returns the bucket for ASK, which begins empty. */
static Bucket *
find_bucket (CcLimitTokens *t, const CcLimitAsk *ask, gint64 now)
{
  Bucket *b = g_hash_table_lookup (t->buckets, ask->id);

  if (b != NULL && b->born == ask->born)
    return b;
  remove_unused (t, now);
  b = g_new0 (Bucket, 1);
  b->born = ask->born;
  b->updated = now;
  for (guint p = 0; p < CC_LIMIT_PRIORITIES; p++)
    b->asking[p] =
        g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  b->answers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (ask->burst.size > 0)
    b->cold_since = now;
  g_hash_table_replace (t->buckets, g_strdup (ask->id), b);
  return b;
}

/* Returns the requests a second that PRIORITY may take of RATE. */
static double
rate_of_priority (const Bucket *b, guint priority, double rate)
{
  double higher = 0;

  for (guint p = 0; p < priority; p++)
    higher += b->demand[p];
  return MAX (rate - higher, 0.0);
}

/* Refills B at NOW, and counts the demand of ASK. */
static void
update (Bucket *b, const CcLimitAsk *ask, gint64 now)
{
  double passed = (double) MAX (now - b->updated, 0);
  double kept = exp (-passed / (double) DEMAND_TIME);
  double burst = burst_of (ask);

  for (guint p = 0; p < CC_LIMIT_PRIORITIES; p++)
    {
      double rate = rate_of_priority (b, p, ask->rate);

      b->of_priority[p] = MIN (b->of_priority[p] + rate * passed / 1e6, burst);
    }
  for (guint p = 0; p < CC_LIMIT_PRIORITIES; p++)
    b->demand[p] =
        kept * b->demand[p] + ask->demand[p] * 1e6 / (double) DEMAND_TIME;
  b->tokens = MIN (b->tokens + ask->rate * passed / 1e6, burst);
  b->updated = MAX (b->updated, now);
  g_hash_table_insert (b->asking[MIN (ask->priority, CC_LIMIT_PRIORITIES - 1)],
                       g_strdup (ask->gateway), g_memdup2 (&now, sizeof now));
}

/* Returns when the sender of ASK, which gets nothing, should ask again: when
 * there is a token, at random moments of the time in which all that ask get
 * one. */
static gint64
wait_of (Bucket *b, const CcLimitAsk *ask, guint priority, gint64 now)
{
  double rate = rate_of_priority (b, priority, ask->rate);
  double least = MAX (rate, ask->rate / 10);
  double missing =
      1.0 - MIN (b->tokens, rate > 0 ? b->of_priority[priority] : 1.0);
  double others = count_asking (b, priority, now) - 1.0;
  double wait =
      (MAX (missing, 0.0) + g_random_double () * MAX (others, 0.0) / 4) / least;

  return (gint64) fmin (fmax (wait * 1e6, WAIT_MIN), WAIT_MAX);
}

/* Returns the tokens that the request of PRIORITY in ASK may have.  A full
 * bucket shows that those of higher priority do not take it all. */
static double
available (const Bucket *b, guint priority, const CcLimitAsk *ask)
{
  double rate = ask->rate, burst = burst_of (ask);
  double higher = rate - rate_of_priority (b, priority, rate);
  /* A small bucket must hold one token more than are kept. */
  double kept = higher > KEPT_FROM * rate ? MIN (KEPT, burst - 1.0) : 0.0;
  double most = b->tokens >= burst ? b->tokens : b->of_priority[priority];

  return MAX (MIN (b->tokens - kept, most), 0.0);
}

/* Removes the answers that no question asks for again. */
static void
remove_answers (Bucket *b, gint64 now)
{
  GHashTableIter i;
  gpointer value;

  g_hash_table_iter_init (&i, b->answers);
  while (g_hash_table_iter_next (&i, NULL, &value))
    if (now - ((LastAnswer *) value)->at >= REPEATS_FOR)
      g_hash_table_iter_remove (&i);
}

/* Returns whether ASK has arrived before, or after a later question of its
 * gateway, and sets *GRANT to what it has got or gets. */
static gboolean
is_repeated (const Bucket *b, const CcLimitAsk *ask, gint64 now,
             CcLimitGrant *grant)
{
  const LastAnswer *last =
      ask->number != 0 ? g_hash_table_lookup (b->answers, ask->gateway) : NULL;

  if (last == NULL || now - last->at >= REPEATS_FOR ||
      (gint32) (ask->number - last->number) > 0)
    return FALSE;
  *grant = ask->number == last->number ? last->grant : (CcLimitGrant){ 0 };
  return TRUE;
}

/* Keeps GRANT, the answer to ASK, in case that the same question comes again.
 */
static void
keep_answer (Bucket *b, const CcLimitAsk *ask, CcLimitGrant grant, gint64 now)
{
  LastAnswer *a;

  if (ask->number == 0)
    return;
  remove_answers (b, now);
  a = g_new0 (LastAnswer, 1);
  *a = (LastAnswer){ ask->number, now, grant };
  g_hash_table_replace (b->answers, g_strdup (ask->gateway), a);
}

/* Answers ASK at NOW, us, from B. */
static CcLimitGrant
answer (Bucket *b, const CcLimitAsk *ask, gint64 now)
{
  guint priority = MIN (ask->priority, CC_LIMIT_PRIORITIES - 1);
  CcLimitGrant grant = { 0 };

  update (b, ask, now);
  grant.granted = (guint) MIN (available (b, priority, ask), ask->wanted);
  if (grant.granted == 0 && ask->wanted > 0)
    {
      grant.wait = wait_of (b, ask, priority, now);
      return grant;
    }
  b->tokens -= grant.granted;
  b->of_priority[priority] =
      MAX (b->of_priority[priority] - grant.granted, 0.0);
  return grant;
}

/* Answers ASK at NOW, us. */
CcLimitGrant
cc_limit_tokens_ask (CcLimitTokens *t, const CcLimitAsk *ask, gint64 now)
{
  Bucket *b = find_bucket (t, ask, now);
  CcLimitGrant grant;

  if (is_repeated (b, ask, now, &grant))
    return grant;
  if (ask->burst.size > 0)
    {
      /* Others have learned first that the upstream has turned cold again. */
      if (!ask->burst.known && now - b->updated >= FORMER_TIME)
        begin_cold (b, now);
      if (ask->burst.full && now - b->cold_since < FORMER_TIME)
        fill (b, ask);
      add_former (b, ask, now);
    }
  grant = answer (b, ask, now);
  keep_answer (b, ask, grant, now);
  return grant;
}
