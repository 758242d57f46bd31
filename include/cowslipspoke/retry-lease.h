#ifndef COWSLIPSPOKE_RETRY_LEASE_H
#define COWSLIPSPOKE_RETRY_LEASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The retries of a service that all hosts share, handed out in leases by the
   host that decides.

   Load pattern: operators allow a service so many requests beyond the first
   attempts in each window, counted over all hosts.  Hosts that each save up a
   part that is set for 64 hosts send 2,700 where 1,600 are allowed when 295 of
   them meet engines that all refuse, and the engines drown in repeats.  With
   the part of 295 hosts a fleet of 18 has so little that 49 requests were
   turned away because an engine had started again, with half a minute left and
   idle engines beside.

   So each host keeps one retry of its own, and half of what the fleet may
   spend is lent to who needs it.  A lease dies by itself, and counts as spent
   in every window in which it could have been.  What goes wrong with a pool
   that one host keeps: a cut makes two of them, and a host that takes over
   doesn't know what is out.  So a pool is worth the part of the fleet that
   asks this host, counted among all hosts that it remembers and all data
   centres that have targets, and a host that takes over waits until every
   lease of the one before is forgotten.  */

enum
{
  /* Failures come in bursts; who asks has requests that wait.  */
  CSP_LEASE_MS = 2000,
  /* Grants are remembered in that many steps.  */
  CSP_LEASE_STEPS = 64
};

typedef struct
{
  uint32_t extra;     /* that the whole fleet may send in any window */
  uint32_t window_ms; /* in which operators count */
  uint32_t lease_ms;  /* for which a grant may be used; 0: CSP_LEASE_MS */
} csp_lease_policy_t;

/* One service's pool; a plain value.  */
typedef struct
{
  csp_lease_policy_t policy;
  bool decides;
  int64_t decides_since_ms;
  int64_t step;                      /* the newest that is written */
  uint32_t granted[CSP_LEASE_STEPS]; /* in each of the last steps */
} csp_lease_pool_t;

/* What is known of the fleet.  */
typedef struct
{
  size_t hosts_asking; /* that ask this host, itself counted in */
  size_t hosts_known;  /* all that are remembered, dead or alive, and itself */
  size_t data_centres_heard;
  size_t data_centres_listed; /* that have targets */
} csp_lease_facts_t;

void csp_open_lease_pool (csp_lease_pool_t *pool,
                          const csp_lease_policy_t *policy, int64_t now_ms);

/* Whether this host decides for the others.  Call it whenever that may have
   changed, and before each grant.  */
void csp_note_lease_duty (csp_lease_pool_t *pool, bool decides,
                          int64_t now_ms);

/* How many could be granted now.  */
uint32_t csp_count_lendable (csp_lease_pool_t *pool,
                             const csp_lease_facts_t *facts, int64_t now_ms);

/* How many of the wanted retries a host may spend until CSP_LEASE_MS behind
   its question.  */
uint32_t csp_grant_leases (csp_lease_pool_t *pool,
                           const csp_lease_facts_t *facts, uint32_t wanted,
                           int64_t now_ms);

/* What could be spent now of what was granted, in the worst case.  */
uint32_t csp_count_leased (const csp_lease_pool_t *pool, int64_t now_ms);

#endif
