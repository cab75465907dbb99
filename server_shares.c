/* Warm-up of joining servers and damping of flapping ones, without network or
 * clock.
 *
 * A server that joins under load is slow until its caches are warm; given its
 * whole share at once it would miss deadlines.  A server that is repeatedly
 * lost and regained would be given units and lose them each time, which moves
 * units at each turn and makes its keys unavailable at each loss.  So a
 * joining server gets its share in steps, and one that was lost twice within
 * ten minutes is first held without units, twice as long after each further
 * loss: the number of moves caused by n minutes of flapping grows with log n.
 *
 * The first loss causes no hold: a zone that returns after a partition would
 * otherwise leave its load to the other zones for longer than needed.
 *
 * The history is kept in memory only.  A new assigner treats a server that
 * owns units as warm and one without units as joining.  An assigner that holds
 * back a server to which another assigner, with a different history of losses,
 * has given units treats it as warm too: if it took the units away, the other
 * one would give them back at once.
 */
#include "server_shares.h"

typedef struct
{
  gboolean live;
  gboolean warm;    /* owned units when first seen or when it returned */
  gint64 since;     /* when it became live, us */
  gint64 last_loss; /* time of the last loss, us */
  guint recent_losses;
} ServerHistory;

struct CcServerShares
{
  GHashTable *by_name; /* server name to ServerHistory */
};

/* Returns an empty table. */
CcServerShares *
cc_server_shares_new (void)
{
  CcServerShares *t = g_new0 (CcServerShares, 1);

  t->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return t;
}

/* Frees T. */
void
cc_server_shares_free (CcServerShares *t)
{
  g_hash_table_unref (t->by_name);
  g_free (t);
}

/* Counts a loss, from 1 if the previous one is older than CC_FLAP_WINDOW. */
static void
record_loss (ServerHistory *s, gint64 now)
{
  if (now - s->last_loss > CC_FLAP_WINDOW)
    s->recent_losses = 0;
  s->recent_losses++;
  s->last_loss = now;
}

/* How long a server gets no units after LOSSES recent losses, us. */
static gint64
hold_time (guint losses)
{
  if (losses < 2)
    return 0;
  return MIN (CC_FLAP_HOLD << MIN (losses - 2, 10), CC_FLAP_MAX);
}

/* How long S has been warming up at NOW, us; negative while it is held. */
static gint64
warming_time (const ServerHistory *s, gint64 now)
{
  return now - s->since - hold_time (s->recent_losses);
}

/* Updates the history of SERVER, which is in STATE; OWNS says whether it owns
 * any unit.  To be called at each step. */
void
cc_server_shares_update (CcServerShares *t, const char *server,
                         CcServerState state, gboolean owns, gint64 now)
{
  ServerHistory *s = g_hash_table_lookup (t->by_name, server);
  gboolean live = state == CC_SERVER_LIVE;

  if (s == NULL)
    {
      s = g_new0 (ServerHistory, 1);
      s->last_loss = -CC_FLAP_WINDOW - 1;
      g_hash_table_insert (t->by_name, g_strdup (server), s);
    }
  if (live && !s->live)
    {
      s->since = now;
      s->warm = owns;
    }
  else if (live && owns && warming_time (s, now) < 0)
    s->warm = TRUE;
  if (!live && s->live && state != CC_SERVER_LEAVING)
    record_loss (s, now);
  s->live = live;
}

/* The share of a warm server's load that SERVER should carry at NOW, 0 to 1.
 */
double
cc_server_shares_of (const CcServerShares *t, const char *server, gint64 now)
{
  const ServerHistory *s = g_hash_table_lookup (t->by_name, server);
  gint64 warming, step;

  if (s == NULL || !s->live)
    return 0;
  if (s->warm)
    return 1;
  warming = warming_time (s, now);
  if (warming < 0)
    return 0;
  step = MIN (warming / CC_WARM_UP_STEP + 1, CC_WARM_UP_STEPS);
  return (double) step / CC_WARM_UP_STEPS;
}

/* Whether SERVER is to be filled to its share now, rather than by rebalancing.
 */
gboolean
cc_server_shares_is_warming (const CcServerShares *t, const char *server,
                             gint64 now)
{
  const ServerHistory *s = g_hash_table_lookup (t->by_name, server);

  if (s == NULL || !s->live || s->warm)
    return FALSE;
  return warming_time (s, now) < (CC_WARM_UP_STEPS + 1) * CC_WARM_UP_STEP;
}
