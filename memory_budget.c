/* Decides whether a process may hold the bytes of one more request.
 *
 * Load pattern: hundreds of callers upload bodies over slow links, hundreds of
 * others do not read their answers, and small requests arrive among them.  The
 * process is killed if it exceeds its memory, which loses all of them, so new
 * requests are refused before.
 *
 * Answers are never refused: the work is done.  They leave less for new
 * requests, and so does what the answers to requests in progress are likely to
 * take (answer_sizes.h).  Of these, the least urgent are refused first: a
 * priority may fill a smaller part of the bound than the next more urgent one.
 * Large requests of any priority leave a part of the bound to small ones, since
 * a few large bodies would otherwise shut out thousands of small requests. */
#include "memory_budget.h"

#include <math.h>

#include "metrics.h"

#define MB (1024.0 * 1024.0)
/* Part of the process's memory that it uses.  The rest is for the kernel's
 * socket buffers, for fragmentation, and for answers to the requests that were
 * accepted just below the bound. */
#define USED_RATIO 0.55
/* Part of this for code, rows and idle connections, bytes.  A gateway of a
 * small fleet takes 15 MB before its first request. */
#define PROCESS_BASE (24 * MB)
/* A smaller setting leaves at least this part of the memory. */
#define BOUND_RATIO_MIN 0.1
/* Parts of the bound that requests may fill: of the most urgent, and of the
 * least urgent ones.  A priority takes PRIORITY_STEP of the range that is left
 * below the one before, so that each has less, however many there are. */
#define SMALL_MOST 1.0
#define SMALL_LEAST 0.75
#define LARGE_MOST 0.7
#define LARGE_LEAST 0.35
#define PRIORITY_STEP 0.2
/* Largest part of the bound that is reserved for one answer: large answers may
 * not keep an idle process from serving their requests. */
#define EXPECTED_MAX 0.05

struct CcMemoryBudget
{
  gsize bound; /* bytes; 0: none */
  gsize held[CC_MEMORY_KINDS];
};

/* Reads the memory of a process in MB from SETTING and sets *BOUND to the bytes
 * that it may hold for callers and upstreams; 0, without a bound, for "0" or an
 * empty text.  Returns FALSE, with *BOUND 0, if SETTING is no valid number. */
gboolean
cc_memory_bound_parse (const char *setting, gsize *bound)
{
  char *end;
  double memory = g_ascii_strtod (setting, &end) * MB;

  *bound = 0;
  if (*end != '\0' || !isfinite (memory) || memory < 0 ||
      memory > (double) G_MAXSSIZE)
    return FALSE;
  *bound = (gsize) MAX (USED_RATIO * memory - PROCESS_BASE,
                        BOUND_RATIO_MIN * memory);
  return TRUE;
}

/* Returns a budget of BOUND bytes of which nothing is used; 0: no bound. */
CcMemoryBudget *
cc_memory_budget_new (gsize bound)
{
  CcMemoryBudget *b = g_new0 (CcMemoryBudget, 1);

  b->bound = bound;
  return b;
}

/* Frees B. */
void
cc_memory_budget_free (CcMemoryBudget *b)
{
  g_free (b);
}

/* Returns the sum of the bytes held of all kinds. */
static gsize
held_of_all (const CcMemoryBudget *b)
{
  gsize held = 0;

  for (guint i = 0; i < CC_MEMORY_KINDS; i++)
    held += b->held[i];
  return held;
}

/* Returns the bytes up to which a request of PRIORITY that holds SIZE may fill
 * B. */
static gsize
limit_of (const CcMemoryBudget *b, guint priority, gsize size)
{
  gboolean large = size > CC_MEMORY_LARGE;
  double most = large ? LARGE_MOST : SMALL_MOST;
  double least = large ? LARGE_LEAST : SMALL_LEAST;
  double part = least + (most - least) * pow (1.0 - PRIORITY_STEP, priority);

  return (gsize) (part * (double) b->bound);
}

/* Whether BYTES fit into B beside EXTRA, for a request of PRIORITY that holds
 * HELD. */
static gboolean
fits (const CcMemoryBudget *b, guint priority, gsize held, gsize bytes,
      gsize extra)
{
  gsize all = held_of_all (b) + extra;

  if (bytes > G_MAXSIZE - MAX (all, held))
    return FALSE;
  return b->bound == 0 || all + bytes <= limit_of (b, priority, held + bytes);
}

/* Lets a request of PRIORITY, which holds HELD bytes, hold BYTES more.  Returns
 * FALSE, with nothing changed, if they do not fit. */
gboolean
cc_memory_budget_grow (CcMemoryBudget *b, guint priority, gsize held,
                       gsize bytes)
{
  if (!fits (b, priority, held, bytes, 0))
    return FALSE;
  b->held[CC_MEMORY_REQUESTS] += bytes;
  return TRUE;
}

/* Reserves BYTES for a new request of PRIORITY, and *ANSWER for its answer,
 * which is lowered to what is reserved for it.  Returns FALSE, with nothing
 * reserved, if they do not fit. */
gboolean
cc_memory_budget_reserve (CcMemoryBudget *b, guint priority, gsize bytes,
                          gsize *answer)
{
  *answer = MIN (*answer, (gsize) (EXPECTED_MAX * (double) b->bound));
  if (!fits (b, priority, 0, bytes, *answer))
    {
      *answer = 0;
      return FALSE;
    }
  b->held[CC_MEMORY_REQUESTS] += bytes;
  b->held[CC_MEMORY_EXPECTED] += *answer;
  return TRUE;
}

/* Adds BYTES of KIND, which can't be refused. */
void
cc_memory_budget_add (CcMemoryBudget *b, CcMemoryKind kind, gsize bytes)
{
  b->held[kind] += bytes;
}

/* Releases BYTES of KIND, which were reserved or added before. */
void
cc_memory_budget_release (CcMemoryBudget *b, CcMemoryKind kind, gsize bytes)
{
  g_return_if_fail (b->held[kind] >= bytes);
  b->held[kind] -= bytes;
}

/* Whether B has a bound. */
gboolean
cc_memory_budget_is_bounded (const CcMemoryBudget *b)
{
  return b->bound > 0;
}

/* The bytes of KIND that are held. */
gsize
cc_memory_budget_held (const CcMemoryBudget *b, CcMemoryKind kind)
{
  return b->held[kind];
}

/* Sets the gauges of B. */
void
cc_memory_budget_write_gauges (const CcMemoryBudget *b)
{
  static const char *const labels[CC_MEMORY_KINDS] = {
    [CC_MEMORY_REQUESTS] = "kind=\"requests\"",
    [CC_MEMORY_EXPECTED] = "kind=\"expected\"",
    [CC_MEMORY_ARRIVING] = "kind=\"arriving\"",
    [CC_MEMORY_UNREAD] = "kind=\"unread\"",
  };

  for (guint i = 0; i < CC_MEMORY_KINDS; i++)
    cc_metrics_gauge ("capercrank_held_bytes", labels[i], (double) b->held[i]);
  cc_metrics_gauge ("capercrank_held_bytes_bound", "", (double) b->bound);
}
