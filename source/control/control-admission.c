#include "control/control-imp.h"
#include "cowslipspoke/preemption.h"
#include "cowslipspoke/text.h"

#include <stdlib.h>
#include <string.h>

enum
{
  RETRY_AFTER_MS = 1000,
  /* A typical time to first token.  A retry makes sense only if more than this
     is left before the deadline.  */
  TYPICAL_FIRST_TOKEN_MS = 900
};

bool
csp_init_admission (csp_control_t *control)
{
  csp_length_policy_t policy = csp_default_length_policy ();
  csp_retry_policy_t retry = csp_default_retry_policy ();
  csp_health_policy_t health = csp_default_health_policy ();

  control->lengths = csp_create_lengths (&policy);
  control->organisations = csp_create_intern (CSP_CONTROL_MAX_ORGANISATIONS);
  csp_init_retry_budget (&control->retry_budget, &retry);
  control->slow_start_policy = csp_default_slow_start_policy ();
  control->started_ms = csp_now_ms (&control->context->clock);
  control->health = csp_create_health (&health, CSP_CONTROL_MAX_TARGETS);
  return control->lengths != NULL && control->organisations != NULL
         && control->health != NULL && csp_init_limits (control)
         && csp_init_request_table (control);
}

static void
refuse_waiter (csp_control_t *control, csp_waiter_t *waiter,
               const csp_error_t *error)
{
  control->refused++;
  *waiter->error = *error;
  csp_answer_waiter (waiter, -1);
}

static uint32_t
find_or_add_pool (csp_control_t *control, const char *name)
{
  csp_queue_policy_t policy = csp_default_queue_policy ();
  csp_pool_state_t *pool;
  uint32_t i;

  for (i = 0; i < control->pool_count; i++)
    if (strcmp (control->pools[i].name, name) == 0)
      return i;
  if (i == CSP_CONTROL_MAX_POOLS)
    return UINT32_MAX;
  pool = &control->pools[i];
  policy.max_waiting = control->context->settings.max_queue_length;
  pool->queue = csp_create_queue (&policy);
  if (pool->queue == NULL)
    return UINT32_MAX;
  csp_copy_text (pool->name, sizeof pool->name, name);
  control->pool_count++;
  return i;
}

static int64_t
find_start_deadline (const csp_admission_ask_t *ask, int64_t now_ms)
{
  int64_t by_ms = ask->deadline_ms;
  int64_t wait_ms = ask->terms.longest_wait_ms;

  if (wait_ms != 0 && now_ms + wait_ms < by_ms)
    by_ms = now_ms + wait_ms;
  return by_ms;
}

static uint32_t
estimate_memory (csp_control_t *control, const csp_admission_ask_t *ask,
                 uint32_t length_key)
{
  uint32_t answer
      = (uint32_t)csp_mean_tokens_left (control->lengths, length_key, 0);

  if (ask->max_tokens != 0 && ask->max_tokens < answer)
    answer = ask->max_tokens;
  return ask->prompt_tokens + answer;
}

static bool
fill_request (csp_control_t *control, csp_tracked_request_t *request,
              csp_waiter_t *waiter, int64_t now_ms)
{
  const csp_admission_ask_t *ask = waiter->ask;

  request->waiter = waiter;
  request->waiter_number = waiter->number;
  request->arrived_ms = now_ms;
  request->prompt_tokens = ask->prompt_tokens;
  request->organisation
      = csp_intern_name (control->organisations, ask->organisation);
  request->pool = find_or_add_pool (control, ask->terms.pool);
  request->length_key
      = csp_get_length_key (control->lengths, ask->model, ask->class_name);
  request->memory_tokens = estimate_memory (control, ask, request->length_key);
  return request->organisation != CSP_INTERN_NONE
         && request->pool != UINT32_MAX;
}

/* Whether this is a first attempt, or a retry within the retry budget.  */
static bool
may_attempt (csp_control_t *control, const csp_admission_ask_t *ask,
             int64_t now_ms)
{
  csp_retry_facts_t facts = { .idempotent = ask->repeatable,
                              .verdict = ask->last_verdict,
                              .attempts = ask->tried.count,
                              .left_ms = ask->deadline_ms - now_ms,
                              .usual_first_token_ms = TYPICAL_FIRST_TOKEN_MS };

  if (ask->is_retry)
    return csp_decide_retry (&control->retry_budget, &facts)
           == CSP_RETRY_ALLOWED;
  csp_note_first_attempt (&control->retry_budget);
  return true;
}

/* What the queue charges: what a generation uses of the engines, and of
   services the request's tokens.  */
static uint32_t
charge_request (csp_pool_state_t *pool, const csp_tracked_request_t *request)
{
  if (request->waiter->ask->pool_kind != CSP_POOL_ENGINES)
    return request->memory_tokens;
  return csp_charge_request (&pool->cost, CSP_CLASS_REGULAR,
                             pool->engine_tokens, request->prompt_tokens,
                             request->memory_tokens);
}

