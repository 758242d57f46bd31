#include "fleet.h"

#include <math.h>
#include <stdlib.h>

static const double gap_step = 1.02;

double
gap_quantile_ms (const gaps_t *gaps, double quantile)
{
  uint64_t goal = (uint64_t)((double)gaps->total * quantile);
  uint64_t seen = 0;
  uint32_t i;

  for (i = 0; i < GAP_BUCKETS; i++)
    {
      seen += gaps->counts[i];
      if (seen > goal)
        break;
    }
  return pow (gap_step, i) * 10;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
quantile_of (double *values, uint64_t count, double quantile)
{
  if (count == 0)
    return 0;
  qsort (values, count, sizeof *values, compare_doubles);
  return values[(uint64_t)((double)(count - 1) * quantile)];
}

double
first_quantile_s (outcome_t *outcome, double quantile)
{
  return quantile_of (outcome->first_s, outcome->first_count, quantile);
}

double
wait_quantile_s (outcome_t *outcome, double quantile)
{
  return quantile_of (outcome->wait_s, outcome->first_count, quantile);
}

static void
free_outcome (outcome_t *outcome)
{
  free (outcome->first_s);
  free (outcome->wait_s);
}

void
free_results (results_t *results)
{
  uint32_t i;

  free_outcome (&results->all);
  for (i = 0; i < CLASS_COUNT; i++)
    free_outcome (&results->classes[i]);
  for (i = 0; i < ORGANISATIONS; i++)
    free_outcome (&results->organisations[i]);
}
