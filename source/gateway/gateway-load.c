#include "gateway/gateway-exchange-imp.h"

/* What this host's link carries, which streams it takes for that, and how late
   the host is.  */

enum
{
  IN_TIME_MS = 50,
  /* Between two lines that this host is late or in time again.  */
  LATE_LINES_MS = 1000,
  /* Shorter streams are over before others could be refused for them.  */
  LONG_STREAM_TOKENS = 100,
  /* Streams are measured from this long after their first event, when half of
     the window of the link's rates shows them.  */
  MEASURED_MS = 500,
  MS_PER_S = 1000,
  /* The delay is that of the fastest connection; others take longer.  */
  DELAYS_PER_ANSWER = 2,
  EXTENSION_MAX_MS = 1000,
  /* Some streams end meanwhile; other hosts have room at once.  */
  LINK_FULL_RETRY_MS = 400
};

bool
csp_open_host_load (csp_gateway_t *gateway)
{
  gateway->host_delay = csp_create_host_delay ();
  gateway->link_load
      = csp_create_link_load (gateway->settings.link_bytes_per_s);
  gateway->stream_counts.clock = gateway->clock;
  csp_set_stream_counts (&gateway->loop, &gateway->stream_counts);
  if (gateway->host_delay == NULL || gateway->link_load == NULL)
    return false;
  csp_sample_link_load (gateway->link_load, &gateway->stream_counts,
                        csp_gateway_now_ms (gateway));
  return true;
}

void
csp_close_host_load (csp_gateway_t *gateway)
{
  csp_destroy_host_delay (gateway->host_delay);
  csp_destroy_link_load (gateway->link_load);
}

uint32_t
csp_current_host_delay_ms (const csp_gateway_t *gateway)
{
  return csp_get_host_delay_ms (gateway->host_delay,
                                csp_gateway_now_ms (gateway));
}

uint32_t
csp_extend_timeout_ms (const csp_gateway_t *gateway, uint32_t timeout_ms)
{
  uint32_t late_ms = DELAYS_PER_ANSWER * csp_current_host_delay_ms (gateway);

  return timeout_ms
         + (late_ms < EXTENSION_MAX_MS ? late_ms : EXTENSION_MAX_MS);
}

