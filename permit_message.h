/* The messages by which gateways report overloaded owners and ask for permits.
 */
#ifndef CC_PERMIT_MESSAGE_H
#define CC_PERMIT_MESSAGE_H

#include "permit_source.h"

/* The gateway at ADDRESS has found the queue of OWNER full. */
typedef struct
{
  CcPermitOwner owner;
  const char *address;
} CcOwnerFull;

/* Requests to OWNER need permits, or no longer. */
typedef struct
{
  CcPermitOwner owner;
  const char *address; /* of the gateway that grants the permits */
  gboolean overloaded;
} CcOwnerOverloaded;

typedef struct
{
  CcPermitOwner owner;
  guint32 number; /* of the question */
  gboolean overloaded;
  CcPermitGrant grant;
} CcPermitAnswer;

/* A request to OWNER has ended. */
typedef struct
{
  CcPermitOwner owner;
  CcOwnerReport report;
} CcPermitEnded;

/* A message of any kind, with what its strings refer to. */
typedef struct
{
  enum
  {
    CC_PERMIT_MESSAGE_NONE, /* the datagram holds no message of this page */
    CC_PERMIT_MESSAGE_FULL,
    CC_PERMIT_MESSAGE_OVERLOADED,
    CC_PERMIT_MESSAGE_QUESTION,
    CC_PERMIT_MESSAGE_ANSWER,
    CC_PERMIT_MESSAGE_ENDED
  } kind;
  union
  {
    CcOwnerFull full;
    CcOwnerOverloaded overloaded;
    CcPermitQuestion question;
    CcPermitAnswer answer;
    CcPermitEnded ended;
  };
  GVariant *payload;
} CcPermitMessage;

GBytes *cc_permit_message_write (const CcPermitMessage *m);
void cc_permit_message_read (GBytes *datagram, CcPermitMessage *m);
void cc_permit_message_clear (CcPermitMessage *m);

#endif
