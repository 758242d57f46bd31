#include "gateway/gateway-target-imp.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Readiness for the balancer and metrics for operators.  */

enum
{
  STATUS_OK = 200,
  STATUS_UNAVAILABLE = 503,
  RATE_LIMIT_LINES_MAX = 64
};

static uint64_t
count_unreached_services (const csp_gateway_t *gateway)
{
  uint32_t services[CSP_UNREACHED_SERVICES_MAX];

  return csp_list_unreached_services (gateway->service_reach, services,
                                      CSP_UNREACHED_SERVICES_MAX);
}

typedef struct
{
  const char *name;
  const char *kind;
  uint64_t value;
} metric_row_t;

static void
print_rows (csp_buffer_t *text, const metric_row_t *rows, size_t count)
{
  size_t i;

  for (i = 0; i < count; i++)
    csp_print_buffer (text,
                      "# TYPE cowslipspoke_gateway_%s %s\n"
                      "cowslipspoke_gateway_%s %llu\n",
                      rows[i].name, rows[i].kind, rows[i].name,
                      (unsigned long long)rows[i].value);
}

/* What this host's link carries, and how late the host is.  */
static void
print_load (const csp_gateway_t *gateway, csp_buffer_t *text)
{
  const csp_stream_counts_t *streams = &gateway->stream_counts;
  int64_t now_ms = csp_gateway_now_ms (gateway);
  const metric_row_t rows[] = {
    { "link_full", "gauge", csp_is_link_full (gateway->link_load) },
    { "link_refused_total", "counter", gateway->counts.link_refused },
    { "sent_bytes_total", "counter", streams->written_bytes },
    { "received_bytes_total", "counter", streams->read_bytes },
    { "sent_bytes_per_second", "gauge",
      csp_get_sent_bytes_per_s (gateway->link_load) },
    { "received_bytes_per_second", "gauge",
      csp_get_received_bytes_per_s (gateway->link_load) },
    { "unsent_bytes", "gauge", csp_count_unsent_bytes (gateway) },
    { "link_delay_ms", "gauge",
      csp_get_link_delay_ms (gateway->host_delay, now_ms) },
    { "loop_delay_ms", "gauge",
      csp_get_loop_delay_ms (gateway->host_delay, now_ms) },
  };

  print_rows (text, rows, sizeof rows / sizeof rows[0]);
}

