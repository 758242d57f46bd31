#ifndef COWSLIPSPOKE_LIMIT_H
#define COWSLIPSPOKE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Rate and concurrency limits of an organisation, a route or a rule, enforced
   over all hosts without shared state.

   Load pattern: one organisation's requests come through every host.  If each
   host enforced the whole limit, it would be exceeded by as many times as
   there are hosts; if each enforced an even part, callers would be refused
   at one host while the parts of the others are unused and the organisation is
   far below its limit.

   Each host enforces a share of the limit.  floor_share of the limit is
   divided evenly, the rest in proportion to the demand that hosts publish to
   each other every round.  A share falls at once, but rises by at most a
   factor of max_growth per round, and only while every listed host
   reports.  So in a partition the shares don't rise: while the whole host list
   is known, the limit isn't exceeded, and shares unused on the other side are
   lost.

   How far the limit can be exceeded: shares add up to at most 1 when all hosts
   saw the same demands.  With demands `lag` rounds old the sum can reach
   max_growth to the power of lag; in the worst second it is 1.03 with a lag
   of one round and 1.16 with three.  If the host list itself is partitioned,
   each side divides the whole limit among its own hosts, so the sum can reach
   the number of sides, again growing by at most max_growth per round.  A
   joining host starts with its even part of floor_share.  */

/* floor_share: lets a host serve the first requests of an organisation that
   came only through other hosts so far.
   max_growth: with 2, 69 per cent of the limit are used while demand jumps
   between hosts every ten seconds (34, 53 and 76 with 1.25, 1.5 and 3); 3
   exceeds the limit by half when demands are three rounds old.
   stale_ms: a host without a report for this long counts as silent; three
   rounds.
   burst_s: how many seconds' worth of its share a host may serve at once.  */
typedef struct
{
  double floor_share;
  double max_growth;
  double burst_s;
  uint32_t stale_ms;
} csp_limit_policy_t;

csp_limit_policy_t csp_default_limit_policy (void);

/* One limit on one host; a plain value.  tokens_per_s limits the rate, and
   max_open the streams that are open at a time; 0 means no limit.  */
typedef struct
{
  csp_limit_policy_t policy;
  double tokens_per_s;
  double share;
  double bucket;
  int64_t filled_ms;
  uint32_t max_open;
  uint32_t open;
  double requested;
  double demand;
  double published;
} csp_limit_t;

/* Initialises a limit with the even part of floor_share among `hosts`, this
   host included.  */
void csp_init_limit (csp_limit_t *limit, const csp_limit_policy_t *policy,
                     double tokens_per_s, uint32_t max_open, uint32_t hosts,
                     int64_t now_ms);

/* Changes the declared limit; the share and the open streams stay.  */
void csp_update_limit (csp_limit_t *limit, double tokens_per_s,
                       uint32_t max_open);

/* Ends a round; returns the demand that this host publishes from now on.  */
double csp_publish_demand (csp_limit_t *limit);

/* The demand that another listed host last published, and its age.  */
typedef struct
{
  double demand;
  uint32_t age_ms;
} csp_limit_peer_t;

/* Recomputes this host's share, once a round, from all other listed hosts.  A
   host that has never reported has demand 0 and age UINT32_MAX.  */
void csp_update_limit_share (csp_limit_t *limit, const csp_limit_peer_t *peers,
                             uint32_t count);

/* Admits a stream of cost_tokens if it is within both limits; it then counts
   as open until csp_end_limited_stream.  Otherwise returns false and sets
   retry_after_ms.  */
bool csp_admit_limited_stream (csp_limit_t *limit, uint32_t cost_tokens,
                               int64_t now_ms, uint32_t *retry_after_ms);

/* Ends a stream that was admitted with cost_tokens and has cost
   used_tokens.  */
void csp_end_limited_stream (csp_limit_t *limit, uint32_t cost_tokens,
                             uint32_t used_tokens);

#endif
