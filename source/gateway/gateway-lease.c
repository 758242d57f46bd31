#include "gateway/gateway-exchange-imp.h"

#include "cowslipspoke/hash.h"

#include <string.h>

/* Leases of retries, see retry-lease.h.  A host that has spent its own retries
   asks the decider for more and holds its failed requests for the short time
   that takes; callers still have most of their time left.  */

enum
{
  /* A round trip between hosts and a short delay at a busy host.  */
  LEASE_WAIT_MS = 60,
  /* A lease request or its answer may be lost.  */
  LEASE_RESEND_MS = 25
};

static uint32_t
hash_of_service (const char *service)
{
  return (uint32_t)csp_hash_pair ("service", service);
}

static csp_lease_facts_t
collect_lease_facts (const csp_gateway_t *gateway)
{
  csp_lease_facts_t facts = {
    .hosts_asking = csp_count_asking_hosts (gateway->roster),
    .hosts_known = csp_count_known_hosts (gateway->roster),
    .data_centres_live = csp_count_reachable_data_centres (gateway->roster),
    .data_centres_listed = csp_count_target_data_centres (gateway->fleet)
  };

  return facts;
}

csp_decider_role_t
csp_get_decider_role (const csp_gateway_t *gateway)
{
  csp_decider_role_t role
      = { .decides = csp_is_same_peer (gateway->decider, gateway->self),
          .decides_since_ms = gateway->decider_since_ms };

  if (role.decides)
    role.fleet = collect_lease_facts (gateway);
  return role;
}

void
csp_update_decider_role (csp_gateway_t *gateway)
{
  csp_decider_role_t role = csp_get_decider_role (gateway);

  csp_set_decider_role (gateway->dispatch, &role);
}

static uint32_t
grant_leases (csp_gateway_t *gateway, csp_service_budget_t *row,
              uint32_t wanted)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  csp_lease_facts_t facts = collect_lease_facts (gateway);
  uint32_t granted;

  csp_set_lease_decider (&row->leases,
                         csp_is_same_peer (gateway->decider, gateway->self),
                         now_ms);
  granted = csp_grant_leases (&row->leases, &facts, wanted, now_ms);
  gateway->counts.retries_lent += granted;
  CSP_LOG (gateway->log, CSP_EVENT_RETRIES_LENT, NULL,
           csp_text ("service", row->service), csp_number ("wanted", wanted),
           csp_number ("granted", granted),
           csp_number ("leased",
                       csp_count_outstanding_leases (&row->leases, now_ms)),
           csp_number ("hosts_asking", (int64_t)facts.hosts_asking),
           csp_number ("hosts_known", (int64_t)facts.hosts_known));
  return granted;
}

static bool
awaits_lease_of (const csp_exchange_t *exchange,
                 const csp_service_budget_t *row)
{
  return exchange->awaits_lease
         && strcmp (exchange->service->name, row->service) == 0;
}

