#ifndef COWSLIPSPOKE_FETCHER_H
#define COWSLIPSPOKE_FETCHER_H

#include "cowslipspoke/engine.h"

/* HTTP requests made for the control thread, which must not block: reads of
   the configuration service, of the host list and of engines' load reports.
   A small pool of threads serves a queue of them.  */
typedef struct csp_fetcher csp_fetcher_t;

/* Receives a response, on a thread of the fetcher.  body is NULL unless a
   response with status 200 arrived; it is nul-terminated and is freed when
   the callback returns.  */
typedef void (*csp_fetch_done_t) (void *state, const char *body,
                                  size_t size_bytes);

/* Create a fetcher with thread_count threads.  NULL when memory or a thread
   can't be had.  */
csp_fetcher_t *csp_create_fetcher (uint32_t thread_count);

/* Stop and free a fetcher.  Queued requests end without being sent; requests
   in flight are aborted, which takes at most their timeout.  The callback of
   each is called first.  NULL is allowed.  */
void csp_destroy_fetcher (csp_fetcher_t *fetcher);

/* Queue a GET, or a POST where post_body is not NULL.  done is called exactly
   once; when memory runs out it is called before csp_fetch returns.  */
void csp_fetch (csp_fetcher_t *fetcher, const csp_endpoint_t *endpoint,
                const char *path, const char *post_body, uint32_t timeout_ms,
                csp_fetch_done_t done, void *state);

/* Called on a thread of the fetcher immediately before the first byte is sent;
   false keeps the POST from being sent.  */
typedef bool (*csp_may_send_t) (void *state);

enum
{
  /* Statuses of a POST without a response: the request may have arrived, or
     no byte of it was sent.  */
  CSP_POST_NO_RESPONSE = 0,
  CSP_POST_NOT_SENT = -1
};

/* Receives the status of a POST, on a thread of the fetcher.  */
typedef void (*csp_post_done_t) (void *state, long status);

/* Queue a POST whose status matters.  may_send repeats the caller's check
   right before the send, since the process may have been paused after the
   caller decided to send.  done is called exactly once.  */
void csp_post (csp_fetcher_t *fetcher, const csp_endpoint_t *endpoint,
               const char *path, const char *body, uint32_t timeout_ms,
               csp_may_send_t may_send, csp_post_done_t done, void *state);

#endif
