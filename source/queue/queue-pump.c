#include "queue/queue-imp.h"

enum
{
  DEBT_ROUNDS = 16,
  HOLD_ROUNDS = 3
};

/* Strict priority would keep an organisation's background work waiting for as
   long as it sends urgent requests; one notices scores that are given up at
   load 0.9, when nearly everything fits.  So a step of priority is a head
   start in time and no more, on the deadline that the caller stated.  */
uint32_t
csp_organisation_head (const csp_queue_t *queue,
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
      due_ms = csp_waiting_due_ms (queue, &queue->entries[head].waiting);
      if (due_ms < first_ms)
        {
          first = head;
          first_ms = due_ms;
        }
    }
  return first;
}

bool
csp_queue_borrows (const csp_queue_t *queue,
                   const organisation_t *organisation)
{
  double part = (double)organisation->weight
                / (double)(queue->total_weight ? queue->total_weight : 1);
  double flight = (double)organisation->flight_tokens;

  if (queue->pool_tokens == 0)
    return flight > part * (double)queue->capacity_tokens;
  flight += (double)organisation->flight_elsewhere;
  return flight > part * (double)queue->pool_tokens;
}

uint64_t
csp_queue_kept_tokens (const csp_queue_t *queue)
{
  return (uint64_t)((double)queue->capacity_tokens * queue->policy.lend_keep);
}

void
csp_begin_pump (csp_queue_t *queue, int64_t now_ms)
{
  csp_move_queue_rate (queue, now_ms);
  queue->pump++;
  queue->pump_ms = now_ms;
  queue->passed_over = 0;
  queue->borrowers_held = false;
  queue->shown = NO_ENTRY;
}

static bool
is_passed (const csp_queue_t *queue, const organisation_t *organisation)
{
  return organisation->passed_in_pump == queue->pump
         || (queue->borrowers_held && csp_queue_borrows (queue, organisation));
}

static int64_t
head_cost (const csp_queue_t *queue, const organisation_t *organisation)
{
  uint32_t head = csp_organisation_head (queue, organisation);

  return queue->entries[head].waiting.cost_tokens;
}

static int64_t
earned_in_round (const csp_queue_t *queue, const organisation_t *organisation)
{
  return (int64_t)queue->policy.quantum_tokens * organisation->weight;
}

/* Rounds until the first organisation can pay for its head, all at once.  */
static int64_t
count_rounds (const csp_queue_t *queue)
{
  const organisation_t *organisation;
  uint32_t i = queue->cursor;
  int64_t least = INT64_MAX;
  int64_t short_of;
  int64_t rounds;
  int64_t earned;

  do
    {
      organisation = &queue->organisations[i];
      i = organisation->next;
      if (is_passed (queue, organisation))
        continue;
      short_of = head_cost (queue, organisation) - organisation->deficit;
      earned = earned_in_round (queue, organisation);
      rounds = short_of <= 0 ? 0 : (short_of + earned - 1) / earned;
      if (rounds < least)
        least = rounds;
    }
  while (i != queue->cursor);
  return least;
}

static void
earn_rounds (csp_queue_t *queue, int64_t rounds)
{
  organisation_t *organisation;
  uint32_t i = queue->cursor;

  do
    {
      organisation = &queue->organisations[i];
      if (!is_passed (queue, organisation))
        organisation->deficit
            += rounds * earned_in_round (queue, organisation);
      i = organisation->next;
    }
  while (i != queue->cursor);
}

static uint32_t
find_payer (const csp_queue_t *queue)
{
  const organisation_t *organisation;
  uint32_t i = queue->cursor;

  do
    {
      organisation = &queue->organisations[i];
      if (!is_passed (queue, organisation)
          && organisation->deficit >= head_cost (queue, organisation))
        return i;
      i = organisation->next;
    }
  while (i != queue->cursor);
  return NO_ORGANISATION;
}

bool
csp_next_waiting (csp_queue_t *queue, csp_waiting_t *waiting, bool *borrowing)
{
  const organisation_t *organisation;
  uint32_t payer;
  int64_t rounds;

  if (queue->waiting == 0
      || queue->passed_over >= queue->policy.pass_over_most)
    return false;
  payer = find_payer (queue);
  if (payer == NO_ORGANISATION)
    {
      rounds = count_rounds (queue);
      if (rounds == INT64_MAX)
        return false;
      earn_rounds (queue, rounds);
      if (queue->passed_over == 0)
        queue->cursor = queue->organisations[queue->cursor].next;
      payer = find_payer (queue);
    }
  organisation = &queue->organisations[payer];
  queue->shown = csp_organisation_head (queue, organisation);
  *waiting = queue->entries[queue->shown].waiting;
  *borrowing = csp_queue_borrows (queue, organisation);
  return true;
}

