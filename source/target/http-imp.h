#ifndef COWSLIPSPOKE_TARGET_HTTP_IMP_H
#define COWSLIPSPOKE_TARGET_HTTP_IMP_H

#include <curl/curl.h>
#include <stdio.h>

#include "cowslipspoke/engine.h"

enum
{
  CSP_URL_BYTES = 1024
};

/* A handle for one call on a connection of its own.  NULL when memory
   fails.  */
CURL *csp_create_call (const csp_endpoint_t *endpoint, const char *path,
                       uint32_t connect_timeout_ms);

/* Have may_send (state) asked when the connection stands and before the first
   byte of the request; false ends the call.  */
typedef struct
{
  csp_may_send_t may_send;
  void *state;
} csp_send_gate_t;

/* Set a gate, which must outlive the call; may_send may be NULL.  */
void csp_set_send_gate (CURL *call, csp_send_gate_t *gate);

/* Whether an HTTP header line is the target's word that nothing was started.
 */
bool csp_says_not_run (const char *line, size_t size_bytes);

/* Whether no byte of the request has left so far.  */
bool csp_nothing_left (CURL *call);

#endif
