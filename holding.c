/* The aggregate of one held server, without network or clock.
 *
 * It answers two questions.  May an attempt for a slice leave now?  Only if
 * the slice is owned and settled and, where servers check grants, the server
 * has acknowledged the grant and still honours it.  Has everything that a map
 * version took away stopped?  That is what lets another server begin, so it
 * must not be said too early:
 *
 *  - attempts at the server for slices taken away have ended; and
 *  - servers that check grants have acknowledged a list without them, so that
 *    an attempt still in a frozen server's buffers will be refused; or, if the
 *    server is silent, its last grant has lapsed by its own clock;
 *  - servers that don't check are asked nothing: an attempt that ended without
 *    an answer may be inside.  Work that was begun before a freeze takes effect
 *    on waking, whatever its deadline, so the slices of a silent server with
 *    such an attempt stay with it until it answers again and has had time to
 *    end its work, or the platform doesn't list it any more.  This costs time
 *    in which its keys are unavailable; anything else costs a second owner.
 */
#include "holding.h"

/* A server just taken on at NOW.  It is given less time than later to answer,
 * and with that only one grant: each grant has to lapse before its slices can
 * be served elsewhere, and a zone that is cut off takes its servers along.
 * QUIET_AT (wall clock) is when no attempt of an earlier dispatcher can be
 * inside any more. */
CcHolding *
cc_holding_new (const char *pool, const CcMapServer *s, gboolean checks_grants,
                gint64 now, gint64 quiet_at)
{
  CcHolding *h = g_rc_box_new0 (CcHolding);

  h->pool = g_strdup (pool);
  h->name = g_strdup (s->name);
  h->address = g_strdup (s->address);
  h->checks_grants = checks_grants;
  h->slices = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  h->answered = now - (CC_SERVER_LOST_AFTER - CC_SERVER_SUSPECT);
  h->grant_sent = now; /* a predecessor may have sent one up to now */
  h->quiet_at = quiet_at;
  h->unconfirmed = quiet_at > 0;
  h->alive_since = now;
  h->serial = 1;
  return h;
}

static void
holding_clear (gpointer data)
{
  CcHolding *h = data;

  g_free (h->pool);
  g_free (h->name);
  g_free (h->address);
  g_hash_table_unref (h->slices);
}

/* Another reference to H, for an attempt that outlives its place in a table. */
CcHolding *
cc_holding_ref (CcHolding *h)
{
  return g_rc_box_acquire (h);
}

/* Gives a reference to H back. */
void
cc_holding_unref (CcHolding *h)
{
  g_rc_box_release_full (h, holding_clear);
}

static CcHeldSlice *
held (const CcHolding *h, guint slice)
{
  return g_hash_table_lookup (h->slices, GUINT_TO_POINTER (slice));
}

static void
take_slice (CcHolding *h, guint slice, guint64 epoch)
{
  CcHeldSlice *s = held (h, slice);

  if (s == NULL)
    {
      s = g_new0 (CcHeldSlice, 1);
      g_hash_table_insert (h->slices, GUINT_TO_POINTER (slice), s);
    }
  else if (s->owned && s->epoch == epoch)
    return;
  s->owned = TRUE;
  s->granted = FALSE;
  s->epoch = epoch;
  h->serial++;
}

static void
leave_slice (CcHolding *h, guint slice)
{
  CcHeldSlice *s = held (h, slice);

  if (s == NULL)
    return;
  s->owned = FALSE;
  if (s->running > 0)
    return;
  g_hash_table_remove (h->slices, GUINT_TO_POINTER (slice));
  h->serial++;
}

static void
new_term (CcHolding *h, guint64 term)
{
  GHashTableIter iter;
  gpointer s;

  if (h->term == term)
    return;
  h->term = term;
  h->serial++;
  h->granted_until = 0;
  g_hash_table_iter_init (&iter, h->slices);
  while (g_hash_table_iter_next (&iter, NULL, &s))
    ((CcHeldSlice *) s)->granted = FALSE;
}

/* Takes in map M, in which the server stands at index SERVER and ME is this
 * dispatcher's id. */
void
cc_holding_update (CcHolding *h, const CcSliceMap *m, gint32 server,
                   const char *me)
{
  const CcMapServer *s = cc_slicemap_server (m, server);

  if (m->version <= h->map_version)
    return;
  h->map_version = m->version;
  h->gone = s->state == CC_SERVER_GONE;
  h->handing_over = g_str_equal (s->from, me);
  h->active = g_str_equal (s->dispatcher, me) && s->from[0] == '\0';
  if (h->active)
    new_term (h, s->term);
  for (guint i = 0; i < cc_slicemap_units (m); i++)
    {
      const CcMapSlice *one = cc_slicemap_at (m, i);

      if (h->active && one->server == server && one->from < 0)
        take_slice (h, i, one->epoch);
      else
        leave_slice (h, i);
    }
}

/* Whether requests for SLICE are to be accepted and queued. */
gboolean
cc_holding_owns (const CcHolding *h, guint slice)
{
  const CcHeldSlice *s = held (h, slice);

  return h->active && s != NULL && s->owned;
}

/* Whether an attempt for SLICE may leave at NOW.  The dispatcher's own lease
 * is asked apart. */