static void
print_metrics (const csp_gateway_t *gateway, csp_buffer_t *text)
{
  const csp_gateway_counts_t *counts = &gateway->counts;
  bool decides = csp_is_same_peer (gateway->decider, gateway->self);
  const metric_row_t rows[] = {
    { "requests_total", "counter", counts->requests },
    { "answered_total", "counter", counts->answered },
    { "refused_total", "counter", counts->refused },
    { "failed_total", "counter", counts->failed },
    { "abandoned_total", "counter", counts->abandoned },
    { "retries_total", "counter", counts->retries },
    { "stream_moves_total", "counter", counts->moves },
    { "stream_moves_failed_total", "counter", counts->moves_failed },
    { "streams_resumed_total", "counter", counts->resumes },
    { "runs_left_total", "counter", counts->runs_left },
    { "runs_left_unproven_total", "counter", counts->runs_left_unproven },
    { "targets_left_total", "counter", counts->targets_left },
    { "entries_refused_total", "counter", counts->entries_refused },
    { "streams_lost_total", "counter", counts->streams_lost },
    { "left_runs_stopped_total", "counter", counts->left_runs_stopped },
    { "caller_connections_total", "counter", counts->connections },
    { "target_connections_total", "counter", counts->link_opens },
    { "target_connections_failed_total", "counter", counts->links_failed },
    { "relays_total", "counter", counts->relays },
    { "relays_refused_total", "counter", counts->relays_refused },
    { "relay_offers_failed_total", "counter", counts->relay_offers_failed },
    { "relayed_total", "counter", counts->relayed },
    { "relayed", "gauge", gateway->relayed_count },
    { "relay_strangers_total", "counter", counts->relay_strangers },
    { "unreached_services", "gauge", count_unreached_services (gateway) },
    { "service_budgets", "gauge", gateway->budget_count },
    { "target_reports_total", "counter", counts->status_queries },
    { "target_backoffs_total", "counter", counts->backoffs },
    { "refusal_pauses_total", "counter", counts->refusal_pauses },
    { "quarantined_total", "counter", counts->quarantined },
    { "quarantine_refused_total", "counter", counts->quarantine_refused },
    { "part_strikes_total", "counter", counts->part_strikes },
    { "parts_tried_total", "counter", counts->parts_tried },
    { "parts_held_total", "counter", counts->parts_held },
    { "parts_refused_total", "counter", counts->parts_refused },
    { "suspected_parts", "gauge",
      csp_count_suspected_parts (gateway->part_quarantine) },
    { "held_parts", "gauge", csp_count_held_parts (gateway->part_quarantine) },
    { "rate_grants_total", "counter", counts->rate_grants },
    { "rate_refused_total", "counter", counts->rate_refused },
    { "suspects", "gauge", csp_count_suspects (gateway->quarantine) },
    { "quarantined", "gauge",
      csp_count_quarantined (gateway->quarantine,
                             csp_gateway_now_ms (gateway)) },
    { "ready", "gauge", csp_gateway_is_ready (gateway) },
    { "callers", "gauge", gateway->caller_count },
    { "targets", "gauge", csp_count_listed_targets (gateway->fleet) },
    { "retries_lent_total", "counter", counts->retries_lent },
    { "peers", "gauge", csp_count_live_peers (gateway->roster) },
    { "hosts_refused_total", "counter",
      csp_count_refused_hosts (gateway->roster) },
    { "decides", "gauge", decides },
    { "dampings_total", "counter", counts->dampings },
    { "damped_targets", "gauge",
      decides ? csp_count_dampings (gateway->fleet, CSP_TARGET_DAMPED) : 0 },
    { "probation_targets", "gauge",
      decides ? csp_count_dampings (gateway->fleet, CSP_TARGET_ON_PROBATION)
              : 0 },
    { "asked_by", "gauge", csp_count_asking_hosts (gateway->roster) },
    { "routes_version", "gauge",
      gateway->routes == NULL ? 0 : csp_routes_version (gateway->routes) },
  };

  print_rows (text, rows, sizeof rows / sizeof rows[0]);
}

static void
print_class_counter (csp_buffer_t *text, const char *name, const char *kind,
                     const uint64_t values[CSP_CLASS_COUNT])
{
  static const char *const classes[CSP_CLASS_COUNT]
      = { [CSP_CLASS_REGULAR] = "regular", [CSP_CLASS_URGENT] = "urgent" };
  size_t i;

  csp_print_buffer (text, "# TYPE cowslipspoke_gateway_dispatch_%s %s\n", name,
                    kind);
  for (i = 0; i < CSP_CLASS_COUNT; i++)
    csp_print_buffer (
        text, "cowslipspoke_gateway_dispatch_%s{traffic_class=\"%s\"} %llu\n",
        name, classes[i], (unsigned long long)values[i]);
}

/* What this host did as the decider, by traffic class.  */
static void
print_class_counts (const csp_gateway_t *gateway, csp_buffer_t *text)
{
  uint64_t placed[CSP_CLASS_COUNT];
  uint64_t refused_on_arrival[CSP_CLASS_COUNT];
  uint64_t refused_after_wait[CSP_CLASS_COUNT];
  uint64_t waiting[CSP_CLASS_COUNT];
  size_t i;

  for (i = 0; i < CSP_CLASS_COUNT; i++)
    {
      const csp_class_counts_t *counts
          = csp_get_class_counts (gateway->dispatch, (csp_traffic_class_t)i);

      placed[i] = counts->placed;
      refused_on_arrival[i] = counts->refused_on_arrival;
      refused_after_wait[i] = counts->refused_after_wait;
      waiting[i] = counts->waiting;
    }
  print_class_counter (text, "placed_total", "counter", placed);
  print_class_counter (text, "refused_on_arrival_total", "counter",
                       refused_on_arrival);
  print_class_counter (text, "refused_after_wait_total", "counter",
                       refused_after_wait);
  print_class_counter (text, "waiting", "gauge", waiting);
}

