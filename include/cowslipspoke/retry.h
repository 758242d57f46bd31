#ifndef COWSLIPSPOKE_RETRY_H
#define COWSLIPSPOKE_RETRY_H

#include "cowslipspoke/verdict.h"

#include <stdbool.h>
#include <stdint.h>

/* Whether a request is sent a second time, after a failure (retry) or beside
   a first attempt that is late (hedge).

   Load pattern: targets fail or slow down under load.  Without a budget each
   failure adds an attempt, attempts add load, load adds failures: an outage
   of a tenth of the engines becomes one of all of them.  One notices attempts
   at the targets that are a multiple of the requests that came, and that go
   on after the cause has gone.

   Retries may be a share of first attempts, in a bucket that first attempts
   fill: in quiet times a few are saved up for a burst of failures, in an
   outage the load is at most 1 + retry_share times that of first attempts.
   Hedges have a smaller bucket, and none are sent while anything waits: then
   a second attempt takes the place of somebody's first.  */

/* retry_share: 0.1 adds a tenth of load at worst, and covers the loss of one
   engine of twelve (8 in 100 of requests) in full.
   retry_most: what can be saved up; at 27 requests a second a host collects
   20 in 7 s.
   retry_start: what a host that starts may spend before it has seen first
   attempts; with none, the first caller that meets a dead engine gets its
   error.  Ten on each of 330 hosts are a third of a second's requests.
   hedge_share, hedge_most: 0.02 is the part of requests beyond the p98 of
   time to first token, which is the delay that hedge_after should be given.
   most_attempts: for one request, the first counted in.  */
typedef struct
{
  double retry_share;
  double retry_most;
  double retry_start;
  double hedge_share;
  double hedge_most;
  uint32_t most_attempts;
} csp_retry_policy_t;

csp_retry_policy_t csp_default_retry_policy (void);

/* The budget of one host; a plain value.  leased: what it got beyond its own
   from the fleet's, see retry-lease.h; good until leased_until_ms.  */
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

void csp_open_retry_budget (csp_retry_budget_t *budget,
                            const csp_retry_policy_t *policy);

/* A first attempt was sent.  */
void csp_note_first_attempt (csp_retry_budget_t *budget);

/* A lease came; what is left of the one before is let go, so that none is
   kept beyond its time.  */
void csp_take_retry_lease (csp_retry_budget_t *budget, uint32_t amount,
                           int64_t until_ms);

/* What is known of a request that could be sent again.  idempotent: by its
   mark, or by a key under which the targets run it once.  tokens_sent: the
   caller has seen some of the answer.  verdict: of the last attempt.
   left_ms: until its deadline.  needs_ms: the usual time to a first token.
 */
typedef struct
{
  bool idempotent;
  bool tokens_sent;
  csp_verdict_t verdict;
  uint32_t attempts;
  int64_t left_ms;
  int64_t needs_ms;
  uint32_t waiting;
  double load;
  int64_t now_ms; /* matters where there are leases */
} csp_retry_facts_t;

/* Why a second attempt was made or not.  */
typedef enum
{
  CSP_RETRY_YES,
  CSP_RETRY_TOKENS_SENT,
  CSP_RETRY_MAY_HAVE_RUN,
  CSP_RETRY_ATTEMPTS,
  CSP_RETRY_DEADLINE,
  CSP_RETRY_BUDGET,
  CSP_RETRY_BUSY
} csp_retry_t;

/* Send a failed request again?  Takes from the budget when YES.  What did
   not run, by its verdict, may be sent again even when it isn't idempotent,
   as that is no repetition; it still takes from the budget.  */
csp_retry_t csp_decide_retry (csp_retry_budget_t *budget,
                              const csp_retry_facts_t *facts);

/* Send a second attempt beside a first one that is late?  Never when it isn't
   idempotent, when the caller has seen a token, or when anything waits or the
   targets are more than hedge_load full.  */
csp_retry_t csp_decide_hedge (csp_retry_budget_t *budget,
                              const csp_retry_facts_t *facts);

#endif
