#ifndef COWSLIPSPOKE_FETCHER_H
#define COWSLIPSPOKE_FETCHER_H

#include "cowslipspoke/engine.h"

/* Reads over HTTP that the control thread wants and must not wait for: the
   configuration service, the host list, load reports of engines.  A few
   threads serve a queue of them.  */
typedef struct csp_fetcher csp_fetcher_t;

/* Takes an answer, on a thread of the fetcher.  body is NULL when no answer
   with status 200 came; it ends with a nul and is freed behind the call.  */
typedef void (*csp_take_fetched_t) (void *state, const char *body,
                                    size_t size_bytes);

/* A fetcher with so many threads.  NULL when they can't be started.  */
csp_fetcher_t *csp_create_fetcher (uint32_t threads);

/* Stop: what waits is answered with NULL, what is on its way is awaited for
   at most its timeout.  NULL is allowed.  */
void csp_destroy_fetcher (csp_fetcher_t *fetcher);

/* Queue a read, or a post where post_body is not NULL.  done is always called
   once, also at once when memory fails.  */
void csp_fetch (csp_fetcher_t *fetcher, const csp_endpoint_t *endpoint,
                const char *path, const char *post_body, uint32_t timeout_ms,
                csp_take_fetched_t done, void *state);

/* Asked on a thread of the fetcher immediately before a byte leaves; false
   keeps the post from being sent.  */
typedef bool (*csp_may_send_t) (void *state);

enum
{
  /* Statuses of a post without an answer: it may have arrived, or not a byte
     of it has left.  */
  CSP_POST_LOST = 0,
  CSP_POST_NOT_SENT = -1
};

/* Takes the status of a post, on a thread of the fetcher.  */
typedef void (*csp_take_status_t) (void *state, long status);

/* Queue a post whose status matters.  may_send closes the time between the
   decision and the send, in which the process may have been paused.  done is
   always called once.  */
void csp_post (csp_fetcher_t *fetcher, const csp_endpoint_t *endpoint,
               const char *path, const char *body, uint32_t timeout_ms,
               csp_may_send_t may_send, csp_take_status_t done, void *state);

#endif
