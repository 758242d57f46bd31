#include "queue/queue-imp.h"

enum
{
  MAX_DEBT_ROUNDS = 16,
  BLOCKING_PERIODS = 3
};

/* With strict priority an organisation's background requests would wait for as
   long as it sends urgent ones, and scores would expire even at load 0.9, when
   nearly everything fits.  So a step of priority only makes a request due
   earlier, by a fixed time before the deadline that the caller stated.  */
uint32_t
csp_find_next_entry (const csp_queue_t *queue,
                     const organisation_t *organisation)
{
  uint32_t first = NO_ENTRY;
  int64_t first_ms = INT64_MAX;
  int64_t due_ms;
  uint32_t head;
  uint32_t i;

  for (i = PRIORITIES; i-- > 0;)
    {
      head = organisation->lists[i].head;
      if (head == NO_ENTRY)
        continue;
      due_ms = csp_compute_due_ms (queue, &queue->entries[head].waiting);
      if (due_ms < first_ms)
        {
          first = head;
          first_ms = due_ms;
        }
    }
  return first;
}

bool
csp_is_borrowing (const csp_queue_t *queue, const organisation_t *organisation)
{
  double part = (double)organisation->weight
                / (double)(queue->total_weight ? queue->total_weight : 1);
  double flight = (double)organisation->in_flight_tokens;

  if (queue->pool_tokens == 0)
    return flight > part * (double)queue->capacity_tokens;
  flight += (double)organisation->in_flight_elsewhere;
  return flight > part * (double)queue->pool_tokens;
}

uint64_t
csp_queue_lending_reserve_tokens (const csp_queue_t *queue)
{
  return (uint64_t)((double)queue->capacity_tokens
                    * queue->policy.lending_reserve);
}

void
csp_begin_pump (csp_queue_t *queue, int64_t now_ms)
{
  csp_update_queue_rate (queue, now_ms);
  queue->pump++;
  queue->pump_ms = now_ms;
  queue->skipped_count = 0;
  queue->borrowers_blocked = false;
  queue->offered = NO_ENTRY;
}

static bool
is_skipped (const csp_queue_t *queue, const organisation_t *organisation)
{
  return organisation->skipped_in_pump == queue->pump
         || (queue->borrowers_blocked
             && csp_is_borrowing (queue, organisation));
}

static int64_t
head_cost (const csp_queue_t *queue, const organisation_t *organisation)
{
  uint32_t head = csp_find_next_entry (queue, organisation);

  return queue->entries[head].waiting.cost_tokens;
}

static int64_t
round_credit (const csp_queue_t *queue, const organisation_t *organisation)
{
  return (int64_t)queue->policy.quantum_tokens * organisation->weight;
}

/* Number of rounds until the first organisation has the credit for its next
   request, computed without stepping through the rounds.  */
static int64_t
count_rounds (const csp_queue_t *queue)
{
  const organisation_t *organisation;
  uint32_t i = queue->cursor;
  int64_t min_rounds = INT64_MAX;
  int64_t missing_credit;
  int64_t rounds;
  int64_t earned;

  do
    {
      organisation = &queue->organisations[i];
      i = organisation->next;
      if (is_skipped (queue, organisation))
        continue;
      missing_credit = head_cost (queue, organisation) - organisation->deficit;
      earned = round_credit (queue, organisation);
      rounds
          = missing_credit <= 0 ? 0 : (missing_credit + earned - 1) / earned;
      if (rounds < min_rounds)
        min_rounds = rounds;
    }
  while (i != queue->cursor);
  return min_rounds;
}

static void
add_round_credit (csp_queue_t *queue, int64_t rounds)
{
  organisation_t *organisation;
  uint32_t i = queue->cursor;

  do
    {
      organisation = &queue->organisations[i];
      if (!is_skipped (queue, organisation))
        organisation->deficit += rounds * round_credit (queue, organisation);
      i = organisation->next;
    }
  while (i != queue->cursor);
}

static uint32_t
find_organisation_with_credit (const csp_queue_t *queue)
{
  const organisation_t *organisation;
  uint32_t i = queue->cursor;

  do
    {
      organisation = &queue->organisations[i];
      if (!is_skipped (queue, organisation)
          && organisation->deficit >= head_cost (queue, organisation))
        return i;
      i = organisation->next;
    }
  while (i != queue->cursor);
  return NO_ORGANISATION;
}

