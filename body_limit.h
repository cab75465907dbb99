/* Refuses requests for their bodies, before these are read. */
#ifndef CC_BODY_LIMIT_H
#define CC_BODY_LIMIT_H

#include <libsoup/soup.h>

/* An answer to a request that is refused before its body was read. */
typedef struct
{
  const char *status;  /* code and phrase */
  const char *headers; /* each line ends in CRLF */
  const char *body;    /* JSON */
} CcBodyRefusal;

void cc_body_limit (SoupServerMessage *m, gsize max);
void cc_body_refuse (SoupServerMessage *m, const CcBodyRefusal *r);
void cc_body_refuse_too_large (SoupServerMessage *m);
gboolean cc_body_is_refused (SoupServerMessage *m);

#endif
