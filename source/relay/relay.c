#include "cowslipspoke/relay.h"

#include <stddef.h>
#include <string.h>

enum
{
  /* Relayed requests that a host has open at once: as many as it would get if
     most of a fleet of nine were cut off from targets, with a tenth of its
     descriptors.  */
  RELAYED_MAX = 256,
  /* How many times as many targets are by far more.  */
  REACHED_TIMES = 2,
  /* A new version of the routes reaches all hosts within milliseconds.  */
  OTHER_ROUTES_MS = 50,
  FULL_MS = 100,
  /* A host that reaches a service again reports it within a second.  */
  UNREACHED_MS = 500,
  /* A host that stops is gone after some seconds.  */
  STOPPING_MS = 10000,
  UNANSWERED_FIRST_MS = 500,
  UNANSWERED_DOUBLINGS = 3
};

static const struct
{
  const char *name;
  uint32_t avoid_ms;
} results[CSP_OFFER_RESULT_COUNT]
    = { [CSP_OFFER_ACCEPTED] = { "accepted", 0 },
        [CSP_OFFER_BAD] = { "bad", STOPPING_MS },
        [CSP_OFFER_STOPPING] = { "stopping", STOPPING_MS },
        [CSP_OFFER_OTHER_ROUTES] = { "other-routes", OTHER_ROUTES_MS },
        [CSP_OFFER_UNREACHED] = { "unreached", UNREACHED_MS },
        [CSP_OFFER_FULL] = { "full", FULL_MS },
        [CSP_OFFER_UNANSWERED] = { "unanswered", UNANSWERED_FIRST_MS } };

/* Targets that are down look like lost paths to all hosts.  A host that
   reaches some of a service accepts if it reaches most of it, or by far more
   than the offering host; two hosts that reach the same ones don't relay to
   each other.  */
static bool
reaches_enough (const csp_offer_facts_t *facts)
{
  return facts->service_reached
         && (facts->reaches_most
             || facts->reached / REACHED_TIMES >= facts->offered_reached);
}

csp_offer_result_t
csp_judge_offer (const csp_offer_facts_t *facts)
{
  if (facts->stopping)
    return CSP_OFFER_STOPPING;
  /* A caller whose requests are relayed through several hosts must not meet
     a newer configuration and then an older one.  */
  if (!facts->has_routes || facts->routes_version != facts->offered_version)
    return CSP_OFFER_OTHER_ROUTES;
  if (!reaches_enough (facts))
    return CSP_OFFER_UNREACHED;
  if (facts->relayed_count >= RELAYED_MAX)
    return CSP_OFFER_FULL;
  return CSP_OFFER_ACCEPTED;
}

uint32_t
csp_offer_avoid_ms (csp_offer_result_t result, uint32_t unanswered)
{
  uint32_t doublings = unanswered > 0 ? unanswered - 1 : 0;

  if (result != CSP_OFFER_UNANSWERED)
    return results[result].avoid_ms;
  return (uint32_t)UNANSWERED_FIRST_MS
         << (doublings < UNANSWERED_DOUBLINGS ? doublings
                                              : UNANSWERED_DOUBLINGS);
}

const char *
csp_offer_result_name (csp_offer_result_t result)
{
  return results[result].name;
}

csp_offer_result_t
csp_find_offer_result (const char *name)
{
  size_t i;

  for (i = 0; name != NULL && i < CSP_OFFER_RESULT_COUNT; i++)
    if (strcmp (results[i].name, name) == 0)
      return (csp_offer_result_t)i;
  return CSP_OFFER_FULL;
}
