/* Which upstream owns which range of a pool's keys. */
#ifndef CC_KEY_RANGES_H
#define CC_KEY_RANGES_H

#include "view.h"

#define CC_RANGE_PREFIX "range/"

/* Keys FROM to TO, both included, and their owner. */
typedef struct
{
  guint from;
  guint to;
  char *owner;    /* id of an upstream */
  guint64 born;   /* the life of the owner that the keys are meant for */
  guint64 fence;  /* counts the holders; rises with each change */
  char *previous; /* who may still hold them; NULL: nobody but the owner */
  guint64 previous_fence;
  guint64 version; /* of the row; 0: not written yet */
  guint row_to;    /* the last key by the row; TO may be less */
  /* Not in the row: */
  gboolean settling; /* moved lately, not to be moved for load */
  gboolean
      locked; /* a call about it is in progress, not to be changed at all */
} CcKeyRange;

/* The ranges of one pool, in order of keys, without overlap. */
typedef struct
{
  GPtrArray *list; /* of CcKeyRange */
} CcKeyRanges;

CcKeyRange *cc_key_range_new (guint from, guint to, const char *owner,
                              guint64 born, guint64 fence);
CcKeyRange *cc_key_range_copy (const CcKeyRange *r);
void cc_key_range_free (gpointer range);
void cc_key_range_move (CcKeyRange *r, const char *owner, guint64 born,
                        guint64 fence);
char *cc_key_range_key (const char *pool, const CcKeyRange *r);
char *cc_key_range_text (const CcKeyRange *r);

void cc_key_ranges_init (CcKeyRanges *r);
void cc_key_ranges_clear (CcKeyRanges *r);
void cc_key_ranges_apply_row (CcKeyRanges *r, const CcRow *row);
void cc_key_ranges_read (CcKeyRanges *r, const CcView *v, const char *pool);
void cc_key_ranges_fill_gaps (CcKeyRanges *r);
CcKeyRange *cc_key_ranges_find (const CcKeyRanges *r, guint key);
guint64 cc_key_ranges_top_fence (const CcKeyRanges *r);

#endif
