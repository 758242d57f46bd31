#ifndef COWSLIPSPOKE_GENERATE_IMP_H
#define COWSLIPSPOKE_GENERATE_IMP_H

#include "entry/entry-imp.h"

/* The state of one generation request while it is served.  */
typedef struct
{
  csp_entry_exchange_t *exchange;
  csp_request_t *request;
  const csp_route_t *route;
  csp_admission_ask_t ask;
  csp_grant_t grant;
  csp_attempt_t attempt;
  csp_generation_t generation;
  uint32_t generations;
  int64_t last_token_ms;
  int64_t last_write_ms; /* last write to the caller */
  int64_t first_token_ms;
  uint32_t worst_gap_ms;
  int64_t last_token_us;
  int64_t stall_us;
  int64_t blocked_us; /* writing to the caller, since the last progress
                         report */
  bool stream_began;
  bool grant_lost; /* no longer valid when the request was to be sent */
  char *text;      /* collected for an answer without streaming */
  size_t text_bytes;
  char finish_reason[32];
} csp_generation_run_t;

/* Delivers a token: sends it as an event, or collects it for an answer without
   streaming.  Returns non-zero when the caller is gone or the token can't be
   stored.  A csp_deliver_token_t.  */
int csp_deliver_token (void *state, const csp_token_t *token,
                       const char *chunk_json);

/* Determines the route, the class and the terms of the request.  Returns 0, or
   -1 with an error.  */
int csp_prepare_generation (csp_generation_run_t *run, csp_error_t *error);

/* Sends the end of the answer, updates the metrics and logs the request.  */
void csp_finish_generation (csp_generation_run_t *run, int result,
                            csp_link_end_t end, const csp_error_t *error);

#endif