gboolean
cc_holding_may_send (const CcHolding *h, guint slice, gint64 now)
{
  const CcHeldSlice *s = held (h, slice);

  if (!h->active || h->lost || s == NULL || !s->owned)
    return FALSE;
  return !h->checks_grants || (s->granted && now < h->granted_until);
}

/* Notes an attempt that leaves. */
void
cc_holding_sent (CcHolding *h, guint slice)
{
  CcHeldSlice *s = held (h, slice);

  s->running++;
  h->running++;
}

/* Notes the end of an attempt with DEADLINE (wall clock).  Without an answer it
 * may still be inside the server: then its deadline is waited for before the
 * slice may begin elsewhere.  Answered attempts are not, or a busy server that
 * doesn't check grants would never be quiet and its slices never move. */
void
cc_holding_done (CcHolding *h, guint slice, gint64 deadline, gboolean answered)
{
  CcHeldSlice *s = held (h, slice);

  h->running--;
  if (!answered)
    {
      h->quiet_at = MAX (h->quiet_at, deadline + CC_SKEW_MAX);
      h->quiet_since = 0;
      h->unconfirmed = TRUE;
    }
  if (--s->running == 0 && !s->owned)
    leave_slice (h, slice);
}

/* Whether a grant may be sent at NOW.  To a suspect server none is: the last
 * one has to lapse before its slices can be served elsewhere. */
gboolean
cc_holding_may_grant (const CcHolding *h, gint64 now)
{
  return h->active && now < h->answered + CC_SERVER_SUSPECT;
}

/* Notes that a grant leaves at NOW. */
void
cc_holding_grant_sent (CcHolding *h, gint64 now)
{
  h->grant_sent = now;
}

/* The server acknowledged the list SERIAL of a grant sent at SENT. */
void
cc_holding_grant_acked (CcHolding *h, guint64 serial, gint64 sent)
{
  GHashTableIter iter;
  gpointer s;

  h->granted_until = MAX (h->granted_until, sent + CC_GRANT_TTL);
  h->acked_serial = MAX (h->acked_serial, serial);
  if (serial != h->serial)
    return;
  g_hash_table_iter_init (&iter, h->slices);
  while (g_hash_table_iter_next (&iter, NULL, &s))
    ((CcHeldSlice *) s)->granted = TRUE;
}

/* The server answered something at NOW: it is there. */
void
cc_holding_answered (CcHolding *h, gint64 now)
{
  if (now >= h->answered + CC_SERVER_SUSPECT)
    h->alive_since = now;
  h->answered = MAX (h->answered, now);
  h->stalled_for = 0;
}

/* This process stood still for SPAN us.
 *
 * Failure: it judges servers by the answers that it did not read meanwhile.
 * Symptom: all its servers are lost at once, and what they ran is told unknown,
 * although the answers lie in its sockets.  Only the judgement waits: grants
 * lapse by the clock, and a server counts as lively by its answers alone. */
void
cc_holding_add_stall (CcHolding *h, gint64 span)
{
  h->stalled_for += span;
}

/* Judges at NOW whether the server is lost.  Returns TRUE if that changed. */
gboolean
cc_holding_update_lost (CcHolding *h, gint64 now)
{
  gboolean lost = now >= h->answered + h->stalled_for + CC_SERVER_LOST_AFTER;

  if (lost == h->lost)
    return FALSE;
  h->lost = lost;
  return TRUE;
}

static gboolean
has_leftovers (const CcHolding *h)
{
  GHashTableIter iter;
  gpointer s;

  g_hash_table_iter_init (&iter, h->slices);
  while (g_hash_table_iter_next (&iter, NULL, &s))
    if (!((CcHeldSlice *) s)->owned && ((CcHeldSlice *) s)->running > 0)
      return TRUE;
  return FALSE;
}

/* Whether the server is silent and its slices may be served elsewhere. */
gboolean
cc_holding_is_lost (const CcHolding *h)
{
  return h->lost && (h->checks_grants || !h->unconfirmed);
}

/* Ends the doubt about unanswered attempts.  An answer from before their
 * deadlines passed proves nothing: the server may have frozen just after it,
 * with an attempt inside that takes effect when it wakes. */
static void
settle (CcHolding *h, gint64 now, gint64 wall)
{
  gboolean lively;

  if (!h->unconfirmed || wall < h->quiet_at)
    return;
  if (h->quiet_since == 0)
    h->quiet_since = now;
  lively = h->answered > h->quiet_since &&
           now < h->answered + CC_SERVER_SUSPECT &&
           now >= h->alive_since + CC_SERVER_SETTLE;
  if (lively || h->gone)
    h->unconfirmed = FALSE;
}

/* The newest map version of which everything that it took from this server
 * has certainly stopped; 0 if that can't be said yet. */
guint64
cc_holding_applied (CcHolding *h, gint64 now, gint64 wall)
{
  gboolean fenced;

  settle (h, now, wall);
  if (has_leftovers (h))
    return 0;
  if (h->handing_over)
    return h->running == 0 ? h->map_version : 0;
  if (h->checks_grants)
    fenced = h->acked_serial == h->serial ||
             now >= h->grant_sent + CC_GRANT_TTL + CC_GRANT_MARGIN;
  else
    fenced = !h->unconfirmed;
  return fenced ? h->map_version : 0;
}
