/* Determines whether a dispatcher without a lease has stopped, see cut_off.c.
 */
#ifndef CC_CUT_OFF_H
#define CC_CUT_OFF_H

#include "roster.h"

gboolean cc_cut_off_has_stopped (const CcRoster *r, const char *id);

#endif
