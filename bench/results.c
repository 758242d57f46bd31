#include "fleet-imp.h"

#include <math.h>
#include <stdlib.h>

static const double gap_bucket_ratio = 1.02;

double
gap_quantile_ms (const gaps_t *gaps, double quantile)
{
  uint64_t rank = (uint64_t)((double)gaps->total * quantile);
  uint64_t cumulative = 0;
  uint32_t i;

  for (i = 0; i < GAP_BUCKETS; i++)
    {
      cumulative += gaps->counts[i];
      if (cumulative > rank)
        break;
    }
  return pow (gap_bucket_ratio, i) * 10;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static double
find_quantile (double *values, uint64_t count, double quantile)
{
  if (count == 0)
    return 0;
  qsort (values, count, sizeof *values, compare_doubles);
  return values[(uint64_t)((double)(count - 1) * quantile)];
}

double
first_token_quantile_s (outcome_t *outcome, double quantile)
{
  return find_quantile (outcome->first_token_s, outcome->first_token_count,
                        quantile);
}

double
wait_quantile_s (outcome_t *outcome, double quantile)
{
  return find_quantile (outcome->wait_s, outcome->first_token_count, quantile);
}

static void
free_outcome (outcome_t *outcome)
{
  free (outcome->first_token_s);
  free (outcome->wait_s);
}

void
free_results (results_t *results)
{
  uint32_t i;

  free_outcome (&results->all);
  free_outcome (&results->sent_after_return);
  free_outcome (&results->small_organisations);
  for (i = 0; i < CLASS_COUNT; i++)
    free_outcome (&results->classes[i]);
  for (i = 0; i < ORGANISATIONS; i++)
    free_outcome (&results->organisations[i]);
}

static void
add_to_outcome (outcome_t *outcome, const request_t *request)
{
  if (outcome->first_token_s == NULL)
    {
      outcome->first_token_s = calloc (400000, sizeof (double));
      outcome->wait_s = calloc (400000, sizeof (double));
    }
  outcome->requests++;
  outcome->finished += request->phase == REQUEST_DONE;
  outcome->refused += request->phase == REQUEST_REFUSED;
  outcome->given_up += request->phase == REQUEST_GIVEN_UP;
  outcome->lost += request->phase == REQUEST_LOST;
  outcome->preemptions += request->engine_preemptions;
  outcome->requeued += request->requeued_count;
  outcome->preempted += request->engine_preemptions != 0;
  outcome->stall_s += (double)request->stall_us / 1e6;
  outcome->tokens += request->generated_token_count;
  if (request->first_token_us == 0 || outcome->first_token_count >= 400000)
    return;
  outcome->started++;
  outcome->sent_to_first_token_s
      += (double)(request->first_token_us - request->sent_us) / 1e6;
  outcome->wait_s[outcome->first_token_count]
      = (double)(request->sent_us - request->arrive_us) / 1e6;
  outcome->first_token_s[outcome->first_token_count++]
      = (double)(request->first_token_us - request->arrive_us) / 1e6;
}

static void
add_gaps (gaps_t *sum, const gaps_t *gaps)
{
  uint32_t i;

  for (i = 0; i < GAP_BUCKETS; i++)
    sum->counts[i] += gaps->counts[i];
  sum->total += gaps->total;
}

static bool
was_sent_after_return (const fleet_t *fleet, const request_t *request)
{
  int64_t returned_us = fleet->settings->lost_until_us;

  return returned_us != 0 && request->engine == fleet->settings->faulty_engine
         && request->sent_us >= returned_us
         && request->sent_us < returned_us + AFTER_RETURN_US;
}

void
count_outcomes (fleet_t *fleet)
{
  results_t *results = fleet->results;
  const request_t *request;
  uint32_t i;

  for (i = 0; i < fleet->request_count; i++)
    {
      request = &fleet->requests[i];
      add_to_outcome (&results->all, request);
      add_to_outcome (&results->classes[request->class_index], request);
      add_to_outcome (&results->organisations[request->organisation], request);
      if (request->organisation >= FIRST_SMALL_ORGANISATION)
        add_to_outcome (&results->small_organisations, request);
      if (was_sent_after_return (fleet, request))
        add_to_outcome (&results->sent_after_return, request);
    }
  for (i = 0; i < CLASS_COUNT; i++)
    add_gaps (&results->all.gaps, &results->classes[i].gaps);
  for (i = FIRST_SMALL_ORGANISATION; i < ORGANISATIONS; i++)
    add_gaps (&results->small_organisations.gaps,
              &results->organisations[i].gaps);
}
