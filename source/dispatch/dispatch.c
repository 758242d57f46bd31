#include "dispatch/dispatch-imp.h"

#include "cowslipspoke/text.h"

#include <stdlib.h>
#include <string.h>

/* Maximum share of an engine's memory that placements may use.  Runs hold less
   than their expected memory until they end, so an engine that is full by this
   count has some memory left.  */
static const double max_placement_memory_share = 1.0;

enum
{
  URGENCY_MAX = 9,
  ORGANISATIONS_EXPECTED = 256,
  /* Maximum prompt tokens that an engine processes at once.  It processes all
     prompts together, beside its runs, at about 5 tokens a ms, so each is done
     only when all are; this many take 0.9 s, half of the usual time to first
     token.  Without the limit everything that waits is placed on a new engine
     at once when the others are full: of 270 answers that began late 207 had
     been placed within 0.2 s.  The mean worth of the answers of four days of
     45 and 48 engines is 0.58 with this limit, 0.55 with twice as much and
     0.54 with none.  */
  READING_TOKENS_MAX = 4500,
  /* Engines with more memory come with a new configuration, if at all.  */
  TOO_LARGE_RETRY_MS = 600000
};

csp_dispatch_t *
csp_create_dispatch (csp_fleet_t *fleet, csp_deliver_ask_answer_t deliver,
                     void *state, uint64_t seed)
{
  csp_dispatch_t *dispatch = calloc (1, sizeof *dispatch);

  if (dispatch == NULL)
    return NULL;
  dispatch->fleet = fleet;
  dispatch->deliver = deliver;
  dispatch->state = state;
  dispatch->next_id = 1;
  csp_seed_random (&dispatch->random, seed);
  if (csp_open_index (&dispatch->organisations, ORGANISATIONS_EXPECTED) == 0)
    return dispatch;
  free (dispatch);
  return NULL;
}

static void
free_organisations (csp_dispatch_t *dispatch)
{
  csp_index_t *index = &dispatch->organisations;
  size_t i;

  for (i = 0; i < index->bucket_count; i++)
    while (index->buckets[i] != NULL)
      {
        csp_index_node_t *node = index->buckets[i];

        csp_remove_from_index (index, node);
        free (CSP_INDEX_ENTRY (node, csp_dispatch_organisation_t, by_hash));
      }
  csp_close_index (index);
}

void
csp_destroy_dispatch (csp_dispatch_t *dispatch)
{
  size_t i;

  if (dispatch == NULL)
    return;
  csp_release_all_moves (dispatch);
  csp_release_all_reservations (dispatch);
  free (dispatch->reserved);
  for (i = 0; i < dispatch->pool_count; i++)
    csp_close_dispatch_pool (&dispatch->pools[i]);
  free_organisations (dispatch);
  free (dispatch);
}

void
csp_set_decider_role (csp_dispatch_t *dispatch, const csp_decider_role_t *role)
{
  dispatch->role = *role;
}

static csp_waiting_ask_t *
find_waiting (csp_dispatch_t *dispatch, csp_peer_address_t host, uint64_t id)
{
  size_t i;

  for (i = 0; i < dispatch->waiting_end; i++)
    if (dispatch->waiting[i].used && dispatch->waiting[i].ask.id == id
        && csp_is_same_peer (dispatch->waiting[i].ask.host, host))
      return &dispatch->waiting[i];
  return NULL;
}

static csp_waiting_ask_t *
find_queued (csp_dispatch_t *dispatch, uint64_t queue_id)
{
  size_t i;

  for (i = 0; i < dispatch->waiting_end; i++)
    if (dispatch->waiting[i].used && dispatch->waiting[i].queue_id == queue_id)
      return &dispatch->waiting[i];
  return NULL;
}

/* In a pool with classes, none may fill the table: requests of the other would
   be refused although their own queue is short.  The requests of other pools
   don't count, as their number says nothing about this pool's queues.  */
