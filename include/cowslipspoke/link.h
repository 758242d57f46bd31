#ifndef COWSLIPSPOKE_LINK_H
#define COWSLIPSPOKE_LINK_H

#include "cowslipspoke/http.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/* One HTTP/1.1 connection to a server, on an event loop.  It carries one
   request at a time and is kept for the next only where nothing about it is
   in doubt: the whole request left, the whole answer came, and no byte
   behind it.  */

typedef struct csp_link csp_link_t;

/* How a request ended without its whole answer.  */
typedef enum
{
  CSP_LINK_UNREACHABLE, /* no connection: no byte left */
  CSP_LINK_CLOSED,      /* closed by the server before the answer's end */
  CSP_LINK_RESET,
  CSP_LINK_MALFORMED /* the bytes are no answer */
} csp_link_failure_t;

/* What the owner of a request is told.  After ended or failed the link
   forgets the owner; it is the owner's to keep or close the link.  */
typedef struct
{
  void (*answered) (void *state, const csp_http_head_t *head);
  void (*body) (void *state, const char *piece, size_t piece_bytes);
  void (*ended) (void *state);
  void (*failed) (void *state, csp_link_failure_t why);
  /* What had waited to be written has left.  */
  void (*drained) (void *state);
} csp_link_events_t;

/* Told once when a link without a request is no longer of use; the link is
   then closed by itself.  */
typedef void (*csp_link_lost_t) (void *state, csp_link_t *link);

/* Connect; what is written before the connection stands waits for it.  NULL
   when memory or descriptors fail.  */
csp_link_t *csp_open_link (uv_loop_t *loop, const struct sockaddr_in *address,
                           uint32_t connect_timeout_ms);

/* Begin a request.  headless: it is a HEAD.  */
void csp_start_link_request (csp_link_t *link, const csp_link_events_t *events,
                             void *state, bool headless);

/* Write bytes of the request; false when memory fails.  */
bool csp_write_link (csp_link_t *link, const void *data, size_t size_bytes);

/* The whole request was written.  Without this the link isn't kept.  */
void csp_finish_link_request (csp_link_t *link);

/* Bytes that wait to be written.  */
size_t csp_link_backlog (const csp_link_t *link);

/* Whether a byte of the request may have reached the server.  While false the
   request has not run and will not, once the link is closed.  */
bool csp_link_sent (const csp_link_t *link);

/* Stop or go on reading answers, while their reader is slow.  */
void csp_pause_link (csp_link_t *link, bool pause);

/* Whether the link can carry a further request, so many milliseconds from
   now by the server's own word; 0 where it can't.  */
uint32_t csp_link_usable_ms (const csp_link_t *link);

/* Watch an idle link: lost is told when the server closes it or sends
   unasked bytes.  */
void csp_park_link (csp_link_t *link, csp_link_lost_t lost, void *state);

/* Close at once, whatever it does; the owner hears nothing more.  */
void csp_close_link (csp_link_t *link);

/* Write to a stream: at once where the kernel takes it, else queued.  False
   when memory fails or the stream is broken.  */
bool csp_write_stream (uv_stream_t *stream, const void *data,
                       size_t size_bytes, uv_write_cb written, void *state);

/* Room for one read, shared by all connections of a thread.  */
void csp_share_read_room (uv_handle_t *handle, size_t suggested_bytes,
                          uv_buf_t *room);

#endif
