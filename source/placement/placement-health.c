#include "cowslipspoke/health.h"

#include <math.h>
#include <stdlib.h>

/* A share below this is set to zero, and the target gets only probes.  */
static const double min_share = 0.1;

/* Number of observed gaps from which on a target is compared with its
   peers.  */
static const double min_gaps = 16;

/* The state of one target.  gap_ms is a moving average over `gaps_seen`
   observed gaps.  */
typedef struct
{
  double gap_ms;
  double gaps_seen;
  double usable_share;
  int64_t slow_since_ms;
  int64_t stepped_at_ms;
  int64_t probed_at_ms;
  bool in_use;
} target_health_t;

struct csp_health
{
  csp_health_policy_t policy;
  target_health_t *targets;
  double *gaps;
  uint32_t count;
  double median_ms;
  double own_median_ms;
  double fleet_median_ms;
  uint32_t fleet_targets;
  uint32_t fleet_reduced;
};

csp_health_policy_t
csp_default_health_policy (void)
{
  csp_health_policy_t policy = { .slow_factor = 2,
                                 .healthy_factor = 1.5,
                                 .silent_factor = 20,
                                 .gap_half_life = 32,
                                 .slow_ms = 3000,
                                 .step_ms = 2000,
                                 .probe_ms = 5000,
                                 .max_reduced = 0.2 };

  return policy;
}

csp_health_t *
csp_create_health (const csp_health_policy_t *policy, uint32_t targets)
{
  csp_health_t *health = calloc (1, sizeof *health);
  uint32_t i;

  if (health == NULL)
    return NULL;
  health->policy = *policy;
  health->count = targets;
  health->targets = calloc (targets + 1, sizeof *health->targets);
  health->gaps = calloc (targets + 1, sizeof *health->gaps);
  if (health->targets == NULL || health->gaps == NULL)
    {
      csp_destroy_health (health);
      return NULL;
    }
  for (i = 0; i < targets; i++)
    csp_reset_health (health, i, false);
  return health;
}

void
csp_destroy_health (csp_health_t *health)
{
  if (health == NULL)
    return;
  free (health->targets);
  free (health->gaps);
  free (health);
}

void
csp_reset_health (csp_health_t *health, uint32_t target, bool in_use)
{
  target_health_t fresh = { .usable_share = 1, .in_use = in_use };

  health->targets[target] = fresh;
}

void
csp_note_gaps (csp_health_t *health, uint32_t target, uint32_t tokens,
               double gap_ms)
{
  target_health_t *state = &health->targets[target];
  double keep = exp2 (-(double)tokens / health->policy.gap_half_life);

  if (state->gaps_seen == 0)
    keep = 0;
  state->gap_ms = state->gap_ms * keep + gap_ms * (1 - keep);
  state->gaps_seen += tokens;
  state->in_use = true;
}

void
csp_note_silence (csp_health_t *health, uint32_t target, double silent_ms)
{
  target_health_t *state = &health->targets[target];

  if (health->median_ms == 0
      || silent_ms < health->policy.silent_factor * health->median_ms)
    return;
  if (silent_ms > state->gap_ms)
    state->gap_ms = silent_ms;
  state->gaps_seen += min_gaps;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
find_median (const csp_health_t *health)
{
  uint32_t known_count = 0;
  uint32_t i;

  for (i = 0; i < health->count; i++)
    if (health->targets[i].in_use && health->targets[i].gaps_seen >= min_gaps)
      health->gaps[known_count++] = health->targets[i].gap_ms;
  if (known_count == 0)
    return 0;
  qsort (health->gaps, known_count, sizeof *health->gaps, compare_doubles);
  return health->gaps[(known_count - 1) / 2];
}

static uint32_t
count_reduced (const csp_health_t *health, uint32_t *in_use)
{
  uint32_t reduced = 0;
  uint32_t i;

  *in_use = 0;
  for (i = 0; i < health->count; i++)
    {
      *in_use += health->targets[i].in_use;
      reduced
          += health->targets[i].in_use && health->targets[i].usable_share < 1;
    }
  return reduced;
}

static bool
may_reduce_another (const csp_health_t *health)
{
  uint32_t in_use;
  uint32_t reduced = count_reduced (health, &in_use) + health->fleet_reduced;
  double max_count
      = (in_use + health->fleet_targets) * health->policy.max_reduced;

  return reduced + 1 <= fmax (max_count, 1);
}

void
csp_set_fleet_health (csp_health_t *health, double median_ms, uint32_t targets,
                      uint32_t reduced)
{
  health->fleet_median_ms = median_ms;
  health->fleet_targets = targets;
  health->fleet_reduced = reduced;
}

double
csp_health_median_ms (const csp_health_t *health)
{
  return health->own_median_ms;
}

uint32_t
csp_count_reduced_targets (const csp_health_t *health)
{
  uint32_t in_use;

  return count_reduced (health, &in_use);
}

static void
reduce_share (const csp_health_t *health, target_health_t *state,
              int64_t now_ms)
{
  if (state->slow_since_ms == 0)
    state->slow_since_ms = now_ms;
  if (now_ms - state->slow_since_ms < health->policy.slow_ms
      || now_ms - state->stepped_at_ms < health->policy.step_ms)
    return;
  if (state->usable_share >= 1 && !may_reduce_another (health))
    return;
  state->usable_share
      = state->usable_share / 2 < min_share ? 0 : state->usable_share / 2;
  state->stepped_at_ms = now_ms;
}

/* Restores the share step by step.  Otherwise a target that has just recovered
   would get all queued requests at once, and be slow again.  */
static void
restore_share (const csp_health_t *health, target_health_t *state,
               int64_t now_ms)
{
  state->slow_since_ms = 0;
  if (state->usable_share >= 1
      || now_ms - state->stepped_at_ms < health->policy.step_ms)
    return;
  state->usable_share = fmin (1, fmax (state->usable_share * 2, min_share));
  state->stepped_at_ms = now_ms;
}

void
csp_update_health (csp_health_t *health, int64_t now_ms)
{
  const csp_health_policy_t *policy = &health->policy;
  target_health_t *state;
  uint32_t i;

  health->own_median_ms = find_median (health);
  health->median_ms = health->own_median_ms;
  if (health->fleet_median_ms > 0)
    health->median_ms = health->fleet_median_ms;
  for (i = 0; i < health->count; i++)
    {
      state = &health->targets[i];
      if (!state->in_use || state->gaps_seen < min_gaps
          || health->median_ms == 0)
        continue;
      if (state->gap_ms > policy->slow_factor * health->median_ms)
        reduce_share (health, state, now_ms);
      else if (state->gap_ms < policy->healthy_factor * health->median_ms)
        restore_share (health, state, now_ms);
    }
}

double
csp_health_share (const csp_health_t *health, uint32_t target)
{
  return health->targets[target].usable_share;
}

double
csp_health_slowness (const csp_health_t *health, uint32_t target)
{
  const target_health_t *state = &health->targets[target];

  if (health->median_ms == 0 || state->gaps_seen < min_gaps)
    return 1;
  return fmax (1, state->gap_ms / health->median_ms);
}

bool
csp_take_probe (csp_health_t *health, uint32_t target, uint32_t streams,
                int64_t now_ms)
{
  target_health_t *state = &health->targets[target];

  if (state->usable_share > 0 || streams > 0
      || now_ms - state->probed_at_ms < health->policy.probe_ms)
    return false;
  state->probed_at_ms = now_ms;
  return true;
}
