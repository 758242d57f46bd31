#include "control/control-imp.h"
#include "cowslipspoke/text.h"

#include <stdlib.h>
#include <string.h>

enum
{
  FIRST_PLACES = 256,
  MAX_PLACES = 65536,
  SOON_MS = 1000,
  AVOID_FIRST_MS = 500,
  AVOID_MOST_MS = 16000,
  AVOID_DOUBLINGS = 5
};

bool
csp_open_admission (csp_control_t *control)
{
  csp_length_policy_t policy = csp_default_length_policy ();

  control->lengths = csp_create_lengths (&policy);
  control->organisations = csp_create_intern (CSP_CONTROL_MAX_ORGANISATIONS);
  control->places = calloc (FIRST_PLACES, sizeof *control->places);
  control->place_room = FIRST_PLACES;
  return control->lengths != NULL && control->organisations != NULL
         && control->places != NULL;
}

/* Places are numbered by their index below and a count above, so that a late
   command for a place that was given away finds nothing.  */
csp_place_t *
csp_find_place (csp_control_t *control, uint64_t id)
{
  csp_place_t *place = &control->places[id % MAX_PLACES];

  if (id % MAX_PLACES >= control->place_room || place->id != id)
    return NULL;
  return place;
}

static bool
grow_places (csp_control_t *control)
{
  uint32_t room = control->place_room * 2;
  csp_place_t *places;

  if (room > MAX_PLACES)
    return false;
  places = realloc (control->places, room * sizeof *places);
  if (places == NULL)
    return false;
  memset (places + control->place_room, 0,
          control->place_room * sizeof *places);
  control->places = places;
  control->place_room = room;
  return true;
}

static csp_place_t *
make_place (csp_control_t *control)
{
  uint32_t i;

  if (control->places_used == control->place_room && !grow_places (control))
    return NULL;
  for (i = 0; control->places[i].id != 0; i++)
    ;
  control->places_used++;
  control->next_place++;
  memset (&control->places[i], 0, sizeof control->places[i]);
  control->places[i].id = control->next_place * MAX_PLACES + i;
  return &control->places[i];
}

static void
free_place (csp_control_t *control, csp_place_t *place)
{
  place->id = 0;
  control->places_used--;
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

void
csp_take_waiter (csp_control_t *control, csp_waiter_t *waiter, int64_t now_ms)
{
  csp_place_t *place = make_place (control);
  csp_pool_state_t *pool;
  csp_waiting_t waiting;
  csp_error_t error;

  csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_OVERLOADED, SOON_MS,
                 "this host serves as many requests as it can");
  if (place == NULL)
    {
      refuse_waiter (control, waiter, &error);
      return;
    }
  if (!fill_place (control, place, waiter, now_ms))
    goto refuse;
  pool = &control->pools[place->pool];
  waiting.id = place->id;
  waiting.organisation = place->organisation;
  waiting.cost_tokens = place->cost_tokens;
  waiting.start_by_ms = start_by (waiter->ask, now_ms);
  waiting.arrived_ms = now_ms;
  waiting.priority = waiter->ask->terms.priority;
  csp_set_weight (pool->queue, place->organisation, waiter->ask->terms.weight);
  if (!csp_push_waiting (pool->queue, &waiting, now_ms, &error))
    goto refuse;
  pool->dirty = true;
  return;

refuse:
  free_place (control, place);
  refuse_waiter (control, waiter, &error);
}

static bool
was_tried (const csp_tried_t *tried, const char *target)
{
  uint32_t i;

  for (i = 0; i < tried->count; i++)
    if (strcmp (tried->names[i], target) == 0)
      return true;
  return false;
}

static csp_stream_t
describe_stream (const csp_place_t *place, uint32_t reserve_tokens)
{
  const csp_admission_ask_t *ask = place->waiter->ask;
  csp_stream_t stream = { .id = place->id,
                          .length_key = place->length_key,
                          .prompt_tokens = ask->prompt_tokens,
                          .max_tokens = ask->max_tokens,
                          .reserve_tokens = reserve_tokens,
                          .priority = ask->terms.priority,
                          .repeatable = true };

  return stream;
}

