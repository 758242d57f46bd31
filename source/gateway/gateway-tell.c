#include "gateway/gateway-damping-imp.h"
#include "gateway/gateway-host-imp.h"
#include "gateway/gateway-target-imp.h"

#include <string.h>

/* Sending this host's loads to the deciders.

   Load pattern: hundreds of hosts, each of which begins and ends requests all
   the time.  If each change went to all hosts, it would take hundreds of
   datagrams, and the load of the busiest host would grow with the square of
   their number.  Only the decider needs each change; the others ask it.  So a
   change goes to at most three hosts: the decider, the next in line, and the
   first of this data centre.  */

enum
{
  /* Changes within this time are sent together.  The decider places requests
     without the changes it doesn't know yet: at 91 hosts and 60 prompts a
     second the median time to the first token was 973 ms with a delay of 91
     ms, and 695 ms with 2 ms.  */
  LOAD_REPORT_DELAY_MS = 2,
  /* Interval at which all loads are sent again, since datagrams may be
     lost.  */
  FULL_REPORT_PERIOD_MS = 1000
};

static csp_peer_load_t
make_load (const csp_gateway_t *gateway, const csp_fleet_target_t *target)
{
  csp_peer_load_t load
      = { .target = target->hash,
          .requests = target->own.requests,
          .tokens = (uint32_t)target->own.tokens,
          .backup_tokens = (uint32_t)target->own.backup_tokens,
          .prefill_tokens = (uint32_t)target->own.prefill_tokens,
          .movable_tokens = (uint32_t)target->own.movable_tokens };

  csp_fill_load_speed (target, csp_gateway_now_ms (gateway), &load);
  csp_fill_load_failures (gateway, target, &load);
  return load;
}

/* A speed that changes a little is reported along with other changes.  */
static bool
is_same_load (const csp_peer_load_t *load, const csp_peer_load_t *reported)
{
  return load->requests == reported->requests
         && load->tokens == reported->tokens
         && load->backup_tokens == reported->backup_tokens
         && load->prefill_tokens == reported->prefill_tokens
         && load->movable_tokens == reported->movable_tokens
         && load->failures == reported->failures
         && !csp_is_speed_news (load->event_us, load->longest_event_us,
                                reported->event_us,
                                reported->longest_event_us);
}

/* This host may be the decider, or become it.  */
static void
merge_own_speed (csp_fleet_target_t *target, const csp_peer_load_t *load,
                 int64_t now_ms)
{
  csp_merge_speed_report (&target->speed, load->event_us,
                          load->longest_event_us, now_ms);
}

/* Three quarters of all requests go to plain services, end there within some
   30 ms, and are not placed by the decider, so it doesn't need their loads. */
static bool
is_placed_by_decider (const csp_fleet_target_t *target,
                      const csp_peer_load_t *load)
{
  return target->is_engine || load->backup_tokens > 0
         || target->reported_load.backup_tokens > 0;
}

/* Add a load to a hello, which is sent once it is full.  */
static void
add_load (csp_gateway_t *gateway, csp_hello_t *hello,
          const csp_peer_load_t *load, const csp_peer_address_t *peers,
          size_t peer_count)
{
  hello->loads[hello->load_count++] = *load;
  if (hello->load_count < CSP_HELLO_LOADS_MAX)
    return;
  csp_send_hello (gateway, hello, peers, peer_count);
  memset (hello, 0, sizeof *hello);
}

/* Send all of this host's loads.  Without any, an empty report replaces the
   one before.  */
