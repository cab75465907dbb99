/* Callers repeat a request that must run once if the status code of its answer
 * promises that it has not run and never will.  So "not run" has one meaning:
 * nothing of the request was sent, or the upstream has refused it, by the
 * header for that or by 421.  The status of any other answer proves nothing: an
 * upstream that fails after the work, or a program in front of it, answers 503
 * as well. */
#include "answer_rule.h"

#include <libsoup/soup.h>

/* RFC 6585 and RFC 9110; libsoup has no constants for these. */
#define STATUS_MISDIRECTED 421
#define STATUS_TOO_MANY_REQUESTS 429

#define STATUS_FINAL_MIN 200
#define STATUS_MAX 599

/* Reason of an answer in place of one that promises more than is proved. */
#define UNPROVEN "answer-unproven"

/* Whether STATUS is one that HTTP defines for final answers (RFC 9110, section
 * 15).  Parsers accept others, which tell nothing of the request. */
gboolean
cc_status_is_final (guint status)
{
  return status >= STATUS_FINAL_MIN && status <= STATUS_MAX;
}

/* Whether STATUS tells a caller that its request has not run and never will. */
gboolean
cc_status_promises_not_run (guint status)
{
  return status == SOUP_STATUS_SERVICE_UNAVAILABLE ||
         status == STATUS_TOO_MANY_REQUESTS ||
         status == SOUP_STATUS_REQUEST_TIMEOUT || status == STATUS_MISDIRECTED;
}

/* Returns what the answer A to a request that was sent means. */
CcServerReplyKind
cc_answer_kind (const CcAnswerHead *a)
{
  /* On a reused connection an answer that names no request may be a surplus
   * answer to the previous one; on a new connection there is none. */
  if (a->echo == CC_ECHO_OTHER || (a->echo == CC_ECHO_NONE && a->reused))
    return CC_SERVER_MISMATCHED;
  if (a->status == STATUS_MISDIRECTED)
    return CC_SERVER_MISDIRECTED;
  /* One that states both may have run. */
  if (a->refused && SOUP_STATUS_IS_SUCCESSFUL (a->status))
    return CC_SERVER_UNPROVEN;
  if (a->refused)
    return a->status == SOUP_STATUS_BAD_REQUEST ? CC_SERVER_ANSWERED
                                                : CC_SERVER_SHED;
  if (!a->is_signed)
    return CC_SERVER_MISMATCHED;
  return cc_status_promises_not_run (a->status) ? CC_SERVER_UNPROVEN
                                                : CC_SERVER_ANSWERED;
}

/* Returns what the caller is told of a request that ended as E. */
CcToldAnswer
cc_told_answer (const CcExchangeResult *e)
{
  CcToldAnswer told = { .status = SOUP_STATUS_BAD_GATEWAY,
                        .reason = e->reason };

  switch (e->kind)
    {
    case CC_EXCHANGE_ANSWERED:
      /* The proof stands behind NOT_RUN alone. */
      told.passed_on = !cc_status_promises_not_run (e->status);
      if (told.passed_on)
        told.status = e->status;
      else
        told.reason = UNPROVEN;
      break;
    case CC_EXCHANGE_NOT_RUN:
      told.status = SOUP_STATUS_SERVICE_UNAVAILABLE;
      told.retry_after = e->retry_after;
      break;
    case CC_EXCHANGE_UNKNOWN:
      if (g_str_equal (e->reason, "deadline"))
        told.status = SOUP_STATUS_GATEWAY_TIMEOUT;
      break;
    }
  return told;
}
