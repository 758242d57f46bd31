#include "control/control-imp.h"
#include "cowslipspoke/preemption.h"
#include "cowslipspoke/text.h"

#include <stdlib.h>
#include <string.h>

enum
{
  SOON_MS = 1000,
  /* A usual time to a first token: what is left before a deadline has to be
     more for a retry to make sense.  */
  USUAL_FIRST_TOKEN_MS = 900
};

bool
csp_open_admission (csp_control_t *control)
{
  csp_length_policy_t policy = csp_default_length_policy ();
  csp_retry_policy_t retry = csp_default_retry_policy ();
  csp_health_policy_t health = csp_default_health_policy ();

  control->lengths = csp_create_lengths (&policy);
  control->organisations = csp_create_intern (CSP_CONTROL_MAX_ORGANISATIONS);
  csp_open_retry_budget (&control->retries, &retry);
  control->shift_policy = csp_default_shift_policy ();
  control->started_ms = csp_now_ms (&control->context->clock);
  control->health = csp_create_health (&health, CSP_CONTROL_MAX_TARGETS);
  return control->lengths != NULL && control->organisations != NULL
         && control->health != NULL && csp_open_limits (control)
         && csp_open_places (control);
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
find_pool (csp_control_t *control, const char *name)
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
start_by (const csp_admission_ask_t *ask, int64_t now_ms)
{
  int64_t by_ms = ask->deadline_ms;
  int64_t wait_ms = ask->terms.longest_wait_ms;

  if (wait_ms != 0 && now_ms + wait_ms < by_ms)
    by_ms = now_ms + wait_ms;
  return by_ms;
}

static uint32_t
guess_cost (csp_control_t *control, const csp_admission_ask_t *ask,
            uint32_t length_key)
{
  uint32_t answer
      = (uint32_t)csp_expect_tokens_left (control->lengths, length_key, 0);

  if (ask->max_tokens != 0 && ask->max_tokens < answer)
    answer = ask->max_tokens;
  return ask->prompt_tokens + answer;
}

static bool
fill_place (csp_control_t *control, csp_place_t *place, csp_waiter_t *waiter,
            int64_t now_ms)
{
  const csp_admission_ask_t *ask = waiter->ask;

  place->waiter = waiter;
  place->waiter_number = waiter->number;
  place->asked_ms = now_ms;
  place->prompt_tokens = ask->prompt_tokens;
  place->organisation
      = csp_intern_name (control->organisations, ask->organisation);
  place->pool = find_pool (control, ask->terms.pool);
  place->length_key
      = csp_find_length_key (control->lengths, ask->model, ask->class_name);
  place->cost_tokens = guess_cost (control, ask, place->length_key);
  return place->organisation != CSP_INTERN_NONE && place->pool != UINT32_MAX;
}

/* Within the retry budget, or a first attempt.  */
static bool
may_attempt (csp_control_t *control, const csp_admission_ask_t *ask,
             int64_t now_ms)
{
  csp_retry_facts_t facts = { .idempotent = ask->repeatable,
                              .verdict = ask->last_verdict,
                              .attempts = ask->tried.count,
                              .left_ms = ask->deadline_ms - now_ms,
                              .needs_ms = USUAL_FIRST_TOKEN_MS };

  if (ask->retry)
    return csp_decide_retry (&control->retries, &facts) == CSP_RETRY_YES;
  csp_note_first_attempt (&control->retries);
  return true;
}

/* Let a place wait in its pool's queue, from when it came.  */
static bool
push_place (csp_control_t *control, csp_place_t *place, int64_t now_ms,
            csp_error_t *error)
{
  const csp_admission_ask_t *ask = place->waiter->ask;
  csp_pool_state_t *pool = &control->pools[place->pool];
  csp_waiting_t waiting = { .id = place->id,
                            .organisation = place->organisation,
                            .cost_tokens = place->cost_tokens,
                            .start_by_ms = start_by (ask, place->asked_ms),
                            .arrived_ms = place->asked_ms,
                            .priority = ask->terms.priority };

  csp_set_weight (pool->queue, place->organisation, ask->terms.weight);
  if (!csp_push_waiting (pool->queue, &waiting, now_ms, error))
    return false;
  pool->dirty = true;
  return true;
}

void
csp_take_waiter (csp_control_t *control, csp_waiter_t *waiter, int64_t now_ms)
{
  csp_place_t *place = csp_make_place (control);
  csp_error_t error;

  csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_OVERLOADED, SOON_MS,
                 "this host serves as many requests as it can");
  if (place == NULL)
    {
      refuse_waiter (control, waiter, &error);
      return;
    }
  if (!fill_place (control, place, waiter, now_ms)
      || !may_attempt (control, waiter->ask, now_ms))
    goto refuse;
  if (!csp_count_limits (control, place, now_ms, &error)
      || !push_place (control, place, now_ms, &error))
    goto refuse;
  return;

refuse:
  csp_free_place (control, place);
  refuse_waiter (control, waiter, &error);
}

