/* Bounds the write time of rows by their versions.  Failure: a process is late
 * to receive the update that an upstream is leaving, since the peer whose copy
 * it follows was lost, and takes the receipt of the update as the start of
 * the time for which that upstream continues to serve.  It then sends requests
 * there after the upstream has exited.
 *
 * Updates carry no time, but a version, and all versions come from one counter.
 * Each response of the table service names the newest version at that moment,
 * so a row with a higher version was written later.  This bounds the row's age
 * however late it arrives and from whichever peer, without comparing the clocks
 * of two machines. */
#include "version_clock.h"

#include <string.h>

#include "row_version.h"

/* Records that at AT, us, no version above VERSION had been written. */
void
cc_version_clock_record (CcVersionClock *c, guint64 version, gint64 at)
{
  CcVersionMark *last = c->count > 0 ? &c->marks[c->count - 1] : NULL;

  if (last != NULL && (at <= last->at || version < last->version))
    return;
  if (c->count > 1 && last->at - last[-1].at < CC_VERSION_SPACING)
    {
      *last = (CcVersionMark){ version, at };
      return;
    }
  if (c->count == CC_VERSION_MARKS)
    memmove (c->marks, c->marks + 1, --c->count * sizeof c->marks[0]);
  c->marks[c->count++] = (CcVersionMark){ version, at };
}

/* Returns the latest known time, us, after which the row with VERSION was
 * written; CC_TIME_UNKNOWN if none is known.
 *
 * A mark of an earlier era tells nothing: the row may have been written before
 * it, and read again after the service had lost the writes since. */
gint64
cc_version_clock_written_after (const CcVersionClock *c, guint64 version)
{
  for (guint i = c->count; i > 0; i--)
    if (c->marks[i - 1].version < version &&
        cc_row_era (c->marks[i - 1].version) == cc_row_era (version))
      return c->marks[i - 1].at;
  return CC_TIME_UNKNOWN;
}

/* Returns the newest mark; one of version 0 at CC_TIME_UNKNOWN if there is
 * none. */
CcVersionMark
cc_version_clock_newest (const CcVersionClock *c)
{
  return c->count > 0 ? c->marks[c->count - 1]
                      : (CcVersionMark){ 0, CC_TIME_UNKNOWN };
}
