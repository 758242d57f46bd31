#ifndef COWSLIPSPOKE_ROUTE_H
#define COWSLIPSPOKE_ROUTE_H

#include "cowslipspoke/random.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The routing table: one version of the operators' configuration for forwarded
   requests.  It maps host name and path to services and keys to organisations,
   and limits what callers may send.  It is read-only once it is built.  The
   traffic thread counts references to it, so that a request keeps the version
   under which it was admitted.  */

/* Whether a request may run twice, which decides about retries.  */
typedef enum
{
  CSP_ROUTE_IDEMPOTENT,   /* may run more than once */
  CSP_ROUTE_AT_MOST_ONCE, /* may run at most once */
  CSP_ROUTE_STREAM        /* at most once; the response is an event stream */
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

/* A route.  csp_add_route copies the strings.  */
typedef struct
{
  const char *name;
  const char *host;
  const char *prefix; /* begins and ends with a slash */
  csp_route_kind_t kind;
  uint32_t timeout_ms;
  uint32_t objective_ms;   /* latency objective; 0: none */
  uint32_t longest_gap_ms; /* longest pause between two events of a stream */
  uint32_t attempts_max;
  uint32_t urgency;      /* 0 is the most urgent */
  bool allows_anonymous; /* needs no key */
  /* Event streams only: a lost request may run again, and a stream may be
     resumed at another target without a copy of its run.  */
  bool resumable;
  size_t share_count;
  csp_route_share_t shares[CSP_ROUTE_SHARES_MAX];
} csp_gateway_route_t;

/* A service: a model engine, which has KV memory and batches requests, or a
   plain service, for which the fields on memory and copies are unused.  */
typedef struct
{
  const char *name;
  bool is_engine;
  bool supports_kv_backups; /* a stream's KV memory can be backed up as it
                               grows */
  bool supports_kv_moves;   /* a stream's KV memory can be copied on demand */
  /* Path of its targets' health checks; NULL: none is declared.  */
  const char *health_path;
  uint32_t memory_tokens;
  /* The time to copy a stream's KV memory within a data centre.  */
  double copy_ms_per_token;
  /* A target is cold for cold_ms after its start and after a cordon is lifted.
     While cold it can handle only cold_rate_per_s requests a second; 0: no
     limit.  */
  uint32_t cold_ms;
  double cold_rate_per_s;
  /* Of the routes with event streams to this service, set by csp_seal_routes;
     0: none declares one.  */
  uint32_t shortest_objective_ms;
  uint32_t longest_objective_ms;
  uint32_t shortest_gap_limit_ms; /* the shortest longest_gap_ms */
} csp_route_service_t;

/* What callers may send and how long they may take.  */
typedef struct
{
  uint64_t head_max_bytes;
  uint64_t body_max_bytes;
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms;
} csp_caller_limits_t;

/* An organisation, which owns keys.  With urgency -1 the route's urgency
   applies.  */
typedef struct
{
  const char *name;
  int32_t urgency;
} csp_route_organisation_t;

typedef struct csp_routes csp_routes_t;

/* Create an empty version with one reference.  NULL when out of memory.  */
csp_routes_t *csp_create_routes (uint64_t version, csp_caller_limits_t limits);

/* Add to a version that isn't sealed yet.  False when out of memory.  A key
   belongs to the organisation that was added last before it, and is refused if
   there is none.  A key that is added twice belongs to the later
   organisation.  */
bool csp_add_service (csp_routes_t *routes,
                      const csp_route_service_t *service);
bool csp_add_route (csp_routes_t *routes, const csp_gateway_route_t *route);
bool csp_add_organisation (csp_routes_t *routes, const char *name,
                           int32_t urgency);
bool csp_add_key (csp_routes_t *routes, const char *key);

/* Sort the tables for lookups.  Nothing may be added afterwards.  */
void csp_seal_routes (csp_routes_t *routes);

/* Add or drop a reference; dropping the last one frees the version.  */
csp_routes_t *csp_retain_routes (csp_routes_t *routes);
void csp_release_routes (csp_routes_t *routes);

uint64_t csp_routes_version (const csp_routes_t *routes);
const csp_caller_limits_t *csp_routes_limits (const csp_routes_t *routes);

/* Whether callers need keys: true if any organisation is declared.  */
bool csp_routes_require_keys (const csp_routes_t *routes);

/* The route for a host name, with or without a port, that has the longest
   matching prefix of the path; NULL if there is none.  */
const csp_gateway_route_t *csp_match_route (const csp_routes_t *routes,
                                            const char *host,
                                            const char *path);

/* The organisation that owns a key; NULL if there is none.  */
const csp_route_organisation_t *csp_find_key_owner (const csp_routes_t *routes,
                                                    const char *key);

/* The service with this name; NULL if there is none.  */
const csp_route_service_t *csp_find_route_service (const csp_routes_t *routes,
                                                   const char *name);

/* The service at an index; NULL past the last one.  */
const csp_route_service_t *
csp_get_route_service_at (const csp_routes_t *routes, size_t index);

/* Pick one of a route's services at random, in proportion to their weights;
   NULL if all weights are 0.  */
const char *csp_pick_weighted_service (const csp_gateway_route_t *route,
                                       csp_random_t *random);

#endif
