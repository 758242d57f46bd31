#ifndef COWSLIPSPOKE_RELAY_H
#define COWSLIPSPOKE_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Relaying requests through another host.

   Load pattern: a host has lost its paths to all targets of a service, while
   its callers, who may try only once, and the other hosts still reach it.  It
   passes each request on to a host that reaches targets, which places it like
   one of its own.

   Two steps, because a host that is paused, stopping or cut off itself reads
   an old request from its socket and would run it late.  The first host offers
   a request; only when the other one has accepted within a short time is the
   request sent.  Until then it has not run, and may be offered elsewhere.  A
   relayed request is never relayed again.  */

/* How an offer ended.  */
typedef enum
{
  CSP_OFFER_ACCEPTED,
  CSP_OFFER_BAD,          /* can't be parsed */
  CSP_OFFER_STOPPING,     /* the other host is stopping */
  CSP_OFFER_OTHER_ROUTES, /* it has another version of the routes */
  CSP_OFFER_UNREACHED,    /* it reaches no target of the service either */
  CSP_OFFER_FULL,         /* it relays as many requests as it may */
  CSP_OFFER_UNANSWERED,   /* no answer in time, or no connection */
  CSP_OFFER_RESULT_COUNT
} csp_offer_result_t;

/* What a host knows of an offer that it gets.  */
typedef struct
{
  bool stopping;
  bool has_routes;
  uint64_t routes_version;
  uint64_t offered_version; /* of the offering host's routes */
  bool service_reached;
  bool reaches_most;      /* of the service's targets */
  size_t reached;         /* targets with no failed path */
  size_t offered_reached; /* the same at the offering host */
  uint32_t relayed_count; /* relayed requests that are open here */
} csp_offer_facts_t;

csp_offer_result_t csp_judge_offer (const csp_offer_facts_t *facts);

/* For how long the offering host makes that host no further offer;
   unanswered: consecutive offers that it didn't answer, this one included.  */
uint32_t csp_offer_avoid_ms (csp_offer_result_t result, uint32_t unanswered);

/* Names for messages between hosts and for logs.  A name that isn't known
   counts as CSP_OFFER_FULL.  */
const char *csp_offer_result_name (csp_offer_result_t result);
csp_offer_result_t csp_find_offer_result (const char *name);

#endif
