#ifndef COWSLIPSPOKE_HTTP_H
#define COWSLIPSPOKE_HTTP_H

#include "cowslipspoke/buffer.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A strict reader of HTTP/1.1 messages, for requests and responses.

   Request smuggling: if this host and the target parse the same bytes
   differently, a caller can hide a second request that the host never checks.
   So everything that RFC 9112 lets a parser tolerate is refused: bare line
   feeds, folded lines, a space before the colon, repeated lengths, a length
   together with a transfer coding.  The http-parser library parses the start
   line and the fields, but accepts such input, so raw bytes and chunk framing
   are checked here.  */

enum
{
  CSP_HTTP_FIELDS_MAX = 100,
  /* The extensions of one chunk size line.  */
  CSP_HTTP_CHUNK_LINE_BYTES = 1024,
  /* All trailer fields of a message together.  */
  CSP_HTTP_TRAILER_BYTES = 8192
};

typedef enum
{
  CSP_HTTP_REQUEST,
  CSP_HTTP_RESPONSE
} csp_http_message_kind_t;

/* What marks the end of a body.  */
typedef enum
{
  CSP_BODY_NONE,
  CSP_BODY_LENGTH,
  CSP_BODY_CHUNKED,
  CSP_BODY_UNTIL_CLOSE
} csp_body_framing_t;

/* A header field.  Both strings end with a nul and point into the head's
   buffer.  */
typedef struct
{
  const char *name;
  const char *value;
} csp_http_field_t;

/* The head of a message: everything up to and including the empty line.
   method and target are "" in responses.  */
typedef struct
{
  csp_http_message_kind_t kind;
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
  CSP_HTTP_NO_FAULT,
  CSP_HTTP_MALFORMED,
  CSP_HTTP_HEAD_TOO_LARGE,
  CSP_HTTP_BODY_TOO_LARGE,
  CSP_HTTP_NO_MEMORY
} csp_http_fault_t;

/* What one step of reading produced.  */
typedef enum
{
  CSP_HTTP_NEED_MORE, /* all bytes were consumed and more are needed */
  CSP_HTTP_HEAD,      /* the head is complete; csp_http_head returns it */
  CSP_HTTP_BODY,      /* a piece of the body */
  CSP_HTTP_END,       /* the message is complete */
  CSP_HTTP_FAULT      /* the message is refused; csp_http_fault says why */
} csp_http_step_t;

typedef struct csp_http_reader csp_http_reader_t;

/* Size limits of one message.  */
typedef struct
{
  uint64_t head_max_bytes;
  uint64_t body_max_bytes;
} csp_http_limits_t;

csp_http_reader_t *csp_create_http_reader (csp_http_message_kind_t kind,
                                           csp_http_limits_t limits);
void csp_destroy_http_reader (csp_http_reader_t *reader);

/* Reset the reader for the next message.  response_to_head: the message is a
   response to HEAD, which has no body whatever its fields say.  */
void csp_reset_http_reader (csp_http_reader_t *reader,
                            csp_http_limits_t limits, bool response_to_head);

/* Sets other limits, before a message has begun.  */
void csp_limit_http_reader (csp_http_reader_t *reader,
                            csp_http_limits_t limits);

/* Read the next part of a message from data; *used is how many bytes were
   consumed.  Call again with the rest until the result is
   CSP_HTTP_NEED_MORE, CSP_HTTP_END or CSP_HTTP_FAULT.  With
   CSP_HTTP_BODY, *piece points to *piece_bytes of body within data.  */
csp_http_step_t csp_read_http (csp_http_reader_t *reader, const char *data,
                               size_t size_bytes, size_t *used,
                               const char **piece, size_t *piece_bytes);

/* Handle the peer's close of the connection.  True if the message is complete:
   it was so before, or the close ends its body.  */
bool csp_handle_http_eof (csp_http_reader_t *reader);

/* Whether any byte of the current message was read.  */
bool csp_http_message_begun (const csp_http_reader_t *reader);
bool csp_http_head_complete (const csp_http_reader_t *reader);

/* The head of the current message; valid until the reader is reset.  */
const csp_http_head_t *csp_http_head (const csp_http_reader_t *reader);
csp_http_fault_t csp_http_fault (const csp_http_reader_t *reader);

/* The value of the first field with this name, case-insensitive; NULL if there
   is none.  */
const char *csp_find_http_field (const csp_http_head_t *head,
                                 const char *name);

/* Parse a number of seconds as in Retry-After, with or without a fraction.
   Values too large for *time_ms become UINT32_MAX.  False for anything else,
   such as a date or a negative number.  */
bool csp_parse_http_seconds (const char *value, uint32_t *time_ms);

/* Whether a field is hop-by-hop, so that it isn't forwarded: those of RFC
   9110, section 7.6.1, Expect, the framing fields, and fields that Connection
   names.  */
bool csp_is_hop_by_hop_field (const csp_http_head_t *head, const char *name);

/* Whether a line begins an answer: HTTP/1.x and a status of three digits, from
   100 to 599.  101 is none, since no other protocol is ever asked for.  */
bool csp_is_http_status_line (const char *line, size_t size_bytes);

/* The standard reason phrase of a status code; "Unknown" if there is none.  */
const char *csp_http_reason_phrase (uint16_t status);

/* Append a value to the query of a request's target; bytes that would end or
   split it are percent-encoded.  */
bool csp_append_query_value (csp_buffer_t *buffer, const char *value);

/* Append a piece of a body as a chunk.  A piece of 0 bytes is skipped, since
   an empty chunk would end the body.  */
bool csp_append_chunk (csp_buffer_t *buffer, const void *data,
                       size_t size_bytes);

/* The chunk that ends a chunked body, with no trailers.  */
extern const char csp_last_chunk[];

#endif