/* One line per cordoned data centre.  */
static void
print_cordons (const csp_gateway_t *gateway, csp_buffer_t *text)
{
  const csp_cordons_t *cordons = csp_fleet_cordons (gateway->fleet);
  size_t count = csp_count_cordons (cordons);
  char name[2 * CSP_CORDON_NAME_BYTES + 1];
  size_t i;

  csp_print_buffer (text, "# TYPE cowslipspoke_gateway_cordoned gauge\n");
  for (i = 0; i < count; i++)
    {
      csp_escape_label (csp_cordon_at (cordons, i)->data_centre, name,
                        sizeof name);
      csp_print_buffer (
          text, "cowslipspoke_gateway_cordoned{data_centre=\"%s\"} 1\n", name);
    }
}

/* One line per target that states a rate limit, up to a maximum.  */
static void
print_rate_limits (const csp_gateway_t *gateway, csp_buffer_t *text)
{
  size_t count = csp_fleet_size (gateway->fleet);
  char name[2 * CSP_TARGET_ID_BYTES + 1];
  size_t limited = 0;
  size_t i;

  csp_print_buffer (text,
                    "# TYPE cowslipspoke_gateway_target_rate_limit gauge\n");
  for (i = 0; i < count; i++)
    {
      const csp_fleet_target_t *target = csp_fleet_at (gateway->fleet, i);

      if (!target->rate_limit.limited || target->state == CSP_FLEET_GONE
          || ++limited > RATE_LIMIT_LINES_MAX)
        continue;
      csp_escape_label (target->row.id, name, sizeof name);
      csp_print_buffer (
          text, "cowslipspoke_gateway_target_rate_limit{target=\"%s\"} %g\n",
          name, target->rate_limit.max_per_s);
    }
  csp_print_buffer (text,
                    "# TYPE cowslipspoke_gateway_rate_limited_targets gauge\n"
                    "cowslipspoke_gateway_rate_limited_targets %zu\n",
                    limited);
}

/* Append the histograms of organisations and routes.  */
static void
append_times (const csp_gateway_t *gateway, csp_buffer_t *text)
{
  size_t size_bytes = 0;
  char *times = csp_render_metrics (gateway->request_metrics, &size_bytes);

  if (times != NULL)
    csp_append_buffer (text, times, size_bytes);
  free (times);
}

static void
on_asked (void *state, csp_page_connection_t *page,
          const csp_http_head_t *head)
{
  static const char metrics_path[] = "/metrics";
  static const char *const bodies[]
      = { "{\"ready\":false}", "{\"ready\":true}" };
  const csp_gateway_t *gateway = state;
  bool ready = csp_gateway_is_ready (gateway);
  csp_buffer_t text = { 0 };

  if (strcmp (head->target, metrics_path) != 0)
    {
      csp_answer_page_request (page, ready ? STATUS_OK : STATUS_UNAVAILABLE,
                               "application/json", bodies[ready],
                               strlen (bodies[ready]));
      return;
    }
  print_metrics (gateway, &text);
  print_load (gateway, &text);
  print_class_counts (gateway, &text);
  print_cordons (gateway, &text);
  print_rate_limits (gateway, &text);
  csp_print_speeds (gateway, &text);
  append_times (gateway, &text);
  csp_answer_page_request (page, STATUS_OK, "text/plain; version=0.0.4",
                           text.data, text.size_bytes);
  csp_clear_buffer (&text);
}

bool
csp_open_gateway_pages (csp_gateway_t *gateway, char *message,
                        size_t message_bytes)
{
  static const csp_page_events_t events = { .on_request = on_asked };
  const csp_gateway_settings_t *settings = &gateway->settings;
  int fault = 0;

  gateway->readiness_page = csp_open_page_server (
      &gateway->loop, &settings->readiness_address, &events, gateway, &fault);
  if (gateway->readiness_page != NULL
      && settings->metrics_address.sin_port != 0)
    gateway->metrics_page = csp_open_page_server (
        &gateway->loop, &settings->metrics_address, &events, gateway, &fault);
  if (fault == 0)
    return true;
  snprintf (message, message_bytes,
            "can't listen for readiness or metrics: %s", uv_strerror (fault));
  return false;
}

void
csp_close_gateway_pages (csp_gateway_t *gateway)
{
  csp_close_page_server (gateway->readiness_page);
  csp_close_page_server (gateway->metrics_page);
  gateway->readiness_page = NULL;
  gateway->metrics_page = NULL;
}