uint64_t
csp_count_unsent_bytes (const csp_gateway_t *gateway)
{
  const csp_exchange_t *exchange;
  uint64_t bytes = 0;

  for (exchange = csp_first_exchange (gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    bytes
        += csp_caller_backlog (exchange->caller)
           + (exchange->link == NULL ? 0 : csp_link_backlog (exchange->link));
  return bytes;
}

static void
log_lateness (csp_gateway_t *gateway, int64_t now_ms)
{
  bool was_late = gateway->late_since_ms != 0;
  uint32_t delay_ms = csp_get_host_delay_ms (gateway->host_delay, now_ms);
  bool late = delay_ms >= (was_late ? IN_TIME_MS : CSP_HOST_LATE_MS);

  if (late == was_late || now_ms - gateway->late_logged_ms < LATE_LINES_MS)
    return;
  CSP_LOG (
      gateway->log, late ? CSP_EVENT_HOST_LATE : CSP_EVENT_HOST_IN_TIME, NULL,
      csp_number ("link_delay_ms",
                  csp_get_link_delay_ms (gateway->host_delay, now_ms)),
      csp_number ("loop_delay_ms",
                  csp_get_loop_delay_ms (gateway->host_delay, now_ms)),
      csp_number ("sent_bytes_per_s",
                  (int64_t)csp_get_sent_bytes_per_s (gateway->link_load)),
      csp_number ("received_bytes_per_s",
                  (int64_t)csp_get_received_bytes_per_s (gateway->link_load)),
      csp_number ("unsent_bytes", (int64_t)csp_count_unsent_bytes (gateway)),
      csp_number ("callers", gateway->caller_count),
      csp_number ("late_for_ms",
                  was_late ? now_ms - gateway->late_since_ms : 0));
  gateway->late_since_ms = late ? now_ms : 0;
  gateway->late_logged_ms = now_ms;
}

static bool
is_long_stream (const csp_exchange_t *exchange)
{
  return exchange->route->kind == CSP_ROUTE_STREAM
         && exchange->output_tokens >= LONG_STREAM_TOKENS;
}

void
csp_release_link_reservation (csp_exchange_t *exchange)
{
  if (!exchange->reserves_link)
    return;
  exchange->reserves_link = false;
  csp_release_stream (exchange->gateway->link_load);
}

static void
measure_streams (csp_gateway_t *gateway, int64_t now_ms)
{
  csp_exchange_t *exchange;
  uint64_t bytes_per_s = 0;
  uint64_t count = 0;

  for (exchange = csp_first_exchange (gateway); exchange != NULL;
       exchange = csp_next_exchange (exchange))
    {
      int64_t elapsed_ms = now_ms - exchange->first_event_ms;

      if (exchange->first_event_ms == 0 || elapsed_ms < MEASURED_MS
          || !is_long_stream (exchange))
        continue;
      csp_release_link_reservation (exchange);
      bytes_per_s += exchange->stream_bytes * MS_PER_S / (uint64_t)elapsed_ms;
      count++;
    }
  if (count > 0)
    csp_note_stream_rate (gateway->link_load, bytes_per_s / count);
}

bool
csp_refuse_unless_link_carries (csp_exchange_t *exchange)
{
  csp_gateway_t *gateway = exchange->gateway;

  if (!is_long_stream (exchange))
    return false;
  exchange->reserves_link = csp_reserve_stream (gateway->link_load);
  if (exchange->reserves_link)
    return false;
  gateway->counts.link_refused++;
  exchange->retry_after_ms = csp_spread_wait_ms (gateway, LINK_FULL_RETRY_MS);
  csp_set_relay_answer (exchange->caller, CSP_RELAY_UNSERVED);
  csp_fail_exchange (exchange, CSP_REASON_OVERLOADED,
                     "the host's link is full");
  return true;
}

static void
sample_link (csp_gateway_t *gateway, int64_t now_ms)
{
  bool was_full = csp_is_link_full (gateway->link_load);
  bool full;

  csp_sample_link_load (gateway->link_load, &gateway->stream_counts, now_ms);
  full = csp_is_link_full (gateway->link_load);
  if (full == was_full)
    return;
  CSP_LOG (
      gateway->log, full ? CSP_EVENT_LINK_FULL : CSP_EVENT_LINK_HAS_ROOM, NULL,
      csp_number ("sent_bytes_per_s",
                  (int64_t)csp_get_sent_bytes_per_s (gateway->link_load)),
      csp_number ("received_bytes_per_s",
                  (int64_t)csp_get_received_bytes_per_s (gateway->link_load)),
      csp_number ("link_bytes_per_s",
                  (int64_t)gateway->settings.link_bytes_per_s),
      csp_number ("callers", gateway->caller_count));
}

void
csp_sample_host_load (csp_gateway_t *gateway, uint32_t period_ms)
{
  int64_t now_ms = csp_gateway_now_ms (gateway);
  int64_t late_ms = now_ms - gateway->load_sampled_ms - (int64_t)period_ms;

  if (gateway->load_sampled_ms != 0)
    csp_note_loop_delay (gateway->host_delay,
                         late_ms > 0 ? (uint32_t)late_ms : 0, now_ms);
  gateway->load_sampled_ms = now_ms;
  if (gateway->stream_counts.connects > 0)
    csp_note_connect_time (gateway->host_delay,
                           gateway->stream_counts.least_connect_ms, now_ms);
  gateway->stream_counts.connects = 0;
  sample_link (gateway, now_ms);
  measure_streams (gateway, now_ms);
  log_lateness (gateway, now_ms);
}
