#ifndef COWSLIPSPOKE_QUEUE_H
#define COWSLIPSPOKE_QUEUE_H

#include "cowslipspoke/verdict.h"

#include <stdbool.h>
#include <stdint.h>

/* Decides which waiting request is served next, how long requests may wait,
   and which are refused.  Each pool of targets has its own queue, as pools
   share nothing.

   Load pattern: one organisation sends more than all others together, for
   minutes or hours.  Without this decision everybody waits for its backlog:
   the time to first token of small organisations follows the large one's load,
   and requests are served after their callers have gone.

   Organisations are served by weighted deficit round robin over cost: what a
   request uses of the targets, in tokens (see traffic-cost.h), and the
   difference from its real cost is settled when it ends.  Within an
   organisation the earliest deadline goes first, and each step of priority
   makes a request due priority_step_ms earlier; so later arrivals can overtake
   a request only for a bounded time.  Fairness between organisations comes
   before priority, as otherwise the largest could mark everything urgent and
   starve the small ones.

   Unused shares are lent.  An organisation that has more in flight than its
   share is *borrowing*; it must leave lending_reserve of the memory free, so
   that others find memory at once when they need their share again.  */
typedef struct csp_queue csp_queue_t;

/* Parameters of the queue.  docs/DECISIONS.md has the measurements.

   quantum_tokens: credit that weight 1 earns in a round; near the mean cost,
   so that a round serves each organisation about once.

   max_waiting, max_waiting_per_organisation: maximum number of waiting
   requests, in all and of one organisation.

   max_wait_ms: maximum wait when the caller states no deadline.

   priority_step_ms: how much earlier one step of priority makes a request due
   within its organisation.  With strict priority instead, 11 to 14 in 100 of
   the largest organisation's scores expired at load 0.9, and with first come,
   first served 14 in 100 of its lookups.

   lending_reserve: share of memory that borrowers must leave free.  At
   load 1.5 on 12 engines and 8 hosts the small organisations' p99 wait is 14 s
   with 0, 2.0 s with 0.07 and 0.04 s with 0.1, at 3,037, 2,971 and 2,922
   useful tokens a second; with one host 0.07 leaves almost no wait, and 0.1
   costs 3 in 100 of the throughput.

   rate_half_life_ms: half-life of the moving average of the service rate.

   blocking_after_ms: a request of an organisation within its share that was
   skipped for this long, as it needs more memory than gets free at once,
   blocks the others until it fits; after three times blocking_after_ms the
   others may pass again for blocking_after_ms.

   max_skips_per_pump: maximum number of organisations skipped in one pump.

   wait_margin: a request is refused on arrival when wait_margin times the
   predicted wait exceeds its remaining time.  It is above 1, as later requests
   with earlier deadlines overtake.  At load 1.5, 17 in 100 requests expired
   after a wait with 1, and 2 in 100 with 3, which also answered more requests
   in all.

   wait_patience: a waiting request expires early when its predicted wait
   exceeds wait_patience times its remaining time.  It is above 1 so that
   fluctuations of the measured rate don't matter.  */
typedef struct
{
  uint32_t quantum_tokens;
  uint32_t max_waiting;
  uint32_t max_waiting_per_organisation;
  uint32_t max_wait_ms;
  uint32_t priority_step_ms;
  double lending_reserve;
  uint32_t rate_half_life_ms;
  uint32_t blocking_after_ms;
  uint32_t max_skips_per_pump;
  double wait_margin;
  double wait_patience;
} csp_queue_policy_t;

csp_queue_policy_t csp_default_queue_policy (void);

/* A waiting request.  organisation is a small number assigned by the caller of
   this interface.  memory_tokens is the prompt and the expected answer, which
   count as in flight once it is taken; cost_tokens is what it is charged.
   start_by_ms is the time by which the request must be sent to a target, 0 for
   none.  */
typedef struct
{
  uint64_t id;
  uint32_t organisation;
  uint32_t memory_tokens;
  uint32_t cost_tokens;
  int64_t start_by_ms;
  int64_t arrived_ms;
  uint8_t priority;
} csp_waiting_request_t;

csp_queue_t *csp_create_queue (const csp_queue_policy_t *policy);
void csp_destroy_queue (csp_queue_t *queue);
void csp_set_queue_policy (csp_queue_t *queue,
                           const csp_queue_policy_t *policy);

