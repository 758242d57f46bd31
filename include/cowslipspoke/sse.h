#ifndef COWSLIPSPOKE_SSE_H
#define COWSLIPSPOKE_SSE_H

#include <stddef.h>

/* Cuts a stream of server-sent events into the payloads of its data lines.
   An event is one data line here, as model engines send them; comments and
   other fields are passed over.  */
typedef struct csp_sse_reader csp_sse_reader_t;

/* Takes one payload, without "data: ", closed by a nul.  Returning non-zero
   stops the reader.  */
typedef int (*csp_sse_take_t) (void *state, char *payload, size_t size_bytes);

/* A reader that refuses a line longer than limit_bytes.  NULL when memory
   fails.  */
csp_sse_reader_t *csp_create_sse_reader (size_t limit_bytes);

/* Free a reader; NULL is allowed.  */
void csp_destroy_sse_reader (csp_sse_reader_t *reader);

/* Forget a line that was cut in the middle; for a new link.  */
void csp_reset_sse_reader (csp_sse_reader_t *reader);

/* Feed what arrived.  0, or -1 when a line is too long, memory fails or take
   stopped it.  */
int csp_feed_sse (csp_sse_reader_t *reader, const char *data,
                  size_t size_bytes, csp_sse_take_t take, void *state);

#endif
