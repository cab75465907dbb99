/* Bounds the bytes that a process holds for callers and upstreams. */
#ifndef CC_MEMORY_BUDGET_H
#define CC_MEMORY_BUDGET_H

#include <glib.h>

/* What bytes are held for. */
typedef enum
{
  CC_MEMORY_REQUESTS, /* requests of callers, with their bodies */
  CC_MEMORY_EXPECTED, /* answers that these are likely to get */
  CC_MEMORY_ARRIVING, /* answers that are being received from upstreams */
  CC_MEMORY_UNREAD,   /* complete answers that callers have not read */
  CC_MEMORY_KINDS     /* number of kinds */
} CcMemoryKind;

/* A request that holds more than this is large, bytes. */
#define CC_MEMORY_LARGE ((gsize) 32 * 1024)

typedef struct CcMemoryBudget CcMemoryBudget;

gboolean cc_memory_bound_parse (const char *setting, gsize *bound);
CcMemoryBudget *cc_memory_budget_new (gsize bound);
void cc_memory_budget_free (CcMemoryBudget *b);
gboolean cc_memory_budget_reserve (CcMemoryBudget *b, guint priority,
                                   gsize bytes, gsize *answer);
gboolean cc_memory_budget_grow (CcMemoryBudget *b, guint priority, gsize held,
                                gsize bytes);
void cc_memory_budget_add (CcMemoryBudget *b, CcMemoryKind kind, gsize bytes);
void cc_memory_budget_release (CcMemoryBudget *b, CcMemoryKind kind,
                               gsize bytes);
gboolean cc_memory_budget_is_bounded (const CcMemoryBudget *b);
gsize cc_memory_budget_held (const CcMemoryBudget *b, CcMemoryKind kind);
void cc_memory_budget_write_gauges (const CcMemoryBudget *b);

#endif
