#ifndef COWSLIPSPOKE_SERVICE_CALL_H
#define COWSLIPSPOKE_SERVICE_CALL_H

#include "cowslipspoke/engine.h"

/* One HTTP call of a plain service.  */
typedef struct
{
  csp_endpoint_t endpoint;
  const char *method;
  const char *path; /* including the query */
  const char *content_type;
  const char *body;
  size_t body_bytes;
  const char *request_id;
  uint32_t connect_timeout_ms;
  size_t answer_limit_bytes;
  csp_may_send_t may_send; /* NULL: always */
  csp_check_link_t check;
  void *state;
} csp_service_link_t;

enum
{
  CSP_CONTENT_TYPE_BYTES = 128
};

/* The service's answer; the caller of this interface frees body.  */
typedef struct
{
  uint16_t status;
  char content_type[CSP_CONTENT_TYPE_BYTES];
  char *body;
  size_t body_bytes;
  bool may_have_been_sent;
} csp_service_answer_t;

/* Makes the call.  Returns CSP_LINK_COMPLETE for any answer of the service,
   also for its own errors.  Blocks; to be called on a traffic thread.  */
csp_link_end_t csp_run_service_link (const csp_service_link_t *link,
                                     csp_service_answer_t *answer);

#endif