/* Whether a target could take a request at all, now or later.  */
static bool
could_use (const csp_control_t *control, const char *pool,
           csp_target_kind_t kind, const csp_tried_t *tried, uint32_t index)
{
  const csp_target_state_t *target = control->targets[index];

  return target != NULL && target->listed.kind == kind
         && target->listed.state == CSP_MEMBER_LIVE
         && strcmp (target->listed.pool, pool) == 0
         && !was_tried (tried, target->listed.name);
}

/* Whether a target may take a request now, whatever its load.  */
static bool
may_use (const csp_control_t *control, const char *pool,
         csp_target_kind_t kind, const csp_tried_t *tried, uint32_t index,
         int64_t now_ms)
{
  return could_use (control, pool, kind, tried, index)
         && now_ms >= control->targets[index]->avoid_until_ms;
}

/* An engine that this host owns, with room by its ledger, its opening and
   what other hosts hold there.  */
static bool
has_room (csp_control_t *control, const csp_stream_t *stream, uint32_t index,
          int64_t now_ms)
{
  const csp_target_state_t *target = control->targets[index];
  const csp_ledger_t *ledger = target->ledger;
  csp_stream_t asked = *stream;
  uint32_t opening = csp_find_opening (control->ownership, index, now_ms);
  uint64_t slots = csp_slot_tokens (control, target->listed.name, now_ms);
  uint64_t open_tokens
      = (uint64_t)csp_ledger_memory_tokens (ledger, now_ms) * opening;
  uint64_t used_tokens = csp_ledger_used_tokens (ledger) + slots;

  asked.reserve_tokens += (uint32_t)slots;
  return opening > 0 && !csp_ledger_leaving (ledger)
         && used_tokens * CSP_OPEN_FULL <= open_tokens
         && csp_decide_admission (ledger, &asked, now_ms) == CSP_ADMIT;
}

static uint32_t
count_room (csp_control_t *control, const csp_stream_t *stream, uint32_t index,
            int64_t now_ms)
{
  const csp_target_state_t *target = control->targets[index];
  uint64_t slots = csp_slot_tokens (control, target->listed.name, now_ms);
  uint32_t room
      = csp_ledger_headroom_tokens (target->ledger, stream->priority, now_ms);

  return room > slots ? room - (uint32_t)slots : 0;
}

uint32_t
csp_choose_engine (csp_control_t *control, const char *pool,
                   const csp_tried_t *tried, const csp_stream_t *stream,
                   int64_t now_ms)
{
  uint32_t best = UINT32_MAX;
  uint32_t best_room = 0;
  uint32_t room;
  uint32_t i;

  for (i = 0; i < control->target_room; i++)
    {
      if (!may_use (control, pool, CSP_TARGET_ENGINE, tried, i, now_ms)
          || !has_room (control, stream, i, now_ms))
        continue;
      room = count_room (control, stream, i, now_ms);
      if (best == UINT32_MAX || room > best_room)
        {
          best = i;
          best_room = room;
        }
    }
  return best;
}

/* Plain services have no memory to fill; the one with the fewest calls open
   from here is taken, owned or not.  */
static uint32_t
choose_service (const csp_control_t *control, const csp_admission_ask_t *ask,
                int64_t now_ms)
{
  uint32_t best = UINT32_MAX;
  uint32_t i;

  for (i = 0; i < control->target_room; i++)
    if (may_use (control, ask->terms.pool, CSP_TARGET_SERVICE, &ask->tried, i,
                 now_ms)
        && (best == UINT32_MAX
            || control->targets[i]->streams < control->targets[best]->streams))
      best = i;
  return best;
}

static void
place_request (csp_control_t *control, csp_place_t *place, uint32_t index,
               int64_t now_ms)
{
  csp_target_state_t *target = control->targets[index];
  csp_stream_t stream = describe_stream (place, 0);
  csp_grant_t *grant = place->waiter->grant;

  place->target = target;
  place->state = CSP_PLACE_LOCAL;
  csp_cancel_spill (control, place, now_ms);
  place->stream = UINT32_MAX;
  if (target->listed.kind == CSP_TARGET_ENGINE)
    place->stream = csp_add_stream (target->ledger, &stream, 0, now_ms);
  target->streams++;
  control->granted++;
  csp_copy_text (grant->target, sizeof grant->target, target->listed.name);
  csp_copy_text (grant->endpoint.address, sizeof grant->endpoint.address,
                 target->listed.address);
  grant->endpoint.port = target->listed.port;
  grant->place = place->id;
  grant->wait_ms = now_ms - place->asked_ms;
  csp_answer_waiter (place->waiter, 0);
  place->waiter = NULL;
}

