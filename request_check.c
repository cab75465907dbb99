/* Validates a request's headers.  All errors are collected, each with the
 * header's name, so that the caller can correct them at once.  No state is kept
 * and nothing is sent here. */
#include "request_check.h"

#include <string.h>

#include "clock.h"
#include "headers.h"
#include "outcome.h"

#define HEADERS_USUAL 512 /* initial size of the buffer, bytes */

typedef struct
{
  SoupMessageHeaders *headers;
  CcFindings *findings;
} Check;

/* Checks a name in HEADER: UTF-8, of limited length, without quotes and
 * backslashes. */
static void
check_name (Check *c, const char *header, gboolean required)
{
  const char *value = soup_message_headers_get_one (c->headers, header);

  if (value == NULL || value[0] == '\0')
    {
      if (required)
        cc_findings_add (c->findings, header, "is required");
      return;
    }
  if (strlen (value) > CC_NAME_MAX || !g_utf8_validate (value, -1, NULL) ||
      strpbrk (value, "\"\\") != NULL)
    cc_findings_add (c->findings, header,
                     "must be UTF-8 of at most %d bytes without quotes",
                     CC_NAME_MAX);
}

static void
check_key (Check *c)
{
  const char *key = soup_message_headers_get_one (c->headers, CC_HDR_KEY);

  if (key == NULL || key[0] == '\0')
    cc_findings_add (c->findings, CC_HDR_KEY, "is required");
  else if (strlen (key) > CC_KEY_MAX)
    cc_findings_add (c->findings, CC_HDR_KEY, "has over %d bytes", CC_KEY_MAX);
}

/* If two parsers disagree on the length of a body, its rest may be parsed as
 * another request: request smuggling (RFC 9112, 6.3). */
static void
check_length (Check *c)
{
  const char *length =
      soup_message_headers_get_list (c->headers, "Content-Length");
  gboolean coded =
      soup_message_headers_get_one (c->headers, "Transfer-Encoding") != NULL;

  if (length == NULL)
    return;
  if (coded || length[0] == '\0' ||
      strspn (length, "0123456789") != strlen (length))
    cc_findings_add (c->findings, "Content-Length",
                     "must be one whole number, without Transfer-Encoding");
}

/* The class that the headers name, or NULL. */
static const CcClass *
check_class (Check *c, const CcDocument *d)
{
  const char *name = soup_message_headers_get_one (c->headers, CC_HDR_CLASS);
  const CcClass *class = name != NULL ? cc_document_class (d, name) : NULL;

  check_name (c, CC_HDR_CLASS, TRUE);
  if (class == NULL && name != NULL && name[0] != '\0')
    cc_findings_add (c->findings, CC_HDR_CLASS,
                     "no class of that name is configured");
  return class;
}

/* Checks that a once-only request has an idempotency key that is a UUID of
 * version 7 and not from the future. */
static void
check_idempotency (Check *c, const CcClass *class)
{
  const char *key =
      soup_message_headers_get_one (c->headers, CC_HDR_IDEMPOTENCY);
  gint64 wall;

  if (class == NULL || !class->once_only)
    return;
  if (key == NULL || !cc_idempotency_time (key, &wall))
    cc_findings_add (c->findings, CC_HDR_IDEMPOTENCY,
                     "a UUID of version 7 is required for this class");
  /* The tolerance includes the skew between instances: the dispatcher's clock
   * may be ahead of this one, and it may have run the key already. */
  else if (wall > cc_clock_wall () + CC_SKEW_MAX + CC_INSTANCE_SKEW_MAX)
    cc_findings_add (c->findings, CC_HDR_IDEMPOTENCY,
                     "its time is in the future, set the caller's clock");
}

/* The time to the deadline, us; 0 or less if it has passed. */
static gint64
check_timeout (Check *c, const CcClass *class)
{
  const char *text = soup_message_headers_get_one (c->headers, CC_HDR_TIMEOUT);
  gint64 max = class != NULL ? class->timeout : CC_SECOND;
  gint64 ms;

  if (text == NULL)
    return max;
  if (!g_ascii_string_to_signed (text, 10, G_MININT32, G_MAXINT32, &ms, NULL))
    {
      cc_findings_add (c->findings, CC_HDR_TIMEOUT,
                       "must be a whole number of milliseconds");
      return max;
    }
  return MIN (ms * CC_MS, max);
}

/* Returns all headers packed, and checks their encoding and total size. */
static GVariant *
copy_headers (Check *c)
{
  SoupMessageHeadersIter iter;
  const char *name, *value;
  GString *packed = g_string_sized_new (HEADERS_USUAL);
  gsize size = 0;

  soup_message_headers_iter_init (&iter, c->headers);
  while (soup_message_headers_iter_next (&iter, &name, &value))
    {
      size += strlen (name) + strlen (value);
      if (!g_utf8_validate (value, -1, NULL))
        cc_findings_add (c->findings, name, "is not UTF-8");
      else
        cc_headers_add (packed, name, value);
    }
  if (size > CC_HEADERS_MAX)
    cc_findings_add (c->findings, "headers", "have over %d bytes",
                     CC_HEADERS_MAX);
  return cc_headers_take (packed);
}

/* Validates the headers H against the document D and fills in R.  Adds each
 * error to F; if there is any, R is valid only for cc_checked_clear. */
void
cc_request_check (SoupMessageHeaders *h, const CcDocument *d, CcFindings *f,
                  CcCheckedRequest *r)
{
  Check c = { h, f };

  r->class = check_class (&c, d);
  check_length (&c);
  check_key (&c);
  check_name (&c, CC_HDR_TENANT, FALSE);
  check_idempotency (&c, r->class);
  r->left = check_timeout (&c, r->class);
  r->headers = copy_headers (&c);
}

/* Frees the contents of R. */
void
cc_checked_clear (CcCheckedRequest *r)
{
  g_clear_pointer (&r->headers, g_variant_unref);
}
