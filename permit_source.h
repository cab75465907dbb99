/* Which owners of keys are overloaded, and the permits for requests to them, in
 * the gateway that grants these. */
#ifndef CC_PERMIT_SOURCE_H
#define CC_PERMIT_SOURCE_H

#include "owner_window.h"

/* An owner of keys, as one of its requests knows it. */
typedef struct
{
  const char *id;
  guint64 born; /* identifies its start */
  guint slots;  /* requests that it works on at once */
  const char *zone;
} CcPermitOwner;

/* A gateway asks for permits of an owner. */
typedef struct
{
  CcPermitOwner owner;
  const char *address; /* of the gateway that asks */
  guint32 number;      /* the same one again gets the same answer, one before
                          the last nothing */
  CcPermitAsk ask;
} CcPermitQuestion;

typedef struct CcPermitSource CcPermitSource;

/* Called when the gateways are to be notified that OWNER is overloaded. */
typedef void (*CcPermitNotify) (const CcPermitOwner *owner, gpointer data);

CcPermitSource *cc_permit_source_new (void);
void cc_permit_source_free (CcPermitSource *s);
gboolean cc_permit_source_owner_full (CcPermitSource *s,
                                      const CcPermitOwner *owner, gint64 now);
gboolean cc_permit_source_ask (CcPermitSource *s, const CcPermitQuestion *q,
                               gint64 now, CcPermitGrant *grant);
void cc_permit_source_ended (CcPermitSource *s, const CcPermitOwner *owner,
                             const CcOwnerReport *report, gint64 now);
guint cc_permit_source_tick (CcPermitSource *s, gint64 now,
                             CcPermitNotify notify, gpointer data);

#endif
