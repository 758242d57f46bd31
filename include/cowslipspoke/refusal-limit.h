#ifndef COWSLIPSPOKE_REFUSAL_LIMIT_H
#define COWSLIPSPOKE_REFUSAL_LIMIT_H

#include <stddef.h>
#include <stdint.h>

/* Targets that fail if they have to refuse more than a stated number of
   requests in a second for lack of capacity.

   Load pattern: a burst fills a service's targets.  Each host that is refused
   tries again 0.15 s later, all hosts together tens of times a second, and the
   targets fail one after another.  So a host that such a target has refused
   sends it nothing for as long as its share of the limit lasts: hosts that try
   one request each at the end of that time cause half of the limit.  This
   doesn't bound the refusals of requests that are already under way.  */

/* The time for which a host sends nothing to a target after a refusal.  hosts:
   those that send to it, this one included.  */
uint32_t csp_refusal_pause_ms (double max_refusals_per_s, size_t hosts);

#endif