static csp_waiting_ask_t *
allocate_waiting (csp_dispatch_t *dispatch, csp_dispatch_pool_t *pool,
                  csp_traffic_class_t traffic_class)
{
  size_t i;

  if (pool->has_classes
      && pool->waiting[traffic_class]
             >= CSP_DISPATCH_WAITING_MAX / CSP_CLASS_COUNT)
    return NULL;
  for (i = 0; i < CSP_DISPATCH_WAITING_MAX; i++)
    if (!dispatch->waiting[i].used)
      {
        dispatch->waiting[i].used = true;
        dispatch->waiting[i].pool = (uint8_t)(pool - dispatch->pools);
        dispatch->waiting[i].traffic_class = traffic_class;
        pool->waiting[traffic_class]++;
        dispatch->waiting_count++;
        dispatch->class_counts[traffic_class].waiting++;
        if (i >= dispatch->waiting_end)
          dispatch->waiting_end = i + 1;
        return &dispatch->waiting[i];
      }
  return NULL;
}

static void
free_waiting (csp_dispatch_t *dispatch, csp_waiting_ask_t *waiting)
{
  waiting->used = false;
  dispatch->pools[waiting->pool].waiting[waiting->traffic_class]--;
  dispatch->waiting_count--;
  dispatch->class_counts[waiting->traffic_class].waiting--;
  while (dispatch->waiting_end > 0
         && !dispatch->waiting[dispatch->waiting_end - 1].used)
    dispatch->waiting_end--;
}

static uint32_t
add_organisation (csp_dispatch_t *dispatch, uint32_t hash)
{
  csp_dispatch_organisation_t *organisation = calloc (1, sizeof *organisation);

  if (organisation == NULL)
    return 0;
  organisation->number = ++dispatch->organisation_count;
  csp_add_to_index (&dispatch->organisations, &organisation->by_hash, hash);
  return organisation->number;
}

/* Maps an organisation to a small number.  */
static uint32_t
map_organisation (csp_dispatch_t *dispatch, uint32_t hash)
{
  csp_index_node_t *node = csp_find_in_index (&dispatch->organisations, hash);

  if (node == NULL)
    return add_organisation (dispatch, hash);
  return CSP_INDEX_ENTRY (node, csp_dispatch_organisation_t, by_hash)->number;
}

static csp_fleet_target_t *
choose_ask_target (csp_dispatch_t *dispatch, const csp_dispatch_pool_t *pool,
                   const csp_ask_t *ask, int64_t now_ms)
{
  csp_fleet_need_t need = { .service = pool->service,
                            .data_centre = ask->data_centre,
                            .by_memory = true,
                            .for_any_host = true,
                            .within_slots = true,
                            .memory_tokens = pool->memory_tokens,
                            .memory_share_max = max_placement_memory_share,
                            .tokens = ask->tokens,
                            .prompt_tokens = ask->prompt_tokens,
                            .prefill_tokens_max = READING_TOKENS_MAX,
                            .longest_gap_ms = pool->longest_gap_ms,
                            .role = &dispatch->role,
                            .backoffs = ask->backoffs,
                            .backoff_count = ask->backoff_count };

  return csp_choose_fleet_target (dispatch->fleet, &need, &dispatch->random,
                                  now_ms);
}

static csp_ask_refusal_t
describe_refusal (const csp_queue_t *queue,
                  const csp_waiting_request_t *queued, csp_refused_for_t cause,
                  int64_t now_ms)
{
  int64_t left_ms = queued->start_by_ms - now_ms;

  return (csp_ask_refusal_t){ .cause = cause,
                              .predicted_wait_ms
                              = csp_predict_wait_ms (queue, queued),
                              .left_ms = left_ms > 0 ? (uint32_t)left_ms : 0 };
}

/* Refuses an ask that the queue didn't take.  */
static void
refuse_queued (csp_dispatch_t *dispatch, const csp_dispatch_pool_t *pool,
               const csp_ask_t *ask, const csp_waiting_request_t *queued,
               const csp_error_t *error, int64_t now_ms)
{
  csp_traffic_class_t traffic_class = csp_get_ask_class (pool, ask);
  csp_ask_refusal_t refusal = describe_refusal (
      pool->queues[traffic_class], queued,
      error->reason == CSP_REASON_DEADLINE ? CSP_REFUSED_ON_ARRIVAL
                                           : CSP_REFUSED_QUEUE_FULL,
      now_ms);

  csp_refuse_ask (dispatch, ask, traffic_class, &refusal,
                  error->retry_after_ms);
}

