#include "fleet-imp.h"

#include <stddef.h>

static uint32_t
find_least_outstanding (const fleet_t *fleet)
{
  uint32_t best = 0;
  uint32_t least = UINT32_MAX;
  uint32_t count;
  uint32_t i;

  for (i = 0; i < fleet->engine_count; i++)
    {
      count
          = fleet->engines[i].running_count + fleet->engines[i].waiting_count;
      if (!fleet->engines[i].failed && count < least)
        {
          least = count;
          best = i;
        }
    }
  return best;
}

/* Finds the engine with the most free memory and returns whether the prompt
   fits into it now.  */
static bool
find_engine_with_memory (const fleet_t *fleet, const request_t *request,
                         uint32_t *chosen)
{
  uint32_t most = 0;
  uint32_t free_tokens;
  uint32_t i;
  const engine_t *engine;
  bool fixed = fleet->settings->dispatch == DISPATCH_FIXED_STREAMS;

  for (i = 0; i < fleet->engine_count; i++)
    {
      engine = &fleet->engines[i];
      if (engine->failed || engine->waiting_count != 0
          || (fixed
              && engine->running_count >= fleet->settings->fixed_streams))
        continue;
      free_tokens = engine->shape.memory_tokens - engine->used_tokens;
      if (engine->used_tokens < engine->shape.memory_tokens
          && free_tokens > most)
        {
          most = free_tokens;
          *chosen = i;
        }
    }
  return most > request->prompt_tokens + ENGINE_MAX_RUNNING;
}

void
dispatch_fifo (fleet_t *fleet)
{
  request_t *request;
  uint32_t engine = 0;

  while (fleet->fifo_head < fleet->fifo_tail)
    {
      request = fleet->fifo[fleet->fifo_head];
      if (request->phase == REQUEST_WAITING)
        {
          if (fleet->now_us > request->start_by_us)
            request->phase = REQUEST_GIVEN_UP;
          else if (find_engine_with_memory (fleet, request, &engine))
            send_request (fleet, request, engine);
          else
            return;
        }
      fleet->fifo_head++;
    }
}

void
dispatch_baseline (fleet_t *fleet, request_t *request)
{
  uint32_t tries = 0;

  switch (fleet->settings->dispatch)
    {
    case DISPATCH_ROUND_ROBIN:
      do
        fleet->next_engine = (fleet->next_engine + 1) % fleet->engine_count;
      while (fleet->engines[fleet->next_engine].failed
             && ++tries < fleet->engine_count);
      send_request (fleet, request, fleet->next_engine);
      break;
    case DISPATCH_LEAST_OUTSTANDING:
      send_request (fleet, request, find_least_outstanding (fleet));
      break;
    default:
      request->phase = REQUEST_WAITING;
      fleet->fifo[fleet->fifo_tail++] = request;
      dispatch_fifo (fleet);
      break;
    }
}

void
expire_engine_queues (fleet_t *fleet)
{
  uint32_t i;
  request_t *request;
  request_t *next;

  for (i = 0; i < fleet->engine_count; i++)
    for (request = fleet->engines[i].waiting; request != NULL; request = next)
      {
        next = request->next;
        if (request->generated_token_count == 0
            && request->engine_preemptions == 0
            && fleet->now_us > request->start_by_us)
          {
            cancel_request (&fleet->engines[i], request);
            request->phase = REQUEST_GIVEN_UP;
          }
      }
}
