#ifndef COWSLIPSPOKE_TARGET_HTTP_IMP_H
#define COWSLIPSPOKE_TARGET_HTTP_IMP_H

#include <curl/curl.h>
#include <stdio.h>

#include "cowslipspoke/engine.h"

enum
{
  CSP_URL_BYTES = 1024
};

/* Creates a curl handle for one call on its own connection; NULL when out of
   memory.  */
CURL *csp_create_call (const csp_endpoint_t *endpoint, const char *path,
                       uint32_t connect_timeout_ms);

/* may_send (state) is called when the connection is established, before the
   first byte of the request is sent; false ends the call.  */
typedef struct
{
  csp_may_send_t may_send;
  void *state;
} csp_send_gate_t;

/* Sets the gate, which must outlive the call; may_send may be NULL.  */
void csp_set_send_gate (CURL *call, csp_send_gate_t *gate);

/* Whether a header line may be part of an answer; a call whose header callback
   returns 0 otherwise fails.  csp_create_call sets such a callback.  */
bool csp_is_answer_line (const char *line, size_t size_bytes);

/* Whether a header line is the target's statement that nothing was
   started.  */
bool csp_is_not_run_header (const char *line, size_t size_bytes);

/* Whether no byte of the request has been sent.  */
bool csp_is_nothing_sent (CURL *call);

#endif
