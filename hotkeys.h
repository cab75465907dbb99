/* The most frequent keys of a stream, found in bounded memory. */
#ifndef CC_HOTKEYS_H
#define CC_HOTKEYS_H

#include <glib.h>

/* Keys counted at once.  Every key with more than 1/64 of the stream is among
 * them for certain (see hotkeys.c); a key worth a unit of its own has ten
 * times that. */
#define CC_HOTKEYS_COUNTERS 64

typedef struct
{
  guint64 hash;
  guint unit;   /* of the key when it was last seen */
  double count; /* never below the true one, decayed */
  double error; /* by how much the count may be above the true one */
} CcHotKey;

typedef struct
{
  CcHotKey keys[CC_HOTKEYS_COUNTERS];
  guint used; /* keys that hold a count */
} CcHotKeys;

void cc_hotkeys_init (CcHotKeys *h);
void cc_hotkeys_add (CcHotKeys *h, guint64 hash, guint unit);
void cc_hotkeys_decay (CcHotKeys *h, double factor);

#endif
