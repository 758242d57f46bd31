#ifndef COWSLIPSPOKE_HTTP_H
#define COWSLIPSPOKE_HTTP_H

#include "cowslipspoke/buffer.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One strict reader of HTTP/1.1 for both directions.

   A request that two readers on its way take for different requests lets a
   caller hide a second request inside the first: the host checks one and the
   target runs another.  So whatever RFC 9112 leaves to the reader's taste
   (bare line feeds, folded lines, a space before the colon, two lengths, a
   length beside a coding) is refused.  The packaged http-parser reads start
   line and fields; the checks on raw bytes and the chunk framing are ours,
   since that library lets them pass.  */

enum
{
  CSP_HTTP_FIELDS_MAX = 100,
  /* Chunk size lines with extensions, and trailers, in all.  */
  CSP_HTTP_CHUNK_LINE_BYTES = 1024,
  CSP_HTTP_TRAILER_BYTES = 8192
};

typedef enum
{
  CSP_HTTP_REQUEST,
  CSP_HTTP_ANSWER
} csp_http_side_t;

/* How the end of a body is told.  */
typedef enum
{
  CSP_BODY_NONE,
  CSP_BODY_LENGTH,
  CSP_BODY_CHUNKED,
  CSP_BODY_UNTIL_CLOSE
} csp_body_framing_t;

/* A field; both texts end with a nul and lie in the head's buffer.  */
typedef struct
{
  const char *name;
  const char *value;
} csp_http_field_t;

/* A message up to its empty line.  method and target are "" in answers.  */
typedef struct
{
  csp_http_side_t side;
  csp_buffer_t bytes;
  const char *method;
  const char *target;
  uint16_t status;
  uint8_t minor_version;
  bool keep_alive;
  csp_body_framing_t framing;
  uint64_t length_bytes;
  size_t field_count;
  csp_http_field_t fields[CSP_HTTP_FIELDS_MAX];
} csp_http_head_t;

/* Why a message was refused.  */
typedef enum
{
  CSP_HTTP_FINE,
  CSP_HTTP_MALFORMED,
  CSP_HTTP_HEAD_TOO_LARGE,
  CSP_HTTP_BODY_TOO_LARGE,
  CSP_HTTP_NO_MEMORY
} csp_http_fault_t;

/* What the next bytes amounted to.  */
typedef enum
{
  CSP_HTTP_MORE, /* all bytes are used, nothing new is whole */
  CSP_HTTP_HEAD, /* the head is whole; csp_http_head has it */
  CSP_HTTP_BODY, /* a piece of the body */
  CSP_HTTP_END,  /* the message is whole */
  CSP_HTTP_FAULT
} csp_http_step_t;

typedef struct csp_http_reader csp_http_reader_t;

/* Bounds of one message, in bytes.  */
typedef struct
{
  uint64_t head_max_bytes;
  uint64_t body_max_bytes;
} csp_http_limits_t;

csp_http_reader_t *csp_create_http_reader (csp_http_side_t side,
                                           csp_http_limits_t limits);
void csp_destroy_http_reader (csp_http_reader_t *reader);

/* Make ready for the next message.  headless: the answer has no body whatever
   its fields say, as one to HEAD.  */
void csp_next_http_message (csp_http_reader_t *reader,
                            csp_http_limits_t limits, bool headless);

/* Read on from data; *used tells how many bytes were taken.  Call again with
   the rest until MORE, END or FAULT.  With CSP_HTTP_BODY, *piece and
   *piece_bytes lie within data.  */
csp_http_step_t csp_read_http (csp_http_reader_t *reader, const char *data,
                               size_t size_bytes, size_t *used,
                               const char **piece, size_t *piece_bytes);

/* The peer closed its side: true where that ends a whole message.  */
bool csp_close_http (csp_http_reader_t *reader);

/* Whether any byte of a message was read since the last one ended.  */
bool csp_http_began (const csp_http_reader_t *reader);
bool csp_http_head_whole (const csp_http_reader_t *reader);
const csp_http_head_t *csp_http_head (const csp_http_reader_t *reader);
csp_http_fault_t csp_http_fault (const csp_http_reader_t *reader);

/* The value of the first field of a name, any case; NULL where there is
   none.  */
const char *csp_find_http_field (const csp_http_head_t *head,
                                 const char *name);

/* Seconds as Retry-After gives them, whole or with a fraction; what is beyond
   the range counts as its end.  False where the value is none, as a date or a
   negative number.  */
bool csp_read_http_seconds (const char *value, uint32_t *time_ms);

/* Whether a field concerns one connection only, so that it isn't passed on:
   those of RFC 9110, section 7.6.1, and those that Connection names.  */
bool csp_is_hop_field (const csp_http_head_t *head, const char *name);

/* The usual words for a status; "Unknown" where there are none.  */
const char *csp_http_status_words (uint16_t status);

/* Frame a piece of a body as a chunk; a piece of 0 bytes is left out, since
   it would end the body.  */
bool csp_append_chunk (csp_buffer_t *buffer, const void *data,
                       size_t size_bytes);

/* The end of a chunked body.  */
extern const char csp_last_chunk[];

#endif
