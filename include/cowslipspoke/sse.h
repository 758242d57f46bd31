#ifndef COWSLIPSPOKE_SSE_H
#define COWSLIPSPOKE_SSE_H

#include <stddef.h>

/* Splits a stream of server-sent events into the payloads of its data lines.
   Each data line counts as one event, as model engines send them; comments and
   other fields are ignored.  */
typedef struct csp_sse_reader csp_sse_reader_t;

/* Receives one payload, without "data: " and with a terminating nul.  A
   non-zero result stops the reader.  */
typedef int (*csp_sse_callback_t) (void *state, char *payload,
                                   size_t size_bytes);

/* Creates a reader that rejects lines longer than limit_bytes; NULL when out
   of memory.  */
csp_sse_reader_t *csp_create_sse_reader (size_t limit_bytes);

/* Frees a reader; NULL is allowed.  */
void csp_destroy_sse_reader (csp_sse_reader_t *reader);

/* Discards an incomplete line, before a new link is read.  */
void csp_reset_sse_reader (csp_sse_reader_t *reader);

/* Parses received bytes.  Returns 0, or -1 when a line is too long, memory
   runs out or the callback stopped the reader.  */
int csp_feed_sse (csp_sse_reader_t *reader, const char *data,
                  size_t size_bytes, csp_sse_callback_t callback, void *state);

#endif
