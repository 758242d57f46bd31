#ifndef COWSLIPSPOKE_ENGINE_H
#define COWSLIPSPOKE_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "cowslipspoke/clock.h"
#include "cowslipspoke/generation.h"
#include "cowslipspoke/names.h"
#include "cowslipspoke/recovery.h"

/* HTTP calls to a target, as docs/ENGINE.md defines them.  Every call opens
   its own connection: a library that reuses connections repeats a request by
   itself when a reused connection turns out to be dead, and a call that must
   run once would run twice.  */

enum
{
  CSP_ENGINE_MESSAGE_BYTES = 160
};

/* Where a target listens.  ca_file has the certificates that verify the
   target; NULL for plain HTTP.  */
typedef struct
{
  char address[CSP_ADDRESS_BYTES];
  uint16_t port;
  const char *ca_file;
} csp_endpoint_t;

/* Delivers a token to the caller; chunk_json is the event as it was received.
   Returns non-zero when the caller has gone.  */
typedef int (*csp_deliver_token_t) (void *state, const csp_token_t *token,
                                    const char *chunk_json);

/* Called a few times a second while a link is open; a result other than
   CSP_LINK_COMPLETE ends the link with that result.  */
typedef csp_link_end_t (*csp_check_link_t) (void *state);

/* Called when the connection is established and before any byte of the request
   is sent; false ends the link as CSP_LINK_NO_CONNECT.  */
typedef bool (*csp_may_send_t) (void *state);

/* A link to an engine is one HTTP call that starts a generation or, when
   resume is true, resumes it.  */
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
  csp_deliver_token_t deliver;
  csp_check_link_t check;
  void *state;
} csp_engine_link_t;

/* Details of a link that ended.  */
typedef struct
{
  bool
      may_have_been_sent; /* a byte that could start work may have been sent */
  uint16_t status;        /* HTTP status; 0 when none was received */
  uint64_t delivered;     /* tokens delivered on this link */
  char message[CSP_ENGINE_MESSAGE_BYTES]; /* the target's error message */
} csp_engine_link_report_t;

/* Runs one link until it ends.  Blocks; to be called on a traffic thread.  */
csp_link_end_t csp_run_engine_link (const csp_engine_link_t *link,
                                    csp_generation_t *generation,
                                    csp_engine_link_report_t *report);

/* Tells an engine to stop a generation.  Returns 0 when the engine
   answered.  */
int csp_cancel_generation (const csp_endpoint_t *endpoint,
                           const char *generation_id, uint32_t timeout_ms);

#endif
