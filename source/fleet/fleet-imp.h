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
  bool platform_reachable;
  /* Removals up to then may be the platform's own outage.  */
  int64_t distrust_until_ms;
};

/* The share of failures as of now: it fades while nothing is counted.  */
double csp_fading_failures (const csp_fleet_target_t *target, int64_t now_ms);

#endif
