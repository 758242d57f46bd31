#ifndef COWSLIPSPOKE_HTTP_IMP_H
#define COWSLIPSPOKE_HTTP_IMP_H

#include "cowslipspoke/http.h"

/* Parse the head in head->bytes, which ends with its empty line.  Its strings
   are terminated in place, in head->bytes.  response_to_head: see
   csp_reset_http_reader.  */
csp_http_fault_t csp_parse_http_head (csp_http_head_t *head,
                                      bool response_to_head);

typedef enum
{
  CSP_CHUNK_SIZE,
  CSP_CHUNK_EXTENSION,
  CSP_CHUNK_SIZE_LF,
  CSP_CHUNK_DATA,
  CSP_CHUNK_DATA_CR,
  CSP_CHUNK_DATA_LF,
  CSP_CHUNK_TRAILER,
  CSP_CHUNK_TRAILER_LINE,
  CSP_CHUNK_TRAILER_LF,
  CSP_CHUNK_LAST_LF,
  CSP_CHUNK_DONE
} csp_chunk_state_t;

/* The parser state within a chunked body.  */
typedef struct
{
  csp_chunk_state_t state;
  uint64_t left_bytes;
  uint32_t digits;
  uint32_t line_bytes;
  uint32_t trailer_bytes;
} csp_chunk_reader_t;

/* Read the next part of a chunked body.  Like csp_read_http, but returns only
   MORE, BODY, END or FAULT.  */
csp_http_step_t csp_read_chunks (csp_chunk_reader_t *chunks, const char *data,
                                 size_t size_bytes, size_t *used,
                                 const char **piece, size_t *piece_bytes);

#endif
