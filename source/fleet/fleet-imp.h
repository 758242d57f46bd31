#ifndef COWSLIPSPOKE_FLEET_IMP_H
#define COWSLIPSPOKE_FLEET_IMP_H

#include "base/index-imp.h"
#include "cowslipspoke/fleet.h"

/* A target and how it is found.  Hosts tell thousands of loads a second, and
   at 3,000 targets looking through all of them for each took more than the
   host has.  */
typedef struct
{
  csp_fleet_target_t target;
  csp_index_node_t by_start;
  csp_index_node_t by_id;
} listed_target_t;

enum
{
  CSP_COLD_SERVICES_MAX = 16
};

/* What the targets of one service stand while they are cold.  */
typedef struct
{
  char service[CSP_TARGET_NAME_BYTES];
  uint32_t cold_ms;
  uint32_t bound_per_s;
} csp_cold_service_t;

struct csp_fleet
{
  csp_fleet_left_t left;
  csp_fleet_freed_t freed;
  void *state;
  csp_fleet_target_t **targets;
  size_t count;
  size_t room;
  csp_index_t by_start; /* by csp_fleet_target_t.hash */
  csp_index_t by_id;
  uint64_t additions;
  csp_cordons_t *cordons;
  size_t cold_count;
  csp_cold_service_t cold[CSP_COLD_SERVICES_MAX];
  /* Until then some target may be backed off; each request asks, and most find
     none.  */
  int64_t backoff_until_ms;
  bool platform_reachable;
  /* Removals up to then may be the platform's own outage.  */
  int64_t distrust_until_ms;
};

/* Bound a target by what its service stands while it is cold.  */
void csp_pace_target (csp_fleet_t *fleet, csp_fleet_target_t *target);

/* The target may be cold without having said so yet: it has started again, or
   its data centre is taken back.  */
void csp_expect_cold (csp_fleet_t *fleet, csp_fleet_target_t *target,
                      int64_t now_ms);

/* The share of failures as of now: it fades while nothing is counted.  */
double csp_fading_failures (const csp_fleet_target_t *target, int64_t now_ms);

#endif