static csp_stream_t
describe_stream (const csp_place_t *place)
{
  const csp_admission_ask_t *ask = place->waiter->ask;
  csp_stream_t stream = { .id = place->id,
                          .length_key = place->length_key,
                          .prompt_tokens = ask->prompt_tokens,
                          .max_tokens = ask->max_tokens,
                          .priority = ask->terms.priority,
                          .repeatable = ask->repeatable };

  return stream;
}

static void
place_request (csp_control_t *control, csp_place_t *place, uint32_t index,
               int64_t now_ms)
{
  csp_target_state_t *target = control->targets[index];
  csp_stream_t stream = describe_stream (place);
  csp_grant_t *grant = place->waiter->grant;

  place->target = target;
  place->state = CSP_PLACE_LOCAL;
  csp_end_limited_wait (place);
  csp_cancel_spill (control, place, now_ms);
  place->stream = UINT32_MAX;
  if (target->listed.kind == CSP_TARGET_ENGINE)
    place->stream = csp_add_stream (target->ledger, &stream, 0, now_ms);
  target->streams++;
  control->granted++;
  if (place->waiter->ask->prefix != 0)
    csp_note_prefix (&target->prefixes, place->waiter->ask->prefix,
                     place->waiter->ask->prefix_tokens, now_ms);
  grant->priority = csp_engine_priority (&stream);
  grant->recall = csp_create_recall ();
  place->recall = csp_share_recall (grant->recall);
  csp_copy_text (grant->target, sizeof grant->target, target->listed.name);
  csp_fill_endpoint (control, target->listed.address, target->listed.port,
                     &grant->endpoint);
  grant->place = place->id;
  grant->wait_ms = now_ms - place->asked_ms;
  csp_answer_waiter (place->waiter, 0);
  place->waiter = NULL;
}

static uint32_t
choose_target (csp_control_t *control, const csp_place_t *place,
               uint64_t kept_tokens, int64_t now_ms)
{
  const csp_admission_ask_t *ask = place->waiter->ask;
  csp_stream_t stream = describe_stream (place);

  if (ask->kind == CSP_POOL_SERVICES)
    return csp_choose_service (control, ask, now_ms);
  if (csp_goes_elsewhere (control, ask, now_ms)
      || (kept_tokens > 0
          && !csp_may_borrow_here (control, ask->terms.pool, kept_tokens,
                                   place->cost_tokens, now_ms))
      || (ask->lend_below > 0
          && !csp_may_lend (control, ask->terms.pool, ask->lend_below,
                            now_ms)))
    return UINT32_MAX;
  return csp_choose_engine (control, ask->terms.pool, &ask->tried, &stream,
                            ask->prefix, now_ms);
}

/* Whether waiting can help: some target of the data centre could take the
   request later, or a hand-off to another is under way.  Without this a
   request that nobody can serve is held until its deadline, and its
   organisation's others behind it.  */
