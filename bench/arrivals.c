#include "arrivals.h"

#include "cowslipspoke/random.h"

#include <math.h>
#include <stdlib.h>

/* How the requests of one class are drawn.  Output lengths are log-normal and
   prompt lengths uniform within their range.  A caller gives up when its first
   token has not come within start_within_s.  */
typedef struct
{
  double share;
  double median_tokens;
  double sigma;
  uint32_t min_prompt_tokens;
  uint32_t max_prompt_tokens;
  uint8_t priority;
  uint32_t start_within_s;
} class_profile_t;

const char *const class_names[CLASS_COUNT] = { "lookup", "score", "draft" };

static const class_profile_t classes[CLASS_COUNT] = {
  [CLASS_LOOKUP] = { 0.45, 40, 0.8, 200, 600, 7, 10 },
  [CLASS_SCORE] = { 0.25, 12, 0.6, 800, 2500, 4, 20 },
  [CLASS_DRAFT] = { 0.30, 290, 1.3, 1000, 8000, 6, 30 },
};

enum
{
  MAX_OUTPUT_TOKENS = 32768,
  MEAN_SAMPLES = 200000,
  PREFIXES_PER_ORGANISATION = 4,
  FULL_STEP_US = 42000
};

static const double largest_share = 0.6;
static const double large_share = 0.1;
static const double prefix_share = 0.5;

static double
draw_normal (csp_random_t *random)
{
  double u = 1 - csp_random_unit (random);

  return sqrt (-2 * log (u)) * cos (2 * M_PI * csp_random_unit (random));
}

static uint8_t
draw_class (csp_random_t *random)
{
  double u = csp_random_unit (random);
  uint32_t i;

  for (i = 0; i < CLASS_COUNT - 1; i++)
    {
      u -= classes[i].share;
      if (u < 0)
        break;
    }
  return (uint8_t)i;
}

/* One organisation sends 0.6 of all requests, two send 0.1 each, and the
   other seven share the rest.  */
static uint8_t
draw_organisation (csp_random_t *random)
{
  double u = csp_random_unit (random);

  if (u < largest_share)
    return LARGEST_ORGANISATION;
  u = (u - largest_share) / large_share;
  if (u < 2)
    return (uint8_t)(1 + (int)u);
  return (uint8_t)(FIRST_SMALL_ORGANISATION
                   + csp_random_below (
                       random, ORGANISATIONS - FIRST_SMALL_ORGANISATION));
}

static void
draw_request (csp_random_t *random, double length_factor, request_t *request)
{
  const class_profile_t *profile;
  double tokens;

  request->class_index = draw_class (random);
  request->organisation = draw_organisation (random);
  profile = &classes[request->class_index];
  tokens = profile->median_tokens * length_factor
           * exp (profile->sigma * draw_normal (random));
  request->output_tokens
      = (uint32_t)fmin (fmax (tokens, 1), MAX_OUTPUT_TOKENS);
  request->prompt_tokens
      = profile->min_prompt_tokens
        + csp_random_below (random, profile->max_prompt_tokens
                                        - profile->min_prompt_tokens);
  request->priority = profile->priority;
  request->start_by_us = (int64_t)profile->start_within_s * 1000000;
  request->prefix = 1 + request->organisation * PREFIXES_PER_ORGANISATION
                    + csp_random_below (random, PREFIXES_PER_ORGANISATION);
  request->prefix_tokens = (uint32_t)(request->prompt_tokens * prefix_share);
}

/* Returns the requests a second that fill the memory of one engine, by
   Little's law: a request holds its prompt and on average half of its output
   for as many steps as it has output tokens.  */
static double
requests_per_s (const engine_shape_t *shape)
{
  csp_random_t random;
  request_t request;
  double token_steps = 0;
  double length;
  uint32_t i;

  csp_seed_random (&random, 7);
  for (i = 0; i < MEAN_SAMPLES; i++)
    {
      draw_request (&random, 1, &request);
      length = request.output_tokens;
      token_steps += length * (request.prompt_tokens + length / 2);
    }
  return shape->memory_tokens
         / (token_steps / MEAN_SAMPLES * FULL_STEP_US / 1e6);
}

static double
rate_at (const arrivals_plan_t *plan, int64_t now_us, double rate)
{
  if (now_us >= plan->burst_from_us
      && now_us < plan->burst_from_us + plan->burst_us)
    return rate * plan->burst_factor;
  return rate;
}

request_t *
make_arrivals (const arrivals_plan_t *plan, const engine_shape_t *shape,
               uint32_t *count)
{
  double rate = requests_per_s (shape) * plan->engines * plan->load;
  uint32_t max_count
      = (uint32_t)(rate * (double)plan->duration_us / 1e6 * 2) + 1000;
  request_t *requests = calloc (max_count, sizeof *requests);
  csp_random_t random;
  int64_t now_us = 0;
  request_t *request;

  if (requests == NULL)
    abort ();
  csp_seed_random (&random, plan->seed);
  *count = 0;
  while (*count < max_count)
    {
      now_us += (int64_t)(-log (1 - csp_random_unit (&random))
                          / rate_at (plan, now_us, rate) * 1e6);
      if (now_us >= plan->duration_us)
        break;
      request = &requests[*count];
      draw_request (&random, plan->length_factor, request);
      if (plan->only_organisation != ALL_ORGANISATIONS
          && plan->only_organisation != request->organisation)
        continue;
      request->id = *count + 1;
      request->arrive_us = now_us;
      request->start_by_us += now_us;
      (*count)++;
    }
  return requests;
}
