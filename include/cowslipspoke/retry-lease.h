#ifndef COWSLIPSPOKE_RETRY_LEASE_H
#define COWSLIPSPOKE_RETRY_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Pool of retries of a service that all hosts share.  The decider lends them
   to hosts as leases.

   Load pattern: operators limit a service's retries per time window, counted
   over all hosts.  A fixed part per host fits only one size of fleet.  With
   the part for 64 hosts, 295 hosts whose engines all refuse send 2,700 retries
   where 1,600 are allowed, which overloads the engines.  With the part for 295
   hosts, a fleet of 18 failed 49 requests after an engine restarted, although
   they had half a minute left and other engines were idle.

   So each host has a budget of one retry, and half of the fleet's limit is
   lent to the hosts that need more.  A lease expires by itself, and counts as
   used in every window in which it could have been used.

   A partition can produce two deciders, and a new decider doesn't know the
   leases of its predecessor.  So a pool is limited to the part of the fleet
   that asks this host, relative to all hosts it has known and all data centres
   that have targets; and a new decider grants nothing until all leases of its
   predecessor no longer count.  */

enum
{
  /* Short, as failures come in bursts and a host that asks for a lease has
     requests waiting to be retried.  */
  CSP_LEASE_MS = 2000,
  /* Number of time steps for which grants are counted.  */
  CSP_LEASE_STEPS = 64
};

typedef struct
{
  uint32_t max_per_window; /* limit of the whole fleet in any window */
  uint32_t window_ms;      /* length of the operators' window */
  uint32_t lease_ms;       /* lifetime of a grant; 0: CSP_LEASE_MS */
} csp_lease_policy_t;

/* The pool of one service; a plain value.  */
typedef struct
{
  csp_lease_policy_t policy;
  bool decides;
  int64_t decides_since_ms;
  int64_t step;                      /* newest step with a counter */
  uint32_t granted[CSP_LEASE_STEPS]; /* ring buffer by step */
} csp_lease_pool_t;

/* The decider's view of the fleet.  */
typedef struct
{
  size_t hosts_asking; /* hosts that ask this host, itself included */
  size_t hosts_known;  /* all known hosts, dead or alive, itself included */
  size_t data_centres_live;
  size_t data_centres_listed; /* that have targets */
} csp_lease_facts_t;

/* Whether this host is the decider, and what it knows of the fleet.  */
typedef struct
{
  bool decides;
  int64_t decides_since_ms;
  csp_lease_facts_t fleet;
} csp_decider_role_t;

/* Returns the part of a limit of the whole fleet that this host may grant as
   the decider, 0 to 1: below 1 where a partition or a change of decider leaves
   some hosts to another one.  */
double csp_decider_share (const csp_lease_facts_t *facts);

void csp_init_lease_pool (csp_lease_pool_t *pool,
                          const csp_lease_policy_t *policy, int64_t now_ms);

/* Sets whether this host is the decider.  Call it whenever that may have
   changed, and before each grant.  */
void csp_set_lease_decider (csp_lease_pool_t *pool, bool decides,
                            int64_t now_ms);

/* Returns how many leases could be granted now.  */
uint32_t csp_count_grantable (csp_lease_pool_t *pool,
                              const csp_lease_facts_t *facts, int64_t now_ms);

/* Grants up to `wanted` leases; returns how many.  They are valid for lease_ms
   from the time when the asking host sent its request.  */
uint32_t csp_grant_leases (csp_lease_pool_t *pool,
                           const csp_lease_facts_t *facts, uint32_t wanted,
                           int64_t now_ms);

/* Returns how many granted leases still count, as they could have been used
   within the current window.  */
uint32_t csp_count_outstanding_leases (const csp_lease_pool_t *pool,
                                       int64_t now_ms);

#endif
