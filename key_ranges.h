/* Which upstream owns which range of a pool's keys. */
#ifndef CC_KEY_RANGES_H
#define CC_KEY_RANGES_H

#include "view.h"

#define CC_RANGE_PREFIX "range/"

/* A range of keys, FROM to TO inclusive, and its owner. */
typedef struct
{
  guint from;
  guint to;
  char *owner;   /* id of an upstream */
  guint64 born;  /* start of the owner's process, which a grant must match */
  guint64 fence; /* rises with each change of owner */
  char
      *previous; /* previous owner, which may still hold the keys; NULL: none */
  guint64 previous_fence;
  guint64 version; /* of the row; 0: not written */
  guint row_to;    /* last key by the row; TO is less if another range begins
                      before */
  /* Set by granted_pool.c before a plan, not in the row: */
  gboolean settling; /* not granted yet or moved recently; not moved for load */
  gboolean locked; /* not changed at all, because a call is pending or its owner
                      unconfirmed */
} CcKeyRange;

/* The ranges of one pool, ordered by key, without overlap. */
typedef struct
{
  GPtrArray *list;   /* of CcKeyRange */
  guint64 fence_min; /* fences are above this */
} CcKeyRanges;

CcKeyRange *cc_key_range_new (guint from, guint to, const char *owner,
                              guint64 born, guint64 fence);
CcKeyRange *cc_key_range_copy (const CcKeyRange *r);
void cc_key_range_free (gpointer range);
void cc_key_range_move (CcKeyRange *r, const char *owner, guint64 born,
                        guint64 fence);
char *cc_key_range_key (const char *pool, const CcKeyRange *r);
char *cc_key_range_text (const CcKeyRange *r);
gboolean cc_key_range_is_in (const char *key, const char *pool);

void cc_key_ranges_init (CcKeyRanges *r);
void cc_key_ranges_clear (CcKeyRanges *r);
void cc_key_ranges_apply_row (CcKeyRanges *r, const CcRow *row);
void cc_key_ranges_read (CcKeyRanges *r, const CcView *v, const char *pool);
void cc_key_ranges_fill_gaps (CcKeyRanges *r);
CcKeyRange *cc_key_ranges_find (const CcKeyRanges *r, guint key);
guint64 cc_key_ranges_top_fence (const CcKeyRanges *r);

#endif