/* Refuses an ask that didn't reach a queue.  */
static void
refuse_unqueued (csp_dispatch_t *dispatch, const csp_ask_t *ask,
                 csp_traffic_class_t traffic_class, csp_refused_for_t cause)
{
  csp_ask_refusal_t refusal
      = { .cause = cause, .left_ms = ask->start_within_ms };

  csp_refuse_ask (dispatch, ask, traffic_class, &refusal,
                  cause == CSP_REFUSED_TOO_LARGE ? TOO_LARGE_RETRY_MS
                                                 : ask->start_within_ms);
}

/* Whether no engine can hold the run, however long it waits.  */
static bool
is_too_large (const csp_dispatch_pool_t *pool, const csp_ask_t *ask)
{
  return pool->memory_tokens > 0
         && ask->tokens
                > max_placement_memory_share * (double)pool->memory_tokens;
}

static void
push_waiting (csp_dispatch_t *dispatch, csp_dispatch_pool_t *pool,
              const csp_ask_t *ask, int64_t now_ms)
{
  csp_waiting_request_t queued = {
    .id = dispatch->next_id++,
    .organisation = map_organisation (dispatch, ask->organisation),
    .memory_tokens = ask->tokens,
    .cost_tokens = csp_charge_ask (pool, ask),
    .start_by_ms = now_ms + ask->start_within_ms,
    .arrived_ms = now_ms,
    .priority
    = (uint8_t)(URGENCY_MAX
                - (ask->urgency < URGENCY_MAX ? ask->urgency : URGENCY_MAX))
  };
  csp_traffic_class_t traffic_class = csp_get_ask_class (pool, ask);
  csp_waiting_ask_t *waiting
      = allocate_waiting (dispatch, pool, traffic_class);
  csp_error_t error = { .retry_after_ms = 0 };

  if (waiting == NULL)
    {
      refuse_unqueued (dispatch, ask, traffic_class, CSP_REFUSED_TABLE_FULL);
      return;
    }
  if (!csp_push_waiting (pool->queues[traffic_class], &queued, now_ms, &error))
    {
      free_waiting (dispatch, waiting);
      refuse_queued (dispatch, pool, ask, &queued, &error, now_ms);
      return;
    }
  if (traffic_class == CSP_CLASS_URGENT)
    csp_note_urgent_wait (&pool->share, ask->start_within_ms);
  waiting->queue_id = queued.id;
  waiting->organisation = queued.organisation;
  waiting->cost_tokens = queued.cost_tokens;
  waiting->ask = *ask;
}

void
csp_copy_backoffs (csp_ask_t *ask, const csp_ask_t *again)
{
  ask->backoff_count = again->backoff_count;
  memcpy (ask->backoffs, again->backoffs, sizeof ask->backoffs);
}

void
csp_push_ask (csp_dispatch_t *dispatch, const csp_ask_t *ask,
              const csp_dispatch_service_t *service, int64_t now_ms)
{
  csp_dispatch_pool_t *pool = csp_find_dispatch_pool (dispatch, service);
  csp_waiting_ask_t *waiting;

  if (csp_resend_ask_answer (dispatch, ask))
    return;
  if (pool == NULL)
    {
      refuse_unqueued (dispatch, ask, CSP_CLASS_REGULAR, CSP_REFUSED_NO_QUEUE);
      return;
    }
  if (ask->moves_from != 0)
    {
      csp_push_move (dispatch, ask, (uint8_t)(pool - dispatch->pools), now_ms);
      csp_pump_dispatch (dispatch, now_ms);
      if (csp_is_move_waiting (dispatch, ask->host, ask->id))
        csp_send_ask_answer (dispatch, ask, CSP_ASK_WAITS, 0, 0);
      return;
    }
  if (is_too_large (pool, ask))
    {
      refuse_unqueued (dispatch, ask, csp_get_ask_class (pool, ask),
                       CSP_REFUSED_TOO_LARGE);
      return;
    }
  waiting = find_waiting (dispatch, ask->host, ask->id);
  if (waiting != NULL)
    csp_copy_backoffs (&waiting->ask, ask);
  else
    {
      push_waiting (dispatch, pool, ask, now_ms);
      csp_pump_dispatch (dispatch, now_ms);
    }
  if (find_waiting (dispatch, ask->host, ask->id) != NULL)
    csp_send_ask_answer (dispatch, ask, CSP_ASK_WAITS, 0, 0);
}