static uint32_t
choose_target (csp_control_t *control, const csp_place_t *place,
               uint32_t reserve_tokens, int64_t now_ms)
{
  const csp_admission_ask_t *ask = place->waiter->ask;
  csp_stream_t stream = describe_stream (place, reserve_tokens);

  if (ask->kind == CSP_POOL_SERVICES)
    return choose_service (control, ask, now_ms);
  return csp_choose_engine (control, ask->terms.pool, &ask->tried, &stream,
                            now_ms);
}

/* Whether waiting can help: some target of the data centre could take the
   request later, or a hand-off to another is under way.  Without this a
   request that nobody can serve is held until its deadline, and its
   organisation's others behind it.  */
static bool
is_worth_waiting (const csp_control_t *control, const csp_place_t *place)
{
  const csp_admission_ask_t *ask = place->waiter->ask;
  csp_target_kind_t kind
      = ask->kind == CSP_POOL_ENGINES ? CSP_TARGET_ENGINE : CSP_TARGET_SERVICE;
  uint32_t i;

  if (place->spill != NULL)
    return true;
  for (i = 0; i < control->target_room; i++)
    if (could_use (control, ask->terms.pool, kind, &ask->tried, i))
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
  if (is_worth_waiting (control, place))
    {
      csp_skip_waiting (pool->queue);
      return;
    }
  csp_drop_waiting (pool->queue, place->organisation, place->id);
  csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_NO_TARGET, SOON_MS,
                 "no target of pool %s can take it", pool->name);
  refuse_waiter (control, place->waiter, &error);
  free_place (control, place);
}