/* Add a request to its pool's queue, with the time at which it arrived.  */
static bool
enqueue_request (csp_control_t *control, csp_tracked_request_t *request,
                 int64_t now_ms, csp_error_t *error)
{
  const csp_admission_ask_t *ask = request->waiter->ask;
  csp_pool_state_t *pool = &control->pools[request->pool];
  csp_waiting_request_t waiting
      = { .id = request->id,
          .organisation = request->organisation,
          .memory_tokens = request->memory_tokens,
          .cost_tokens = charge_request (pool, request),
          .start_by_ms = find_start_deadline (ask, request->arrived_ms),
          .arrived_ms = request->arrived_ms,
          .priority = ask->terms.priority };

  request->charged_tokens = waiting.cost_tokens;
  csp_set_weight (pool->queue, request->organisation, ask->terms.weight);
  if (!csp_push_waiting (pool->queue, &waiting, now_ms, error))
    return false;
  pool->dirty = true;
  return true;
}

void
csp_enqueue_waiter (csp_control_t *control, csp_waiter_t *waiter,
                    int64_t now_ms)
{
  csp_tracked_request_t *request = csp_add_request (control);
  csp_error_t error;

  csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_OVERLOADED,
                 RETRY_AFTER_MS,
                 "this host serves as many requests as it can");
  if (request == NULL)
    {
      refuse_waiter (control, waiter, &error);
      return;
    }
  if (!fill_request (control, request, waiter, now_ms)
      || !may_attempt (control, waiter->ask, now_ms))
    goto refuse;
  if (!csp_charge_limits (control, request, now_ms, &error)
      || !enqueue_request (control, request, now_ms, &error))
    goto refuse;
  return;

refuse:
  csp_remove_request (control, request);
  refuse_waiter (control, waiter, &error);
}

static csp_stream_t
describe_stream (const csp_tracked_request_t *request)
{
  const csp_admission_ask_t *ask = request->waiter->ask;
  csp_stream_t stream = { .id = request->id,
                          .length_key = request->length_key,
                          .prompt_tokens = ask->prompt_tokens,
                          .max_tokens = ask->max_tokens,
                          .priority = ask->terms.priority,
                          .repeatable = ask->repeatable };

  return stream;
}

static void
grant_local (csp_control_t *control, csp_tracked_request_t *request,
             uint32_t index, int64_t now_ms)
{
  csp_target_state_t *target = control->targets[index];
  csp_stream_t stream = describe_stream (request);
  csp_grant_t *grant = request->waiter->grant;

  request->target = target;
  request->state = CSP_REQUEST_LOCAL;
  csp_end_limited_wait (request);
  csp_cancel_spill (control, request, now_ms);
  request->stream = UINT32_MAX;
  if (target->listed.kind == CSP_TARGET_ENGINE)
    request->stream = csp_add_stream (target->ledger, &stream, 0, now_ms);
  target->streams++;
  control->granted++;
  if (request->waiter->ask->prefix != 0)
    csp_note_prefix (&target->prefixes, request->waiter->ask->prefix,
                     request->waiter->ask->prefix_tokens, now_ms);
  grant->priority = csp_compute_engine_priority (&stream);
  grant->recall = csp_create_recall ();
  request->recall = csp_ref_recall (grant->recall);
  csp_copy_text (grant->target, sizeof grant->target, target->listed.name);
  csp_fill_endpoint (control, target->listed.address, target->listed.port,
                     &grant->endpoint);
  grant->tracking_id = request->id;
  grant->wait_ms = now_ms - request->arrived_ms;
  csp_answer_waiter (request->waiter, 0);
  request->waiter = NULL;
}

static uint32_t
choose_target (csp_control_t *control, const csp_tracked_request_t *request,
               uint64_t reserve_tokens, int64_t now_ms)
{
  const csp_admission_ask_t *ask = request->waiter->ask;
  csp_stream_t stream = describe_stream (request);

  if (ask->pool_kind == CSP_POOL_SERVICES)
    return csp_choose_service (control, ask, now_ms);
  if (csp_is_for_other_data_centre (control, ask, now_ms)
      || (reserve_tokens > 0
          && !csp_may_borrow_in_pool (control, ask->terms.pool, reserve_tokens,
                                      request->memory_tokens, now_ms))
      || (ask->lend_below > 0
          && !csp_may_lend (control, ask->terms.pool, ask->lend_below,
                            now_ms)))
    return UINT32_MAX;
  return csp_choose_engine (control, ask->terms.pool, &ask->tried, &stream,
                            ask->prefix, now_ms);
}

/* Whether waiting can help: a target of the data centre could take the request
   later, or a hand-off is in progress.  Otherwise a request that no target can
   serve would be held until its deadline, and block its organisation's other
   requests.  */