static void
report_all_loads (csp_gateway_t *gateway, const csp_peer_address_t *peers,
                  size_t peer_count)
{
  size_t count = csp_fleet_size (gateway->fleet);
  csp_hello_t hello = { .is_full_report = true,
                        .decider = csp_pack_peer (gateway->decider) };
  int64_t now_ms = csp_gateway_now_ms (gateway);
  size_t i;

  for (i = 0; i < count; i++)
    {
      csp_fleet_target_t *target = csp_fleet_at (gateway->fleet, i);
      csp_peer_load_t load = make_load (gateway, target);

      if ((load.requests == 0 && load.backup_tokens == 0
           && !csp_reports_recent_failure (&load))
          || !is_placed_by_decider (target, &load))
        continue;
      merge_own_speed (target, &load, now_ms);
      add_load (gateway, &hello, &load, peers, peer_count);
    }
  if (hello.load_count > 0 || hello.is_full_report)
    csp_send_hello (gateway, &hello, peers, peer_count);
}

void
csp_report_changed_loads (csp_gateway_t *gateway)
{
  csp_hello_t hello = { .is_full_report = false };
  int64_t now_ms = csp_gateway_now_ms (gateway);
  csp_fleet_target_t *target;

  while ((target = csp_take_changed_load (gateway->fleet)) != NULL)
    {
      csp_peer_load_t load = make_load (gateway, target);

      if (is_same_load (&load, &target->reported_load)
          || !is_placed_by_decider (target, &load))
        continue;
      target->reported_load = load;
      merge_own_speed (target, &load, now_ms);
      add_load (gateway, &hello, &load, gateway->deciders,
                gateway->decider_count);
    }
  if (hello.load_count > 0)
    csp_send_hello (gateway, &hello, gateway->deciders,
                    gateway->decider_count);
}

static void
on_load_report_timer (uv_timer_t *timer)
{
  csp_report_changed_loads (timer->data);
}

void
csp_schedule_load_report (csp_gateway_t *gateway)
{
  if (!uv_is_active ((uv_handle_t *)&gateway->load_report_timer))
    uv_timer_start (&gateway->load_report_timer, on_load_report_timer,
                    LOAD_REPORT_DELAY_MS, 0);
}

static bool
gets_load_reports (const csp_gateway_t *gateway, csp_peer_address_t host)
{
  size_t i;

  for (i = 0; i < gateway->decider_count; i++)
    if (csp_is_same_peer (gateway->deciders[i], host))
      return true;
  return false;
}

/* Send all loads at once to a new decider: it may have to decide
   immediately.  */
static void
report_to_new_deciders (csp_gateway_t *gateway,
                        const csp_peer_address_t *hosts, size_t count)
{
  size_t i;

  for (i = 0; i < count; i++)
    if (!gets_load_reports (gateway, hosts[i]))
      report_all_loads (gateway, &hosts[i], 1);
}

void
csp_choose_deciders (csp_gateway_t *gateway)
{
  csp_peer_address_t hosts[CSP_DECIDERS_MAX];
  size_t count = csp_list_deciders (gateway->roster, hosts);
  csp_peer_address_t decider = csp_pick_decider (gateway->roster);
  int64_t now_ms = csp_gateway_now_ms (gateway);

  if (!csp_is_same_peer (decider, gateway->decider))
    {
      char address[CSP_PEER_TEXT_BYTES];

      gateway->decider_since_ms = now_ms;
      csp_format_peer (decider, address);
      CSP_LOG (gateway->log, CSP_EVENT_DECIDER_CHOSEN, NULL,
               csp_text ("host", address),
               csp_number ("is_this_host",
                           csp_is_same_peer (decider, gateway->self)));
    }
  gateway->decider = decider;
  csp_note_decider_change (gateway);
  if (now_ms >= gateway->full_report_at_ms)
    {
      gateway->full_report_at_ms = now_ms + FULL_REPORT_PERIOD_MS;
      report_all_loads (gateway, hosts, count);
    }
  else
    report_to_new_deciders (gateway, hosts, count);
  memcpy (gateway->deciders, hosts, sizeof hosts);
  gateway->decider_count = count;
}

void
csp_open_load_reports (csp_gateway_t *gateway)
{
  gateway->decider = gateway->self;
  gateway->decider_since_ms = csp_gateway_now_ms (gateway);
  uv_timer_init (&gateway->loop, &gateway->load_report_timer);
  gateway->load_report_timer.data = gateway;
}