void
csp_cancel_ask (csp_dispatch_t *dispatch, csp_peer_address_t host, uint64_t id)
{
  csp_waiting_ask_t *waiting = find_waiting (dispatch, host, id);

  csp_cancel_move (dispatch, host, id);
  if (waiting == NULL)
    return;
  csp_drop_waiting (
      dispatch->pools[waiting->pool].queues[waiting->traffic_class],
      waiting->organisation, waiting->queue_id);
  free_waiting (dispatch, waiting);
}

/* Places the waiting request that was found.  */
static void
place_waiting (csp_dispatch_t *dispatch, csp_dispatch_pool_t *pool,
               csp_waiting_ask_t *waiting, csp_fleet_target_t *target,
               int64_t now_ms)
{
  csp_ask_t ask = waiting->ask;

  csp_take_from_pool (pool, waiting, now_ms);
  dispatch->class_counts[waiting->traffic_class].placed++;
  free_waiting (dispatch, waiting);
  csp_reserve_capacity (dispatch, target, ask.tokens, ask.prompt_tokens,
                        now_ms);
  csp_note_prompt_assigned (target, ask.prompt_tokens, now_ms);
  csp_note_request_assigned (target, &dispatch->role, now_ms);
  csp_send_ask_answer (dispatch, &ask, CSP_ASK_PLACED, target->hash, 0);
}

static void
expire_waiting (csp_dispatch_t *dispatch, csp_queue_t *queue, int64_t now_ms)
{
  csp_error_t error = { .retry_after_ms = 0 };
  csp_waiting_request_t queued;

  while (csp_expire_waiting (queue, now_ms, &queued, &error))
    {
      csp_waiting_ask_t *waiting = find_queued (dispatch, queued.id);

      if (waiting == NULL)
        continue;
      csp_ask_t ask = waiting->ask;
      csp_traffic_class_t traffic_class = waiting->traffic_class;
      csp_ask_refusal_t refusal
          = describe_refusal (queue, &queued, CSP_REFUSED_AFTER_WAIT, now_ms);

      free_waiting (dispatch, waiting);
      csp_refuse_ask (dispatch, &ask, traffic_class, &refusal,
                      error.retry_after_ms);
    }
}

static void
pump_pool (csp_dispatch_t *dispatch, csp_dispatch_pool_t *pool, int64_t now_ms)
{
  csp_waiting_request_t queued;
  csp_traffic_class_t traffic_class;
  size_t i;

  /* A stream that must leave a target and finds no capacity is lost within a
     second, along with the work done for it.  So free capacity goes to moving
     streams first; new requests get what is too small for those.  */
  csp_pump_pool_moves (dispatch, (uint8_t)(pool - dispatch->pools), now_ms);
  csp_begin_pool_pump (pool, now_ms);
  while (csp_find_next_in_pool (pool, now_ms, &queued, &traffic_class))
    {
      csp_waiting_ask_t *waiting = find_queued (dispatch, queued.id);
      csp_fleet_target_t *target
          = waiting == NULL
                ? NULL
                : choose_ask_target (dispatch, pool, &waiting->ask, now_ms);

      if (target == NULL)
        csp_skip_waiting (pool->queues[traffic_class]);
      else
        place_waiting (dispatch, pool, waiting, target, now_ms);
    }
  for (i = 0; i < CSP_CLASS_COUNT; i++)
    if (pool->queues[i] != NULL)
      expire_waiting (dispatch, pool->queues[i], now_ms);
}

void
csp_pump_dispatch (csp_dispatch_t *dispatch, int64_t now_ms)
{
  size_t i;

  csp_expire_reservations (dispatch, now_ms);
  for (i = 0; i < dispatch->pool_count; i++)
    pump_pool (dispatch, &dispatch->pools[i], now_ms);
}

uint32_t
csp_count_waiting_asks (const csp_dispatch_t *dispatch)
{
  return dispatch->waiting_count + dispatch->move_count;
}

const csp_class_counts_t *
csp_get_class_counts (const csp_dispatch_t *dispatch,
                      csp_traffic_class_t traffic_class)
{
  return &dispatch->class_counts[traffic_class];
}
