/* The state of one held server, without network or clock.  It must prevent that
 * two servers run requests for the same slice, also when a server is paused and
 * resumes later.
 *
 * An attempt for a slice may be sent if the slice is owned, its move is
 * complete and, if the server checks grants, the server has acknowledged a
 * grant that is still valid.
 *
 * Another server may begin with a slice when all work for it has stopped here,
 * which must not be reported too early:
 *
 *  - attempts at the server for slices taken away have ended; and
 *  - a server that checks grants has acknowledged a list without these slices,
 *    so that it rejects attempts that are still in its receive buffers; or, if
 *    it does not answer, its last grant has expired by its own clock;
 *  - a server that doesn't check grants may still run an attempt that ended
 *    without an answer.  Work that was begun before a pause takes effect after
 *    it, whatever its deadline.  The slices of a silent server with such an
 *    attempt therefore stay with it until it answers again and has had time to
 *    end its work, or until the platform doesn't list it.  Meanwhile its keys
 *    are unavailable; moving them earlier would give them two owners.
 */
#include "holding.h"

/* Creates the state of a server S of POOL that this dispatcher holds from NOW
 * on. It is lost after CC_SERVER_SUSPECT without a first answer, sooner than
 * later on, and gets only one grant until then: each grant has to expire before
 * the slices can be served elsewhere, and a zone that is cut off may contain
 * both the previous holder and the server.  QUIET_AT (wall clock) is when all
 * attempts of earlier dispatchers have ended; 0 if there were none. */
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
  h->grant_sent = now; /* the previous holder may have sent one until now */
  h->quiet_at = quiet_at;
  h->unconfirmed = quiet_at > 0;
  h->answering_since = now;
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

/* Takes a reference to H, for an attempt that may outlast H's table entry. */
CcHolding *
cc_holding_ref (CcHolding *h)
{
  return g_rc_box_acquire (h);
}

/* Releases a reference to H. */
void
cc_holding_unref (CcHolding *h)
{
  g_rc_box_release_full (h, holding_clear);
}

/* The state of SLICE; NULL if the server neither owns it nor runs attempts for
 * it. */
static CcHeldSlice *
find_slice (const CcHolding *h, guint slice)
{
  return g_hash_table_lookup (h->slices, GUINT_TO_POINTER (slice));
}

/* Adds a slice owned under EPOCH, which must be granted before attempts are
 * sent. */
static void
add_slice (CcHolding *h, guint slice, guint64 epoch)
{
  CcHeldSlice *s = find_slice (h, slice);

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

/* Ends the ownership of a slice.  Its state is removed when no attempt for it
 * is in progress. */
static void
release_slice (CcHolding *h, guint slice)
{
  CcHeldSlice *s = find_slice (h, slice);

  if (s == NULL)
    return;
  s->owned = FALSE;
  if (s->running > 0)
    return;
  g_hash_table_remove (h->slices, GUINT_TO_POINTER (slice));
  h->serial++;
}

/* Changes to a new term, under which all slices must be granted again. */
static void
set_term (CcHolding *h, guint64 term)
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

/* Applies map M, in which the server has index SERVER; ME is this dispatcher's
 * id.  A map that is not newer than the last one is ignored. */
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
    set_term (h, s->term);
  for (guint i = 0; i < cc_slicemap_units (m); i++)
    {
      const CcMapSlice *one = cc_slicemap_at (m, i);

      if (h->active && one->server == server && one->from < 0)
        add_slice (h, i, one->epoch);
      else
        release_slice (h, i);
    }
}

/* Whether requests for SLICE may be accepted and queued. */
gboolean
cc_holding_owns (const CcHolding *h, guint slice)
{
  const CcHeldSlice *s = find_slice (h, slice);

  return h->active && s != NULL && s->owned;
}

/* Whether an attempt for SLICE may be sent at NOW.  The caller checks the
 * dispatcher's own lease separately. */
gboolean
cc_holding_may_send (const CcHolding *h, guint slice, gint64 now)
{
  const CcHeldSlice *s = find_slice (h, slice);

  if (!h->active || h->lost || s == NULL || !s->owned)
    return FALSE;
  return !h->checks_grants || (s->granted && now < h->granted_until);
}

