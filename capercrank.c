/* Text form of the outcomes, as callers and metrics see them. */
#include "capercrank.h"

/* Returns the name of OUTCOME, as in the header CC_HDR_OUTCOME. */
const char *
cc_outcome_name (CcOutcome outcome)
{
  switch (outcome)
    {
    case CC_OUTCOME_RUN:
      return "run";
    case CC_OUTCOME_NOT_RUN:
      return "not-run";
    case CC_OUTCOME_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}
