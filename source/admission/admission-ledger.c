#include "admission/ledger-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  FIRST_SLOTS = 8
};

/* Steps double up to 2,048, as most answers end before that, and are finer
   beyond, where a few streams hold much memory.  A stream that may still run
   after 8,192 tokens counts with what it holds at that point; it is
   re-estimated long before.  */
const uint32_t csp_ledger_horizon_tokens[CSP_LEDGER_HORIZONS]
    = { 0, 32, 64, 128, 256, 512, 1024, 2048, 3072, 4096, 6144, 8192 };

/* Memory at a horizon is counted up to the middle of the step that begins
   there.  Counted at the beginning of the step, the growth of answers that end
   within a step of thousands of tokens would be missed.  */
static uint32_t
step_middle_tokens (uint32_t i)
{
  if (i + 1 == CSP_LEDGER_HORIZONS)
    return csp_ledger_horizon_tokens[i];
  return (csp_ledger_horizon_tokens[i] + csp_ledger_horizon_tokens[i + 1]) / 2;
}

csp_admission_policy_t
csp_default_admission_policy (void)
{
  csp_admission_policy_t policy = { .risk = 1.5,
                                    .risk_step = 0.1,
                                    .long_tokens = 4096,
                                    .long_share = 0.5,
                                    .max_streams = 0,
                                    .report_lag_ms = 3000,
                                    .report_stale_ms = 6000,
                                    .stale_share = 0.9,
                                    .foreign_slack = 0.02,
                                    .unknown_memory_tokens = 8192,
                                    .pressure_step = 0.25,
                                    .pressure_half_life_ms = 60000 };

  return policy;
}

void
csp_forecast_stream (csp_lengths_t *lengths, const csp_stream_t *stream,
                     uint32_t generated_token_count, forecast_t *forecast)
{
  uint32_t i;
  uint32_t ahead;
  double survival;
  double held_tokens;

  for (i = 0; i < CSP_LEDGER_HORIZONS; i++)
    {
      ahead = csp_ledger_horizon_tokens[i];
      held_tokens = (double)stream->prompt_tokens + generated_token_count
                    + step_middle_tokens (i);
      survival = 0;
      if (stream->max_tokens == 0
          || generated_token_count + ahead <= stream->max_tokens)
        survival = csp_length_survival (lengths, stream->length_key,
                                        generated_token_count, ahead);
      if (i == 0)
        survival = 1;
      forecast->mean[i] = (float)(survival * held_tokens);
      forecast->variance[i]
          = (float)(survival * (1 - survival) * held_tokens * held_tokens);
      forecast->ceiling[i] = survival > 0 ? (float)held_tokens : 0;
    }
}

static void
add_forecast (csp_ledger_t *ledger, const forecast_t *forecast, double sign)
{
  uint32_t i;

  for (i = 0; i < CSP_LEDGER_HORIZONS; i++)
    {
      ledger->mean[i] += sign * forecast->mean[i];
      ledger->variance[i] += sign * forecast->variance[i];
      ledger->ceiling[i] += sign * forecast->ceiling[i];
    }
}

static void
record_peak (csp_ledger_t *ledger, int64_t now_ms)
{
  int64_t bucket = now_ms / PEAK_BUCKET_MS;
  peak_t *peak = &ledger->peaks[bucket % PEAK_BUCKETS];

  if (peak->bucket != bucket)
    {
      peak->bucket = bucket;
      peak->peak_tokens = 0;
    }
  if (ledger->used_tokens > peak->peak_tokens)
    peak->peak_tokens = ledger->used_tokens;
}

uint32_t
csp_peak_used_tokens (const csp_ledger_t *ledger, int64_t now_ms)
{
  int64_t oldest = (now_ms - ledger->policy.report_lag_ms) / PEAK_BUCKET_MS;
  uint32_t peak_used = ledger->used_tokens;
  uint32_t i;

  for (i = 0; i < PEAK_BUCKETS; i++)
    if (ledger->peaks[i].bucket >= oldest
        && ledger->peaks[i].peak_tokens > peak_used)
      peak_used = ledger->peaks[i].peak_tokens;
  return peak_used;
}

csp_ledger_t *
csp_create_ledger (const csp_admission_policy_t *policy,
                   csp_lengths_t *lengths)
{
  csp_ledger_t *ledger = calloc (1, sizeof *ledger);

  if (ledger == NULL)
    return NULL;
  ledger->policy = *policy;
  ledger->lengths = lengths;
  ledger->first_free = NO_HANDLE;
  return ledger;
}

void
csp_destroy_ledger (csp_ledger_t *ledger)
{
  if (ledger == NULL)
    return;
  free (ledger->slots);
  free (ledger);
}

void
csp_set_admission_policy (csp_ledger_t *ledger,
                          const csp_admission_policy_t *policy)
{
  ledger->policy = *policy;
}

static bool
grow_slots (csp_ledger_t *ledger)
{
  uint32_t count = ledger->slot_count ? 2 * ledger->slot_count : FIRST_SLOTS;
  slot_t *slots = realloc (ledger->slots, count * sizeof *slots);
  uint32_t i;

  if (slots == NULL)
    return false;
  for (i = count; i-- > ledger->slot_count;)
    {
      slots[i].used = false;
      slots[i].next_free = ledger->first_free;
      ledger->first_free = i;
    }
  ledger->slots = slots;
  ledger->slot_count = count;
  return true;
}

