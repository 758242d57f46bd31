#include "gateway/gateway-caller-imp.h"

#include <stdlib.h>
#include <string.h>

/* Writing answers to one caller, and closing its connection.  */

enum
{
  /* Closing a socket with unread bytes resets the connection, and the reset
     overtakes the answer.  So the write side is closed first, and the caller
     has this long to read the answer and close, again and again while it
     reads.  */
  LINGER_MS = 1000,
  LINGER_MAX_MS = 60000,
  BODY_MAX_BYTES = 512,
  MS_PER_S = 1000
};

void
csp_caller_closed (uv_handle_t *handle)
{
  csp_caller_t *caller = handle->data;

  if (--caller->open_handles > 0)
    return;
  csp_destroy_http_reader (caller->reader);
  csp_clear_buffer (&caller->pending);
  free (caller);
}

/* Take the caller off the list; its handles close later.  */
static void
unlink_caller (csp_caller_t *caller)
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
  uv_close ((uv_handle_t *)&caller->timer, csp_caller_closed);
}

void
csp_close_caller (csp_caller_t *caller)
{
  csp_exchange_t *exchange = caller->exchange;

  if (caller->closed)
    return;
  unlink_caller (caller);
  uv_close ((uv_handle_t *)&caller->tcp, csp_caller_closed);
  if (exchange != NULL)
    csp_abandon_exchange (exchange);
}

const csp_http_head_t *
csp_caller_request_head (const csp_caller_t *caller)
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
    csp_close_caller (caller);
  else if (caller->exchange != NULL)
    csp_resume_target_reads (caller->exchange);
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
csp_caller_keeps_alive (const csp_caller_t *caller)
{
  const csp_gateway_t *gateway = caller->gateway;

  /* Another host sends its request behind its offer.  */
  if (caller->is_relay)
    return caller->keep_alive && caller->request_whole;
  return caller->keep_alive && caller->request_whole && !gateway->stopping
         && !csp_is_isolated (gateway);
}

void
csp_close_behind_answer (csp_caller_t *caller)
{
  caller->keep_alive = false;
}

/* A caller that goes on reading gets its whole answer.  */
static void
on_linger_end (uv_timer_t *timer)
{
  csp_caller_t *caller = timer->data;
  size_t unwritten_bytes = csp_caller_backlog (caller);

  if (unwritten_bytes >= caller->unwritten_bytes
      || csp_gateway_now_ms (caller->gateway) >= caller->linger_until_ms)
    {
      csp_close_caller (caller);
      return;
    }
  caller->unwritten_bytes = unwritten_bytes;
  uv_timer_start (timer, on_linger_end, LINGER_MS, 0);
}

static void
on_shut_down (uv_shutdown_t *request, int status)
{
  (void)status;
  free (request);
}

void
csp_linger_caller (csp_caller_t *caller)
{
  uv_shutdown_t *request = malloc (sizeof *request);

  caller->lingering = true;
  csp_clear_buffer (&caller->pending);
  if (request == NULL
      || uv_shutdown (request, (uv_stream_t *)&caller->tcp, on_shut_down) != 0)
    {
      free (request);
      csp_close_caller (caller);
      return;
    }
  caller->unwritten_bytes = csp_caller_backlog (caller);
  caller->linger_until_ms
      = csp_gateway_now_ms (caller->gateway) + LINGER_MAX_MS;
  uv_timer_start (&caller->timer, on_linger_end, LINGER_MS, 0);
  csp_pause_caller (caller, false);
}

void
csp_finish_caller_answer (csp_caller_t *caller)
{
  bool keep_alive = csp_caller_keeps_alive (caller);

  caller->exchange = NULL;
  if (caller->closed)
    return;
  if (!keep_alive)
    {
      csp_linger_caller (caller);
      return;
    }
  csp_reset_http_reader (caller->reader, csp_reader_limits (caller), false);
  caller->request_whole = false;
  caller->in_body = false;
  caller->paused = false;
  caller->holds_body = false;
  caller->last_read_ms = csp_gateway_now_ms (caller->gateway);
  csp_set_caller_timer (caller);
  if (!caller->parsing)
    csp_parse_caller_input (caller);
}

/* An HTTP/1.0 answer without framing ends with its connection, so only a reset
   shows that it was cut off.  Otherwise the framing shows it, and an orderly
   close still delivers the bytes already sent.  */
void
csp_abort_caller (csp_caller_t *caller)
{
  caller->exchange = NULL;
  if (caller->closed)
    return;
  if (csp_caller_request_head (caller)->minor_version == 0
      && uv_tcp_close_reset (&caller->tcp, csp_caller_closed) == 0)
    unlink_caller (caller);
  else
    csp_close_caller (caller);
}

void
csp_answer_caller (csp_caller_t *caller, uint16_t status,
                   uint32_t retry_after_ms, const char *detail)
{
  char body[BODY_MAX_BYTES];
  csp_buffer_t answer = { 0 };
  int body_bytes = snprintf (body, sizeof body, "{\"error\":\"%s\"}", detail);

  csp_print_buffer (&answer,
                    "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
                    "Content-Length: %d\r\n",
                    status, csp_http_reason_phrase (status), body_bytes);
  if (caller->is_relay)
    csp_print_buffer (&answer, "%s: %s\r\n", CSP_RELAY_FIELD,
                      caller->relay_answer);
  if (retry_after_ms > 0)
    csp_print_buffer (&answer, "Retry-After: %.3f\r\n",
                      (double)retry_after_ms / MS_PER_S);
  if (!csp_caller_keeps_alive (caller))
    csp_print_buffer (&answer, "Connection: close\r\n");
  csp_append_buffer (&answer, "\r\n", 2);
  if (strcmp (csp_caller_request_head (caller)->method, "HEAD") != 0)
    csp_append_buffer (&answer, body, (size_t)body_bytes);
  csp_write_caller (caller, answer.data, answer.size_bytes);
  csp_clear_buffer (&answer);
  csp_finish_caller_answer (caller);
}

void
csp_answer_caller_without_body (csp_caller_t *caller)
{
  static const char answer[] = "HTTP/1.1 204 No Content\r\n\r\n";

  csp_write_caller (caller, answer, sizeof answer - 1);
  csp_finish_caller_answer (caller);
}

bool
csp_caller_is_relay (const csp_caller_t *caller, csp_peer_address_t *host)
{
  *host = caller->relayed_from;
  return caller->is_relay;
}

void
csp_set_relay_answer (csp_caller_t *caller, const char *answer)
{
  caller->relay_answer = answer;
}

void
csp_close_idle_callers (csp_gateway_t *gateway)
{
  csp_caller_t *caller = gateway->callers;

  while (caller != NULL)
    {
      csp_caller_t *next = caller->next;

      if (!caller->lingering && caller->exchange == NULL
          && !csp_http_message_begun (caller->reader))
        csp_linger_caller (caller);
      caller = next;
    }
}

void
csp_close_all_callers (csp_gateway_t *gateway)
{
  while (gateway->callers != NULL)
    csp_close_caller (gateway->callers);
}
