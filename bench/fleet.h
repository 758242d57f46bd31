#ifndef BENCH_FLEET_H
#define BENCH_FLEET_H

#include "arrivals.h"

#include "cowslipspoke/admission.h"
#include "cowslipspoke/placement.h"
#include "cowslipspoke/queue.h"

enum
{
  GAP_BUCKETS = 400,
  GROUPS = 2,
  GROUP_LARGEST = 0,
  GROUP_SMALL = 1
};

typedef enum
{
  DISPATCH_ROUND_ROBIN,
  DISPATCH_LEAST_OUTSTANDING,
  DISPATCH_FIRST_COME,
  DISPATCH_FIXED_STREAMS,
  DISPATCH_DECISIONS
} dispatch_t;

/* Settings of a simulated fleet.  Each no_ flag switches one decision off.  */
typedef struct
{
  dispatch_t dispatch;
  uint32_t fixed_streams;
  uint32_t engines;
  uint32_t hosts;
  csp_admission_policy_t admission;
  csp_queue_policy_t queue;
  csp_placement_policy_t placement;
  bool no_learning;
  bool no_admission;
  bool no_fairness;
  bool no_placement;
  bool no_prefixes;
  bool no_health;
  bool no_preemption;
  bool no_slow_start;
  bool no_in_flight_reports;
  int64_t report_lag_us;
  double slow_factor;
  /* The steps of this engine take slow_factor times as long.  If lost_until_us
     is set, the engine instead fails at lost_from_us and comes back empty at
     lost_until_us.  */
  uint32_t faulty_engine;
  int64_t lost_from_us;
  int64_t lost_until_us;
} simulation_settings_t;

/* Histogram of the gaps between tokens; each bucket is 2 % wider than the
   one before.  */
typedef struct
{
  uint64_t counts[GAP_BUCKETS];
  uint64_t total;
} gaps_t;

/* Results of a group of requests.  */
typedef struct
{
  uint64_t requests;
  uint64_t finished;
  uint64_t started;
  uint64_t refused;
  uint64_t given_up;
  uint64_t lost;
  uint64_t preemptions;
  uint64_t preempted;
  uint64_t started_preempted;
  double stall_s;
  /* Sum of the times between sending to an engine and the first token.  */
  double sent_to_first_token_s;
  uint64_t tokens;
  uint64_t requeued;
  gaps_t gaps;
  double *first_token_s;
  double *wait_s;
  uint64_t first_token_count;
} outcome_t;

/* Results of one simulation.  */
typedef struct
{
  outcome_t all;
  outcome_t classes[CLASS_COUNT];
  outcome_t organisations[ORGANISATIONS];
  /* Requests sent to the failed engine in the first 10 s after its return.  */
  outcome_t sent_after_return;
  /* All organisations but the three that send most.  */
  outcome_t small_organisations;
  double seconds;
} results_t;

/* Simulates the fleet for the arrivals of plan.  The caller frees the results
   with free_results.  */
void simulate_fleet (const simulation_settings_t *settings,
                     const arrivals_plan_t *plan, results_t *results);
void free_results (results_t *results);

double gap_quantile_ms (const gaps_t *gaps, double quantile);

/* Returns a quantile of the times to the first token, in seconds.  Sorts the
   times in place.  */
double first_token_quantile_s (outcome_t *outcome, double quantile);

/* Returns a quantile of the times between arrival and sending to an engine, in
   seconds.  Sorts the times in place.  */
double wait_quantile_s (outcome_t *outcome, double quantile);

simulation_settings_t default_simulation_settings (dispatch_t dispatch);

#endif