bool
csp_next_waiting (csp_queue_t *queue, csp_waiting_request_t *waiting,
                  bool *borrowing)
{
  const organisation_t *organisation;
  uint32_t next_organisation;
  int64_t rounds;

  if (queue->waiting == 0
      || queue->skipped_count >= queue->policy.max_skips_per_pump)
    return false;
  next_organisation = find_organisation_with_credit (queue);
  if (next_organisation == NO_ORGANISATION)
    {
      rounds = count_rounds (queue);
      if (rounds == INT64_MAX)
        return false;
      add_round_credit (queue, rounds);
      if (queue->skipped_count == 0)
        queue->cursor = queue->organisations[queue->cursor].next;
      next_organisation = find_organisation_with_credit (queue);
    }
  organisation = &queue->organisations[next_organisation];
  queue->offered = csp_find_next_entry (queue, organisation);
  *waiting = queue->entries[queue->offered].waiting;
  *borrowing = csp_is_borrowing (queue, organisation);
  return true;
}

/* Charges a request to its organisation and removes it from the queue.  */
static void
charge_entry (csp_queue_t *queue, uint32_t index)
{
  const csp_waiting_request_t *waiting = &queue->entries[index].waiting;
  organisation_t *organisation = &queue->organisations[waiting->organisation];

  organisation->deficit -= waiting->cost_tokens;
  organisation->in_flight_tokens += waiting->memory_tokens;
  organisation->skipped_since_ms = 0;
  queue->served_tokens += waiting->cost_tokens;
  csp_remove_waiting_entry (queue, index);
}

void
csp_take_waiting (csp_queue_t *queue, int64_t now_ms)
{
  uint32_t index = queue->offered;

  if (index == NO_ENTRY)
    return;
  csp_update_queue_rate (queue, now_ms);
  if (queue->skipped_count == 0)
    queue->cursor = queue->entries[index].waiting.organisation;
  charge_entry (queue, index);
}

bool
csp_charge_waiting (csp_queue_t *queue, uint32_t organisation, uint64_t id,
                    int64_t now_ms)
{
  uint32_t index = csp_find_waiting_entry (queue, organisation, id);

  if (index == NO_ENTRY)
    return false;
  csp_update_queue_rate (queue, now_ms);
  charge_entry (queue, index);
  return true;
}

/* A request that needs much memory would wait forever while smaller ones take
   all memory that gets free.  After blocking_after_ms the pump stops at it, so
   that free memory accumulates; only for a limited time, as it may need a
   target that is unavailable.  A borrower blocks only other borrowers.  */
static bool
blocks_others (csp_queue_t *queue, organisation_t *organisation)
{
  int64_t blocking_after_ms = queue->policy.blocking_after_ms;
  int64_t skipped_ms;

  if (organisation->skipped_since_ms == 0)
    organisation->skipped_since_ms = queue->pump_ms;
  skipped_ms = queue->pump_ms - organisation->skipped_since_ms;
  if (skipped_ms >= BLOCKING_PERIODS * blocking_after_ms)
    organisation->skipped_since_ms = queue->pump_ms;
  return blocking_after_ms != 0 && skipped_ms >= blocking_after_ms
         && skipped_ms < BLOCKING_PERIODS * blocking_after_ms;
}

void
csp_skip_waiting (csp_queue_t *queue)
{
  const csp_waiting_request_t *waiting;
  organisation_t *organisation;

  if (queue->offered == NO_ENTRY)
    return;
  waiting = &queue->entries[queue->offered].waiting;
  organisation = &queue->organisations[waiting->organisation];
  organisation->skipped_in_pump = queue->pump;
  if (queue->skipped_count == 0)
    queue->cursor = waiting->organisation;
  queue->skipped_count++;
  queue->offered = NO_ENTRY;
  if (!blocks_others (queue, organisation))
    return;
  if (csp_is_borrowing (queue, organisation))
    queue->borrowers_blocked = true;
  else
    queue->skipped_count = queue->policy.max_skips_per_pump;
}

/* A cost estimate that was too low is charged afterwards, one that was too
   high is refunded.  The debt is limited, so that one huge answer doesn't
   block an organisation for minutes.  */
void
csp_settle_waiting (csp_queue_t *queue, uint32_t organisation,
                    uint32_t memory_tokens, uint32_t charged_tokens,
                    uint32_t used_tokens, int64_t now_ms)
{
  organisation_t *owner;
  int64_t max_debt;

  if (organisation >= queue->organisation_count)
    return;
  csp_update_queue_rate (queue, now_ms);
  owner = &queue->organisations[organisation];
  max_debt = -MAX_DEBT_ROUNDS * round_credit (queue, owner);
  if (owner->in_flight_tokens >= memory_tokens)
    owner->in_flight_tokens -= memory_tokens;
  else
    owner->in_flight_tokens = 0;
  owner->deficit += (int64_t)charged_tokens - used_tokens;
  if (owner->deficit < max_debt)
    owner->deficit = max_debt;
  if (owner->waiting == 0 && owner->deficit > 0)
    owner->deficit = 0;
}

uint64_t
csp_queue_in_flight_tokens (const csp_queue_t *queue, uint32_t organisation)
{
  if (organisation >= queue->organisation_count)
    return 0;
  return queue->organisations[organisation].in_flight_tokens;
}
