#ifndef COWSLIPSPOKE_SERVICE_REACH_H
#define COWSLIPSPOKE_SERVICE_REACH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Detects which services this host reaches no target of, from the outcomes of
   its own new connections.

   Load pattern: a host is partitioned from all targets of a service, also from
   those of its own data centre, while callers, the platform and other hosts
   still reach it.  New connections are refused, hang, or are accepted and
   reset; older ones may live on, so that an answer over an older one proves
   nothing about new ones.  A host that doesn't detect this spends the time of
   each request on connections that fail.

   A service counts as unreached once new connections to two of its targets, or
   to its only one, have failed within two seconds and none has succeeded
   since.  Two targets that end at the same time look the same until a
   connection to a third one succeeds.  While another service is unreached and
   no new connection to any service has succeeded since, the failure of a
   single target is enough: a host with few requests may try only one for
   seconds.  An unreached service is probed periodically; an answer to a probe
   makes it reached again.  */

typedef struct csp_service_reach csp_service_reach_t;

/* NULL when out of memory.  Services are identified by a hash of their
   names.  */
csp_service_reach_t *csp_create_service_reach (void);
void csp_destroy_service_reach (csp_service_reach_t *reach);

/* Records that a target answered over a new connection.  */
void csp_note_connection_answered (csp_service_reach_t *reach,
                                   uint32_t service);

/* Records that a new connection to a target failed.  ready_count: the
   service's targets that take new requests.  */
void csp_note_connection_failed (csp_service_reach_t *reach, uint32_t service,
                                 uint64_t target, size_t ready_count,
                                 int64_t now_ms);

bool csp_is_service_reached (const csp_service_reach_t *reach,
                             uint32_t service);

/* Whether connections to two targets have failed, so that the fault is
   probably on this host's side.  */
bool csp_has_lost_paths (const csp_service_reach_t *reach, uint32_t service);

/* Whether the state of the service has changed since the last call.  */
bool csp_take_service_reach_change (csp_service_reach_t *reach,
                                    uint32_t service);

/* Writes the services that are unreached, at most max_count; returns how many
   were written.  */
size_t csp_list_unreached_services (const csp_service_reach_t *reach,
                                    uint32_t *services, size_t max_count);

/* Whether probes of an unreached service are due.  If so, they count as
   sent.  */
bool csp_take_service_probe (csp_service_reach_t *reach, uint32_t service,
                             int64_t now_ms);

#endif
