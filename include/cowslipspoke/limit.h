#ifndef COWSLIPSPOKE_LIMIT_H
#define COWSLIPSPOKE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Limits of an organisation, a route or a rule over all hosts, held without
   shared state.

   Load pattern: one organisation's requests come through every host.  A limit
   that each host held alone would be exceeded as many times over as there are
   hosts; divided evenly, it would turn callers away at one host while the
   others' parts lie unused.  One notices either the tokens made for the
   organisation against its limit, or refusals while it is far below.

   Each host uses a share of the limit.  floor_share of it is divided evenly,
   the rest by the demand that hosts publish to each other each round.  A
   share falls at once, and rises by `rise` a round at most, and only while
   every other host in the list is heard of.  So hosts that don't talk keep
   the shares they had: with the whole host list known, a split exceeds
   nothing, and strands what the other side doesn't use.

   How far it can be exceeded.  Shares add up to at most 1 when all saw the
   same demands; with news `lag` rounds old they can exceed it by what rises in
   that time, at worst rise to the power of lag; measured 1.03 in the worst
   second with news one round old, 1.16 with three.  Where the host list itself
   splits, each side divides the limit among its own: at most as many times the
   limit as there are sides, reached no faster than by `rise` a round.  A
   joining host begins at its even part of floor_share.  Figures from
   bench/limit-bench.c.  */

/* floor_share: lets a host serve the first request of an organisation that
   came through others so far.
   rise: of 1.25, 1.5, 2 and 3, 2 used 69 in 100 of the limit while demand
   jumped between hosts each ten seconds (34, 53 and 76 with the others), and
   3 exceeded it by half when news was three rounds old.
   stale_ms: a host not heard of for so long is silent; three rounds.
   burst_s: how many seconds of its share a host may serve at once.  */
typedef struct
{
  double floor_share;
  double rise;
  double burst_s;
  uint32_t stale_ms;
} csp_limit_policy_t;

csp_limit_policy_t csp_default_limit_policy (void);

/* One limit on one host; a plain value.  Of tokens a second and of things
   open at a time either may be 0 for none.  */
typedef struct
{
  csp_limit_policy_t policy;
  double tokens_per_s;
  double share;
  double bucket;
  int64_t filled_ms;
  uint32_t most_open;
  uint32_t open;
  double asked;
  double demand;
  double published;
} csp_limit_t;

/* Begin with the even part of floor_share among `hosts`, this one counted
   in.  */
void csp_open_limit (csp_limit_t *limit, const csp_limit_policy_t *policy,
                     double tokens_per_s, uint32_t most_open, uint32_t hosts,
                     int64_t now_ms);

/* The limit was declared anew; shares and what is open stay.  */
void csp_change_limit (csp_limit_t *limit, double tokens_per_s,
                       uint32_t most_open);

/* End a round: what this host publishes as its demand from now on.  */
double csp_publish_demand (csp_limit_t *limit);

/* What another host in the list last published, and how old that is.  */
typedef struct
{
  double demand;
  uint32_t age_ms;
} csp_limit_peer_t;

/* Work out this host's share, once a round, from all other hosts in the
   list; one never heard of has demand 0 and age UINT32_MAX.  */
void csp_share_limit (csp_limit_t *limit, const csp_limit_peer_t *peers,
                      uint32_t count);

/* Ask for a stream of cost_tokens: true when it is within both limits, and
   it then counts as open until csp_close_limited.  False with the time to
   come back.  */
bool csp_open_limited (csp_limit_t *limit, uint32_t cost_tokens,
                       int64_t now_ms, uint32_t *retry_after_ms);

/* The stream is over, and cost used_tokens instead of cost_tokens.  */
void csp_close_limited (csp_limit_t *limit, uint32_t cost_tokens,
                        uint32_t used_tokens);

#endif
