#ifndef COWSLIPSPOKE_QUEUE_H
#define COWSLIPSPOKE_QUEUE_H

#include "cowslipspoke/verdict.h"

#include <stdbool.h>
#include <stdint.h>

/* Who is served next, how long the others may wait, and who is turned away.
   One queue for each pool of targets, as pools share nothing.

   Load pattern: one organisation sends more than all others together, for
   minutes or for hours.  Without this decision everybody waits behind its
   backlog; one notices that the time to first token of small organisations
   follows the large one's load, and that requests are served after their
   callers have gone.

   Organisations are served by weighted deficit round robin over tokens: a
   request costs the prompt and the tokens expected of it, and what it really
   took is settled at its end.  Within an organisation the earliest deadline
   goes first, and each step of priority is worth `age_ms` of it; so nothing
   waits behind more than that of later arrivals.  Organisations come before
   priorities, as otherwise the largest could mark everything urgent and
   starve the small.

   Shares that are not used are lent.  An organisation holding more in flight
   than its share is *borrowing*; it must leave lend_keep of the memory free,
   so that others find room at once when they come back.  */
typedef struct csp_queue csp_queue_t;

/* How the queue weighs.  Figures in docs/DECISIONS.md.

   quantum_tokens: what weight 1 earns in a round; near the mean cost, so that
   a round serves each about once.
   max_waiting, max_waiting_each: bounds in number, of all and of one
   organisation.
   max_wait_ms: bound in time where the caller states no deadline.
   age_ms: head start of one step of priority within an organisation.  Strict
   priority instead gave up 11 to 14 in 100 of the largest's scores at load
   0.9, and order of arrival 14 in 100 of its lookups.
   lend_keep: share of memory that borrowers leave free.  At load 1.5 on 12
   engines and 8 hosts the small ones' p99 wait is 14 s with none, 2.0 s with
   0.07 and 0.04 s with 0.1, at 3,037, 2,971 and 2,922 useful tokens a second;
   with one host 0.07 has next to no wait, and 0.1 costs 3 in 100 of
   throughput.
   rate_half_life_ms: over what time the rate of service is measured.
   hold_ms: a request within its share that was passed over for so long, as
   it needs more room than gets free at once, stops the others until it fits;
   after three times hold_ms the others may pass again for hold_ms.
   pass_over_most: organisations passed over in one pump before it ends.
   margin: a request is refused on arrival when margin times the predicted
   wait is more than what is left; over 1, as later requests with earlier
   deadlines pass it.  At load 1.5, 1 gave up 17 in 100 after a wait, and 3
   gives up 2, with more requests answered in all.
   patience: a waiting request is given up when the time that it still needs
   is more than patience times what is left; over 1 so that it does not
   waver with the measured rate.  */
typedef struct
{
  uint32_t quantum_tokens;
  uint32_t max_waiting;
  uint32_t max_waiting_each;
  uint32_t max_wait_ms;
  uint32_t age_ms;
  double lend_keep;
  uint32_t rate_half_life_ms;
  uint32_t hold_ms;
  uint32_t pass_over_most;
  double margin;
  double patience;
} csp_queue_policy_t;

csp_queue_policy_t csp_default_queue_policy (void);

/* A request that waits.  organisation is a small number of the caller's
   choosing.  cost_tokens is the prompt and the answer expected.  start_by_ms
   is the time by which it must be sent to a target, 0 for none.  */
typedef struct
{
  uint64_t id;
  uint32_t organisation;
  uint32_t cost_tokens;
  int64_t start_by_ms;
  int64_t arrived_ms;
  uint8_t priority;
} csp_waiting_t;

csp_queue_t *csp_create_queue (const csp_queue_policy_t *policy);
void csp_destroy_queue (csp_queue_t *queue);
void csp_set_queue_policy (csp_queue_t *queue,
                           const csp_queue_policy_t *policy);

/* State an organisation's weight; 1 unless stated, 0 to forget it when it
   has nothing waiting.  */
