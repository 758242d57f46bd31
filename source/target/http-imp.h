#ifndef COWSLIPSPOKE_TARGET_HTTP_IMP_H
#define COWSLIPSPOKE_TARGET_HTTP_IMP_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdio.h>

#include "cowslipspoke/engine.h"

enum
{
  CSP_URL_BYTES = 1024
};

/* The head of a call's answer, as far as it has come.  */
typedef struct
{
  bool is_whole; /* the final answer's, to its empty line */
  bool not_run;  /* it states that the target started nothing; to be used of a
                    whole head only */
  bool is_interim;
} csp_answer_head_t;

/* Creates a curl handle for one call on its own connection; NULL when out of
   memory.  Its header callback reads into *head, which must outlive the call,
   and fails the call where a line can't be part of an answer.

   A call ends successfully also where the connection was closed in the middle
   of the head, with the status that came and no body.  So an answer counts
   only if its head is whole.  */
CURL *csp_create_call (const csp_endpoint_t *endpoint, const char *path,
                       uint32_t connect_timeout_ms, csp_answer_head_t *head);

/* may_send (state) is called when the connection is established, before the
   first byte of the request is sent; false ends the call.  */
typedef struct
{
  csp_may_send_t may_send;
  void *state;
} csp_send_gate_t;

/* Sets the gate, which must outlive the call; may_send may be NULL.  */
void csp_set_send_gate (CURL *call, csp_send_gate_t *gate);

/* Whether no byte of the request has been sent.  */
bool csp_is_nothing_sent (CURL *call);

#endif