/* Sets an organisation's weight; the default is 1.  0 removes the weight if
   the organisation has nothing waiting.  */
bool csp_set_weight (csp_queue_t *queue, uint32_t organisation,
                     uint32_t weight);

/* Sets the memory of the targets that this queue serves.  Where several hosts
   share a pool, that is the pool's memory divided by the number of hosts,
   whichever of them own the targets: a host that counted only the targets it
   owns would see nearly every organisation as borrowing.  */
void csp_set_capacity (csp_queue_t *queue, uint64_t memory_tokens);

/* Set the memory of the whole pool, over all hosts, and the tokens that an
   organisation has in flight at other hosts.  With both, shares are computed
   over the pool; without, over this host's part, which can be small: two long
   drafts fill a small organisation's share of one host of eight for minutes,
   and the organisation waits up to 10 s at p99 at load 1.5 though it uses half
   its share of the pool.  Only organisations with more in flight at this host
   than their part need to be reported to others.  */
void csp_set_pool_memory (csp_queue_t *queue, uint64_t memory_tokens);
void csp_set_in_flight_elsewhere (csp_queue_t *queue, uint32_t organisation,
                                  uint64_t tokens);

/* Queues a request.  Returns false when it is refused at once: the queue is
   full (QUEUE_FULL), or the request can't start in time at the measured rate
   (DEADLINE).  The error has the time after which to retry and the verdict
   NOT_RUN.  */
bool csp_push_waiting (csp_queue_t *queue,
                       const csp_waiting_request_t *waiting, int64_t now_ms,
                       csp_error_t *error);

/* Predicts this request's wait from the measured rate.  */
uint32_t csp_predict_wait_ms (const csp_queue_t *queue,
                              const csp_waiting_request_t *waiting);

/* Functions of the loop that serves the queue when a request has arrived or
   memory has become free:

     csp_begin_pump (queue, now_ms);
     while (csp_next_waiting (queue, &waiting, &borrowing))
       if (there is a target for it)
         csp_take_waiting (queue, now_ms);
       else
         csp_skip_waiting (queue);

   csp_next_waiting returns the request that is to be served next.
   csp_take_waiting removes it and charges its cost.  csp_skip_waiting skips
   its organisation until the next pump.  */
void csp_begin_pump (csp_queue_t *queue, int64_t now_ms);
bool csp_next_waiting (csp_queue_t *queue, csp_waiting_request_t *waiting,
                       bool *borrowing);
void csp_take_waiting (csp_queue_t *queue, int64_t now_ms);
void csp_skip_waiting (csp_queue_t *queue);

/* Removes and charges a waiting request that was placed other than by the pump
   (by a hand-off).  Returns false when it isn't waiting.  */
bool csp_charge_waiting (csp_queue_t *queue, uint32_t organisation,
                         uint64_t id, int64_t now_ms);

/* Settles a taken request that has ended: removes its memory from the tokens
   in flight and corrects the charged cost to the real one.  */
void csp_settle_waiting (csp_queue_t *queue, uint32_t organisation,
                         uint32_t memory_tokens, uint32_t charged_tokens,
                         uint32_t used_tokens, int64_t now_ms);

/* Removes a waiting request whose caller has gone.  Returns false when it
   isn't waiting.  */
bool csp_drop_waiting (csp_queue_t *queue, uint32_t organisation, uint64_t id);

/* Removes and returns one request whose deadline has passed or can no longer
   be met; to be called until it returns false, a few times a second.  The
   error has the verdict NOT_RUN, and the request must be answered at once.  */
bool csp_expire_waiting (csp_queue_t *queue, int64_t now_ms,
                         csp_waiting_request_t *waiting, csp_error_t *error);

/* Memory, in tokens, that borrowers must leave free in the whole pool.  */
uint64_t csp_queue_lending_reserve_tokens (const csp_queue_t *queue);

/* Number of waiting requests, of all and of one organisation, and an
   organisation's tokens in flight.  */
uint32_t csp_queue_length (const csp_queue_t *queue);
uint32_t csp_organisation_queue_length (const csp_queue_t *queue,
                                        uint32_t organisation);
uint64_t csp_queue_in_flight_tokens (const csp_queue_t *queue,
                                     uint32_t organisation);

/* Service rate in cost tokens per second while requests were waiting; 0 when
   not yet known.  */
double csp_queue_rate (const csp_queue_t *queue);

#endif
