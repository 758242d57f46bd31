#ifndef COWSLIPSPOKE_FLEET_IMP_H
#define COWSLIPSPOKE_FLEET_IMP_H

#include "base/array-imp.h"
#include "base/index-imp.h"
#include "cowslipspoke/fleet.h"

#include <urcu/list.h>

/* A target and its index nodes.  Hosts report thousands of loads per second;
   at 3,000 targets a linear search for each took more CPU time than the host
   has.  */
typedef struct
{
  csp_fleet_target_t target;
  csp_index_node_t by_start;
  csp_index_node_t by_id;
  struct cds_list_head changed_load; /* among the fleet's; empty: it isn't */
  struct cds_list_head stated_rate;  /* the same */
  struct cds_list_head has_losses;   /* the same */
  struct cds_list_head left;         /* the same */
} target_entry_t;

enum
{
  CSP_COLD_LIMITS_MAX = 16
};

/* Whether a request that goes only to targets in reach may go there; see
   fleet-path.c.  */
bool csp_may_use_path (const csp_fleet_target_t *target, bool repeatable,
                       int64_t now_ms);

/* The limit on a service's targets while they are cold.  */
typedef struct
{
  char service[CSP_FLEET_NAME_BYTES];
  uint32_t cold_ms;
  uint32_t bound_per_s;
} csp_cold_limit_t;

struct csp_fleet
{
  csp_fleet_leave_callback_t on_leave;
  csp_fleet_free_callback_t on_free;
  void *state;
  csp_fleet_target_t **targets;
  size_t count;
  size_t capacity;
  size_t group_count;
  size_t group_capacity;
  csp_fleet_group_t **groups;
  size_t ending_count; /* targets that are lapsed or gone */
  size_t failed_path_count;
  csp_index_t by_start; /* by csp_fleet_target_t.hash */
  csp_index_t by_id;
  uint64_t additions;
  struct cds_list_head changed_loads;
  /* Targets that state a rate limit or lately did.  */
  struct cds_list_head stated_rates;
  size_t service_speed_count;
  size_t service_speed_capacity;
  csp_service_speed_t *service_speeds;
  /* Used while a service's targets are rated.  */
  size_t rated_capacity;
  csp_speed_t **rated;
  /* Targets that are damped or on probation, in the order of their damping;
     and others with losses that hosts still report, or that were damped not
     long ago.  */
  struct cds_list_head damped_targets;
  struct cds_list_head lossy_targets;
  struct cds_list_head left_targets; /* that on_leave isn't called for yet */
  csp_cordons_t *cordons;
  size_t cold_limit_count;
  csp_cold_limit_t cold_limits[CSP_COLD_LIMITS_MAX];
  /* Latest end of any backoff.  Each request checks for backoffs, and mostly
     there are none.  */
  int64_t backoff_until_ms;
  bool platform_reachable;
  /* Until then removed rows may be the result of the platform's own
     outage.  */
  int64_t removals_unreliable_until_ms;
};

/* The entry that contains a target.  */
target_entry_t *csp_entry_of_target (csp_fleet_target_t *target);

/* The group of a row, added if it is new; NULL when memory allocation
   fails.  */
csp_fleet_group_t *csp_find_or_add_group (csp_fleet_t *fleet,
                                          const csp_fleet_row_t *row);

/* Moves a target to another group, or out of its group.  */
void csp_join_group (csp_fleet_target_t *target, csp_fleet_group_t *group);
void csp_leave_group (csp_fleet_target_t *target);
void csp_free_groups (csp_fleet_t *fleet);

/* Sets a target's limit for the time when it is cold from its service's.  */
void csp_apply_cold_limit (csp_fleet_t *fleet, csp_fleet_target_t *target);

/* Treats a target as cold although it hasn't reported it: it has restarted, or
   the cordon of its data centre is lifted.  */
void csp_assume_cold (csp_fleet_t *fleet, csp_fleet_target_t *target,
                      int64_t now_ms);

/* Whether the target is in its group's damped_count.  */
bool csp_is_counted_damped (const csp_fleet_target_t *target);

/* The target's failure share, decayed to now_ms.  */
double csp_decayed_failure_share (const csp_fleet_target_t *target,
                                  int64_t now_ms);

/* fleet-cost.c  */

/* Expected delay by sending the request there, in ms.  */
double csp_cost_of_target (const csp_fleet_target_t *target,
                           const csp_fleet_need_t *need, int64_t now_ms);

/* The share of an engine's memory in use with this request.  */
double csp_memory_share (const csp_fleet_target_t *target,
                         const csp_fleet_need_t *need);

uint32_t csp_assigned_runs (const csp_fleet_target_t *target);

/* The expected decode time of a run at the nominal speed.  */
double csp_expected_run_ms (const csp_fleet_need_t *need);

/* Whether streams at the target, or this one, will probably pause for longer
   than allowed if it is sent there.  stretch: of the service.  */
bool csp_would_pause_streams (const csp_fleet_target_t *target,
                              const csp_fleet_need_t *need, double stretch);

/* fleet-speed.c  */

/* Rates a service's targets, unless this was done lately.  Returns the
   service's stretch.  */
double csp_rate_service_targets (csp_fleet_t *fleet, const char *service,
                                 int64_t now_ms);

#endif