/* Records that an attempt for SLICE, which must be held, is sent. */
void
cc_holding_sent (CcHolding *h, guint slice)
{
  CcHeldSlice *s = find_slice (h, slice);

  s->running++;
  h->running++;
}

/* Records the end of an attempt with DEADLINE (wall clock).  The server may
 * still run an attempt that was not ANSWERED, so its deadline must pass before
 * the slice may be served elsewhere.  Deadlines of answered attempts don't
 * count; otherwise the slices of a busy server that doesn't check grants could
 * never move. */
void
cc_holding_done (CcHolding *h, guint slice, gint64 deadline, gboolean answered)
{
  CcHeldSlice *s = find_slice (h, slice);

  h->running--;
  if (!answered)
    {
      h->quiet_at = MAX (h->quiet_at, deadline + CC_SKEW_MAX);
      h->quiet_since = 0;
      h->unconfirmed = TRUE;
    }
  if (--s->running == 0 && !s->owned)
    release_slice (h, slice);
}

/* Whether a grant may be sent at NOW.  A suspect server gets none, because its
 * last grant has to expire before its slices can be served elsewhere. */
gboolean
cc_holding_may_grant (const CcHolding *h, gint64 now)
{
  return h->active && now < h->answered + CC_SERVER_SUSPECT;
}

/* Records that a grant is sent at NOW. */
void
cc_holding_grant_sent (CcHolding *h, gint64 now)
{
  h->grant_sent = now;
}

/* Handles the server's acknowledgement of a grant with list SERIAL, sent at
 * SENT. */
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

/* Records that the server answered a grant, a probe or a request at NOW. */
void
cc_holding_answered (CcHolding *h, gint64 now)
{
  if (now >= h->answered + CC_SERVER_SUSPECT)
    h->answering_since = now;
  h->answered = MAX (h->answered, now);
  h->stalled_for = 0;
}

/* Records that this process was paused for SPAN us, by which the silence limit
 * of the server is extended.
 *
 * Without this, all its servers would be classified as lost after the pause and
 * their attempts reported as unknown, although their answers are in the receive
 * buffers.  Only the loss is delayed: grants expire by the clock, and whether a
 * server responds again depends on its answers alone. */
void
cc_holding_add_stall (CcHolding *h, gint64 span)
{
  h->stalled_for += span;
}

/* Updates at NOW whether the server is lost.  Returns TRUE if that changed. */
gboolean
cc_holding_update_lost (CcHolding *h, gint64 now)
{
  gboolean lost = now >= h->answered + h->stalled_for + CC_SERVER_LOST_AFTER;

  if (lost == h->lost)
    return FALSE;
  h->lost = lost;
  return TRUE;
}

/* Whether attempts for slices that the server does not own are in progress. */
static gboolean
has_running_unowned (const CcHolding *h)
{
  GHashTableIter iter;
  gpointer s;

  g_hash_table_iter_init (&iter, h->slices);
  while (g_hash_table_iter_next (&iter, NULL, &s))
    if (!((CcHeldSlice *) s)->owned && ((CcHeldSlice *) s)->running > 0)
      return TRUE;
  return FALSE;
}

/* Whether the server is lost and its slices may be served elsewhere. */
gboolean
cc_holding_is_lost (const CcHolding *h)
{
  return h->lost && (h->checks_grants || !h->unconfirmed);
}

/* Clears H->unconfirmed when the unanswered attempts have certainly ended.  An
 * answer from before their deadlines does not show this: the server may have
 * been paused just after it, with an attempt that takes effect when it resumes.
 */
static void
confirm_ended (CcHolding *h, gint64 now, gint64 wall)
{
  gboolean responsive;

  if (!h->unconfirmed || wall < h->quiet_at)
    return;
  if (h->quiet_since == 0)
    h->quiet_since = now;
  responsive = h->answered > h->quiet_since &&
               now < h->answered + CC_SERVER_SUSPECT &&
               now >= h->answering_since + CC_SERVER_SETTLE;
  if (responsive || h->gone)
    h->unconfirmed = FALSE;
}

/* The newest map version, if all work that it removed from this server has
 * certainly stopped at NOW (WALL by the wall clock); otherwise 0. */
guint64
cc_holding_applied (CcHolding *h, gint64 now, gint64 wall)
{
  gboolean fenced;

  confirm_ended (h, now, wall);
  if (has_running_unowned (h))
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
