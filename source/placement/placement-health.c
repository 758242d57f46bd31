#include "cowslipspoke/health.h"

#include <math.h>
#include <stdlib.h>

/* Below this share a target gets probes only.  */
static const double least_open = 0.1;

/* A target with fewer gaps seen than this isn't judged.  */
static const double known_after = 16;

/* Evidence counts in full for so many gaps.  */
typedef struct
{
  double gap_ms;
  double seen;
  double open;
  int64_t slow_since_ms;
  int64_t stepped_ms;
  int64_t probed_ms;
  bool used;
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
  uint32_t fleet_out;
};

csp_health_policy_t
csp_default_health_policy (void)
{
  csp_health_policy_t policy = { .slow_factor = 2,
                                 .well_factor = 1.5,
                                 .silent_factor = 20,
                                 .gap_half_life = 32,
                                 .slow_ms = 3000,
                                 .step_ms = 2000,
                                 .probe_ms = 5000,
                                 .most_out = 0.2 };

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
csp_reset_health (csp_health_t *health, uint32_t target, bool used)
{
  target_health_t fresh = { .open = 1, .used = used };

  health->targets[target] = fresh;
}

void
csp_note_gaps (csp_health_t *health, uint32_t target, uint32_t tokens,
               double gap_ms)
{
  target_health_t *one = &health->targets[target];
  double keep = exp2 (-(double)tokens / health->policy.gap_half_life);

  if (one->seen == 0)
    keep = 0;
  one->gap_ms = one->gap_ms * keep + gap_ms * (1 - keep);
  one->seen += tokens;
  one->used = true;
}

void
csp_note_silence (csp_health_t *health, uint32_t target, double silent_ms)
{
  target_health_t *one = &health->targets[target];

  if (health->median_ms == 0
      || silent_ms < health->policy.silent_factor * health->median_ms)
    return;
  if (silent_ms > one->gap_ms)
    one->gap_ms = silent_ms;
  one->seen += known_after;
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
  uint32_t known = 0;
  uint32_t i;

  for (i = 0; i < health->count; i++)
    if (health->targets[i].used && health->targets[i].seen >= known_after)
      health->gaps[known++] = health->targets[i].gap_ms;
  if (known == 0)
    return 0;
  qsort (health->gaps, known, sizeof *health->gaps, compare_doubles);
  return health->gaps[(known - 1) / 2];
}

static uint32_t
count_out (const csp_health_t *health, uint32_t *used)
{
  uint32_t out = 0;
  uint32_t i;

  *used = 0;
  for (i = 0; i < health->count; i++)
    {
      *used += health->targets[i].used;
      out += health->targets[i].used && health->targets[i].open < 1;
    }
  return out;
}

static bool
may_take_out (const csp_health_t *health)
{
  uint32_t used;
  uint32_t out = count_out (health, &used) + health->fleet_out;
  double most = (used + health->fleet_targets) * health->policy.most_out;

  return out + 1 <= fmax (most, 1);
}

void
csp_set_fleet_health (csp_health_t *health, double median_ms, uint32_t targets,
                      uint32_t out)
{
  health->fleet_median_ms = median_ms;
  health->fleet_targets = targets;
  health->fleet_out = out;
}

double
csp_health_median_ms (const csp_health_t *health)
{
  return health->own_median_ms;
}

uint32_t
csp_health_out (const csp_health_t *health)
{
  uint32_t used;

  return count_out (health, &used);
}

static void
close_one (const csp_health_t *health, target_health_t *one, int64_t now_ms)
{
  if (one->slow_since_ms == 0)
    one->slow_since_ms = now_ms;
  if (now_ms - one->slow_since_ms < health->policy.slow_ms
      || now_ms - one->stepped_ms < health->policy.step_ms)
    return;
  if (one->open >= 1 && !may_take_out (health))
    return;
  one->open = one->open / 2 < least_open ? 0 : one->open / 2;
  one->stepped_ms = now_ms;
}

/* Opened at once, a target that is well for a moment would get the load of
   all that wait, and be slow again.  */
static void
open_one (const csp_health_t *health, target_health_t *one, int64_t now_ms)
{
  one->slow_since_ms = 0;
  if (one->open >= 1 || now_ms - one->stepped_ms < health->policy.step_ms)
    return;
  one->open = fmin (1, fmax (one->open * 2, least_open));
  one->stepped_ms = now_ms;
}

void
csp_weigh_health (csp_health_t *health, int64_t now_ms)
{
  const csp_health_policy_t *policy = &health->policy;
  target_health_t *one;
  uint32_t i;

  health->own_median_ms = find_median (health);
  health->median_ms = health->own_median_ms;
  if (health->fleet_median_ms > 0)
    health->median_ms = health->fleet_median_ms;
  for (i = 0; i < health->count; i++)
    {
      one = &health->targets[i];
      if (!one->used || one->seen < known_after || health->median_ms == 0)
        continue;
      if (one->gap_ms > policy->slow_factor * health->median_ms)
        close_one (health, one, now_ms);
      else if (one->gap_ms < policy->well_factor * health->median_ms)
        open_one (health, one, now_ms);
    }
}

double
csp_health_open (const csp_health_t *health, uint32_t target)
{
  return health->targets[target].open;
}

double
csp_health_slowness (const csp_health_t *health, uint32_t target)
{
  const target_health_t *one = &health->targets[target];

  if (health->median_ms == 0 || one->seen < known_after)
    return 1;
  return fmax (1, one->gap_ms / health->median_ms);
}

bool
csp_take_probe (csp_health_t *health, uint32_t target, uint32_t streams,
                int64_t now_ms)
{
  target_health_t *one = &health->targets[target];

  if (one->open > 0 || streams > 0
      || now_ms - one->probed_ms < health->policy.probe_ms)
    return false;
  one->probed_ms = now_ms;
  return true;
}
