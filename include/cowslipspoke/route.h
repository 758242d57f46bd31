#ifndef COWSLIPSPOKE_ROUTE_H
#define COWSLIPSPOKE_ROUTE_H

#include "cowslipspoke/random.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One version of what operators declare for forwarded requests: which service
   a host name and path go to, which key belongs to which organisation, and
   what callers may send.  It is built once, then read only; the traffic
   thread counts who still uses it, so that a request keeps the version under
   which it was let in.  */

/* What may be done twice.  */
typedef enum
{
  CSP_ROUTE_IDEMPOTENT, /* may run more than once */
  CSP_ROUTE_ONCE,       /* may run at most once */
  CSP_ROUTE_STREAM      /* as ONCE, and the answer is a stream of events */
} csp_route_kind_t;

enum
{
  CSP_ROUTE_SHARES_MAX = 16
};

/* A service's share of a route's requests.  */
typedef struct
{
  const char *service;
  uint32_t weight;
} csp_route_share_t;

/* Texts are copied by csp_add_route.  */
typedef struct
{
  const char *name;
  const char *host;
  const char *prefix; /* begins and ends with a slash */
  csp_route_kind_t kind;
  uint32_t timeout_ms;
  uint32_t objective_ms;
  uint32_t longest_gap_ms; /* longest pause between two events of a stream */
  uint32_t attempts_max;
  uint32_t urgency; /* 0 is the most urgent */
  bool open_to_all; /* needs no key */
  size_t share_count;
  csp_route_share_t shares[CSP_ROUTE_SHARES_MAX];
} csp_route_t;

/* Model engines have memory and batches; plain services have not.  */
typedef struct
{
  const char *name;
  bool is_engine;
  bool takes_backups; /* a run's memory can be copied as it grows */
  bool moves_runs;    /* a run's memory can be copied on demand */
  uint32_t memory_tokens;
  double copy_ms_per_token; /* of a run's memory, within a data centre */
  /* Behind its start, and behind a cordon, a target is cold for that long, and
     stands so many requests a second meanwhile; 0: any.  */
  uint32_t cold_ms;
  double cold_rate_per_s;
} csp_route_service_t;

/* What callers may send and how long they may take.  */
typedef struct
{
  uint64_t head_max_bytes;
  uint64_t body_max_bytes;
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms;
} csp_caller_limits_t;

/* Whom a key belongs to.  urgency is -1 where the route's counts.  */
typedef struct
{
  const char *name;
  int32_t urgency;
} csp_route_organisation_t;

typedef struct csp_routes csp_routes_t;

/* An empty version.  NULL when memory fails.  */
csp_routes_t *csp_create_routes (uint64_t version, csp_caller_limits_t limits);

/* Build; each false when memory fails.  A key that is added twice belongs to
   the organisation that was added last.  */
bool csp_add_service (csp_routes_t *routes,
                      const csp_route_service_t *service);
bool csp_add_route (csp_routes_t *routes, const csp_route_t *route);
bool csp_add_organisation (csp_routes_t *routes, const char *name,
                           int32_t urgency);
bool csp_add_key (csp_routes_t *routes, const char *key);

/* Sort for reading.  Nothing is added afterwards.  */
void csp_seal_routes (csp_routes_t *routes);

/* Count a further user, or one less; the last one frees it.  */
csp_routes_t *csp_hold_routes (csp_routes_t *routes);
void csp_release_routes (csp_routes_t *routes);

uint64_t csp_routes_version (const csp_routes_t *routes);
const csp_caller_limits_t *csp_routes_limits (const csp_routes_t *routes);

/* Whether keys are asked for at all.  */
bool csp_routes_have_keys (const csp_routes_t *routes);

/* The route of a host name, with or without a port, and the longest prefix
   that begins the path; NULL where there is none.  */
const csp_route_t *csp_match_route (const csp_routes_t *routes,
                                    const char *host, const char *path);

/* NULL where no organisation holds the key.  */
const csp_route_organisation_t *csp_find_key (const csp_routes_t *routes,
                                              const char *key);
const csp_route_service_t *csp_get_route_service (const csp_routes_t *routes,
                                                  const char *name);

/* The services one after another; NULL behind the last.  */
const csp_route_service_t *csp_list_route_service (const csp_routes_t *routes,
                                                   size_t index);

/* One of a route's services, drawn by weight; NULL where all weigh
   nothing.  */
const char *csp_draw_service (const csp_route_t *route, csp_random_t *random);

#endif