static void
pump_pool (csp_control_t *control, csp_pool_state_t *pool, int64_t now_ms)
{
  csp_waiting_t waiting;
  csp_place_t *place;
  uint32_t kept;
  uint32_t index;
  bool borrowing;

  pool->dirty = false;
  csp_begin_pump (pool->queue, now_ms);
  while (csp_next_waiting (pool->queue, &waiting, &borrowing))
    {
      place = csp_find_place (control, waiting.id);
      kept = borrowing ? (uint32_t)csp_queue_kept_tokens (pool->queue) : 0;
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

/* The memory that this host's queue may count on: its own targets' and, for
   hand-offs, what peers have free.  */
static void
set_capacity (csp_control_t *control, csp_pool_state_t *pool, int64_t now_ms)
{
  uint64_t memory_tokens = csp_sum_peer_headroom (control, now_ms);
  uint32_t i;

  for (i = 0; i < control->target_room; i++)
    if (control->targets[i] != NULL
        && strcmp (control->targets[i]->listed.pool, pool->name) == 0
        && csp_find_opening (control->ownership, i, now_ms) > 0)
      memory_tokens
          += csp_ledger_memory_tokens (control->targets[i]->ledger, now_ms);
  csp_set_capacity (pool->queue, memory_tokens);
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
      free_place (control, place);
    }
}

void
csp_tick_admission (csp_control_t *control, int64_t now_ms)
{
  csp_pool_state_t *pool;
  uint32_t i;

  for (i = 0; i < control->pool_count; i++)
    {
      pool = &control->pools[i];
      if (!pool->dirty && csp_queue_length (pool->queue) == 0)
        continue;
      set_capacity (control, pool, now_ms);
      pump_pool (control, pool, now_ms);
      expire_pool (control, pool, now_ms);
    }
}

static csp_place_t *
find_waiter_place (csp_control_t *control, uint64_t number)
{
  uint32_t i;

  for (i = 0; i < control->place_room; i++)
    if (control->places[i].id != 0 && control->places[i].waiter != NULL
        && control->places[i].waiter_number == number)
      return &control->places[i];
  return NULL;
}

void
csp_abandon_waiter (csp_control_t *control, uint64_t number, int64_t now_ms)
{
  csp_place_t *place = find_waiter_place (control, number);
  csp_error_t error;

  if (place == NULL)
    return;
  csp_set_error (&error, CSP_VERDICT_NOT_RUN, CSP_REASON_NONE, 0,
                 "the caller hung up");
  csp_drop_waiting (control->pools[place->pool].queue, place->organisation,
                    place->id);
  csp_cancel_spill (control, place, now_ms);
  refuse_waiter (control, place->waiter, &error);
  free_place (control, place);
}

void
csp_take_progress (csp_control_t *control,
                   const csp_control_command_t *command, int64_t now_ms)
{
  csp_place_t *place = csp_find_place (control, command->place);

  if (place != NULL && place->state == CSP_PLACE_LOCAL
      && place->stream != UINT32_MAX)
    csp_note_tokens (place->target->ledger, place->stream,
                     (uint32_t)command->tokens, now_ms);
}

/* A target whose links fail gets no new work for a while, doubled with each
   failure.  Without it the emptiest engine is the dead one, and every new
   request tries it first.  */
void
csp_judge_target (csp_control_t *control, csp_target_state_t *target,
                  csp_link_end_t end, int64_t now_ms)
{
  uint32_t doublings = target->failures < AVOID_DOUBLINGS ? target->failures
                                                          : AVOID_DOUBLINGS;
  int64_t avoid_ms = (int64_t)AVOID_FIRST_MS << doublings;

  if (end == CSP_LINK_COMPLETE)
    target->failures = 0;
  if (!csp_link_failed (end))
    return;
  target->failures++;
  target->avoid_until_ms
      = now_ms + (avoid_ms < AVOID_MOST_MS ? avoid_ms : AVOID_MOST_MS);
  CSP_LOG (control->context->log, CSP_EVENT_TARGET_LOST, NULL,
           csp_text ("target", target->listed.name),
           csp_text ("end", csp_link_end_name (end)),
           csp_number ("failures", target->failures));
}

bool
csp_confirm_place (csp_control_t *control, uint64_t id, int64_t now_ms)
{
  csp_place_t *place = csp_find_place (control, id);

  if (place == NULL)
    return false;
  if (place->state == CSP_PLACE_REMOTE)
    return csp_confirm_spill (control, place, now_ms);
  if (place->target->listed.kind == CSP_TARGET_SERVICE)
    return true;
  /* A thread that was paused with its grant may wake up when the target is
     another host's; both would then fill it.  */
  return place->target->index != UINT32_MAX
         && csp_find_opening (control->ownership, place->target->index, now_ms)
                > 0;
}

static void
release_local (csp_control_t *control, csp_place_t *place,
               const csp_place_outcome_t *outcome, int64_t now_ms)
{
  csp_target_state_t *target = place->target;

  if (place->stream != UINT32_MAX)
    {
      csp_note_tokens (target->ledger, place->stream,
                       (uint32_t)outcome->tokens, now_ms);
      csp_remove_stream (target->ledger, place->stream,
                         outcome->end == CSP_LINK_COMPLETE
                             ? CSP_LENGTH_FINISHED
                             : CSP_LENGTH_CUT,
                         now_ms);
    }
  target->streams--;
  csp_judge_target (control, target, outcome->end, now_ms);
  csp_drop_target (target);
}

void
csp_take_release (csp_control_t *control, const csp_control_command_t *command,
                  int64_t now_ms)
{
  csp_place_t *place = csp_find_place (control, command->place);
  const csp_place_outcome_t *outcome = &command->outcome;
  csp_pool_state_t *pool;

  if (place == NULL || place->state == CSP_PLACE_WAITING)
    return;
  pool = &control->pools[place->pool];
  if (place->state == CSP_PLACE_LOCAL)
    release_local (control, place, outcome, now_ms);
  else
    csp_finish_spill (control, place, outcome, now_ms);
  csp_settle_waiting (pool->queue, place->organisation, place->cost_tokens,
                      place->prompt_tokens + (uint32_t)outcome->tokens,
                      now_ms);
  pool->dirty = true;
  free_place (control, place);
}

void
csp_close_admission (csp_control_t *control)
{
  uint32_t i;

  for (i = 0; i < control->pool_count; i++)
    csp_destroy_queue (control->pools[i].queue);
  csp_destroy_intern (control->organisations);
  free (control->places);
}
