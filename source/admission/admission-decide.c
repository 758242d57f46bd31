#include "admission/ledger-imp.h"

#include <math.h>

/* A class counts as one whose answers may become long when the probability of
   growing past long_tokens is above this; 0.02 excludes lookups and tags.  */
static const double long_answer_probability = 0.02;

static const double max_pressure = 3;

static double
pressure_decay (const csp_ledger_t *ledger, int64_t now_ms)
{
  double age_ms = (double)(now_ms - ledger->pressure_ms);

  return exp2 (-age_ms / fmax (ledger->policy.pressure_half_life_ms, 1));
}

double
csp_ledger_risk (const csp_ledger_t *ledger, uint8_t priority, int64_t now_ms)
{
  const csp_admission_policy_t *policy = &ledger->policy;
  uint8_t below
      = priority < CSP_PRIORITY_MAX ? CSP_PRIORITY_MAX - priority : 0;
  double risk = policy->risk + policy->risk_step * below;

  if (ledger->pressure > 0)
    risk += ledger->pressure * pressure_decay (ledger, now_ms);
  return risk;
}

/* Wrong length estimates lead to preemptions.  Without this feedback the same
   estimate would admit the next stream too, and preemptions would continue
   until enough long answers have ended to correct the estimate.  */
void
csp_note_preemption (csp_ledger_t *ledger, int64_t now_ms)
{
  ledger->pressure = fmin (ledger->pressure * pressure_decay (ledger, now_ms)
                               + ledger->policy.pressure_step,
                           max_pressure);
  ledger->pressure_ms = now_ms;
}

uint32_t
csp_ledger_memory_tokens (const csp_ledger_t *ledger, int64_t now_ms)
{
  uint32_t memory = ledger->policy.unknown_memory_tokens;

  if (!ledger->reported)
    return memory;
  memory = ledger->report.memory_tokens;
  if (now_ms - ledger->report_ms > ledger->policy.report_stale_ms)
    memory = (uint32_t)(memory * ledger->policy.stale_share);
  return memory > ledger->foreign_tokens ? memory - ledger->foreign_tokens : 0;
}

/* Memory needed at a horizon with `extra` included.  It is limited to the sum
   of all streams at their longest, since the normal approximation exceeds that
   sum when few streams run.  */
static double
memory_needed (const csp_ledger_t *ledger, const forecast_t *extra, uint32_t i,
               double risk)
{
  double mean = ledger->mean[i] + extra->mean[i];
  double variance = ledger->variance[i] + extra->variance[i];
  double ceiling = ledger->ceiling[i] + extra->ceiling[i];

  return fmin (mean + risk * sqrt (fmax (variance, 0)), ceiling);
}

static bool
fits_empty (const csp_ledger_t *ledger, const csp_stream_t *stream,
            uint32_t memory)
{
  double answer
      = csp_mean_tokens_left (ledger->lengths, stream->length_key, 0);

  if (stream->max_tokens != 0)
    answer = fmin (answer, stream->max_tokens);
  return stream->prompt_tokens + answer <= memory;
}

/* A few very long answers would hold most of a target's memory for minutes, so
   that short requests wait while few streams run.  So the classes that may
   become long get only a share of the memory.  */
static bool
is_long_share_full (const csp_ledger_t *ledger, const csp_stream_t *stream,
                    uint32_t memory)
{
  const csp_admission_policy_t *policy = &ledger->policy;

  if (ledger->long_used_tokens <= policy->long_share * memory)
    return false;
  if (stream->max_tokens != 0 && stream->max_tokens <= policy->long_tokens)
    return false;
  return csp_length_survival (ledger->lengths, stream->length_key, 0,
                              policy->long_tokens)
         > long_answer_probability;
}

static bool
fits_all_horizons (const csp_ledger_t *ledger, const forecast_t *forecast,
                   double memory, double risk)
{
  uint32_t i;

  for (i = 0; i < CSP_LEDGER_HORIZONS; i++)
    if (memory_needed (ledger, forecast, i, risk) > memory)
      return false;
  return true;
}

csp_admit_t
csp_decide_forecast (const csp_ledger_t *ledger, const csp_stream_t *stream,
                     const forecast_t *forecast, double usable_share,
                     int64_t now_ms)
{
  uint32_t memory
      = (uint32_t)(usable_share * csp_ledger_memory_tokens (ledger, now_ms));

  if (ledger->report.leaving)
    return CSP_ADMIT_WAIT;
  if (ledger->policy.max_streams != 0
      && ledger->streams >= ledger->policy.max_streams)
    return CSP_ADMIT_WAIT;
  if (ledger->used_tokens + stream->prompt_tokens + stream->reserve_tokens
      >= memory)
    return CSP_ADMIT_WAIT;
  if (ledger->streams == 0 && fits_empty (ledger, stream, memory))
    return CSP_ADMIT;
  if (is_long_share_full (ledger, stream, memory))
    return CSP_ADMIT_WAIT;
  if (fits_all_horizons (ledger, forecast,
                         (double)memory - stream->reserve_tokens,
                         csp_ledger_risk (ledger, stream->priority, now_ms)))
    return CSP_ADMIT;
  return CSP_ADMIT_WAIT;
}

csp_admit_t
csp_decide_admission (const csp_ledger_t *ledger, const csp_stream_t *stream,
                      int64_t now_ms)
{
  forecast_t forecast;

  if (ledger->reported
      && !fits_empty (ledger, stream, ledger->report.memory_tokens))
    return CSP_ADMIT_NEVER;
  csp_forecast_stream (ledger->lengths, stream, 0, &forecast);
  return csp_decide_forecast (ledger, stream, &forecast, 1, now_ms);
}

uint32_t
csp_ledger_headroom_tokens (const csp_ledger_t *ledger, uint8_t priority,
                            int64_t now_ms)
{
  static const forecast_t no_stream;
  double risk = csp_ledger_risk (ledger, priority, now_ms);
  double headroom = csp_ledger_memory_tokens (ledger, now_ms);
  double memory = headroom;
  uint32_t i;

  if (ledger->report.leaving)
    return 0;
  for (i = 0; i < CSP_LEDGER_HORIZONS; i++)
    headroom = fmin (headroom,
                     memory - memory_needed (ledger, &no_stream, i, risk));
  return headroom > 0 ? (uint32_t)headroom : 0;
}
