#ifndef COWSLIPSPOKE_PAGE_H
#define COWSLIPSPOKE_PAGE_H

#include "cowslipspoke/http.h"

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* A small HTTP server on an address of its own, for readiness checks of the
   load balancer, metrics and lists that hosts send each other.  A request may
   be answered at once or later, as for long polling.  */

typedef struct csp_page_server csp_page_server_t;

/* A connection of a client.  It has at most one request at a time.  */
typedef struct csp_page_connection csp_page_connection_t;

typedef struct
{
  /* Called for each request, which is answered now or later.  */
  void (*on_request) (void *state, csp_page_connection_t *connection,
                      const csp_http_head_t *head);
  /* Called when the connection closes before its request was answered;
     connection must not be used afterwards.  May be NULL if all requests are
     answered at once.  */
  void (*on_disconnect) (void *state, csp_page_connection_t *connection);
} csp_page_events_t;

/* Start to listen.  On failure NULL, and *fault is libuv's error code.  */
csp_page_server_t *csp_open_page_server (uv_loop_t *loop,
                                         const struct sockaddr_in *address,
                                         const csp_page_events_t *events,
                                         void *state, int *fault);

/* Close the listener and all connections.  They are freed when the event loop
   has run their close callbacks.  */
void csp_close_page_server (csp_page_server_t *server);
uint16_t csp_page_server_port (const csp_page_server_t *server);

/* Answer the connection's request.  The connection then waits for the next
   request, or is closed unless it is kept alive.  */
void csp_answer_page_request (csp_page_connection_t *connection,
                              uint16_t status, const char *type,
                              const void *body, size_t size_bytes);

#endif
