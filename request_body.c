/* The announced length of a body is reserved when its head was read, a chunked
 * body grows as it arrives, and each request also reserves what its connection
 * and its message take.
 *
 * Failure: libsoup keeps each piece of a body that it reads as an object, and a
 * copy of the whole.  Symptom: a body of 360 kB that arrives in pieces of a few
 * bytes takes 30 MB.  So libsoup keeps nothing, and the pieces are appended to
 * one array.
 *
 * The reservation of a body is released when the last user of its bytes drops
 * them: a request that runs at most once is finished after its caller has left,
 * and holds its body until then. */
#include "request_body.h"

#include "body_limit.h"

/* What a request takes beside its body: connection, message, exchange, bytes.
 */
#define REQUEST_COST ((gsize) 12 * 1024)
/* A refused body up to this length is read and discarded, so that the
 * connection can be kept, bytes. */
#define DISCARDED_MAX 16384

#define BODY_KEY "capercrank-body" /* object data of a message */

typedef struct
{
  CcRequestBodySetup setup;
  GByteArray *bytes;   /* NULL: discarded or taken */
  gsize reserved;      /* for the body, bytes */
  gboolean announced;  /* its length was reserved at once */
  gboolean has_cost;   /* REQUEST_COST is reserved */
  gsize expected;      /* reserved for the answer, bytes */
  gboolean is_refused; /* for want of memory */
} Body;

/* The array of a body that was taken. */
typedef struct
{
  GByteArray *bytes;
  CcMemoryBudget *budget;
  gsize reserved;
} Taken;

/* Discards what B has collected. */
static void
discard (Body *b)
{
  g_clear_pointer (&b->bytes, g_byte_array_unref);
  cc_memory_budget_release (b->setup.budget, CC_MEMORY_REQUESTS, b->reserved);
  b->reserved = 0;
}

/* Releases what was reserved for the answer. */
static void
release_expected (Body *b)
{
  cc_memory_budget_release (b->setup.budget, CC_MEMORY_EXPECTED, b->expected);
  b->expected = 0;
}

static void
body_free (gpointer data)
{
  Body *b = data;

  discard (b);
  release_expected (b);
  if (b->has_cost)
    cc_memory_budget_release (b->setup.budget, CC_MEMORY_REQUESTS,
                              REQUEST_COST);
  g_free (b);
}

/* Appends CHUNK to the body, and refuses M if it does not fit. */
static void
on_chunk (SoupServerMessage *m, GBytes *chunk, gpointer data)
{
  Body *b = data;
  gsize size;
  gconstpointer bytes = g_bytes_get_data (chunk, &size);

  if (b->bytes == NULL)
    return;
  if (!b->announced && b->bytes->len + size > b->setup.max)
    {
      discard (b);
      cc_body_refuse_too_large (m);
      return;
    }
  if (!b->announced &&
      !cc_memory_budget_grow (b->setup.budget, b->setup.priority,
                              REQUEST_COST + b->reserved, size))
    {
      discard (b);
      b->is_refused = TRUE;
      if (b->setup.no_memory != NULL)
        b->setup.no_memory (m, b->setup.data);
      return;
    }
  if (!b->announced)
    b->reserved += size;
  g_byte_array_append (b->bytes, bytes, (guint) size);
}

/* Reserves the memory for a body of LENGTH bytes and for its request.  Returns
 * FALSE if it does not fit. */
static gboolean
reserve (Body *b, gsize length)
{
  b->expected = b->setup.answer;
  if (!cc_memory_budget_reserve (b->setup.budget, b->setup.priority,
                                 REQUEST_COST + length, &b->expected))
    return FALSE;
  b->has_cost = TRUE;
  b->reserved = length;
  return TRUE;
}

/* Refuses M, whose body of LENGTH bytes does not fit, at once if the body is
 * long. */
static void
refuse_for_memory (SoupServerMessage *m, Body *b, gsize length)
{
  discard (b);
  b->is_refused = TRUE;
  if (length > DISCARDED_MAX && b->setup.no_memory != NULL)
    b->setup.no_memory (m, b->setup.data);
}

/* Collects the body of M, for cc_request_body_take, or refuses M.  To be called
 * for each message when its headers have been read. */
void
cc_request_body_collect (SoupServerMessage *m, const CcRequestBodySetup *setup)
{
  SoupMessageHeaders *h = soup_server_message_get_request_headers (m);
  goffset length = 0;
  Body *b = g_new0 (Body, 1);

  b->setup = *setup;
  b->bytes = g_byte_array_new ();
  soup_message_body_set_accumulate (soup_server_message_get_request_body (m),
                                    FALSE);
  g_object_set_data_full (G_OBJECT (m), BODY_KEY, b, body_free);
  if (soup_message_headers_get_encoding (h) == SOUP_ENCODING_CONTENT_LENGTH)
    {
      b->announced = TRUE;
      length = MAX (soup_message_headers_get_content_length (h), 0);
    }
  if ((guint64) length > setup->max)
    {
      discard (b);
      cc_body_refuse_too_large (m);
      return;
    }
  g_signal_connect (m, "got-chunk", G_CALLBACK (on_chunk), b);
  if (!reserve (b, (gsize) length))
    refuse_for_memory (m, b, (gsize) length);
}

/* Whether the headers of M were valid, so that its body is collected. */
gboolean
cc_request_body_is_collected (SoupServerMessage *m)
{
  return g_object_get_data (G_OBJECT (m), BODY_KEY) != NULL;
}

/* Whether M, whose connection is in order, is to be refused for want of memory.
 */
gboolean
cc_request_body_has_no_memory (SoupServerMessage *m)
{
  const Body *b = g_object_get_data (G_OBJECT (m), BODY_KEY);

  return b != NULL && b->is_refused;
}

static void
taken_free (gpointer data)
{
  Taken *t = data;

  g_byte_array_unref (t->bytes);
  cc_memory_budget_release (t->budget, CC_MEMORY_REQUESTS, t->reserved);
  g_free (t);
}

/* Returns the body of M, which is complete, and passes its memory on.  To be
 * called once. */
GBytes *
cc_request_body_take (SoupServerMessage *m)
{
  Body *b = g_object_get_data (G_OBJECT (m), BODY_KEY);
  Taken *t;

  g_return_val_if_fail (b != NULL && b->bytes != NULL, g_bytes_new (NULL, 0));
  t = g_new0 (Taken, 1);
  t->bytes = g_steal_pointer (&b->bytes);
  t->budget = b->setup.budget;
  t->reserved = b->reserved;
  b->reserved = 0;
  return g_bytes_new_with_free_func (t->bytes->data, t->bytes->len, taken_free,
                                     t);
}

/* The request M has its answer, which counts by itself from now on, or will not
 * get one. */
void
cc_request_body_answered (SoupServerMessage *m)
{
  Body *b = g_object_get_data (G_OBJECT (m), BODY_KEY);

  if (b != NULL)
    release_expected (b);
}