static bool
is_worth_waiting (csp_control_t *control, const csp_place_t *place,
                  int64_t now_ms)
{
  const csp_admission_ask_t *ask = place->waiter->ask;
  csp_target_kind_t kind
      = ask->kind == CSP_POOL_ENGINES ? CSP_TARGET_ENGINE : CSP_TARGET_SERVICE;
  uint32_t i;

  if (place->spill != NULL || csp_goes_elsewhere (control, ask, now_ms))
    return true;
  /* A host that leaves grants nothing more on its own targets; without a peer
     that takes them over it would wait for itself until the drain limit.  */
  if (atomic_load (&control->leaving) && ask->kind == CSP_POOL_ENGINES
      && !csp_has_live_peer (control, now_ms))
    return false;
  for (i = 0; i < control->target_room; i++)
    if (csp_could_use (control, ask->terms.pool, kind, &ask->tried, i))
      return true;
  return false;
}

/* A request that no target has room for: look for a slot elsewhere, and give
   it up when there is none to wait for.  */
static void
pass_over (csp_control_t *control, csp_pool_state_t *pool, csp_place_t *place,
           int64_t now_ms)
{
  csp_error_t error;

  if (place->waiter->ask->kind == CSP_POOL_ENGINES)
    csp_start_spill (control, place, now_ms);
  if (is_worth_waiting (control, place, now_ms))
    {
      csp_skip_waiting (pool->queue);
      return;
    }
  csp_drop_waiting (pool->queue, place->organisation, place->id);
  csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_NO_TARGET, SOON_MS,
                 "no target of pool %s can take it", pool->name);
  refuse_waiter (control, place->waiter, &error);
  csp_free_place (control, place);
}

static void
pump_pool (csp_control_t *control, csp_pool_state_t *pool, int64_t now_ms)
{
  csp_waiting_t waiting;
  csp_place_t *place;
  uint64_t kept;
  uint32_t index;
  bool borrowing;

  pool->dirty = false;
  csp_begin_pump (pool->queue, now_ms);
  while (csp_next_waiting (pool->queue, &waiting, &borrowing))
    {
      place = csp_find_place (control, waiting.id);
      kept = borrowing ? csp_queue_kept_tokens (pool->queue) : 0;
      index = choose_target (control, place, kept, now_ms);
      if (index == UINT32_MAX)
        {
          pass_over (control, pool, place, now_ms);
          continue;
        }
      csp_take_waiting (pool->queue, now_ms);
      place_request (control, place, index, now_ms);
    }
}

static void
expire_pool (csp_control_t *control, csp_pool_state_t *pool, int64_t now_ms)
{
  csp_waiting_t waiting;
  csp_error_t error;
  csp_place_t *place;

  while (csp_expire_waiting (pool->queue, now_ms, &waiting, &error))
    {
      place = csp_find_place (control, waiting.id);
      csp_cancel_spill (control, place, now_ms);
      refuse_waiter (control, place->waiter, &error);
      csp_free_place (control, place);
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
      csp_follow_pool_capacity (control, pool, now_ms);
      pump_pool (control, pool, now_ms);
      expire_pool (control, pool, now_ms);
    }
}

void
csp_give_up_waiting (csp_control_t *control, csp_place_t *place,
                     const csp_error_t *error, int64_t now_ms)
{
  csp_drop_waiting (control->pools[place->pool].queue, place->organisation,
                    place->id);
  csp_cancel_spill (control, place, now_ms);
  refuse_waiter (control, place->waiter, error);
  csp_free_place (control, place);
}

void
csp_move_waiting (csp_control_t *control, csp_place_t *place, int64_t now_ms)
{
  uint32_t pool = find_pool (control, place->waiter->ask->terms.pool);
  csp_error_t error;

  csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_OVERLOADED, SOON_MS,
                 "this host serves as many pools as it can");
  csp_drop_waiting (control->pools[place->pool].queue, place->organisation,
                    place->id);
  csp_cancel_spill (control, place, now_ms);
  if (pool != UINT32_MAX)
    {
      place->pool = pool;
      if (push_place (control, place, now_ms, &error))
        return;
    }
  refuse_waiter (control, place->waiter, &error);
  csp_free_place (control, place);
}

void
csp_abandon_waiter (csp_control_t *control, uint64_t number, int64_t now_ms)
{
  csp_place_t *place = csp_find_waiter_place (control, number);
  csp_error_t error;

  if (place == NULL)
    return;
  csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_NONE, 0,
                 "the caller hung up");
  csp_give_up_waiting (control, place, &error, now_ms);
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
  free (control->places);
}
