#ifndef CSP_GATEWAY_CALLER_IMP_H
#define CSP_GATEWAY_CALLER_IMP_H

#include "gateway/gateway-imp.h"

/* The two halves of a caller's connection: gateway-caller.c reads requests,
   gateway-caller-answer.c writes answers and closes.  */

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

/* Reading: what the operator allows callers, for the next request.  */
csp_http_limits_t csp_reader_limits (const csp_gateway_t *gateway);

/* Read on in what came behind the last request.  */
void csp_feed_caller (csp_caller_t *caller);

/* Count the caller's patience, or ours, anew.  */
void csp_set_caller_timer (csp_caller_t *caller);

/* Answering: the caller's handles close, and what is under way for it ends. */
void csp_close_caller (csp_caller_t *caller);

/* A handle of it has closed.  */
void csp_caller_closed (uv_handle_t *handle);

/* Close the write side and let the caller read to the end.  */
void csp_linger_caller (csp_caller_t *caller);

#endif
