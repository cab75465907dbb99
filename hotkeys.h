/* Finds the most frequent keys of a stream in bounded memory. */
#ifndef CC_HOTKEYS_H
#define CC_HOTKEYS_H

#include <glib.h>

/* Number of keys counted at once.  Every key with more than 1/64 of the stream
 * is guaranteed to be among them (see hotkeys.c); a key that justifies a unit
 * of its own has ten times that. */
#define CC_HOTKEYS_COUNTERS 64

typedef struct
{
  guint64 hash;
  guint unit;   /* of the key when it last arrived */
  double count; /* decayed; an upper bound of the true count */
  double error; /* maximum excess of the count over the true one */
} CcHotKey;

typedef struct
{
  CcHotKey keys[CC_HOTKEYS_COUNTERS];
  guint used; /* number of counters in use */
} CcHotKeys;

void cc_hotkeys_init (CcHotKeys *h);
void cc_hotkeys_add (CcHotKeys *h, guint64 hash, guint unit);
void cc_hotkeys_decay (CcHotKeys *h, double factor);

#endif
