#ifndef COWSLIPSPOKE_FLEET_IMP_H
#define COWSLIPSPOKE_FLEET_IMP_H

#include "cowslipspoke/fleet.h"

struct csp_fleet
{
  csp_fleet_left_t left;
  csp_fleet_freed_t freed;
  void *state;
  csp_fleet_target_t **targets;
  size_t count;
  size_t room;
  /* Targets by hash of their ids, each in the first free slot from its hash
     on.  Hosts tell thousands of loads a second, and at 3,000 targets looking
     through all of them for each took more than the host has.  */
  csp_fleet_target_t **index;
  size_t index_room; /* a power of two; 0 before the first target */
  uint64_t additions;
  bool platform_reachable;
  /* Removals up to then may be the platform's own outage.  */
  int64_t distrust_until_ms;
};

/* The share of failures as of now: it fades while nothing is counted.  */
double csp_fading_failures (const csp_fleet_target_t *target, int64_t now_ms);

#endif
