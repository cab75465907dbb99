/* Load pattern: see owner_window.c.  An owner counts as overloaded once
 * gateways have found its queue full a few times within a moment, and until
 * nearly all requests to it have been permitted for a while: its demand is then
 * below what it serves.  A single reset may have another cause than its load.
 */
#include "permit_source.h"

#include "event_log.h"

/* Reports within REPORTS_TIME that make an owner overloaded. */
#define REPORTS_MIN 2
#define REPORTS_TIME (500 * CC_MS)
/* Overload ends after this long without pressure. */
#define CALM_TIME (2 * CC_SECOND)
/* Period of notices of overload, for gateways that have missed one or have
 * started.  Its end is learned from the answer to the next question: overload
 * that lasts for a second or two is frequent, and a notice goes to all. */
#define NOTICE_PERIOD (2500 * CC_MS)
/* Gateways may ask for permits for so long after the end of overload. */
#define KEPT_FOR (10 * CC_SECOND)
/* A question, or the end of a request, does not arrive again after this time,
 * or after so many ends. */
#define REPEATS_FOR (1 * CC_SECOND)
#define ENDS_KEPT 64
/* Most owners that are watched at once. */
#define OWNERS_MAX 1000

/* The answer to a gateway's last question. */
typedef struct
{
  guint32 number;
  gint64 at; /* us */
  CcPermitGrant grant;
} Answer;

typedef struct
{
  guint64 born;
  guint slots;
  const char *zone;        /* interned */
  guint reports;           /* since FIRST_REPORT_AT */
  gint64 first_report_at;  /* us */
  gint64 overloaded_at;    /* since when it is overloaded, us */
  gint64 pressed_at;       /* when its demand last exceeded its permits, us */
  gint64 notified_at;      /* when gateways were last notified, us */
  gint64 ended_at;         /* when it was last not overloaded any more, us */
  CcOwnerWindow *window;   /* NULL: it is not overloaded */
  guint32 ends[ENDS_KEPT]; /* numbers of the last ones */
  guint ended;             /* how many there were */
  GHashTable *answers;     /* address of a gateway to Answer */
} Owner;

struct CcPermitSource
{
  GHashTable *owners; /* id to Owner */
};

static void
owner_free (gpointer data)
{
  Owner *o = data;

  g_hash_table_unref (o->answers);
  g_clear_pointer (&o->window, cc_owner_window_free);
  g_free (o);
}

/* Returns a source that watches no owner. */
CcPermitSource *
cc_permit_source_new (void)
{
  CcPermitSource *s = g_new0 (CcPermitSource, 1);

  s->owners =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, owner_free);
  return s;
}

/* Frees S. */
void
cc_permit_source_free (CcPermitSource *s)
{
  g_hash_table_unref (s->owners);
  g_free (s);
}

/* Returns the entry of OWNER, or NULL. */
static Owner *
find (const CcPermitSource *s, const CcPermitOwner *owner)
{
  Owner *o = g_hash_table_lookup (s->owners, owner->id);

  return o != NULL && o->born == owner->born ? o : NULL;
}

/* Returns the entry of OWNER, which is created unless there are too many; NULL:
 * there is none. */
static Owner *
find_or_add (CcPermitSource *s, const CcPermitOwner *owner)
{
  Owner *o = find (s, owner);

  if (o != NULL || g_hash_table_size (s->owners) >= OWNERS_MAX)
    return o;
  o = g_new0 (Owner, 1);
  o->born = owner->born;
  o->slots = owner->slots;
  o->zone = g_intern_string (owner->zone);
  o->answers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_replace (s->owners, g_strdup (owner->id), o);
  return o;
}

/* Logs that the overload of the owner ID begins or ENDS. */
static void
log_overload (const char *id, const Owner *o, gboolean ends, gint64 now)
{
  cc_event (CC_EVENT_STATE, "owner-overloaded", "target", id, "state",
            ends ? "ended" : "began", "reports", cc_event_int (o->reports),
            "completed_per_s",
            cc_event_int ((gint64) cc_owner_window_rate (o->window)), "ms",
            cc_event_int ((now - o->overloaded_at) / CC_MS), NULL);
}

static void
begin_overload (Owner *o, const char *id, gint64 now)
{
  o->window = cc_owner_window_new (o->slots, now);
  o->overloaded_at = o->pressed_at = now;
  o->notified_at = 0;
  log_overload (id, o, FALSE, now);
}

static void
end_overload (Owner *o, const char *id, gint64 now)
{
  log_overload (id, o, TRUE, now);
  g_clear_pointer (&o->window, cc_owner_window_free);
  g_hash_table_remove_all (o->answers);
  o->reports = 0;
  o->ended_at = now;
}

