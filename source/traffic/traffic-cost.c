#include "cowslipspoke/traffic-cost.h"

#include "cowslipspoke/nominal-speed.h"

#include <math.h>

enum
{
  /* Requests over which the means are taken; later ones replace earlier ones
     by a moving average.  The planned first deployment has some 60 requests a
     second, so the means follow the load within a few seconds.  */
  SAMPLES_MAX = 256,
  MS_PER_S = 1000
};

static double
compute_token_ms (uint32_t memory_tokens, uint32_t prompt_tokens,
                  uint32_t tokens)
{
  uint32_t output_tokens = tokens > prompt_tokens ? tokens - prompt_tokens : 0;
  uint32_t stopped_tokens = memory_tokens > 0 ? memory_tokens : tokens;
  double reading_ms = (double)prompt_tokens / CSP_IDLE_PREFILL_TOKENS_PER_MS;
  double writing_ms = (double)output_tokens * CSP_DECODE_TOKEN_MS;

  return (double)stopped_tokens * reading_ms + (double)tokens * writing_ms;
}

static void
add_sample (double *mean, uint32_t samples, double value)
{
  *mean += (value - *mean) / (double)samples;
}

static void
count_sample (uint32_t *samples)
{
  if (*samples < SAMPLES_MAX)
    (*samples)++;
}

/* For a mean that is known.  */
static uint32_t
scale_cost (const csp_traffic_cost_t *cost, double token_ms)
{
  double tokens = token_ms * cost->mean_tokens / cost->mean_token_ms;

  return (uint32_t)fmin (fmax (round (tokens), 1), UINT32_MAX);
}

static uint32_t
scale_request (const csp_traffic_cost_t *cost, double token_ms,
               uint32_t tokens)
{
  /* Nothing but empty requests so far.  */
  return cost->mean_token_ms <= 0 ? tokens : scale_cost (cost, token_ms);
}

uint32_t
csp_compute_request_cost (const csp_traffic_cost_t *cost,
                          uint32_t memory_tokens, uint32_t prompt_tokens,
                          uint32_t tokens)
{
  return scale_request (
      cost, compute_token_ms (memory_tokens, prompt_tokens, tokens), tokens);
}

uint32_t
csp_charge_request (csp_traffic_cost_t *cost,
                    csp_traffic_class_t traffic_class, uint32_t memory_tokens,
                    uint32_t prompt_tokens, uint32_t tokens)
{
  double token_ms = compute_token_ms (memory_tokens, prompt_tokens, tokens);

  count_sample (&cost->samples);
  count_sample (&cost->class_samples[traffic_class]);
  add_sample (&cost->mean_tokens, cost->samples, tokens);
  add_sample (&cost->mean_token_ms, cost->samples, token_ms);
  add_sample (&cost->class_token_ms[traffic_class],
              cost->class_samples[traffic_class], token_ms);
  return scale_request (cost, token_ms, tokens);
}

uint32_t
csp_held_token_s (uint32_t prompt_tokens, uint32_t tokens)
{
  double token_s = compute_token_ms (0, prompt_tokens, tokens) / MS_PER_S;

  return (uint32_t)fmin (fmax (round (token_s), 1), UINT32_MAX);
}

uint32_t
csp_mean_class_cost (const csp_traffic_cost_t *cost,
                     csp_traffic_class_t traffic_class)
{
  if (cost->class_samples[traffic_class] == 0 || cost->mean_token_ms <= 0)
    return 0;
  return scale_cost (cost, cost->class_token_ms[traffic_class]);
}
