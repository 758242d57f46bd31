#include "queue/queue-imp.h"

#include <math.h>

/* Below so much busy time the rate is no measurement yet.  */
static const double known_after_ms = 500;

/* A queue of which nothing was served yet tells no rate: its targets may still
   be opening, or a hand-off under way.  Only after so much busy time is it
   taken for stuck.  With known_after_ms alone, a host that had just started
   turned its first callers away after half a second although its owners'
   targets opened two seconds later.  */
static const double stuck_after_ms = 8000;

static const double ms_per_s = 1000;

enum
{
  EXPIRE_CHECKS = 64
};

/* The rate of service is tokens taken over the time in which requests waited;
   idle time says nothing about how fast the targets are.  */
void
csp_move_queue_rate (csp_queue_t *queue, int64_t now_ms)
{
  double passed = (double)(now_ms - queue->rate_ms);
  double keep;

  if (passed <= 0)
    return;
  queue->rate_ms = now_ms;
  if (queue->waiting == 0)
    return;
  keep = exp2 (-passed / fmax (queue->policy.rate_half_life_ms, 1));
  queue->served_tokens *= keep;
  queue->busy_ms = queue->busy_ms * keep + passed;
}

static bool
is_rate_known (const csp_queue_t *queue)
{
  return queue->busy_ms
         >= (queue->served_tokens > 0 ? known_after_ms : stuck_after_ms);
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
csp_waiting_due_ms (const csp_queue_t *queue, const csp_waiting_t *waiting)
{
  return waiting->start_by_ms
         - (int64_t)waiting->priority * queue->policy.age_ms;
}

uint64_t
csp_queue_cost_ahead (const csp_queue_t *queue, const csp_waiting_t *waiting,
                      uint64_t order)
{
  int64_t due_ms = csp_waiting_due_ms (queue, waiting);
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
        other_ms = csp_waiting_due_ms (queue, &entry->waiting);
        if (other_ms < due_ms || (other_ms == due_ms && entry->order < order))
          cost += entry->waiting.cost_tokens;
      }
  return cost;
}

/* Deficit round robin as a fluid: while this organisation is served `cost`,
   each other one is served its weight's part of that, or all that it has
   waiting when that is less.  */
double
csp_queue_wait_ms (const csp_queue_t *queue, uint32_t organisation,
                   uint64_t cost)
{
  double rate = tokens_per_ms (queue);
  double round = (double)cost;
  double total = (double)cost;
  uint32_t i = queue->cursor;
  const organisation_t *other;

  if (queue->waiting == 0 || !is_rate_known (queue))
    return 0;
  if (organisation < queue->organisation_count
      && queue->organisations[organisation].weight > 0)
    round /= queue->organisations[organisation].weight;
  do
    {
      other = &queue->organisations[i];
      if (i != organisation)
        total += fmin ((double)other->cost, round * other->weight);
      i = other->next;
    }
  while (i != queue->cursor);
  return total / fmax (rate, 1e-6);
}

uint32_t
csp_predict_wait_ms (const csp_queue_t *queue, const csp_waiting_t *waiting)
{
  uint64_t cost = csp_queue_cost_ahead (queue, waiting, UINT64_MAX)
                  + waiting->cost_tokens;
  double ms = csp_queue_wait_ms (queue, waiting->organisation, cost);

  return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

static double
entry_wait_ms (const csp_queue_t *queue, const entry_t *entry)
{
  const csp_waiting_t *waiting = &entry->waiting;
  uint64_t cost = csp_queue_cost_ahead (queue, waiting, entry->order)
                  + waiting->cost_tokens;

  return csp_queue_wait_ms (queue, waiting->organisation, cost);
}

/* A request that can't be started in time any more is answered now.  Held
   until its deadline, its caller would have lost the time in which to ask
   elsewhere, and its place would keep others waiting.  The costly prediction
   is made for a few entries in each pass, the next few in the next.  */
static bool
is_given_up (csp_queue_t *queue, uint32_t index, int64_t now_ms)
{
  const entry_t *entry = &queue->entries[index];
  double left_ms = (double)(entry->waiting.start_by_ms - now_ms);

  if (left_ms <= 0)
    return true;
  if (index < queue->check_from || queue->expire_checks >= EXPIRE_CHECKS)
    return false;
  queue->expire_checks++;
  if (queue->expire_checks == EXPIRE_CHECKS)
    queue->check_next = index + 1;
  return entry_wait_ms (queue, entry) > queue->policy.patience * left_ms;
}

bool
csp_expire_waiting (csp_queue_t *queue, int64_t now_ms, csp_waiting_t *waiting,
                    csp_error_t *error)
{
  const entry_t *entry;
  uint32_t index;
  double wait_ms;

  csp_move_queue_rate (queue, now_ms);
  for (; queue->expire_at < queue->policy.max_waiting; queue->expire_at++)
    {
      index = queue->expire_at;
      entry = &queue->entries[index];
      if (!entry->used || !is_given_up (queue, index, now_ms))
        continue;
      *waiting = entry->waiting;
      wait_ms = entry_wait_ms (queue, entry);
      csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_DEADLINE,
                     (uint32_t)fmin (wait_ms, 600000) + 1,
                     "waited %lld ms and can't start in time",
                     (long long)(now_ms - waiting->arrived_ms));
      csp_unlink_waiting (queue, index);
      queue->expire_at++;
      return true;
    }
  queue->check_from = queue->check_next;
  queue->check_next = 0;
  queue->expire_at = 0;
  queue->expire_checks = 0;
  return false;
}
