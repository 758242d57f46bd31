#ifndef CSP_GATEWAY_CALLER_IMP_H
#define CSP_GATEWAY_CALLER_IMP_H

#include "gateway/gateway-imp.h"

/* Both halves of a caller's connection: gateway-caller.c reads requests,
   gateway-caller-answer.c writes answers and closes the connection.  */

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
  int64_t began_ms; /* when the first byte of the current request came */
  int64_t last_read_ms;
  bool request_whole;
  bool in_body;
  bool parsing;
  bool paused; /* by the exchange, while its target reads slowly */
  /* The rest of the request's body stays in pending, as no target is connected
     that takes it.  */
  bool holds_body;
  bool reading;
  bool keep_alive;
  bool lingering; /* the last answer is written; unread bytes are dropped */
  size_t unwritten_bytes; /* while lingering: when it was last looked at */
  int64_t linger_until_ms;
  bool closed;
  bool is_relay; /* another host that relays requests */
  csp_peer_address_t relayed_from;
  const char *relay_answer; /* in the next answer of this host to it */
};

/* Reading: the operator's limits for the caller's next request.  */
csp_http_limits_t csp_reader_limits (const csp_caller_t *caller);

/* Parse the bytes that came after the last request.  */
void csp_parse_caller_input (csp_caller_t *caller);

/* Restart the timer for the next read timeout.  */
void csp_set_caller_timer (csp_caller_t *caller);

/* Answering: close the caller's handles and abandon its exchange.  */
void csp_close_caller (csp_caller_t *caller);

/* Answer what another host has sent unless it is a relayed request; then
   return false.  */
bool csp_handle_relay_offer (csp_caller_t *caller);

/* Close callback of the caller's handles.  */
void csp_caller_closed (uv_handle_t *handle);

/* Close the write side and let the caller read to the end.  */
void csp_linger_caller (csp_caller_t *caller);

#endif
