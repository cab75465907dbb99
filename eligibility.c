/* Decides which upstreams and peers may get a request, for all modules that
 * choose one.
 *
 * Load pattern: a zone is evacuated under full load.  Requests reach an
 * upstream by several ways: as first attempts, as retries, through a peer, as
 * requests for keys, or after keys were granted to it.  If each way had its own
 * check, one of them would lag behind and send to the zone.  So all of them ask
 * here, at each attempt, and once more when its first byte is sent: it may have
 * waited for a connection. */
#include "eligibility.h"

static gboolean
is_evacuated (const CcEvacuation *e, const CcTarget *t)
{
  return e != NULL && cc_evacuation_covers (e, t->listing.zone);
}

/* Whether ZONE is in one of the home regions of R.  A zone without a known
 * region is in none. */
static gboolean
is_home (const CcEligibilityRules *r, const char *zone)
{
  const char *region;

  if (r->homes == NULL)
    return TRUE;
  region = r->zones != NULL ? cc_zones_region (r->zones, zone) : NULL;
  return region != NULL &&
         g_strv_contains ((const char *const *) r->homes, region);
}

/* Returns until when connections to T are not tried, us; 0: they are.  A
 * backoff for load does not count. */
static gint64
unreachable_until (const CcTarget *t, gint64 now)
{
  return t->load.avoid_span > 0 && now < t->load.avoid_until
             ? t->load.avoid_until
             : 0;
}

/* Returns until when T gives no tokens to requests like that of R, us; 0: it
 * may give one now. */
static gint64
limited_until (const CcEligibilityRules *r, const CcTarget *t, gint64 now)
{
  gint64 until;

  if (r->limits == NULL || t->load.limit <= 0)
    return 0;
  until = cc_fleet_limits_refused_until (r->limits, t->listing.id, r->priority);
  return until > now ? until : 0;
}

/* Returns until when T rests, us; 0: it does not. */
static gint64
resting_until (const CcTarget *t, gint64 now)
{
  gint64 until = MAX (t->rest_until, t->trial_until);

  return now < until ? until : 0;
}

/* Returns the verdict on T, whose zone and state allow requests: whether it
 * rests, is reachable and gives tokens. */
static CcEligibility
check_access (const CcEligibilityRules *r, const CcTarget *t, gint64 now)
{
  gint64 until = resting_until (t, now);

  if (until != 0)
    return (CcEligibility){ CC_INELIGIBLE_RESTING, until };
  until = unreachable_until (t, now);
  if (until != 0)
    return (CcEligibility){ CC_INELIGIBLE_UNREACHABLE, until };
  until = limited_until (r, t, now);
  if (until != 0)
    return (CcEligibility){ CC_INELIGIBLE_LIMITED, until };
  return (CcEligibility){ CC_ELIGIBLE, 0 };
}

/* Returns the verdict on T for a request that any upstream may serve. */
CcEligibility
cc_eligibility_any (const CcEligibilityRules *r, const CcTarget *t, gint64 now)
{
  if (t->state != CC_TARGET_READY)
    return (CcEligibility){ CC_INELIGIBLE_GONE, 0 };
  if (!is_home (r, t->listing.zone))
    return (CcEligibility){ CC_INELIGIBLE_REGION, 0 };
  if (is_evacuated (r->evacuation, t))
    return (CcEligibility){ CC_INELIGIBLE_EVACUATED, 0 };
  return check_access (r, t, now);
}

/* Returns the verdict on T for a request for one of its keys.  It serves for a
 * while after it has announced that it leaves, and after its zone was
 * evacuated. */
CcEligibility
cc_eligibility_owner (const CcEligibilityRules *r, const CcTarget *t,
                      gint64 now)
{
  if (!cc_targets_serves_keys (r->targets, t, now))
    return (CcEligibility){ CC_INELIGIBLE_GONE, 0 };
  if (!is_home (r, t->listing.zone))
    return (CcEligibility){ CC_INELIGIBLE_REGION, 0 };
  if (is_evacuated (r->evacuation, t) &&
      now >= cc_evacuation_owners_until (r->evacuation, t->listing.zone))
    return (CcEligibility){ CC_INELIGIBLE_EVACUATED, 0 };
  return check_access (r, t, now);
}

/* Whether a request for which T was chosen before, KEYED: as the owner of its
 * key, may be sent to it now.  That it is reachable and has given a token was
 * found out since. */
gboolean
cc_eligibility_may_send (const CcEligibilityRules *r, const CcTarget *t,
                         gboolean keyed, gint64 now)
{
  CcEligibility verdict =
      keyed ? cc_eligibility_owner (r, t, now) : cc_eligibility_any (r, t, now);

  switch (verdict.reason)
    {
    case CC_INELIGIBLE_GONE:
    case CC_INELIGIBLE_REGION:
    case CC_INELIGIBLE_EVACUATED:
    case CC_INELIGIBLE_RESTING:
      return FALSE;
    case CC_ELIGIBLE:
    case CC_INELIGIBLE_UNREACHABLE:
    case CC_INELIGIBLE_LIMITED:
      break;
    }
  return TRUE;
}

/* Whether T may be given keys.  EVACUATION may be NULL. */
gboolean
cc_eligibility_may_own (const CcEvacuation *evacuation, const CcTarget *t)
{
  return t->state == CC_TARGET_READY && !is_evacuated (evacuation, t);
}

/* Whether POOL has ready upstreams, all of them in evacuated zones. */
gboolean
cc_eligibility_pool_is_evacuated (const CcEligibilityRules *r, const char *pool)
{
  GPtrArray *all;
  gboolean any = FALSE;

  if (r->evacuation == NULL || !cc_evacuation_is_active (r->evacuation))
    return FALSE;
  all = cc_targets_of_pool (r->targets, pool);
  for (guint i = 0; all != NULL && i < all->len; i++)
    {
      const CcTarget *t = all->pdata[i];

      if (cc_eligibility_may_own (r->evacuation, t))
        return FALSE;
      any |= t->state == CC_TARGET_READY;
    }
  return any;
}

/* Whether a peer in ZONE may get the body of a request whose caller connected
 * to a gateway in OWN_ZONE: its region is a home region, or that of the
 * gateway. */
gboolean
cc_eligibility_peer (const CcEligibilityRules *r, const char *zone,
                     const char *own_zone)
{
  const char *region, *own;

  if (is_home (r, zone))
    return TRUE;
  if (r->zones == NULL)
    return FALSE;
  region = cc_zones_region (r->zones, zone);
  own = cc_zones_region (r->zones, own_zone);
  return region != NULL && own != NULL && g_str_equal (region, own);
}

/* Returns the name of REASON in logs, metrics and answers. */
const char *
cc_eligibility_name (CcEligibilityReason reason)
{
  switch (reason)
    {
    case CC_ELIGIBLE:
      return "eligible";
    case CC_INELIGIBLE_GONE:
      return "gone";
    case CC_INELIGIBLE_REGION:
      return "no-home";
    case CC_INELIGIBLE_EVACUATED:
      return "evacuated";
    case CC_INELIGIBLE_RESTING:
      return "resting";
    case CC_INELIGIBLE_UNREACHABLE:
      return "unreachable";
    case CC_INELIGIBLE_LIMITED:
      return "limited";
    }
  return "";
}
