#include "gateway/gateway-caller-imp.h"
#include "gateway/gateway-host-imp.h"

#include "cowslipspoke/hash.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Accepting requests that other hosts relay; see relay.h.  Their connections
   come to a listener of their own, and only from addresses of hosts that are
   live, so that callers can't use it.  */

enum
{
  LISTEN_BACKLOG = 128,
  HEXADECIMAL = 16,
  STATUS_BAD_REQUEST = 400,
  STATUS_UNAVAILABLE = 503
};

/* Whether the other end of a connection is a live host.  */
static bool
is_from_host (csp_caller_t *caller)
{
  struct sockaddr_in address = { 0 };
  int size_bytes = sizeof address;
  const csp_peer_address_t *host;

  if (uv_tcp_getpeername (&caller->tcp, (struct sockaddr *)&address,
                          &size_bytes)
      != 0)
    return false;
  host = csp_find_live_host_by_ip (caller->gateway->roster,
                                   ntohl (address.sin_addr.s_addr));
  if (host != NULL)
    caller->relayed_from = *host;
  return host != NULL;
}

static void
on_connection (uv_stream_t *listener, int status)
{
  csp_gateway_t *gateway = listener->data;
  csp_caller_t *caller;

  if (status != 0)
    return;
  caller = csp_accept_caller (gateway, listener);
  if (caller == NULL)
    return;
  caller->is_relay = true;
  if (is_from_host (caller))
    return;
  gateway->counts.relay_strangers++;
  csp_close_caller (caller);
}

/* Targets that have announced to the offering host that they leave.  */
static void
note_offered_leaving (csp_gateway_t *gateway, const char *offer)
{
  static const char field[] = "; leaving=";
  const char *at = strstr (offer, field);
  char *end = NULL;

  for (at = at == NULL ? "" : at + strlen (field); *at != '\0';
       at = *end == ',' ? end + 1 : "")
    {
      csp_fleet_target_t *target = csp_find_target_by_hash (
          gateway->fleet, strtoull (at, &end, HEXADECIMAL));

      if (target != NULL)
        csp_note_target_leaves (gateway->fleet, target);
    }
}

/* How many targets the offering host reaches.  An older host says "some" or
   "none".  */
static size_t
read_offered_reached (const char *offer)
{
  static const char field[] = "; reached=";
  const char *at = strstr (offer, field);

  if (at == NULL)
    return 0;
  at += strlen (field);
  return strncmp (at, "some", strlen ("some")) == 0 ? SIZE_MAX
                                                    : strtoul (at, NULL, 10);
}

static void
note_reached_targets (const csp_gateway_t *gateway, uint32_t hash,
                      const char *offer, csp_offer_facts_t *facts)
{
  const csp_route_service_t *service
      = csp_find_service_by_hash (gateway, hash);

  facts->service_reached
      = csp_is_service_reached (gateway->service_reach, hash);
  if (service == NULL)
    return;
  facts->reaches_most
      = csp_reaches_most_targets (gateway->fleet, service->name);
  facts->reached = csp_count_reached_targets (gateway->fleet, service->name);
  facts->offered_reached = read_offered_reached (offer);
}

static csp_offer_result_t
judge_offer (csp_gateway_t *gateway, const char *offer)
{
  unsigned service = 0;
  unsigned long long version = 0;
  csp_offer_facts_t facts
      = { .stopping = gateway->stopping,
          .has_routes = gateway->routes != NULL && gateway->targets_listed,
          .relayed_count = gateway->relayed_count };

  if (sscanf (offer, "offer; service=%8x; routes=%llu", &service, &version)
      != 2)
    return CSP_OFFER_BAD;
  note_offered_leaving (gateway, offer);
  facts.offered_version = version;
  if (facts.has_routes)
    facts.routes_version = csp_routes_version (gateway->routes);
  note_reached_targets (gateway, service, offer, &facts);
  return csp_judge_offer (&facts);
}

static void
answer_offer (csp_caller_t *caller, csp_offer_result_t result)
{
  caller->relay_answer = csp_offer_result_name (result);
  if (result == CSP_OFFER_ACCEPTED)
    csp_answer_caller_without_body (caller);
  else
    csp_answer_caller (caller, STATUS_UNAVAILABLE, 0, "the offer is refused");
}

bool
csp_handle_relay_offer (csp_caller_t *caller)
{
  const char *field = csp_find_http_field (csp_caller_request_head (caller),
                                           CSP_RELAY_FIELD);

  caller->relay_answer = CSP_RELAY_REFUSED;
  if (field != NULL && strcmp (field, "request") == 0)
    return false;
  if (field == NULL)
    csp_answer_caller (caller, STATUS_BAD_REQUEST, 0, "not a relayed request");
  else
    answer_offer (caller, judge_offer (caller->gateway, field));
  return true;
}

bool
csp_open_relay (csp_gateway_t *gateway, char *message, size_t message_bytes)
{
  struct sockaddr_in address = gateway->settings.relay_address;
  int size_bytes = sizeof address;
  int fault;

  uv_tcp_init (&gateway->loop, &gateway->relay_listener);
  gateway->relay_listener.data = gateway;
  if (address.sin_family == 0)
    return true;
  fault = uv_tcp_bind (&gateway->relay_listener,
                       (const struct sockaddr *)&address, 0);
  if (fault == 0)
    fault = uv_listen ((uv_stream_t *)&gateway->relay_listener, LISTEN_BACKLOG,
                       on_connection);
  if (fault != 0)
    {
      snprintf (message, message_bytes,
                "can't listen for relayed requests at port %u: %s",
                ntohs (address.sin_port), uv_strerror (fault));
      return false;
    }
  uv_tcp_getsockname (&gateway->relay_listener, (struct sockaddr *)&address,
                      &size_bytes);
  gateway->relay_port = ntohs (address.sin_port);
  return true;
}

void
csp_add_relay_to_hello (const csp_gateway_t *gateway, csp_hello_t *hello)
{
  hello->relay_port = gateway->relay_port;
  hello->unreached_count = csp_list_unreached_services (
      gateway->service_reach, hello->unreached, CSP_HELLO_UNREACHED_MAX);
}
