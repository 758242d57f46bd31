#include "gateway/gateway-imp.h"

#include <stdlib.h>
#include <string.h>

/* One caller's connection.  Requests are read one after another; what arrives
   behind the one under way waits in a buffer of bounded size.  */

struct csp_caller
{
  uv_tcp_t tcp;
  uv_timer_t timer;
  uint8_t open_handles;
  csp_gateway_t *gateway;
  csp_caller_t *next;
  csp_caller_t *previous;
  csp_http_reader_t *reader;
  csp_buffer_t pending;
  csp_exchange_t *exchange;
  int64_t began_ms; /* first byte of the request that is being read */
  int64_t last_read_ms;
  bool request_whole;
  bool in_body;
  bool feeding;
  bool paused; /* by the exchange, while its target is slow */
  bool reading;
  bool keeps;
  bool lingering; /* the last answer is out, unread bytes are dropped */
  bool closed;
};

enum
{
  /* Bytes of further requests that are taken while one is under way.  */
  PENDING_MAX_BYTES = 65536,
  /* Closing with unread bytes resets the connection, and the reset overtakes
     the answer.  So the write side closes first, and the caller has this long
     to read and close.  */
  LINGER_MS = 1000,
  /* Before a configuration is known.  */
  FIRST_HEAD_BYTES = 16384,
  FIRST_BODY_BYTES = 4194304,
  FIRST_HEAD_TIMEOUT_MS = 3000,
  FIRST_IDLE_TIMEOUT_MS = 15000,
  HEAD_ROOM_BYTES = 512,
  MS_PER_S = 1000,
  STATUS_BAD_REQUEST = 400,
  STATUS_TIMEOUT = 408,
  STATUS_TOO_LARGE = 413,
  STATUS_HEAD_TOO_LARGE = 431
};

static void feed_pending (csp_caller_t *caller);
static void set_timer (csp_caller_t *caller);

static csp_caller_limits_t
limits_of (const csp_gateway_t *gateway)
{
  csp_caller_limits_t first = { FIRST_HEAD_BYTES, FIRST_BODY_BYTES,
                                FIRST_HEAD_TIMEOUT_MS, FIRST_IDLE_TIMEOUT_MS };

  return gateway->routes == NULL ? first
                                 : *csp_routes_limits (gateway->routes);
}

static csp_http_limits_t
reader_limits (const csp_gateway_t *gateway)
{
  csp_caller_limits_t limits = limits_of (gateway);
  csp_http_limits_t reader = { .head_max_bytes = limits.head_max_bytes,
                               .body_max_bytes = limits.body_max_bytes };

  return reader;
}

static void
free_closed (uv_handle_t *handle)
{
  csp_caller_t *caller = handle->data;

  if (--caller->open_handles > 0)
    return;
  csp_destroy_http_reader (caller->reader);
  csp_clear_buffer (&caller->pending);
  free (caller);
}

/* Take the caller off the list; its handles close behind.  */
static void
forget_caller (csp_caller_t *caller)
{
  caller->closed = true;
  caller->exchange = NULL;
  if (caller->previous != NULL)
    caller->previous->next = caller->next;
  else
    caller->gateway->callers = caller->next;
  if (caller->next != NULL)
    caller->next->previous = caller->previous;
  caller->gateway->caller_count--;
  uv_close ((uv_handle_t *)&caller->timer, free_closed);
}

static void
close_caller (csp_caller_t *caller)
{
  csp_exchange_t *exchange = caller->exchange;

  if (caller->closed)
    return;
  forget_caller (caller);
  uv_close ((uv_handle_t *)&caller->tcp, free_closed);
  if (exchange != NULL)
    csp_abandon_exchange (exchange);
}

const csp_http_head_t *
csp_caller_head (const csp_caller_t *caller)
{
  return csp_http_head (caller->reader);
}

static void
on_written (uv_write_t *request, int status)
{
  csp_caller_t *caller = request->data;

  if (caller->closed)
    return;
  if (status < 0)
    close_caller (caller);
  else if (caller->exchange != NULL)
    csp_caller_drained (caller->exchange);
}

void
csp_write_caller (csp_caller_t *caller, const void *data, size_t size_bytes)
{
  if (!caller->closed)
    csp_write_stream ((uv_stream_t *)&caller->tcp, data, size_bytes,
                      on_written, caller);
}

size_t
csp_caller_backlog (const csp_caller_t *caller)
{
  return caller->tcp.write_queue_size;
}

bool
csp_caller_keeps (const csp_caller_t *caller)
{
  return caller->keeps && caller->request_whole && !caller->gateway->stopping;
}

static void
on_linger_end (uv_timer_t *timer)
{
  close_caller (timer->data);
}

