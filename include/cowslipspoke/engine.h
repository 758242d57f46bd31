#ifndef COWSLIPSPOKE_ENGINE_H
#define COWSLIPSPOKE_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "cowslipspoke/clock.h"
#include "cowslipspoke/generation.h"
#include "cowslipspoke/names.h"
#include "cowslipspoke/recovery.h"

/* Calls to one target over HTTP, as docs/ENGINE.md states them.  Every call
   opens a connection of its own: a library that keeps connections sends a
   request a second time by itself when a kept one turns out to be dead, and
   a call that must run once would run twice.  */

enum
{
  CSP_ENGINE_MESSAGE_BYTES = 160
};

/* Where a target listens; ca_file names the certificates that it is checked
   against and is NULL for plain HTTP.  */
typedef struct
{
  char address[CSP_ADDRESS_BYTES];
  uint16_t port;
  const char *ca_file;
} csp_endpoint_t;

/* Takes a token that is to be delivered; chunk_json is the event as it came.
   Non-zero when the caller is gone.  */
typedef int (*csp_take_delivery_t) (void *state, const csp_token_t *token,
                                    const char *chunk_json);

/* Asked a few times a second while a link is open; an answer other than
   CSP_LINK_COMPLETE ends the link with it.  */
typedef csp_link_end_t (*csp_check_link_t) (void *state);

/* Asked when a connection stands and no byte of the request has left; false
   ends the link as CSP_LINK_NO_CONNECT.  */
typedef bool (*csp_may_send_t) (void *state);

/* One link to an engine: a start, or a resume when resume is true.  */
typedef struct
{
  csp_endpoint_t endpoint;
  const char *path; /* of the start, such as "/v1/completions" */
  const char *body; /* of the start */
  bool resume;
  uint8_t priority;
  const char *request_id;
  uint32_t connect_timeout_ms;
  uint32_t first_token_timeout_ms;
  uint32_t stall_timeout_ms;
  const csp_clock_t *clock;
  csp_may_send_t may_send; /* NULL: always */
  csp_take_delivery_t deliver;
  csp_check_link_t check;
  void *state;
} csp_link_t;

/* What a link left behind besides its end.  */
typedef struct
{
  bool byte_left;     /* a byte that could start work may have left */
  uint16_t status;    /* of HTTP; 0 when none arrived */
  uint64_t delivered; /* tokens on this link */
  char message[CSP_ENGINE_MESSAGE_BYTES]; /* the target's own words */
} csp_link_report_t;

/* Run one link to its end.  Blocks; for a traffic thread.  */
csp_link_end_t csp_run_link (const csp_link_t *link,
                             csp_generation_t *generation,
                             csp_link_report_t *report);

/* Tell an engine to stop a generation.  0 when it answered.  */
int csp_cancel_generation (const csp_endpoint_t *endpoint,
                           const char *generation_id, uint32_t timeout_ms);

#endif
