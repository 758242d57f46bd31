#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
show (const char *name, const play_t *play, const arrivals_plan_t *plan)
{
  results_t r;
  outcome_t *a = &r.all;
  double p1000;

  play_fleet (play, plan, &r);
  p1000
      = 1000.0 * (double)a->preempted / (double)(a->started ? a->started : 1);
  printf (
      "%-22s load %.2f pre/1000 %6.2f stall/1000 %7.1f s gap95 %5.1f gap99 "
      "%5.1f ttft50 %5.2f ttft99 %6.2f wait99 %6.2f small99 %6.2f ref %5.1f%% "
      "up %5.1f%% tok/s %6.0f\n",
      name, plan->load, p1000, 1000 * a->stall_s / (double)a->started,
      gap_quantile_ms (&a->gaps, 0.95), gap_quantile_ms (&a->gaps, 0.99),
      first_quantile_s (a, 0.5), first_quantile_s (a, 0.99),
      wait_quantile_s (a, 0.99), first_quantile_s (&r.organisations[5], 0.99),
      100.0 * (double)a->refused / (double)a->requests,
      100.0 * (double)a->given_up / (double)a->requests,
      (double)a->tokens / r.seconds);
  free_results (&r);
}

int
main (void)
{
  double loads[] = { 0.5, 0.7, 0.9, 1.1, 1.5 };
  double risks[] = { 0.0, 0.5, 1, 1.5, 2, 2.5, 3, 4 };
  uint32_t i, j;
  arrivals_plan_t plan = { .seed = 1,
                           .engines = 12,
                           .duration_us = 900000000LL,
                           .only = ALL_ORGANISATIONS,
                           .length_factor = 1 };
  play_t play;
  char name[64];
  for (i = 0; i < 5; i++)
    {
      plan.load = loads[i];
      play = default_play (DISPATCH_ROUND_ROBIN);
      show ("round robin", &play, &plan);
      play = default_play (DISPATCH_LEAST_OUTSTANDING);
      show ("least outstanding", &play, &plan);
      play = default_play (DISPATCH_FIRST_COME);
      show ("first come", &play, &plan);
      for (j = 6; j <= 14; j += 2)
        {
          play = default_play (DISPATCH_FIXED_STREAMS);
          play.fixed_streams = j;
          snprintf (name, sizeof name, "fixed %u", j);
          show (name, &play, &plan);
        }
      for (j = 0; j < 8; j++)
        {
          play = default_play (DISPATCH_DECISIONS);
          play.admission.risk = risks[j];
          snprintf (name, sizeof name, "decisions risk %.1f", risks[j]);
          show (name, &play, &plan);
        }
    }
  return 0;
}
