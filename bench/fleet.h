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

/* What plays the arrivals.  The flags switch a decision off.  */
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
  bool no_shift;
  bool no_flight_news;
  int64_t report_lag_us;
  double slow_factor;
  uint32_t slow_engine;
  int64_t lost_from_us;
  int64_t lost_until_us;
} play_t;

/* Gaps between tokens in log-spaced buckets of 2 in 100.  */
typedef struct
{
  uint64_t counts[GAP_BUCKETS];
  uint64_t total;
} gaps_t;

/* What callers got.  */
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
  double prefill_s;
  uint64_t tokens;
  uint64_t given_way;
  gaps_t gaps;
  double *first_s;
  double *wait_s;
  uint64_t first_count;
} outcome_t;

/* small: all organisations but the three that send most.  returned: sent to
   the engine that was lost, in the first 10 s after its return.  */
typedef struct
{
  outcome_t all;
  outcome_t classes[CLASS_COUNT];
  outcome_t organisations[ORGANISATIONS];
  outcome_t returned;
  outcome_t small;
  double seconds;
} results_t;

void play_fleet (const play_t *play, const arrivals_plan_t *plan,
                 results_t *results);
void free_results (results_t *results);

double gap_quantile_ms (const gaps_t *gaps, double quantile);

/* Quantile of times to the first token, in seconds; sorts them.  */
double first_quantile_s (outcome_t *outcome, double quantile);

/* Quantile of the time between arrival and hand-over to an engine.  */
double wait_quantile_s (outcome_t *outcome, double quantile);

play_t default_play (dispatch_t dispatch);

#endif
