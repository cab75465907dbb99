/* A version is the number of the transaction that wrote the row, below the era
 * of the service in the higher bits.
 *
 * Failure: the service loses its latest writes, since it comes back from an
 * older copy, and gives their numbers out again.  Copies that hold the lost
 * rows ignore what is written next, and a condition on a lost row may hold for
 * another one with its number.  The era rises with each such loss, so versions
 * that are compared as a whole order all rows, whoever passes them on. */
#include "row_version.h"

#define NUMBER_BITS 40

/* Returns the version of the transaction NUMBER of ERA; 0, no version, for
 * number 0. */
guint64
cc_row_version (guint64 era, guint64 number)
{
  return number == 0 ? 0 : era << NUMBER_BITS | number;
}

/* Returns the era of VERSION. */
guint64
cc_row_era (guint64 version)
{
  return version >> NUMBER_BITS;
}

/* Returns the number of VERSION within its era. */
guint64
cc_row_number (guint64 version)
{
  return version & (((guint64) 1 << NUMBER_BITS) - 1);
}