static uint32_t
count_awaiting_lease (const csp_gateway_t *gateway,
                      const csp_service_budget_t *row)
{
  const csp_exchange_t *exchange;
  uint32_t count = 0;

  for (exchange = csp_first_exchange (gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    count += awaits_lease_of (exchange, row);
  return count;
}

/* Send waiting requests again as far as the lease allows.  Without a lease all
   of them fail at once: retries become free only after seconds.  */
static void
use_lease (csp_gateway_t *gateway, csp_service_budget_t *row, uint32_t amount)
{
  csp_exchange_t *exchange;

  row->lease_request_id = 0;
  csp_take_retry_lease (&row->budget, amount,
                        row->lease_requested_ms + CSP_LEASE_MS);
  for (exchange = csp_first_exchange (gateway);
       exchange != NULL && (amount == 0 || row->budget.leased > 0);
       exchange = csp_next_exchange (exchange))
    if (awaits_lease_of (exchange, row))
      {
        exchange->awaits_lease = false;
        uv_timer_stop (&exchange->move.timer);
        csp_retry_or_fail (exchange, exchange->lease_reason,
                           exchange->lease_detail, false);
      }
}

/* Request leases for all requests that wait now; later ones cause a new lease
   request.  */
static void
request_lease (csp_gateway_t *gateway, csp_service_budget_t *row)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  uint32_t wanted = count_awaiting_lease (gateway, row);
  csp_hello_lease_t lease = { .service = hash_of_service (row->service) };

  if (wanted == 0
      || (row->lease_request_id != 0
          && now_ms - row->lease_requested_ms < LEASE_RESEND_MS))
    return;
  row->lease_request_id = ++gateway->next_ask_id;
  row->lease_requested_ms = now_ms;
  lease.id = row->lease_request_id;
  if (csp_is_same_peer (gateway->decider, gateway->self))
    {
      lease.amount = grant_leases (gateway, row, wanted);
      csp_queue_own_answer (
          gateway, &(csp_own_answer_t){ .kind = CSP_OWN_LEASE,
                                        .value = { .lease = lease } });
    }
  else
    {
      csp_hello_t hello = { .lease_request_count = 1 };

      lease.amount = wanted;
      hello.lease_requests[0] = lease;
      csp_send_hello (gateway, &hello, &gateway->decider, 1);
    }
}

static void
on_lease_timer (uv_timer_t *timer)
{
  csp_exchange_t *exchange = timer->data;
  int64_t now_ms = csp_gateway_now_ms (exchange->gateway);

  if (exchange->ended || !exchange->awaits_lease)
    return;
  if (now_ms < exchange->lease_until_ms)
    {
      uv_timer_start (&exchange->move.timer, on_lease_timer, LEASE_RESEND_MS,
                      0);
      request_lease (exchange->gateway,
                     csp_find_service_budget (exchange->gateway,
                                              exchange->service->name));
      return;
    }
  exchange->awaits_lease = false;
  csp_fail_exchange (exchange, exchange->lease_reason, exchange->lease_detail);
}

void
csp_await_lease (csp_exchange_t *exchange, csp_reason_t reason,
                 const char *detail)
{
  csp_gateway_t *gateway = exchange->gateway;
  csp_service_budget_t *row
      = csp_find_service_budget (gateway, exchange->service->name);

  if (row->leases.policy.max_per_window == 0)
    {
      csp_fail_exchange (exchange, reason, detail);
      return;
    }
  exchange->failed_target = exchange->target;
  csp_drop_attempt (exchange);
  exchange->awaits_lease = true;
  exchange->lease_reason = reason;
  exchange->lease_detail = detail;
  exchange->lease_until_ms = csp_gateway_now_ms (gateway) + LEASE_WAIT_MS;
  uv_timer_start (&exchange->move.timer, on_lease_timer, LEASE_RESEND_MS, 0);
  request_lease (gateway, row);
}

static void
answer_lease_request (csp_gateway_t *gateway, csp_peer_address_t from,
                      const csp_hello_lease_t *want)
{
  const csp_route_service_t *service
      = csp_find_service_by_hash (gateway, want->service);
  csp_hello_t hello = { .lease_count = 1, .leases = { *want } };

  if (service == NULL)
    return;
  hello.leases[0].amount = grant_leases (
      gateway, csp_find_service_budget (gateway, service->name), want->amount);
  csp_send_hello (gateway, &hello, &from, 1);
}

void
csp_handle_lease (csp_gateway_t *gateway, const csp_hello_lease_t *lease)
{
  csp_service_budget_t *row = gateway->budgets;

  while (row != NULL && row->lease_request_id != lease->id)
    row = row->next;
  if (row != NULL && lease->id != 0)
    use_lease (gateway, row, lease->amount);
}

void
csp_handle_lease_hello (csp_gateway_t *gateway, csp_peer_address_t from,
                        const csp_hello_t *hello)
{
  size_t i;

  for (i = 0; i < hello->lease_request_count; i++)
    answer_lease_request (gateway, from, &hello->lease_requests[i]);
  for (i = 0; i < hello->lease_count; i++)
    csp_handle_lease (gateway, &hello->leases[i]);
}

void
csp_note_decider_change (csp_gateway_t *gateway)
{
  bool decides = csp_is_same_peer (gateway->decider, gateway->self);
  csp_service_budget_t *row;

  for (row = gateway->budgets; row != NULL; row = row->next)
    csp_set_lease_decider (&row->leases, decides,
                           csp_gateway_now_ms (gateway));
  csp_update_decider_role (gateway);
}