/* A gateway has found OWNER's queue full.  Returns whether it counts as
 * overloaded. */
gboolean
cc_permit_source_owner_full (CcPermitSource *s, const CcPermitOwner *owner,
                             gint64 now)
{
  Owner *o = find_or_add (s, owner);

  if (o == NULL)
    return FALSE;
  if (now - o->first_report_at >= REPORTS_TIME)
    {
      o->reports = 0;
      o->first_report_at = now;
    }
  o->reports++;
  if (o->window == NULL && o->reports >= REPORTS_MIN)
    begin_overload (o, owner->id, now);
  return o->window != NULL;
}

/* Returns whether Q has arrived before, or after a later question of its
 * gateway, and sets *GRANT to what it has got or gets. */
static gboolean
is_repeated (const Owner *o, const CcPermitQuestion *q, gint64 now,
             CcPermitGrant *grant)
{
  const Answer *last = g_hash_table_lookup (o->answers, q->address);

  if (last == NULL || (gint32) (q->number - last->number) > 0 ||
      (q->number != last->number && now - last->at >= REPEATS_FOR))
    return FALSE;
  *grant = q->number == last->number ? last->grant : (CcPermitGrant){ 0 };
  return TRUE;
}

/* Returns whether the end NUMBER of a request to O has arrived before, and
 * remembers it. */
static gboolean
has_ended (Owner *o, guint32 number)
{
  for (guint i = 0; i < MIN (o->ended, ENDS_KEPT); i++)
    if (o->ends[i] == number)
      return TRUE;
  o->ends[o->ended++ % ENDS_KEPT] = number;
  return FALSE;
}

/* Answers Q at NOW, us, in *GRANT.  A lost answer is repeated: otherwise its
 * permits would stay unused.  Returns FALSE, with all permits, if the owner is
 * not overloaded.  A gateway that asks for one that is not known here has been
 * notified by the one that granted permits before. */
gboolean
cc_permit_source_ask (CcPermitSource *s, const CcPermitQuestion *q, gint64 now,
                      CcPermitGrant *grant)
{
  Owner *o = find_or_add (s, &q->owner);
  Answer *a;

  *grant = (CcPermitGrant){ .granted = MAX (q->ask.demand, 1) };
  if (o == NULL || (o->window == NULL && o->ended_at != 0))
    return FALSE;
  if (o->window == NULL)
    begin_overload (o, q->owner.id, now);
  if (is_repeated (o, q, now, grant))
    return TRUE;
  *grant = cc_owner_window_ask (o->window, &q->ask, now);
  a = g_new0 (Answer, 1);
  *a = (Answer){ q->number, now, *grant };
  g_hash_table_replace (o->answers, g_strdup (q->address), a);
  return TRUE;
}

/* A request to OWNER has ended at NOW, us, with REPORT, which may be received
 * twice. */
void
cc_permit_source_ended (CcPermitSource *s, const CcPermitOwner *owner,
                        const CcOwnerReport *report, gint64 now)
{
  Owner *o = find (s, owner);

  if (o == NULL || o->window == NULL || has_ended (o, report->number))
    return;
  cc_owner_window_ended (o->window, report, now);
}

/* Updates O, an overloaded owner whose id is ID, at NOW, us, and notifies the
 * gateways by NOTIFY with DATA if that is due. */
static void
update (Owner *o, const char *id, gint64 now, CcPermitNotify notify,
        gpointer data)
{
  CcPermitOwner owner = { id, o->born, o->slots, o->zone };

  if (cc_owner_window_is_pressed (o->window, now))
    o->pressed_at = now;
  if (now - o->pressed_at >= CALM_TIME)
    end_overload (o, id, now);
  else if (o->notified_at == 0 || now >= o->notified_at + NOTICE_PERIOD)
    {
      o->notified_at = now;
      notify (&owner, data);
    }
}

/* Does what is due at NOW, us: ends the overload of owners whose demand has
 * fallen, and calls NOTIFY with DATA.  Returns the number of owners that are
 * watched on. */
guint
cc_permit_source_tick (CcPermitSource *s, gint64 now, CcPermitNotify notify,
                       gpointer data)
{
  GHashTableIter i;
  gpointer id, value;

  g_hash_table_iter_init (&i, s->owners);
  while (g_hash_table_iter_next (&i, &id, &value))
    {
      Owner *o = value;

      if (o->window != NULL)
        update (o, id, now, notify, data);
      else if (now - MAX (o->first_report_at, o->ended_at) >= KEPT_FOR)
        g_hash_table_iter_remove (&i);
    }
  return g_hash_table_size (s->owners);
}
