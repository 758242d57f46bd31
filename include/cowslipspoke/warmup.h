#ifndef COWSLIPSPOKE_WARMUP_H
#define COWSLIPSPOKE_WARMUP_H

#include "cowslipspoke/retry-lease.h"

#include <stdbool.h>
#include <stdint.h>

/* Rate limit for a cold target, one that has just started or come back: all
   hosts together may send it a bounded number of requests in any second.  Well
   beyond the bound it crashes.

   Load pattern: a data centre comes back with eleven empty engines beside
   thirty-three full ones, or the last engines of a service restart.  All
   queued requests fit there by memory, slots and prompts, and sixty hosts send
   them at the same moment; the engines crash and come back cold.  The symptom
   is engines that restart again and again after an outage.

   So only the decider grants placements on cold targets, by a lease pool: a
   grant expires if its host hasn't used it within half a second, and counts in
   every second in which its request could arrive.  During a partition there
   can be two deciders, and each may grant only the part of the bound that the
   hosts asking it are of the fleet.  A new decider grants nothing until all
   requests that its predecessor granted have arrived.  Half of the bound is
   granted; the other half is kept for requests that were delayed on a link and
   arrive together.  Hosts that place requests without the decider skip cold
   targets.  */

/* The limit of one target; a plain value.  */
typedef struct
{
  uint32_t bound_per_s; /* for all hosts together; 0: no limit */
  csp_lease_pool_t grants;
} csp_warmup_t;

void csp_init_warmup (csp_warmup_t *warmup, int64_t now_ms);
void csp_set_warmup_bound (csp_warmup_t *warmup, uint32_t bound_per_s);

/* Whether this host may grant a placement now.  */
bool csp_has_warmup_grant (csp_warmup_t *warmup,
                           const csp_decider_role_t *role, int64_t now_ms);

/* Grants a placement; returns false if none may be granted now.  */
bool csp_take_warmup_grant (csp_warmup_t *warmup,
                            const csp_decider_role_t *role, int64_t now_ms);

#endif