static void
on_shut_down (uv_shutdown_t *request, int status)
{
  (void)status;
  free (request);
}

/* Close the write side and let the caller read to the end.  */
static void
linger (csp_caller_t *caller)
{
  uv_shutdown_t *request = malloc (sizeof *request);

  caller->lingering = true;
  csp_clear_buffer (&caller->pending);
  if (request == NULL
      || uv_shutdown (request, (uv_stream_t *)&caller->tcp, on_shut_down) != 0)
    {
      free (request);
      close_caller (caller);
      return;
    }
  uv_timer_start (&caller->timer, on_linger_end, LINGER_MS, 0);
  csp_pause_caller (caller, false);
}

void
csp_finish_caller_answer (csp_caller_t *caller)
{
  bool keeps = csp_caller_keeps (caller);

  caller->exchange = NULL;
  if (caller->closed)
    return;
  if (!keeps)
    {
      linger (caller);
      return;
    }
  csp_next_http_message (caller->reader, reader_limits (caller->gateway),
                         false);
  caller->request_whole = false;
  caller->in_body = false;
  caller->paused = false;
  caller->last_read_ms = csp_gateway_now_ms (caller->gateway);
  set_timer (caller);
  if (!caller->feeding)
    feed_pending (caller);
}

/* An answer to HTTP/1.0 ends with its connection, so only a reset shows that
   it was cut.  Elsewhere the framing shows it, and an orderly close leaves the
   caller the bytes that are on their way.  */
void
csp_abort_caller (csp_caller_t *caller)
{
  caller->exchange = NULL;
  if (caller->closed)
    return;
  if (csp_caller_head (caller)->minor_version == 0
      && uv_tcp_close_reset (&caller->tcp, free_closed) == 0)
    forget_caller (caller);
  else
    close_caller (caller);
}

void
csp_answer_caller (csp_caller_t *caller, uint16_t status,
                   uint32_t retry_after_ms, const char *detail)
{
  char body[HEAD_ROOM_BYTES];
  csp_buffer_t answer = { 0 };
  int body_bytes = snprintf (body, sizeof body, "{\"error\":\"%s\"}", detail);

  csp_print_buffer (&answer,
                    "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
                    "Content-Length: %d\r\n",
                    status, csp_http_status_words (status), body_bytes);
  if (retry_after_ms > 0)
    csp_print_buffer (&answer, "Retry-After: %.3f\r\n",
                      (double)retry_after_ms / MS_PER_S);
  if (!csp_caller_keeps (caller))
    csp_print_buffer (&answer, "Connection: close\r\n");
  csp_append_buffer (&answer, "\r\n", 2);
  if (strcmp (csp_caller_head (caller)->method, "HEAD") != 0)
    csp_append_buffer (&answer, body, (size_t)body_bytes);
  csp_write_caller (caller, answer.data, answer.size_bytes);
  csp_clear_buffer (&answer);
  csp_finish_caller_answer (caller);
}

/* Refuse what can't be read on; nothing behind it can be trusted.  Where an
   answer has begun there is no room for another.  */
static void
refuse (csp_caller_t *caller, uint16_t status, const char *detail)
{
  csp_exchange_t *exchange = caller->exchange;

  if (exchange != NULL && csp_exchange_answers (exchange))
    {
      close_caller (caller);
      return;
    }
  caller->keeps = false;
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
      close_caller (caller);
      return;
    case CSP_HTTP_MALFORMED:
    case CSP_HTTP_FINE:
      break;
    }
  refuse (caller, STATUS_BAD_REQUEST, "the request is malformed");
}

