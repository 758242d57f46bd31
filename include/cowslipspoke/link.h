#ifndef COWSLIPSPOKE_LINK_H
#define COWSLIPSPOKE_LINK_H

#include "cowslipspoke/clock.h"
#include "cowslipspoke/http.h"

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/* A link is an HTTP/1.1 client connection on an event loop.  It carries one
   request at a time and may be reused only when the whole request was sent,
   the whole answer was received and no byte came after it.  */

typedef struct csp_link csp_link_t;

/* Why a request ended without a complete answer.  */
typedef enum
{
  CSP_LINK_UNREACHABLE, /* no connection, no byte sent */
  CSP_LINK_CLOSED,      /* the server closed before the answer's end */
  CSP_LINK_RESET,
  CSP_LINK_MALFORMED /* the bytes are no HTTP answer */
} csp_link_failure_t;

/* Callbacks for the owner of a request.  After ended or failed the link makes
   no further call; the owner then keeps or closes the link.  */
typedef struct
{
  void (*answered) (void *state, const csp_http_head_t *head);
  void (*body) (void *state, const char *piece, size_t piece_bytes);
  void (*ended) (void *state);
  void (*failed) (void *state, csp_link_failure_t failure);
  /* Bytes that were queued have been written.  */
  void (*drained) (void *state);
} csp_link_events_t;

/* Called once when an idle link can't be used any more; the link then closes
   itself.  */
typedef void (*csp_link_lost_t) (void *state, csp_link_t *link);

/* Starts to connect.  Bytes written before the connection is established are
   queued.  Returns NULL when memory or descriptors run out.  */
csp_link_t *csp_open_link (uv_loop_t *loop, const struct sockaddr_in *address,
                           uint32_t connect_timeout_ms);

/* The same, from a given address of this host with any port.  */
csp_link_t *csp_open_link_from (uv_loop_t *loop,
                                const struct sockaddr_in *source,
                                const struct sockaddr_in *address,
                                uint32_t connect_timeout_ms);

/* Begins a request.  headless: it is a HEAD request, whose answer has no
   body.  */
void csp_start_link_request (csp_link_t *link, const csp_link_events_t *events,
                             void *state, bool headless);

/* Writes bytes of the request; returns false when out of memory or when the
   link is closed.  */
bool csp_write_link (csp_link_t *link, const void *data, size_t size_bytes);

/* Marks the request as completely written.  Without this call the link isn't
   reused.  */
void csp_finish_link_request (csp_link_t *link);

/* Number of bytes that are queued for writing.  */
size_t csp_link_backlog (const csp_link_t *link);

/* Whether a byte of the request may have reached the server.  If not, closing
   the link guarantees that the request isn't run.  */
bool csp_link_has_sent (const csp_link_t *link);

/* Whether bytes have come in answer to the request.  */
bool csp_link_is_answering (const csp_link_t *link);

/* Whether the connection is established.  */
bool csp_is_link_connected (const csp_link_t *link);

/* Whether the link failed because the connection wasn't established in
   time.  */
bool csp_link_timed_out (const csp_link_t *link);

/* Whether the connection carried a request before this one.  */
bool csp_link_is_reused (const csp_link_t *link);

/* Stops or resumes reading the answer; used while its consumer is slow.  */
void csp_pause_link (csp_link_t *link, bool pause);

/* For how many milliseconds from now the server keeps the link for a further
   request, by its Keep-Alive header or a default; 0 when the link can't be
   reused.  */
uint32_t csp_link_reusable_ms (const csp_link_t *link);

/* Watches an idle link: calls lost when the server closes it or sends bytes
   without a request.  */
void csp_watch_idle_link (csp_link_t *link, csp_link_lost_t lost, void *state);

/* Closes the link at once; no callback is called after this.  */
void csp_close_link (csp_link_t *link);

/* Writes to a stream: directly as far as the kernel accepts the bytes, the
   rest is queued.  Returns 0, or libuv's error.  */
int csp_write_stream (uv_stream_t *stream, const void *data, size_t size_bytes,
                      uv_write_cb written, void *state);

/* What the connections of an event loop have carried: bytes that the kernel
   took or gave, and in how many writes and reads; and the links that were
   opened, with the least time that one took since the owner reset it.  */
typedef struct
{
  uint64_t written_bytes;
  uint64_t writes;
  uint64_t read_bytes;
  uint64_t reads;
  uint64_t connects;
  uint32_t least_connect_ms;
  csp_clock_t clock; /* set by the owner: measures how long links take */
} csp_stream_counts_t;

/* Counts from now on what csp_write_stream writes on the loop's connections,
   and the loop's links; reads are counted by who handles them.  */
void csp_set_stream_counts (uv_loop_t *loop, csp_stream_counts_t *counts);
void csp_count_stream_read (const uv_stream_t *stream, size_t size_bytes);

/* A libuv allocation callback: returns one read buffer that all connections of
   a thread share.  */
void csp_share_read_buffer (uv_handle_t *handle, size_t suggested_bytes,
                            uv_buf_t *read_buffer);

#endif
