#ifndef COWSLIPSPOKE_RETRY_H
#define COWSLIPSPOKE_RETRY_H

#include "cowslipspoke/verdict.h"

#include <stdbool.h>
#include <stdint.h>

/* Decides whether a request is sent a second time: after a failure (retry), or
   in parallel to a first attempt that is late (hedge).

   Load pattern: targets fail or slow down under load.  Without a budget each
   failure adds an attempt, attempts add load, and load adds failures: an
   outage of a tenth of the engines becomes an outage of all.  The symptom is
   that targets get a multiple of the callers' requests, even after the cause
   is gone.

   Retries are limited to a share of first attempts by a token bucket that
   first attempts fill.  In quiet times a few are saved up for a burst of
   failures; in an outage the load is at most 1 + retry_share times that of
   first attempts.  Hedges have a smaller bucket, and none are sent while
   requests are queued, as a hedge would then take the slot of a first
   attempt.  */

/* retry_share: 0.1 adds a tenth of load at worst, and fully covers the loss of
   one engine of twelve (8 per cent of requests).
   retry_max: capacity of the bucket; at 27 requests a second a host saves up
   20 retries in 7 s.
   retry_start: initial content of the bucket.  With 0, the first caller of a
   restarted host whose request reaches a dead engine gets an error.  Ten on
   each of 330 hosts are a third of a second's requests.
   hedge_share, hedge_max: 0.02 is the share of requests beyond the p98 of
   time to first token, which is the delay that hedge_after should have.
   attempts_max: for one request, the first attempt included.  */
typedef struct
{
  double retry_share;
  double retry_max;
  double retry_start;
  double hedge_share;
  double hedge_max;
  uint32_t attempts_max;
} csp_retry_policy_t;

csp_retry_policy_t csp_default_retry_policy (void);

/* The budget of one host; a plain value.  leased: additional retries from the
   fleet's shared pool, valid until leased_until_ms (see retry-lease.h).  */
typedef struct
{
  csp_retry_policy_t policy;
  double retries;
  double hedges;
  uint32_t leased;
  int64_t leased_until_ms;
  uint64_t first_attempts;
  uint64_t retried;
  uint64_t hedged;
  uint64_t denied;
} csp_retry_budget_t;

void csp_init_retry_budget (csp_retry_budget_t *budget,
                            const csp_retry_policy_t *policy);

/* Records that a first attempt was sent, which adds to the budget.  */
void csp_note_first_attempt (csp_retry_budget_t *budget);

/* Replaces the lease.  The rest of the previous one is dropped, so that no
   retry is used after its lease expired.  */
void csp_take_retry_lease (csp_retry_budget_t *budget, uint32_t amount,
                           int64_t until_ms);

/* State of a request that could be sent again.  idempotent: it is marked so,
   or has an idempotency key with which targets run it only once.  tokens_sent:
   the caller has received a part of the answer.  verdict: of the last attempt.
   left_ms: until its deadline.  usual_first_token_ms: usual time to first
   token.  waiting: queued requests.  load: share of the targets' memory that
   is used.  */
typedef struct
{
  bool idempotent;
  bool tokens_sent;
  csp_verdict_t verdict;
  uint32_t attempts;
  int64_t left_ms;
  int64_t usual_first_token_ms;
  uint32_t waiting;
  double load;
  int64_t now_ms; /* needed only with leases */
} csp_retry_facts_t;

/* The decision on a second attempt, or the reason for refusing it.  */
typedef enum
{
  CSP_RETRY_ALLOWED,
  CSP_RETRY_TOKENS_SENT,
  CSP_RETRY_MAY_HAVE_RUN,
  CSP_RETRY_ATTEMPTS_USED_UP,
  CSP_RETRY_DEADLINE,
  CSP_RETRY_BUDGET_USED_UP,
  CSP_RETRY_BUSY
} csp_retry_decision_t;

/* Decides whether to retry a failed request; CSP_RETRY_ALLOWED takes a retry
   from the budget.  A request that didn't run, by its verdict, may be retried
   even if it isn't idempotent; that also takes from the budget.  */
csp_retry_decision_t csp_decide_retry (csp_retry_budget_t *budget,
                                       const csp_retry_facts_t *facts);

/* Decides whether to hedge a first attempt that is late.  Never if the request
   isn't idempotent, the caller has received a token, requests are queued, or
   the targets' memory is used to more than hedge_load.  */
csp_retry_decision_t csp_decide_hedge (csp_retry_budget_t *budget,
                                       const csp_retry_facts_t *facts);

#endif
