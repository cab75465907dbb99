/* Names of the public header's values. */
#include "capercrank.h"

/* Returns the name of OUTCOME as it stands in the answer's header. */
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