bool csp_set_weight (csp_queue_t *queue, uint32_t organisation,
                     uint32_t weight);

/* Memory of the targets that this queue feeds: where several hosts share a
   pool, the pool's memory divided by its hosts, whichever of them own the
   targets.  A host that counts only the targets it owns finds nearly
   everybody borrowing.  */
void csp_set_capacity (csp_queue_t *queue, uint64_t memory_tokens);

/* Memory of the whole pool, over all hosts, and what an organisation has in
   flight at the other hosts.  With both, shares are counted over the pool;
   without, over this host's part.  A part is small today: two long drafts
   fill a small organisation's share of one host of eight for minutes, and it
   waits up to 10 s at p99 at load 1.5 though it uses half its share of the
   pool.  Only organisations that hold more here than their part need to be
   told of.  */
void csp_set_shared_memory (csp_queue_t *queue, uint64_t memory_tokens);
void csp_set_flight_elsewhere (csp_queue_t *queue, uint32_t organisation,
                               uint64_t tokens);

/* Let a request wait.  False when it is refused at once: the queue is full
   (QUEUE_FULL) or it can't start in time at the measured rate (DEADLINE),
   with the time to come back.  Errors have the verdict NOT_RUN.  */
bool csp_push_waiting (csp_queue_t *queue, const csp_waiting_t *waiting,
                       int64_t now_ms, csp_error_t *error);

/* How long this request would wait, at the measured rate.  */
uint32_t csp_predict_wait_ms (const csp_queue_t *queue,
                              const csp_waiting_t *waiting);

/* The loop that serves the queue, when a request came or memory got free:

     csp_begin_pump (queue, now_ms);
     while (csp_next_waiting (queue, &waiting, &borrowing))
       if (there is a target for it)
         csp_take_waiting (queue, now_ms);
       else
         csp_skip_waiting (queue);

   csp_next_waiting shows the request whose turn it is; take removes it and
   charges its cost; skip passes its organisation over until the next pump.  */
void csp_begin_pump (csp_queue_t *queue, int64_t now_ms);
bool csp_next_waiting (csp_queue_t *queue, csp_waiting_t *waiting,
                       bool *borrowing);
void csp_take_waiting (csp_queue_t *queue, int64_t now_ms);
void csp_skip_waiting (csp_queue_t *queue);

/* A waiting request was placed elsewhere than by the pump (a hand-off): take
   it out and charge it like a taken one.  False when it isn't waiting.  */
bool csp_charge_waiting (csp_queue_t *queue, uint32_t organisation,
                         uint64_t id, int64_t now_ms);

/* A request that was taken is over: it cost used_tokens in truth instead of
   charged_tokens, and is no longer in flight.  */
void csp_settle_waiting (csp_queue_t *queue, uint32_t organisation,
                         uint32_t charged_tokens, uint32_t used_tokens,
                         int64_t now_ms);

/* The caller of a waiting request has gone.  False when it isn't waiting.  */
bool csp_drop_waiting (csp_queue_t *queue, uint32_t organisation, uint64_t id);

/* One request that is given up, because its time is over or can no longer be
   made; call until false, a few times a second.  It has the verdict NOT_RUN
   and is to be answered at once.  */
bool csp_expire_waiting (csp_queue_t *queue, int64_t now_ms,
                         csp_waiting_t *waiting, csp_error_t *error);

/* Memory tokens that a borrower must leave free in the whole pool.  */
uint64_t csp_queue_kept_tokens (const csp_queue_t *queue);

/* Requests waiting, of all and of one organisation, and tokens in flight.  */
uint32_t csp_queue_length (const csp_queue_t *queue);
uint32_t csp_queue_length_of (const csp_queue_t *queue, uint32_t organisation);
uint64_t csp_queue_flight_tokens (const csp_queue_t *queue,
                                  uint32_t organisation);

/* Tokens of cost served a second while requests were waiting; 0 when not
   yet known.  */
double csp_queue_rate (const csp_queue_t *queue);

#endif
