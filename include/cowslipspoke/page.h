#ifndef COWSLIPSPOKE_PAGE_H
#define COWSLIPSPOKE_PAGE_H

#include "cowslipspoke/http.h"

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* Short pages on an address of their own: readiness for the balancer, metrics
   for operators, what one host tells another.  A question may be answered at
   once or held for a while.  */

typedef struct csp_page_server csp_page_server_t;
typedef struct csp_page csp_page_t;

typedef struct
{
  /* A question came; answer it now or later.  */
  void (*asked) (void *state, csp_page_t *page, const csp_http_head_t *head);
  /* The asker of a held question left; the page is no more.  NULL where no
     question is ever held.  */
  void (*left) (void *state, csp_page_t *page);
} csp_page_events_t;

/* Listen; NULL where the port can't be had, and *fault is then libuv's.  */
csp_page_server_t *csp_open_page_server (uv_loop_t *loop,
                                         const struct sockaddr_in *address,
                                         const csp_page_events_t *events,
                                         void *state, int *fault);

/* Close listener and connections; the loop frees them behind.  */
void csp_close_page_server (csp_page_server_t *server);
uint16_t csp_page_server_port (const csp_page_server_t *server);

/* Answer a question; the page is then ready for the next.  */
void csp_answer_page (csp_page_t *page, uint16_t status, const char *type,
                      const void *body, size_t size_bytes);

#endif