/* Charge a request to its organisation and take it out.  */
static void
charge_entry (csp_queue_t *queue, uint32_t index)
{
  const csp_waiting_t *waiting = &queue->entries[index].waiting;
  organisation_t *organisation = &queue->organisations[waiting->organisation];

  organisation->deficit -= waiting->cost_tokens;
  organisation->flight_tokens += waiting->cost_tokens;
  organisation->passed_since_ms = 0;
  queue->served_tokens += waiting->cost_tokens;
  csp_unlink_waiting (queue, index);
}

void
csp_take_waiting (csp_queue_t *queue, int64_t now_ms)
{
  uint32_t index = queue->shown;

  if (index == NO_ENTRY)
    return;
  csp_move_queue_rate (queue, now_ms);
  if (queue->passed_over == 0)
    queue->cursor = queue->entries[index].waiting.organisation;
  charge_entry (queue, index);
}

bool
csp_charge_waiting (csp_queue_t *queue, uint32_t organisation, uint64_t id,
                    int64_t now_ms)
{
  uint32_t index = csp_locate_waiting (queue, organisation, id);

  if (index == NO_ENTRY)
    return false;
  csp_move_queue_rate (queue, now_ms);
  charge_entry (queue, index);
  return true;
}

/* A request that needs much room would wait for ever while smaller ones take
   each bit that gets free.  After hold_ms the pump stops at it, so that room
   gathers; not for ever, as it may need a target that is away.  A borrower
   holds up other borrowers only.  */
static bool
holds_others (csp_queue_t *queue, organisation_t *organisation)
{
  int64_t hold_ms = queue->policy.hold_ms;
  int64_t passed_ms;

  if (organisation->passed_since_ms == 0)
    organisation->passed_since_ms = queue->pump_ms;
  passed_ms = queue->pump_ms - organisation->passed_since_ms;
  if (passed_ms >= HOLD_ROUNDS * hold_ms)
    organisation->passed_since_ms = queue->pump_ms;
  return hold_ms != 0 && passed_ms >= hold_ms
         && passed_ms < HOLD_ROUNDS * hold_ms;
}

void
csp_skip_waiting (csp_queue_t *queue)
{
  const csp_waiting_t *waiting;
  organisation_t *organisation;

  if (queue->shown == NO_ENTRY)
    return;
  waiting = &queue->entries[queue->shown].waiting;
  organisation = &queue->organisations[waiting->organisation];
  organisation->passed_in_pump = queue->pump;
  if (queue->passed_over == 0)
    queue->cursor = waiting->organisation;
  queue->passed_over++;
  queue->shown = NO_ENTRY;
  if (!holds_others (queue, organisation))
    return;
  if (csp_queue_borrows (queue, organisation))
    queue->borrowers_held = true;
  else
    queue->passed_over = queue->policy.pass_over_most;
}

/* A guess of the cost that was too low is paid back later, and one too high
   is given back; the debt is bounded, so that one huge answer doesn't keep an
   organisation out for minutes.  */
void
csp_settle_waiting (csp_queue_t *queue, uint32_t organisation,
                    uint32_t charged_tokens, uint32_t used_tokens,
                    int64_t now_ms)
{
  organisation_t *owner;
  int64_t most_debt;

  if (organisation >= queue->organisation_count)
    return;
  csp_move_queue_rate (queue, now_ms);
  owner = &queue->organisations[organisation];
  most_debt = -DEBT_ROUNDS * earned_in_round (queue, owner);
  if (owner->flight_tokens >= charged_tokens)
    owner->flight_tokens -= charged_tokens;
  else
    owner->flight_tokens = 0;
  owner->deficit += (int64_t)charged_tokens - used_tokens;
  if (owner->deficit < most_debt)
    owner->deficit = most_debt;
  if (owner->waiting == 0 && owner->deficit > 0)
    owner->deficit = 0;
}

uint64_t
csp_queue_flight_tokens (const csp_queue_t *queue, uint32_t organisation)
{
  if (organisation >= queue->organisation_count)
    return 0;
  return queue->organisations[organisation].flight_tokens;
}