static void
begin_request (csp_caller_t *caller)
{
  const csp_http_head_t *head = csp_caller_head (caller);
  const char *expect = csp_find_http_field (head, "Expect");

  caller->keeps = head->keep_alive;
  caller->in_body = head->framing != CSP_BODY_NONE;
  caller->request_whole = !caller->in_body;
  if (caller->in_body && expect != NULL && head->minor_version > 0)
    csp_write_caller (caller, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  caller->exchange
      = csp_begin_exchange (caller->gateway, caller, caller->began_ms);
}

/* Read on in the pending bytes until the request under way is whole.  The
   exchange may end within, which makes ready for the next request.  */
static void
feed_pending (csp_caller_t *caller)
{
  caller->feeding = true;
  while (!caller->closed && !caller->lingering && !caller->paused)
    {
      const char *piece = NULL;
      size_t piece_bytes = 0;
      size_t used = 0;
      csp_http_step_t step;

      if (caller->exchange != NULL && caller->request_whole)
        break;
      if (caller->pending.size_bytes > 0 && !csp_http_began (caller->reader))
        caller->began_ms = caller->last_read_ms;
      step = csp_read_http (caller->reader, caller->pending.data,
                            caller->pending.size_bytes, &used, &piece,
                            &piece_bytes);
      if (step == CSP_HTTP_HEAD)
        begin_request (caller);
      else if (step == CSP_HTTP_BODY && caller->exchange != NULL)
        csp_take_request_body (caller->exchange, piece, piece_bytes);
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
      if (step == CSP_HTTP_MORE)
        break;
    }
  caller->feeding = false;
  if (!caller->closed && !caller->lingering)
    {
      if (caller->pending.size_bytes == 0)
        csp_clear_buffer (&caller->pending);
      set_timer (caller);
      csp_pause_caller (caller, caller->paused);
    }
}

static void
on_read (uv_stream_t *stream, ssize_t size_bytes, const uv_buf_t *room)
{
  csp_caller_t *caller = stream->data;

  if (size_bytes == 0 || caller->closed)
    return;
  if (size_bytes < 0)
    {
      close_caller (caller);
      return;
    }
  if (caller->lingering)
    return;
  caller->last_read_ms = csp_gateway_now_ms (caller->gateway);
  if (!csp_append_buffer (&caller->pending, room->base, (size_t)size_bytes))
    {
      close_caller (caller);
      return;
    }
  feed_pending (caller);
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
    uv_read_start ((uv_stream_t *)&caller->tcp, csp_share_read_room, on_read);
  else
    uv_read_stop ((uv_stream_t *)&caller->tcp);
}

static void
on_timer (uv_timer_t *timer)
{
  csp_caller_t *caller = timer->data;
  csp_caller_limits_t limits = limits_of (caller->gateway);
  int64_t now_ms = csp_gateway_now_ms (caller->gateway);
  int64_t idle_ms = now_ms - caller->last_read_ms;

  if (caller->request_whole || caller->paused)
    return;
  if (!csp_http_began (caller->reader))
    {
      if (idle_ms >= limits.idle_timeout_ms)
        {
          linger (caller);
          return;
        }
    }
  else if (!csp_http_head_whole (caller->reader))
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
  set_timer (caller);
}

/* When the caller's patience or ours ends, counted anew after each read; no
   timer is needed while a whole request is under way.  */
static void
set_timer (csp_caller_t *caller)
{
  csp_caller_limits_t limits = limits_of (caller->gateway);
  int64_t now_ms = csp_gateway_now_ms (caller->gateway);
  int64_t due_ms = caller->last_read_ms + limits.idle_timeout_ms;

  if (caller->request_whole)
    {
      uv_timer_stop (&caller->timer);
      return;
    }
  if (csp_http_began (caller->reader) && !csp_http_head_whole (caller->reader))
    due_ms = caller->began_ms + limits.head_timeout_ms;
  uv_timer_start (&caller->timer, on_timer,
                  due_ms > now_ms ? (uint64_t)(due_ms - now_ms) : 1, 0);
}

void
csp_accept_caller (csp_gateway_t *gateway, uv_stream_t *listener)
{
  csp_caller_t *caller = calloc (1, sizeof *caller);

  if (caller == NULL)
    return;
  caller->reader
      = csp_create_http_reader (CSP_HTTP_REQUEST, reader_limits (gateway));
  if (caller->reader == NULL
      || uv_tcp_init (&gateway->loop, &caller->tcp) != 0)
    {
      csp_destroy_http_reader (caller->reader);
      free (caller);
      return;
    }
  uv_timer_init (&gateway->loop, &caller->timer);
  caller->open_handles = 2;
  caller->tcp.data = caller;
  caller->timer.data = caller;
  caller->gateway = gateway;
  caller->next = gateway->callers;
  if (caller->next != NULL)
    caller->next->previous = caller;
  gateway->callers = caller;
  gateway->caller_count++;
  gateway->counts.connections++;
  caller->last_read_ms = csp_gateway_now_ms (gateway);
  if (uv_accept (listener, (uv_stream_t *)&caller->tcp) != 0)
    {
      close_caller (caller);
      return;
    }
  uv_tcp_nodelay (&caller->tcp, 1);
  csp_pause_caller (caller, false);
  set_timer (caller);
}

void
csp_close_idle_callers (csp_gateway_t *gateway)
{
  csp_caller_t *caller = gateway->callers;

  while (caller != NULL)
    {
      csp_caller_t *next = caller->next;

      if (!caller->lingering && caller->exchange == NULL
          && !csp_http_began (caller->reader))
        linger (caller);
      caller = next;
    }
}

void
csp_close_all_callers (csp_gateway_t *gateway)
{
  while (gateway->callers != NULL)
    close_caller (gateway->callers);
}
