#include "cowslipspoke/shift.h"

#include <math.h>

static const double ms_per_s = 1000;

csp_slow_start_policy_t
csp_default_slow_start_policy (void)
{
  csp_slow_start_policy_t policy = {
    .start = 0.1, .doubling_ms = 2000, .rise_per_s = 0.1, .dead_band = 0.05
  };

  return policy;
}

void
csp_begin_slow_start (csp_slow_start_t *slow_start,
                      const csp_slow_start_policy_t *policy, int64_t now_ms)
{
  slow_start->open_share = policy->start;
  slow_start->advanced_ms = now_ms;
  slow_start->in_progress = true;
}

void
csp_skip_slow_start (csp_slow_start_t *slow_start)
{
  slow_start->open_share = 1;
  slow_start->in_progress = false;
}

void
csp_stop_slow_start (csp_slow_start_t *slow_start)
{
  slow_start->open_share = 0;
  slow_start->in_progress = false;
}

double
csp_advance_slow_start (csp_slow_start_t *slow_start,
                        const csp_slow_start_policy_t *policy, bool healthy,
                        int64_t now_ms)
{
  double passed_ms = (double)(now_ms - slow_start->advanced_ms);

  if (!slow_start->in_progress)
    return slow_start->open_share;
  slow_start->advanced_ms = now_ms;
  if (healthy && passed_ms > 0)
    slow_start->open_share *= exp2 (passed_ms / fmax (policy->doubling_ms, 1));
  if (slow_start->open_share >= 1)
    csp_skip_slow_start (slow_start);
  return slow_start->open_share;
}

/* Moves by at most one second's worth, so that a pause of the host, in which
   it observed nothing, doesn't end in one big step.  */
double
csp_move_share (const csp_slow_start_policy_t *policy, double current,
                double wanted, bool trouble, int64_t passed_ms)
{
  double seconds = fmin ((double)passed_ms / ms_per_s, 1);
  double max_step = policy->rise_per_s * seconds;

  if (trouble && wanted < current)
    return wanted;
  if (fabs (wanted - current) <= policy->dead_band)
    return current;
  return current + fmax (-max_step, fmin (max_step, wanted - current));
}