static bool
is_worth_waiting (csp_control_t *control, const csp_tracked_request_t *request,
                  int64_t now_ms)
{
  const csp_admission_ask_t *ask = request->waiter->ask;
  csp_target_kind_t kind = ask->pool_kind == CSP_POOL_ENGINES
                               ? CSP_TARGET_ENGINE
                               : CSP_TARGET_SERVICE;
  uint32_t i;

  if (request->spill != NULL
      || csp_is_for_other_data_centre (control, ask, now_ms))
    return true;
  /* A leaving host grants nothing more on its own targets.  Without a peer
     that takes them over, the request would wait until the drain limit.  */
  if (atomic_load (&control->leaving) && ask->pool_kind == CSP_POOL_ENGINES
      && !csp_has_live_local_peer (control, now_ms))
    return false;
  for (i = 0; i < control->target_capacity; i++)
    if (csp_is_eligible_target (control, ask->terms.pool, kind, &ask->tried,
                                i))
      return true;
  return false;
}

/* No target has capacity for the request: ask other owners for a slot, and
   refuse the request if waiting can't help.  */
static void
skip_or_refuse (csp_control_t *control, csp_pool_state_t *pool,
                csp_tracked_request_t *request, int64_t now_ms)
{
  csp_error_t error;

  if (request->waiter->ask->pool_kind == CSP_POOL_ENGINES)
    csp_start_spill (control, request, now_ms);
  if (is_worth_waiting (control, request, now_ms))
    {
      csp_skip_waiting (pool->queue);
      return;
    }
  csp_drop_waiting (pool->queue, request->organisation, request->id);
  csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_NO_TARGET,
                 RETRY_AFTER_MS, "no target of pool %s can take it",
                 pool->name);
  refuse_waiter (control, request->waiter, &error);
  csp_remove_request (control, request);
}

static void
pump_pool (csp_control_t *control, csp_pool_state_t *pool, int64_t now_ms)
{
  csp_waiting_request_t waiting;
  csp_tracked_request_t *request;
  uint64_t kept;
  uint32_t index;
  bool borrowing;

  pool->dirty = false;
  csp_begin_pump (pool->queue, now_ms);
  while (csp_next_waiting (pool->queue, &waiting, &borrowing))
    {
      request = csp_find_request (control, waiting.id);
      kept = borrowing ? csp_queue_lending_reserve_tokens (pool->queue) : 0;
      index = choose_target (control, request, kept, now_ms);
      if (index == UINT32_MAX)
        {
          skip_or_refuse (control, pool, request, now_ms);
          continue;
        }
      csp_take_waiting (pool->queue, now_ms);
      grant_local (control, request, index, now_ms);
    }
}

static void
refuse_expired (csp_control_t *control, csp_pool_state_t *pool, int64_t now_ms)
{
  csp_waiting_request_t waiting;
  csp_error_t error;
  csp_tracked_request_t *request;

  while (csp_expire_waiting (pool->queue, now_ms, &waiting, &error))
    {
      request = csp_find_request (control, waiting.id);
      csp_cancel_spill (control, request, now_ms);
      refuse_waiter (control, request->waiter, &error);
      csp_remove_request (control, request);
    }
}

void
csp_tick_admission (csp_control_t *control, bool all, int64_t now_ms)
{
  csp_pool_state_t *pool;
  uint32_t i;

  for (i = 0; i < control->pool_count; i++)
    {
      pool = &control->pools[i];
      if (!pool->dirty && (!all || csp_queue_length (pool->queue) == 0))
        continue;
      csp_update_queue_capacity (control, pool, now_ms);
      pump_pool (control, pool, now_ms);
      refuse_expired (control, pool, now_ms);
    }
}

void
csp_reject_waiting (csp_control_t *control, csp_tracked_request_t *request,
                    const csp_error_t *error, int64_t now_ms)
{
  csp_drop_waiting (control->pools[request->pool].queue, request->organisation,
                    request->id);
  csp_cancel_spill (control, request, now_ms);
  refuse_waiter (control, request->waiter, error);
  csp_remove_request (control, request);
}

void
csp_requeue_waiting (csp_control_t *control, csp_tracked_request_t *request,
                     int64_t now_ms)
{
  uint32_t pool = find_or_add_pool (control, request->waiter->ask->terms.pool);
  csp_error_t error;

  csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_OVERLOADED,
                 RETRY_AFTER_MS, "this host serves as many pools as it can");
  csp_drop_waiting (control->pools[request->pool].queue, request->organisation,
                    request->id);
  csp_cancel_spill (control, request, now_ms);
  if (pool != UINT32_MAX)
    {
      request->pool = pool;
      if (enqueue_request (control, request, now_ms, &error))
        return;
    }
  refuse_waiter (control, request->waiter, &error);
  csp_remove_request (control, request);
}

void
csp_abandon_waiter (csp_control_t *control, uint64_t number, int64_t now_ms)
{
  csp_tracked_request_t *request
      = csp_find_request_of_waiter (control, number);
  csp_error_t error;

  if (request == NULL)
    return;
  csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_NONE, 0,
                 "the caller hung up");
  csp_reject_waiting (control, request, &error, now_ms);
}

void
csp_close_admission (csp_control_t *control)
{
  uint32_t i;

  for (i = 0; i < control->pool_count; i++)
    csp_destroy_queue (control->pools[i].queue);
  csp_destroy_health (control->health);
  csp_destroy_intern (control->organisations);
  csp_close_limits (control);
  free (control->requests);
}
