#ifndef COWSLIPSPOKE_GENERATE_IMP_H
#define COWSLIPSPOKE_GENERATE_IMP_H

#include "entry/entry-imp.h"

/* A generation on its way to its caller.  */
typedef struct
{
  csp_exchange_t *exchange;
  csp_request_t *request;
  const csp_route_t *route;
  csp_admission_ask_t ask;
  csp_grant_t grant;
  csp_attempt_t attempt;
  csp_generation_t generation;
  uint32_t generations;
  int64_t last_token_ms;
  int64_t last_sign_ms; /* when the caller was last written to */
  int64_t first_token_ms;
  uint32_t worst_gap_ms;
  int64_t last_token_us;
  int64_t stall_us;
  int64_t blocked_us; /* waiting for the caller, since the last progress */
  bool began;
  bool lost_place; /* the grant had run out before a byte left */
  char *text;      /* of a whole answer */
  size_t text_bytes;
  char finish_reason[32];
} csp_run_t;

/* Take a token for the caller: stream it, or keep it for a whole answer.
   Non-zero when the caller is gone.  A csp_take_delivery_t.  */
int csp_deliver_token (void *state, const csp_token_t *token,
                       const char *chunk_json);

/* Read route, class and rules: what the request is and on which terms.  0, or
   -1 with an error.  */
int csp_prepare_run (csp_run_t *run, csp_error_t *error);

/* Send what ends an answer, count it and log it.  */
void csp_finish_run (csp_run_t *run, int result, csp_link_end_t end,
                     const csp_error_t *error);

#endif
