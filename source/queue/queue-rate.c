#include "queue/queue-imp.h"

#include <math.h>

/* With less busy time than this the rate isn't known yet.  */
static const double min_measured_ms = 500;

/* Busy time without any service after which the rate counts as zero.  Before
   that the targets may still be connecting, or a hand-off may be in progress.
   With min_measured_ms alone, a host that had just started refused its first
   callers after half a second although its owners' targets were available two
   seconds later.  */
static const double min_unserved_ms = 8000;

static const double ms_per_s = 1000;

enum
{
  EXPIRE_CHECKS = 64
};

/* The service rate is the tokens taken divided by the time in which requests
   waited; idle time says nothing about how fast the targets are.  */
void
csp_update_queue_rate (csp_queue_t *queue, int64_t now_ms)
{
  double elapsed_ms = (double)(now_ms - queue->rate_ms);
  double decay;

  if (elapsed_ms <= 0)
    return;
  queue->rate_ms = now_ms;
  if (queue->waiting == 0)
    return;
  decay = exp2 (-elapsed_ms / fmax (queue->policy.rate_half_life_ms, 1));
  queue->served_tokens *= decay;
  queue->busy_ms = queue->busy_ms * decay + elapsed_ms;
}

static bool
is_rate_known (const csp_queue_t *queue)
{
  return queue->busy_ms
         >= (queue->served_tokens > 0 ? min_measured_ms : min_unserved_ms);
}

static double
tokens_per_ms (const csp_queue_t *queue)
{
  if (!is_rate_known (queue))
    return 0;
  return queue->served_tokens / queue->busy_ms;
}

double
csp_queue_rate (const csp_queue_t *queue)
{
  return tokens_per_ms (queue) * ms_per_s;
}

int64_t
csp_compute_due_ms (const csp_queue_t *queue,
                    const csp_waiting_request_t *waiting)
{
  return waiting->start_by_ms
         - (int64_t)waiting->priority * queue->policy.priority_step_ms;
}

uint64_t
csp_queue_cost_ahead (const csp_queue_t *queue,
                      const csp_waiting_request_t *waiting, uint64_t sequence)
{
  int64_t due_ms = csp_compute_due_ms (queue, waiting);
  const organisation_t *owner;
  const entry_t *entry;
  int64_t other_ms;
  uint64_t cost = 0;
  uint32_t i;
  uint32_t index;

  if (waiting->organisation >= queue->organisation_count)
    return 0;
  owner = &queue->organisations[waiting->organisation];
  for (i = 0; i < PRIORITIES; i++)
    for (index = owner->lists[i].head; index != NO_ENTRY; index = entry->next)
      {
        entry = &queue->entries[index];
        other_ms = csp_compute_due_ms (queue, &entry->waiting);
        if (other_ms < due_ms
            || (other_ms == due_ms && entry->sequence < sequence))
          cost += entry->waiting.cost_tokens;
      }
  return cost;
}

/* Deficit round robin as a fluid model: while this organisation is served
   `cost`, each other one is served the same times its relative weight, or all
   that it has waiting if that is less.  */
double
csp_predict_cost_wait_ms (const csp_queue_t *queue, uint32_t organisation,
                          uint64_t cost)
{
  double rate = tokens_per_ms (queue);
  double round_cost = (double)cost;
  double total = (double)cost;
  uint32_t i = queue->cursor;
  const organisation_t *other;

  if (queue->waiting == 0 || !is_rate_known (queue))
    return 0;
  if (organisation < queue->organisation_count
      && queue->organisations[organisation].weight > 0)
    round_cost /= queue->organisations[organisation].weight;
  do
    {
      other = &queue->organisations[i];
      if (i != organisation)
        total += fmin ((double)other->cost, round_cost * other->weight);
      i = other->next;
    }
  while (i != queue->cursor);
  return total / fmax (rate, 1e-6);
}

uint32_t
csp_predict_wait_ms (const csp_queue_t *queue,
                     const csp_waiting_request_t *waiting)
{
  uint64_t cost = csp_queue_cost_ahead (queue, waiting, UINT64_MAX)
                  + waiting->cost_tokens;
  double ms = csp_predict_cost_wait_ms (queue, waiting->organisation, cost);

  return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

static double
entry_wait_ms (const csp_queue_t *queue, const entry_t *entry)
{
  const csp_waiting_request_t *waiting = &entry->waiting;
  uint64_t cost = csp_queue_cost_ahead (queue, waiting, entry->sequence)
                  + waiting->cost_tokens;

  return csp_predict_cost_wait_ms (queue, waiting->organisation, cost);
}

/* A request that can no longer start in time is answered now.  Kept until its
   deadline, it would cost its caller the time to retry elsewhere and would
   keep others waiting.  The prediction is expensive, so each pass makes it for
   at most EXPIRE_CHECKS entries, and the next pass continues after them.  */
static bool
should_expire (csp_queue_t *queue, uint32_t index, int64_t now_ms)
{
  const entry_t *entry = &queue->entries[index];
  double left_ms = (double)(entry->waiting.start_by_ms - now_ms);

  if (left_ms <= 0)
    return true;
  if (index < queue->checks_start || queue->expire_checks >= EXPIRE_CHECKS)
    return false;
  queue->expire_checks++;
  if (queue->expire_checks == EXPIRE_CHECKS)
    queue->next_checks_start = index + 1;
  return entry_wait_ms (queue, entry) > queue->policy.wait_patience * left_ms;
}

bool
csp_expire_waiting (csp_queue_t *queue, int64_t now_ms,
                    csp_waiting_request_t *waiting, csp_error_t *error)
{
  const entry_t *entry;
  uint32_t index;
  double wait_ms;

  csp_update_queue_rate (queue, now_ms);
  for (; queue->expire_cursor < queue->policy.max_waiting;
       queue->expire_cursor++)
    {
      index = queue->expire_cursor;
      entry = &queue->entries[index];
      if (!entry->used || !should_expire (queue, index, now_ms))
        continue;
      *waiting = entry->waiting;
      wait_ms = entry_wait_ms (queue, entry);
      csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_DEADLINE,
                     (uint32_t)fmin (wait_ms, 600000) + 1,
                     "waited %lld ms and can't start in time",
                     (long long)(now_ms - waiting->arrived_ms));
      csp_remove_waiting_entry (queue, index);
      queue->expire_cursor++;
      return true;
    }
  queue->checks_start = queue->next_checks_start;
  queue->next_checks_start = 0;
  queue->expire_cursor = 0;
  queue->expire_checks = 0;
  return false;
}
