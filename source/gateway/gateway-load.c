#include "gateway/gateway-imp.h"

/* Measuring what this host's link carries and how late the host is.  */

enum
{
  /* Plain requests are due within some hundred milliseconds.  */
  LATE_MS = 100,
  IN_TIME_MS = 50,
  /* Between two lines that this host is late or in time again.  */
  LATE_LINES_MS = 1000
};

bool
csp_open_host_load (csp_gateway_t *gateway)
{
  gateway->host_delay = csp_create_host_delay ();
  gateway->link_load = csp_create_link_load ();
  csp_set_stream_counts (&gateway->loop, &gateway->stream_counts);
  return gateway->host_delay != NULL && gateway->link_load != NULL;
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

uint64_t
csp_count_unsent_bytes (const csp_gateway_t *gateway)
{
  const csp_exchange_t *exchange;
  uint64_t bytes = 0;

  for (exchange = gateway->exchanges; exchange != NULL;
       exchange = csp_next_exchange (exchange))
    bytes += csp_exchange_unsent_bytes (exchange);
  return bytes;
}

static void
log_lateness (csp_gateway_t *gateway, int64_t now_ms)
{
  bool was_late = gateway->late_since_ms != 0;
  uint32_t delay_ms = csp_get_host_delay_ms (gateway->host_delay, now_ms);
  bool late = delay_ms >= (was_late ? IN_TIME_MS : LATE_MS);

  if (late == was_late || now_ms - gateway->late_logged_ms < LATE_LINES_MS)
    return;
  CSP_LOG (
      gateway->log, late ? CSP_EVENT_HOST_LATE : CSP_EVENT_HOST_IN_TIME, NULL,
      csp_number ("link_delay_ms",
                  csp_get_link_delay_ms (gateway->host_delay, now_ms)),
      csp_number ("loop_delay_ms",
                  csp_get_loop_delay_ms (gateway->host_delay, now_ms)),
      csp_number ("sent_bytes_per_s",
                  (int64_t)csp_get_sent_rate (gateway->link_load)),
      csp_number ("received_bytes_per_s",
                  (int64_t)csp_get_received_rate (gateway->link_load)),
      csp_number ("unsent_bytes", (int64_t)csp_count_unsent_bytes (gateway)),
      csp_number ("callers", gateway->caller_count),
      csp_number ("late_for_ms",
                  was_late ? now_ms - gateway->late_since_ms : 0));
  gateway->late_since_ms = late ? now_ms : 0;
  gateway->late_logged_ms = now_ms;
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
    csp_note_round_trip (gateway->host_delay,
                         gateway->stream_counts.least_connect_ms, now_ms);
  gateway->stream_counts.connects = 0;
  csp_sample_link_load (gateway->link_load, &gateway->stream_counts, now_ms);
  log_lateness (gateway, now_ms);
}
