#ifndef COWSLIPSPOKE_GATEWAY_HOST_IMP_H
#define COWSLIPSPOKE_GATEWAY_HOST_IMP_H

#include "gateway/gateway-imp.h"

/* What hosts tell each other, and what the decider does.  */

/* Grants: see gateway-grant.c.  Handle other hosts' requests for grants, and
   the answers to those of this host.  */
void csp_handle_grant_hello (csp_gateway_t *gateway, csp_peer_address_t from,
                             const csp_hello_t *hello);

/* A request was sent to a rate limited target without a grant.  */
void csp_report_ungranted_request (csp_gateway_t *gateway,
                                   csp_fleet_target_t *target);

/* Another host reports targets that leave.  */
void csp_handle_leaving_notices (csp_gateway_t *gateway,
                                 const csp_hello_t *hello);
void csp_cancel_status_queries (csp_gateway_t *gateway);

/* Relay: see gateway-relay-accept.c.  Open the listener for other hosts.  */
bool csp_open_relay (csp_gateway_t *gateway, char *message,
                     size_t message_bytes);

/* Report in a hello where and for which services this host accepts relayed
   requests.  */
void csp_add_relay_to_hello (const csp_gateway_t *gateway, csp_hello_t *hello);

/* Peers: see gateway-peers.c.  False when the port can't be opened or
   memory fails.  */
bool csp_open_gateway_peers (csp_gateway_t *gateway);
void csp_stop_gateway_peers (csp_gateway_t *gateway);
void csp_close_gateway_peers (csp_gateway_t *gateway);

/* Count the loads that other hosts have already reported for a target that is
   new here.  */
void csp_count_reported_loads (csp_gateway_t *gateway, const char *id);

/* Send one datagram to each of the given hosts.  */
void csp_send_hello (csp_gateway_t *gateway, csp_hello_t *hello,
                     const csp_peer_address_t *peers, size_t peer_count);

/* Send one datagram to each live host.  */
void csp_broadcast_hello (csp_gateway_t *gateway, csp_hello_t *hello);

/* Notices: see gateway-notice.c.  False when there are too many; they have to
   be taken first.  */
bool csp_add_notice (csp_notices_t *notices, uint64_t target);

/* Write the targets that are due, in order to send notices of them.  Returns
   how many.  */
size_t csp_take_notices (csp_notices_t *notices,
                         uint64_t targets[CSP_NOTICES_MAX]);

/* Dispatch: see gateway-dispatch.c.  */
void csp_deliver_ask_answer (void *state, const csp_ask_answer_t *answer);
void csp_handle_dispatch_hello (csp_gateway_t *gateway,
                                csp_peer_address_t from,
                                const csp_hello_t *hello);

/* Handle the decider's answer to an ask of this host.  */
void csp_handle_ask_answer (csp_gateway_t *gateway,
                            const csp_ask_answer_t *answer);

/* Lease: see gateway-lease.c.  Handle the decider's answer to a request for
   leases.  */
void csp_handle_lease (csp_gateway_t *gateway, const csp_hello_lease_t *lease);

/* Decide: see gateway-decide.c.  An answer of this host, as the decider, to
   itself.  */
typedef enum
{
  CSP_OWN_ASK,
  CSP_OWN_LEASE
} csp_own_answer_kind_t;

typedef struct
{
  csp_own_answer_kind_t kind;
  union
  {
    csp_ask_answer_t ask;
    csp_hello_lease_t lease;
  } value;
} csp_own_answer_t;

void csp_open_decisions (csp_gateway_t *gateway);
void csp_stop_decisions (csp_gateway_t *gateway);

/* Soon, from the loop: handle an answer; place waiting asks where capacity has
   become free; and start moves.  */
void csp_queue_own_answer (csp_gateway_t *gateway,
                           const csp_own_answer_t *answer);
void csp_schedule_placements (csp_gateway_t *gateway);
void csp_schedule_moves (csp_gateway_t *gateway);

/* Find a service by the hash of its name; NULL where no route uses it.  */
const csp_route_service_t *
csp_find_service_by_hash (const csp_gateway_t *gateway, uint32_t hash);

/* Lease: see gateway-lease.c.  Handle other hosts' lease requests, and the
   leases granted to this host.  */
void csp_handle_lease_hello (csp_gateway_t *gateway, csp_peer_address_t from,
                             const csp_hello_t *hello);

/* The decider has changed.  */
void csp_note_decider_change (csp_gateway_t *gateway);

/* Whether this host is the decider, and for which part of the fleet.  */
csp_decider_role_t csp_get_decider_role (const csp_gateway_t *gateway);

/* Update for which part of the fleet this host decides; cold targets are
   bounded by that part.  Call it periodically.  */
void csp_update_decider_role (csp_gateway_t *gateway);

/* Quarantine: see gateway-quarantine.c.  Send new strikes to all hosts.  Call
   it periodically.  */
void csp_broadcast_suspects (csp_gateway_t *gateway);

/* Add some suspects to a periodic hello.  */
void csp_add_suspects_to_hello (csp_gateway_t *gateway, csp_hello_t *hello);

/* Parts: see gateway-part.c.  Begin and broadcast the holds that are due, and
   broadcast this host's strikes.  Call it periodically.  */
void csp_update_held_parts (csp_gateway_t *gateway);
void csp_add_held_parts_to_hello (csp_gateway_t *gateway, csp_hello_t *hello);
void csp_handle_part_hello (csp_gateway_t *gateway, csp_peer_address_t from,
                            const csp_hello_t *hello);

/* Handle the suspects of another host, and the requests that it has
   cleared.  */
void csp_handle_suspects (csp_gateway_t *gateway, csp_peer_address_t from,
                          const csp_hello_t *hello);

/* Load reports: see gateway-tell.c.  Schedule a report of this host's changed
   load to the deciders, sent after a short delay.  */
void csp_open_load_reports (csp_gateway_t *gateway);
void csp_schedule_load_report (csp_gateway_t *gateway);
void csp_report_changed_loads (csp_gateway_t *gateway);

/* Update the list of deciders; a new one is sent all loads.  */
void csp_choose_deciders (csp_gateway_t *gateway);

#endif
