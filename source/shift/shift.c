#include "cowslipspoke/shift.h"

#include <math.h>

static const double ms_per_s = 1000;

csp_shift_policy_t
csp_default_shift_policy (void)
{
  csp_shift_policy_t policy = {
    .start = 0.1, .doubling_ms = 2000, .rise_per_s = 0.1, .dead_band = 0.05
  };

  return policy;
}

void
csp_begin_slow_start (csp_slow_start_t *shift,
                      const csp_shift_policy_t *policy, int64_t now_ms)
{
  shift->open = policy->start;
  shift->advanced_ms = now_ms;
  shift->opening = true;
}

void
csp_skip_slow_start (csp_slow_start_t *shift)
{
  shift->open = 1;
  shift->opening = false;
}

void
csp_stop_slow_start (csp_slow_start_t *shift)
{
  shift->open = 0;
  shift->opening = false;
}

double
csp_advance_slow_start (csp_slow_start_t *shift,
                        const csp_shift_policy_t *policy, bool healthy,
                        int64_t now_ms)
{
  double passed_ms = (double)(now_ms - shift->advanced_ms);

  if (!shift->opening)
    return shift->open;
  shift->advanced_ms = now_ms;
  if (healthy && passed_ms > 0)
    shift->open *= exp2 (passed_ms / fmax (policy->doubling_ms, 1));
  if (shift->open >= 1)
    csp_skip_slow_start (shift);
  return shift->open;
}

/* Moves by at most one second's worth, so that a pause of the host, in which
   it observed nothing, doesn't end in one big step.  */
double
csp_move_share (const csp_shift_policy_t *policy, double current,
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