static uint32_t
stream_tokens (const csp_stream_state_t *state)
{
  return state->stream.prompt_tokens + state->generated_token_count;
}

static bool
is_long_stream (const csp_ledger_t *ledger, const csp_stream_state_t *state)
{
  return state->generated_token_count > ledger->policy.long_tokens;
}

static void
count_tokens (csp_ledger_t *ledger, const csp_stream_state_t *state, int sign)
{
  ledger->used_tokens += (uint32_t)sign * stream_tokens (state);
  if (state->generated_token_count == 0)
    ledger->unstarted_tokens += (uint32_t)sign * state->stream.prompt_tokens;
  if (is_long_stream (ledger, state))
    ledger->long_used_tokens += (uint32_t)sign * stream_tokens (state);
}

uint32_t
csp_add_stream (csp_ledger_t *ledger, const csp_stream_t *stream,
                uint32_t generated_token_count, int64_t now_ms)
{
  uint32_t handle;
  slot_t *slot;

  if (ledger->first_free == NO_HANDLE && !grow_slots (ledger))
    return NO_HANDLE;
  handle = ledger->first_free;
  slot = &ledger->slots[handle];
  ledger->first_free = slot->next_free;
  slot->used = true;
  slot->state.stream = *stream;
  slot->state.generated_token_count = generated_token_count;
  slot->state.added_ms = now_ms;
  slot->state.progress_ms = now_ms;
  csp_forecast_stream (ledger->lengths, stream, generated_token_count,
                       &slot->forecast);
  add_forecast (ledger, &slot->forecast, 1);
  count_tokens (ledger, &slot->state, 1);
  ledger->streams++;
  record_peak (ledger, now_ms);
  return handle;
}

static slot_t *
find_slot (const csp_ledger_t *ledger, uint32_t handle)
{
  if (handle >= ledger->slot_count || !ledger->slots[handle].used)
    return NULL;
  return &ledger->slots[handle];
}

void
csp_note_tokens (csp_ledger_t *ledger, uint32_t handle,
                 uint32_t generated_token_count, int64_t now_ms)
{
  slot_t *slot = find_slot (ledger, handle);

  if (slot == NULL
      || generated_token_count <= slot->state.generated_token_count)
    return;
  csp_record_length_growth (ledger->lengths, slot->state.stream.length_key,
                            slot->state.generated_token_count,
                            generated_token_count);
  count_tokens (ledger, &slot->state, -1);
  add_forecast (ledger, &slot->forecast, -1);
  slot->state.generated_token_count = generated_token_count;
  slot->state.progress_ms = now_ms;
  csp_forecast_stream (ledger->lengths, &slot->state.stream,
                       generated_token_count, &slot->forecast);
  add_forecast (ledger, &slot->forecast, 1);
  count_tokens (ledger, &slot->state, 1);
  record_peak (ledger, now_ms);
}

/* Sums of floats drift by rounding, so an empty ledger is reset to exactly
   zero.  */
static void
reset_sums (csp_ledger_t *ledger)
{
  memset (ledger->mean, 0, sizeof ledger->mean);
  memset (ledger->variance, 0, sizeof ledger->variance);
  memset (ledger->ceiling, 0, sizeof ledger->ceiling);
}

void
csp_remove_stream (csp_ledger_t *ledger, uint32_t handle, csp_length_end_t end,
                   int64_t now_ms)
{
  slot_t *slot = find_slot (ledger, handle);

  if (slot == NULL)
    return;
  record_peak (ledger, now_ms);
  csp_record_length_end (ledger->lengths, slot->state.stream.length_key,
                         slot->state.generated_token_count, end);
  count_tokens (ledger, &slot->state, -1);
  add_forecast (ledger, &slot->forecast, -1);
  ledger->streams--;
  if (ledger->streams == 0)
    reset_sums (ledger);
  slot->used = false;
  slot->next_free = ledger->first_free;
  ledger->first_free = handle;
}

uint32_t
csp_ledger_used_tokens (const csp_ledger_t *ledger)
{
  return ledger->used_tokens;
}

uint32_t
csp_ledger_streams (const csp_ledger_t *ledger)
{
  return ledger->streams;
}

uint32_t
csp_ledger_handles (const csp_ledger_t *ledger)
{
  return ledger->slot_count;
}

bool
csp_ledger_stream (const csp_ledger_t *ledger, uint32_t handle,
                   csp_stream_state_t *state)
{
  const slot_t *slot = find_slot (ledger, handle);

  if (slot == NULL)
    return false;
  *state = slot->state;
  return true;
}

void
csp_ledger_forecast (const csp_ledger_t *ledger,
                     uint32_t ahead_tokens[CSP_LEDGER_HORIZONS],
                     double mean_tokens[CSP_LEDGER_HORIZONS],
                     double variance_tokens[CSP_LEDGER_HORIZONS])
{
  memcpy (ahead_tokens, csp_ledger_horizon_tokens,
          sizeof csp_ledger_horizon_tokens);
  memcpy (mean_tokens, ledger->mean, sizeof ledger->mean);
  memcpy (variance_tokens, ledger->variance, sizeof ledger->variance);
}
