#include "gateway/gateway-caller-imp.h"

#include <stdlib.h>
#include <string.h>

/* Reading one caller's connection.  Requests are read one after another; bytes
   after the current request wait in a buffer of bounded size.  */

enum
{
  /* Bytes of further requests that are read during the current one.  */
  PENDING_MAX_BYTES = 65536,
  /* Limits until a configuration is known.  */
  FIRST_HEAD_BYTES = 16384,
  /* What the first host adds to the head of a relayed request.  */
  RELAY_FIELDS_BYTES = 256,
  FIRST_BODY_BYTES = 4194304,
  FIRST_HEAD_TIMEOUT_MS = 3000,
  FIRST_IDLE_TIMEOUT_MS = 15000,
  STATUS_BAD_REQUEST = 400,
  STATUS_TIMEOUT = 408,
  STATUS_TOO_LARGE = 413,
  STATUS_HEAD_TOO_LARGE = 431
};

static csp_caller_limits_t
current_limits (const csp_gateway_t *gateway)
{
  csp_caller_limits_t first = { FIRST_HEAD_BYTES, FIRST_BODY_BYTES,
                                FIRST_HEAD_TIMEOUT_MS, FIRST_IDLE_TIMEOUT_MS };

  return gateway->routes == NULL ? first
                                 : *csp_routes_limits (gateway->routes);
}

csp_http_limits_t
csp_reader_limits (const csp_caller_t *caller)
{
  csp_caller_limits_t limits = current_limits (caller->gateway);
  csp_http_limits_t reader = { .head_max_bytes = limits.head_max_bytes,
                               .body_max_bytes = limits.body_max_bytes };

  if (caller->is_relay)
    reader.head_max_bytes += RELAY_FIELDS_BYTES;
  return reader;
}

/* Refuse a request that can't be parsed; the bytes after it can't be trusted.
   If an answer has begun, the connection is closed without another.  */
static void
refuse (csp_caller_t *caller, uint16_t status, const char *detail)
{
  csp_exchange_t *exchange = caller->exchange;

  if (exchange != NULL && csp_exchange_answer_begun (exchange))
    {
      csp_close_caller (caller);
      return;
    }
  caller->keep_alive = false;
  caller->exchange = NULL;
  if (exchange != NULL)
    csp_abandon_exchange (exchange);
  csp_answer_caller (caller, status, 0, detail);
}

static void
refuse_fault (csp_caller_t *caller)
{
  switch (csp_http_fault (caller->reader))
    {
    case CSP_HTTP_HEAD_TOO_LARGE:
      refuse (caller, STATUS_HEAD_TOO_LARGE, "the head is too large");
      return;
    case CSP_HTTP_BODY_TOO_LARGE:
      refuse (caller, STATUS_TOO_LARGE, "the body is too large");
      return;
    case CSP_HTTP_NO_MEMORY:
      csp_close_caller (caller);
      return;
    case CSP_HTTP_MALFORMED:
    case CSP_HTTP_NO_FAULT:
      break;
    }
  refuse (caller, STATUS_BAD_REQUEST, "the request is malformed");
}

