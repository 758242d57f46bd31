#ifndef COWSLIPSPOKE_WARMUP_H
#define COWSLIPSPOKE_WARMUP_H

#include "cowslipspoke/retry-lease.h"

#include <stdbool.h>
#include <stdint.h>

/* Places at a target that is cold: all hosts together may send it so many
   requests in any second, and beyond some more it crashes.

   Load pattern: a data centre comes back, with eleven empty engines beside
   thirty-three full ones, or the last engines of a service start anew.  All
   that waits fits there by memory, slots and prompts, and sixty hosts send it
   in the same moment; the engines crash, and come back cold.  One notices
   engines that start again and again behind an outage.

   So only the host that decides gives places at cold targets, and counts them
   as what it lends: a grant that its host hasn't used in half a second is
   past, and counts in every second in which it could have arrived.  A cut
   makes two hosts decide, and each has the part of the fleet that asks it; a
   host that takes over gives none until all that the one before gave has
   arrived.  Half of the bound is given; the other half is for requests that
   wait on a link and arrive together.  Hosts that place by themselves leave
   cold targets out.  */

/* Who gives places, as one host knows it.  */
typedef struct
{
  bool decides;
  int64_t decides_since_ms;
  csp_lease_facts_t fleet;
} csp_warmup_duty_t;

/* One target's; a plain value.  */
typedef struct
{
  uint32_t bound_per_s; /* of all hosts together; 0: there is none */
  csp_lease_pool_t given;
} csp_warmup_t;

void csp_open_warmup (csp_warmup_t *warmup, int64_t now_ms);
void csp_set_warmup_bound (csp_warmup_t *warmup, uint32_t bound_per_s);

/* Whether this host may give a place now.  */
bool csp_has_warmup_place (csp_warmup_t *warmup, const csp_warmup_duty_t *duty,
                           int64_t now_ms);

/* Give one; false where there is none.  */
bool csp_take_warmup_place (csp_warmup_t *warmup,
                            const csp_warmup_duty_t *duty, int64_t now_ms);

#endif
