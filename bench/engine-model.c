#include "engine-model.h"

#include <stddef.h>

engine_shape_t
default_engine_shape (void)
{
  engine_shape_t shape = { .memory_tokens = 60000,
                           .step_base_us = 23000,
                           .step_us_per_stream = 800,
                           .step_us_per_held_token = 0.17,
                           .step_us_per_prompt_token = 50,
                           .prefill_chunk_tokens = 512 };

  return shape;
}

bool
engine_has_prefix (const engine_t *engine, uint32_t prefix)
{
  uint32_t i;

  for (i = 0; prefix != 0 && i < ENGINE_PREFIXES; i++)
    if (engine->prefixes[i] == prefix)
      return true;
  return false;
}

static void
store_prefix (engine_t *engine, uint32_t prefix)
{
  uint32_t oldest = 0;
  uint32_t i;

  if (prefix == 0)
    return;
  engine->prefix_use_counter++;
  for (i = 0; i < ENGINE_PREFIXES; i++)
    {
      if (engine->prefixes[i] == prefix)
        {
          engine->prefix_last_used[i] = engine->prefix_use_counter;
          return;
        }
      if (engine->prefix_last_used[i] < engine->prefix_last_used[oldest])
        oldest = i;
    }
  engine->prefixes[oldest] = prefix;
  engine->prefix_last_used[oldest] = engine->prefix_use_counter;
}

static uint32_t
held_tokens (const request_t *request)
{
  return request->prompt_tokens + request->generated_token_count;
}

void
submit_request (engine_t *engine, request_t *request, int64_t now_us)
{
  request_t **link = &engine->waiting;

  while (*link != NULL)
    link = &(*link)->next;
  request->next = NULL;
  *link = request;
  engine->waiting_count++;
  request->phase = REQUEST_RUNNING;
  request->sent_us = now_us;
}

static void
unlink_waiting (engine_t *engine, request_t *request)
{
  request_t **link = &engine->waiting;

  while (*link != NULL && *link != request)
    link = &(*link)->next;
  if (*link == NULL)
    return;
  *link = request->next;
  engine->waiting_count--;
}

static void
unlink_running (engine_t *engine, uint32_t index)
{
  engine->used_tokens -= held_tokens (engine->running[index]);
  engine->running_count--;
  for (; index < engine->running_count; index++)
    engine->running[index] = engine->running[index + 1];
}

void
cancel_request (engine_t *engine, request_t *request)
{
  uint32_t i;

  for (i = 0; i < engine->running_count; i++)
    if (engine->running[i] == request)
      {
        unlink_running (engine, i);
        return;
      }
  unlink_waiting (engine, request);
}

static void
admit_waiting (engine_t *engine)
{
  request_t *request;

  while ((request = engine->waiting) != NULL
         && engine->running_count < ENGINE_MAX_RUNNING
         && (engine->running_count == 0
             || engine->used_tokens + held_tokens (request)
                        + engine->running_count
                    <= engine->shape.memory_tokens))
    {
      unlink_waiting (engine, request);
      request->prefill_tokens_left = held_tokens (request);
      if (engine_has_prefix (engine, request->prefix))
        request->prefill_tokens_left -= request->prefix_tokens;
      store_prefix (engine, request->prefix);
      engine->running[engine->running_count++] = request;
      engine->used_tokens += held_tokens (request);
    }
}

/* Returns the index of the running request with the lowest priority; among
   equals, of the one sent to the engine last.  */
static uint32_t
find_victim (const engine_t *engine)
{
  const request_t *victim = engine->running[0];
  const request_t *other;
  uint32_t index = 0;
  uint32_t i;

  for (i = 1; i < engine->running_count; i++)
    {
      other = engine->running[i];
      if (other->priority < victim->priority
          || (other->priority == victim->priority
              && other->sent_us >= victim->sent_us))
        {
          victim = other;
          index = i;
        }
    }
  return index;
}

static void
preempt_one (engine_t *engine)
{
  uint32_t index = find_victim (engine);
  request_t *request = engine->running[index];

  unlink_running (engine, index);
  request->engine_preemptions++;
  request->stalled = true;
  engine->preemptions++;
  engine->recomputed_tokens += held_tokens (request);
  request->next = engine->waiting;
  engine->waiting = request;
  engine->waiting_count++;
}

static uint32_t
count_decoding (const engine_t *engine)
{
  uint32_t count = 0;
  uint32_t i;

  for (i = 0; i < engine->running_count; i++)
    count += engine->running[i]->prefill_tokens_left == 0;
  return count;
}

void
start_step (engine_t *engine, int64_t now_us)
{
  uint32_t chunk_left = engine->shape.prefill_chunk_tokens;
  uint32_t prefilled = 0;
  request_t *request;
  uint32_t prefill_tokens;
  uint32_t i;
  double step_us;

  if (engine->stepping || engine->failed)
    return;
  while (engine->running_count > 1
         && engine->used_tokens + count_decoding (engine)
                > engine->shape.memory_tokens)
    preempt_one (engine);
  admit_waiting (engine);
  if (engine->running_count == 0)
    return;
  for (i = 0; i < engine->running_count; i++)
    {
      request = engine->running[i];
      request->decoding = request->prefill_tokens_left == 0;
      prefill_tokens = request->prefill_tokens_left < chunk_left
                           ? request->prefill_tokens_left
                           : chunk_left;
      request->prefill_tokens_left -= prefill_tokens;
      chunk_left -= prefill_tokens;
      prefilled += prefill_tokens;
    }
  step_us = engine->shape.step_base_us
            + engine->shape.step_us_per_stream * engine->running_count
            + engine->shape.step_us_per_held_token * engine->used_tokens
            + engine->shape.step_us_per_prompt_token * prefilled;
  engine->step_end_us = now_us + (int64_t)(step_us * engine->slowness);
  engine->stepping = true;
}

void
finish_step (engine_t *engine, int64_t now_us, const engine_events_t *events)
{
  request_t *ended[ENGINE_MAX_RUNNING];
  uint32_t ended_count = 0;
  uint32_t still_running = 0;
  uint32_t i;
  request_t *request;

  engine->stepping = false;
  for (i = 0; i < engine->running_count; i++)
    {
      request = engine->running[i];
      if (request->decoding)
        {
          request->generated_token_count++;
          engine->used_tokens++;
          events->on_token (events->state, request, now_us);
        }
      if (request->generated_token_count >= request->output_tokens)
        {
          engine->used_tokens -= held_tokens (request);
          ended[ended_count++] = request;
        }
      else
        engine->running[still_running++] = request;
    }
  engine->running_count = still_running;
  for (i = 0; i < ended_count; i++)
    events->on_end (events->state, ended[i], now_us);
}