static void
begin_request (csp_caller_t *caller)
{
  const csp_http_head_t *head = csp_caller_request_head (caller);
  const char *expect = csp_find_http_field (head, "Expect");

  caller->keep_alive = head->keep_alive;
  caller->in_body = head->framing != CSP_BODY_NONE;
  caller->request_whole = !caller->in_body;
  if (caller->is_relay && csp_handle_relay_offer (caller))
    return;
  if (caller->in_body && expect != NULL && head->minor_version > 0)
    csp_write_caller (caller, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  caller->exchange
      = csp_begin_exchange (caller->gateway, caller, caller->began_ms);
}

/* The first byte of a request is here.  */
static void
begin_head (csp_caller_t *caller)
{
  caller->began_ms = caller->last_read_ms;
  csp_limit_http_reader (caller->reader, csp_reader_limits (caller));
}

/* Parse pending bytes until the current request is complete.  The exchange may
   end meanwhile, which prepares the reader for the next request.  */
void
csp_parse_caller_input (csp_caller_t *caller)
{
  caller->parsing = true;
  while (!caller->closed && !caller->lingering && !caller->paused
         && !caller->holds_body)
    {
      const char *piece = NULL;
      size_t piece_bytes = 0;
      size_t used = 0;
      csp_http_step_t step;

      if (caller->exchange != NULL && caller->request_whole)
        break;
      if (caller->pending.size_bytes > 0
          && !csp_http_message_begun (caller->reader))
        begin_head (caller);
      step = csp_read_http (caller->reader, caller->pending.data,
                            caller->pending.size_bytes, &used, &piece,
                            &piece_bytes);
      if (step == CSP_HTTP_HEAD)
        begin_request (caller);
      else if (step == CSP_HTTP_BODY && caller->exchange != NULL)
        csp_handle_request_body (caller->exchange, piece, piece_bytes);
      else if (step == CSP_HTTP_END)
        {
          caller->request_whole = true;
          if (caller->exchange != NULL)
            csp_end_request_body (caller->exchange);
        }
      else if (step == CSP_HTTP_FAULT)
        refuse_fault (caller);
      if (!caller->closed)
        csp_consume_buffer (&caller->pending, used);
      if (step == CSP_HTTP_NEED_MORE)
        break;
    }
  caller->parsing = false;
  if (!caller->closed && !caller->lingering)
    {
      if (caller->pending.size_bytes == 0)
        csp_clear_buffer (&caller->pending);
      csp_set_caller_timer (caller);
      csp_pause_caller (caller, caller->paused);
    }
}

static void
on_read (uv_stream_t *stream, ssize_t size_bytes, const uv_buf_t *buffer)
{
  csp_caller_t *caller = stream->data;

  if (size_bytes == 0 || caller->closed)
    return;
  if (size_bytes < 0)
    {
      csp_close_caller (caller);
      return;
    }
  csp_count_stream_read (stream, (size_t)size_bytes);
  if (caller->lingering)
    return;
  caller->last_read_ms = csp_gateway_now_ms (caller->gateway);
  if (!csp_append_buffer (&caller->pending, buffer->base, (size_t)size_bytes))
    {
      csp_close_caller (caller);
      return;
    }
  csp_parse_caller_input (caller);
}

void
csp_pause_caller (csp_caller_t *caller, bool pause)
{
  bool read;

  if (caller->closed)
    return;
  caller->paused = pause;
  read = caller->lingering
         || (!pause && caller->pending.size_bytes < PENDING_MAX_BYTES);
  if (read == caller->reading)
    return;
  caller->reading = read;
  if (read)
    uv_read_start ((uv_stream_t *)&caller->tcp, csp_share_read_buffer,
                   on_read);
  else
    uv_read_stop ((uv_stream_t *)&caller->tcp);
}

void
csp_hold_caller_body (csp_caller_t *caller)
{
  caller->holds_body = true;
}

void
csp_resume_caller (csp_caller_t *caller)
{
  caller->holds_body = false;
  csp_pause_caller (caller, false);
  if (!caller->parsing && !caller->closed && !caller->lingering)
    csp_parse_caller_input (caller);
}

static void
on_timer (uv_timer_t *timer)
{
  csp_caller_t *caller = timer->data;
  csp_caller_limits_t limits = current_limits (caller->gateway);
  int64_t now_ms = csp_gateway_now_ms (caller->gateway);
  int64_t idle_ms = now_ms - caller->last_read_ms;

  if (caller->request_whole || caller->paused || caller->holds_body)
    return;
  if (!csp_http_message_begun (caller->reader))
    {
      if (idle_ms >= limits.idle_timeout_ms)
        {
          csp_linger_caller (caller);
          return;
        }
    }
  else if (!csp_http_head_complete (caller->reader))
    {
      if (now_ms - caller->began_ms >= limits.head_timeout_ms)
        {
          refuse (caller, STATUS_TIMEOUT, "the head came too slowly");
          return;
        }
    }
  else if (idle_ms >= limits.idle_timeout_ms)
    {
      refuse (caller,
              caller->exchange != NULL
                      && csp_exchange_may_have_run (caller->exchange)
                  ? STATUS_BAD_REQUEST
                  : STATUS_TIMEOUT,
              "the body came too slowly");
      return;
    }
  csp_set_caller_timer (caller);
}

/* Set the timer for the head or idle timeout, restarted after each read; no
   timer runs while a complete request is in progress.  */
void
csp_set_caller_timer (csp_caller_t *caller)
{
  csp_caller_limits_t limits = current_limits (caller->gateway);
  int64_t now_ms = csp_gateway_now_ms (caller->gateway);
  int64_t due_ms = caller->last_read_ms + limits.idle_timeout_ms;

  if (caller->request_whole)
    {
      uv_timer_stop (&caller->timer);
      return;
    }
  if (csp_http_message_begun (caller->reader)
      && !csp_http_head_complete (caller->reader))
    due_ms = caller->began_ms + limits.head_timeout_ms;
  uv_timer_start (&caller->timer, on_timer,
                  due_ms > now_ms ? (uint64_t)(due_ms - now_ms) : 1, 0);
}

csp_caller_t *
csp_accept_caller (csp_gateway_t *gateway, uv_stream_t *listener)
{
  csp_caller_t *caller = calloc (1, sizeof *caller);

  if (caller == NULL)
    return NULL;
  caller->gateway = gateway;
  caller->reader
      = csp_create_http_reader (CSP_HTTP_REQUEST, csp_reader_limits (caller));
  if (caller->reader == NULL
      || uv_tcp_init (&gateway->loop, &caller->tcp) != 0)
    {
      csp_destroy_http_reader (caller->reader);
      free (caller);
      return NULL;
    }
  uv_timer_init (&gateway->loop, &caller->timer);
  caller->open_handles = 2;
  caller->tcp.data = caller;
  caller->timer.data = caller;
  caller->next = gateway->callers;
  if (caller->next != NULL)
    caller->next->previous = caller;
  gateway->callers = caller;
  gateway->caller_count++;
  gateway->counts.connections++;
  caller->last_read_ms = csp_gateway_now_ms (gateway);
  if (uv_accept (listener, (uv_stream_t *)&caller->tcp) != 0)
    {
      csp_close_caller (caller);
      return NULL;
    }
  uv_tcp_nodelay (&caller->tcp, 1);
  csp_pause_caller (caller, false);
  csp_set_caller_timer (caller);
  return caller;
}
