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

/* Whether no byte of the request has left so far.  */
bool csp_nothing_left (CURL *call);

#endif
