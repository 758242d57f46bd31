#include "gateway/gateway-host-imp.h"
#include "gateway/gateway-target-imp.h"

/* Speeds of engines, see speed.h: what this host measures and hears, and what
   it rates while it is the decider.  */

enum
{
  SPEED_LINES_MAX = 64,
  /* A look at all targets, up to 12,000, takes a ms.  */
  LOG_CHECK_PERIOD_MS = 1000,
  PERCENT = 100
};

void
csp_fill_load_speed (const csp_fleet_target_t *target, int64_t now_ms,
                     csp_peer_load_t *load)
{
  load->event_us = csp_report_usual_us (&target->own_speed, now_ms);
  load->longest_event_us = csp_report_longest_us (&target->own_speed, now_ms);
}

void
csp_note_target_interval (csp_gateway_t *gateway, csp_fleet_target_t *target,
                          int64_t interval_ms)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  csp_peer_load_t load;

  csp_note_event_interval (&target->own_speed, (double)interval_ms, now_ms);
  csp_fill_load_speed (target, now_ms, &load);
  if (!csp_is_speed_news (load.event_us, load.longest_event_us,
                          target->reported_load.event_us,
                          target->reported_load.longest_event_us))
    return;
  csp_note_own_load_changed (gateway->fleet, target);
  csp_schedule_load_report (gateway);
}

void
csp_merge_reported_speeds (csp_gateway_t *gateway, const csp_hello_t *hello)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  size_t i;

  for (i = 0; i < hello->load_count; i++)
    {
      const csp_peer_load_t *load = &hello->loads[i];
      csp_fleet_target_t *target = NULL;

      if (load->event_us != 0)
        target = csp_find_target_by_hash (gateway->fleet, load->target);
      if (target != NULL)
        csp_merge_speed_report (&target->speed, load->event_us,
                                load->longest_event_us, now_ms);
    }
}

static bool
is_decider (const csp_gateway_t *gateway)
{
  return csp_is_same_peer (gateway->decider, gateway->self);
}

void
csp_log_speed_changes (csp_gateway_t *gateway)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  size_t count = csp_fleet_size (gateway->fleet);
  size_t i;

  if (!is_decider (gateway) || csp_count_rated_services (gateway->fleet) == 0
      || now_ms < gateway->speeds_checked_at_ms)
    return;
  gateway->speeds_checked_at_ms = now_ms + LOG_CHECK_PERIOD_MS;
  for (i = 0; i < count; i++)
    {
      csp_fleet_target_t *target = csp_fleet_at (gateway->fleet, i);
      csp_speed_t *speed = &target->speed;

      if (target->state == CSP_FLEET_GONE
          || !csp_take_speed_change (speed, now_ms))
        continue;
      CSP_LOG (gateway->log,
               speed->logged_slow ? CSP_EVENT_TARGET_SLOW
                                  : CSP_EVENT_TARGET_SPEED_USUAL,
               NULL, csp_text ("target", target->row.id),
               csp_number ("slowness_percent",
                           (int64_t)(speed->slowness * PERCENT)),
               csp_number ("event_ms", (int64_t)speed->usual_ms),
               csp_number ("reports", speed->reports),
               csp_number ("age_ms", now_ms - speed->merged_ms));
    }
}

static void
print_slow_targets (const csp_gateway_t *gateway, csp_buffer_t *text)
{
  size_t count = csp_fleet_size (gateway->fleet);
  char name[2 * CSP_TARGET_ID_BYTES + 1];
  size_t slow = 0;
  size_t i;

  csp_print_buffer (text,
                    "# TYPE cowslipspoke_gateway_target_slowness gauge\n");
  for (i = 0; i < count; i++)
    {
      const csp_fleet_target_t *target = csp_fleet_at (gateway->fleet, i);
      double slowness = csp_get_slowness (&target->speed);

      if (slowness <= 1 || target->state == CSP_FLEET_GONE
          || ++slow > SPEED_LINES_MAX)
        continue;
      csp_escape_label (target->row.id, name, sizeof name);
      csp_print_buffer (
          text, "cowslipspoke_gateway_target_slowness{target=\"%s\"} %.2f\n",
          name, slowness);
    }
  csp_print_buffer (text,
                    "# TYPE cowslipspoke_gateway_slow_targets gauge\n"
                    "cowslipspoke_gateway_slow_targets %zu\n",
                    slow);
}

void
csp_print_speeds (const csp_gateway_t *gateway, csp_buffer_t *text)
{
  size_t count = csp_count_rated_services (gateway->fleet);
  char name[2 * CSP_FLEET_NAME_BYTES + 1];
  size_t i;

  if (!is_decider (gateway))
    return;
  print_slow_targets (gateway, text);
  csp_print_buffer (text,
                    "# TYPE cowslipspoke_gateway_service_stretch gauge\n");
  for (i = 0; i < count; i++)
    {
      const csp_service_speed_t *speed
          = csp_rated_service_at (gateway->fleet, i);

      csp_escape_label (speed->service, name, sizeof name);
      csp_print_buffer (
          text, "cowslipspoke_gateway_service_stretch{service=\"%s\"} %.2f\n",
          name, speed->stretch);
    }
}
