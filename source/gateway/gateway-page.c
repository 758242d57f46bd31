#include "gateway/gateway-imp.h"

#include <stdlib.h>
#include <string.h>

/* Readiness for the balancer and metrics for operators: short pages on
   addresses of their own.  */

enum
{
  PAGE_HEAD_MAX_BYTES = 8192,
  /* Both askers come again within seconds.  */
  PAGE_IDLE_MS = 15000
};

typedef struct
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uint8_t open_handles;
  csp_gateway_t *gateway;
  csp_http_reader_t *reader;
} page_t;

static const csp_http_limits_t page_limits
    = { .head_max_bytes = PAGE_HEAD_MAX_BYTES, .body_max_bytes = 0 };

static void
free_closed (uv_handle_t *handle)
{
  page_t *page = handle->data;

  if (--page->open_handles > 0)
    return;
  csp_destroy_http_reader (page->reader);
  free (page);
}

static void
close_page (page_t *page)
{
  if (uv_is_closing ((uv_handle_t *)&page->tcp))
    return;
  uv_close ((uv_handle_t *)&page->tcp, free_closed);
  uv_close ((uv_handle_t *)&page->timer, free_closed);
}

static void
on_idle (uv_timer_t *timer)
{
  close_page (timer->data);
}

static void
answer_page (page_t *page)
{
  static const char metrics_path[] = "/metrics";
  const csp_gateway_t *gateway = page->gateway;
  const csp_http_head_t *head = csp_http_head (page->reader);
  bool ready = csp_gateway_is_ready (gateway);
  uint16_t status = ready ? 200 : 503;
  csp_buffer_t body = { 0 };
  csp_buffer_t answer = { 0 };

  if (strcmp (head->target, metrics_path) == 0)
    {
      status = 200;
      csp_print_gateway_metrics (gateway, &body);
    }
  else
    csp_print_buffer (&body, "{\"ready\":%s}", ready ? "true" : "false");
  csp_print_buffer (&answer,
                    "HTTP/1.1 %u %s\r\nContent-Type: %s\r\n"
                    "Content-Length: %zu\r\n%s\r\n",
                    status, csp_http_status_words (status),
                    body.data[0] == '{' ? "application/json" : "text/plain",
                    body.size_bytes,
                    head->keep_alive ? "" : "Connection: close\r\n");
  if (strcmp (head->method, "HEAD") != 0)
    csp_append_buffer (&answer, body.data, body.size_bytes);
  csp_write_stream ((uv_stream_t *)&page->tcp, answer.data, answer.size_bytes,
                    NULL, NULL);
  csp_clear_buffer (&answer);
  csp_clear_buffer (&body);
}

static void
on_read (uv_stream_t *stream, ssize_t size_bytes, const uv_buf_t *room)
{
  page_t *page = stream->data;
  const char *data = room->base;
  size_t left_bytes = size_bytes > 0 ? (size_t)size_bytes : 0;

  if (size_bytes < 0)
    {
      close_page (page);
      return;
    }
  uv_timer_start (&page->timer, on_idle, PAGE_IDLE_MS, 0);
  while (left_bytes > 0)
    {
      const char *piece;
      size_t piece_bytes;
      size_t used;
      csp_http_step_t step = csp_read_http (page->reader, data, left_bytes,
                                            &used, &piece, &piece_bytes);

      data += used;
      left_bytes -= used;
      if (step == CSP_HTTP_MORE)
        return;
      if (step != CSP_HTTP_HEAD
          || csp_http_head (page->reader)->framing != CSP_BODY_NONE)
        {
          close_page (page);
          return;
        }
      answer_page (page);
      if (!csp_http_head (page->reader)->keep_alive)
        {
          close_page (page);
          return;
        }
      csp_next_http_message (page->reader, page_limits, false);
    }
}

void
csp_accept_page (csp_gateway_t *gateway, uv_stream_t *listener)
{
  page_t *page = calloc (1, sizeof *page);

  if (page == NULL)
    return;
  page->reader = csp_create_http_reader (CSP_HTTP_REQUEST, page_limits);
  if (page->reader == NULL || uv_tcp_init (&gateway->loop, &page->tcp) != 0)
    {
      csp_destroy_http_reader (page->reader);
      free (page);
      return;
    }
  uv_timer_init (&gateway->loop, &page->timer);
  page->open_handles = 2;
  page->tcp.data = page;
  page->timer.data = page;
  page->gateway = gateway;
  if (uv_accept (listener, (uv_stream_t *)&page->tcp) != 0)
    {
      close_page (page);
      return;
    }
  uv_timer_start (&page->timer, on_idle, PAGE_IDLE_MS, 0);
  uv_read_start ((uv_stream_t *)&page->tcp, csp_share_read_room, on_read);
}

bool
csp_print_gateway_metrics (const csp_gateway_t *gateway, csp_buffer_t *text)
{
  const csp_gateway_counts_t *counts = &gateway->counts;
  const struct
  {
    const char *name;
    const char *kind;
    uint64_t value;
  } rows[] = {
    { "requests_total", "counter", counts->requests },
    { "answered_total", "counter", counts->answered },
    { "refused_total", "counter", counts->refused },
    { "failed_total", "counter", counts->failed },
    { "abandoned_total", "counter", counts->abandoned },
    { "retries_total", "counter", counts->retries },
    { "stream_moves_total", "counter", counts->moves },
    { "stream_moves_failed_total", "counter", counts->moves_failed },
    { "streams_lost_total", "counter", counts->streams_lost },
    { "caller_connections_total", "counter", counts->connections },
    { "target_connections_total", "counter", counts->link_opens },
    { "ready", "gauge", csp_gateway_is_ready (gateway) },
    { "callers", "gauge", gateway->caller_count },
    { "targets", "gauge", csp_fleet_size (gateway->fleet) },
    { "routes_version", "gauge",
      gateway->routes == NULL ? 0 : csp_routes_version (gateway->routes) },
  };
  size_t i;

  for (i = 0; i < sizeof rows / sizeof rows[0]; i++)
    if (!csp_print_buffer (text,
                           "# TYPE cowslipspoke_gateway_%s %s\n"
                           "cowslipspoke_gateway_%s %llu\n",
                           rows[i].name, rows[i].kind, rows[i].name,
                           (unsigned long long)rows[i].value))
      return false;
  return true;
}
