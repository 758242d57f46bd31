#include "http/http-imp.h"

#include <stdlib.h>
#include <string.h>

typedef enum
{
  STAGE_HEAD,
  STAGE_BODY,
  STAGE_DONE,
  STAGE_FAULT
} stage_t;

struct csp_http_reader
{
  csp_http_limits_t limits;
  bool response_to_head;
  stage_t stage;
  csp_http_fault_t fault;
  /* After the carriage return of an empty line before a request.  */
  bool in_empty_line;
  /* Bytes of the head that were already searched for its end.  */
  size_t searched_bytes;
  uint64_t left_bytes;
  uint64_t body_bytes;
  csp_chunk_reader_t chunks;
  csp_http_head_t head;
};

static const char head_end[] = "\r\n\r\n";
enum
{
  HEAD_END_BYTES = 4
};

csp_http_reader_t *
csp_create_http_reader (csp_http_message_kind_t kind, csp_http_limits_t limits)
{
  csp_http_reader_t *reader = calloc (1, sizeof *reader);

  if (reader == NULL)
    return NULL;
  reader->head.kind = kind;
  csp_reset_http_reader (reader, limits, false);
  return reader;
}

void
csp_destroy_http_reader (csp_http_reader_t *reader)
{
  if (reader == NULL)
    return;
  csp_clear_buffer (&reader->head.bytes);
  free (reader);
}

void
csp_limit_http_reader (csp_http_reader_t *reader, csp_http_limits_t limits)
{
  reader->limits = limits;
}

void
csp_reset_http_reader (csp_http_reader_t *reader, csp_http_limits_t limits,
                       bool response_to_head)
{
  csp_http_head_t *head = &reader->head;

  reader->limits = limits;
  reader->response_to_head = response_to_head;
  reader->stage = STAGE_HEAD;
  reader->fault = CSP_HTTP_NO_FAULT;
  reader->in_empty_line = false;
  reader->searched_bytes = 0;
  reader->body_bytes = 0;
  memset (&reader->chunks, 0, sizeof reader->chunks);
  csp_clear_buffer (&head->bytes);
  head->method = "";
  head->target = "";
  head->status = 0;
  head->framing = CSP_BODY_NONE;
  head->length_bytes = 0;
  head->field_count = 0;
}

static csp_http_step_t
refuse (csp_http_reader_t *reader, csp_http_fault_t fault)
{
  reader->stage = STAGE_FAULT;
  reader->fault = fault;
  return CSP_HTTP_FAULT;
}

static csp_http_step_t
finish_head (csp_http_reader_t *reader)
{
  csp_http_fault_t fault
      = csp_parse_http_head (&reader->head, reader->response_to_head);

  if (fault != CSP_HTTP_NO_FAULT)
    return refuse (reader, fault);
  if (reader->head.framing == CSP_BODY_LENGTH
      && reader->head.length_bytes > reader->limits.body_max_bytes)
    return refuse (reader, CSP_HTTP_BODY_TOO_LARGE);
  reader->left_bytes = reader->head.length_bytes;
  reader->stage = STAGE_BODY;
  return CSP_HTTP_HEAD;
}

/* Skip empty lines before a request, as RFC 9112, section 2.2, requires of
   servers.  Returns how many bytes were skipped; sets the fault if a carriage
   return isn't followed by a line feed.  */
static size_t
skip_empty_lines (csp_http_reader_t *reader, const char *data,
                  size_t size_bytes)
{
  size_t at = 0;

  if (reader->head.kind != CSP_HTTP_REQUEST
      || reader->head.bytes.size_bytes != 0)
    return 0;
  while (at < size_bytes && (reader->in_empty_line || data[at] == '\r'))
    {
      if (reader->in_empty_line && data[at] != '\n')
        {
          reader->fault = CSP_HTTP_MALFORMED;
          return at;
        }
      reader->in_empty_line = !reader->in_empty_line;
      at++;
    }
  return at;
}

static csp_http_step_t
read_head (csp_http_reader_t *reader, const char *data, size_t size_bytes,
           size_t *used)
{
  csp_buffer_t *bytes = &reader->head.bytes;
  size_t skipped = skip_empty_lines (reader, data, size_bytes);
  size_t before_bytes = bytes->size_bytes;
  const char *end;

  *used = size_bytes;
  if (reader->fault != CSP_HTTP_NO_FAULT)
    return refuse (reader, reader->fault);
  if (skipped == size_bytes)
    return CSP_HTTP_NEED_MORE;
  if (!csp_append_buffer (bytes, data + skipped, size_bytes - skipped))
    return refuse (reader, CSP_HTTP_NO_MEMORY);
  end = memmem (bytes->data + reader->searched_bytes,
                bytes->size_bytes - reader->searched_bytes, head_end,
                HEAD_END_BYTES);
  if (end == NULL)
    {
      if (bytes->size_bytes > reader->limits.head_max_bytes)
        return refuse (reader, CSP_HTTP_HEAD_TOO_LARGE);
      reader->searched_bytes = bytes->size_bytes < HEAD_END_BYTES
                                   ? 0
                                   : bytes->size_bytes - HEAD_END_BYTES + 1;
      return CSP_HTTP_NEED_MORE;
    }
  bytes->size_bytes = (size_t)(end - bytes->data) + HEAD_END_BYTES;
  *used = skipped + bytes->size_bytes - before_bytes;
  if (bytes->size_bytes > reader->limits.head_max_bytes)
    return refuse (reader, CSP_HTTP_HEAD_TOO_LARGE);
  return finish_head (reader);
}

static csp_http_step_t
read_body_piece (csp_http_reader_t *reader, const char *data,
                 size_t size_bytes, size_t *used, const char **piece,
                 size_t *piece_bytes)
{
  if (size_bytes == 0)
    return CSP_HTTP_NEED_MORE;
  *piece = data;
  *piece_bytes = size_bytes < reader->left_bytes ? size_bytes
                                                 : (size_t)reader->left_bytes;
  *used = *piece_bytes;
  reader->left_bytes -= *piece_bytes;
  return CSP_HTTP_BODY;
}

static csp_http_step_t
read_body (csp_http_reader_t *reader, const char *data, size_t size_bytes,
           size_t *used, const char **piece, size_t *piece_bytes)
{
  switch (reader->head.framing)
    {
    case CSP_BODY_NONE:
      return CSP_HTTP_END;
    case CSP_BODY_LENGTH:
      if (reader->left_bytes == 0)
        return CSP_HTTP_END;
      return read_body_piece (reader, data, size_bytes, used, piece,
                              piece_bytes);
    case CSP_BODY_CHUNKED:
      return csp_read_chunks (&reader->chunks, data, size_bytes, used, piece,
                              piece_bytes);
    case CSP_BODY_UNTIL_CLOSE:
      reader->left_bytes = UINT64_MAX;
      return read_body_piece (reader, data, size_bytes, used, piece,
                              piece_bytes);
    }
  return CSP_HTTP_FAULT;
}

csp_http_step_t
csp_read_http (csp_http_reader_t *reader, const char *data, size_t size_bytes,
               size_t *used, const char **piece, size_t *piece_bytes)
{
  csp_http_step_t step;

  *used = 0;
  *piece_bytes = 0;
  if (reader->stage == STAGE_FAULT)
    return CSP_HTTP_FAULT;
  if (reader->stage == STAGE_DONE)
    return CSP_HTTP_END;
  if (reader->stage == STAGE_HEAD)
    return read_head (reader, data, size_bytes, used);
  step = read_body (reader, data, size_bytes, used, piece, piece_bytes);
  if (step == CSP_HTTP_FAULT)
    return refuse (reader, CSP_HTTP_MALFORMED);
  if (step == CSP_HTTP_END)
    reader->stage = STAGE_DONE;
  reader->body_bytes += *piece_bytes;
  if (reader->body_bytes > reader->limits.body_max_bytes)
    return refuse (reader, CSP_HTTP_BODY_TOO_LARGE);
  return step;
}

bool
csp_handle_http_eof (csp_http_reader_t *reader)
{
  if (reader->stage == STAGE_BODY
      && reader->head.framing == CSP_BODY_UNTIL_CLOSE)
    reader->stage = STAGE_DONE;
  return reader->stage == STAGE_DONE;
}

bool
csp_http_message_begun (const csp_http_reader_t *reader)
{
  return reader->stage != STAGE_HEAD || reader->head.bytes.size_bytes > 0;
}

bool
csp_http_head_complete (const csp_http_reader_t *reader)
{
  return reader->stage == STAGE_BODY || reader->stage == STAGE_DONE;
}

const csp_http_head_t *
csp_http_head (const csp_http_reader_t *reader)
{
  return &reader->head;
}

csp_http_fault_t
csp_http_fault (const csp_http_reader_t *reader)
{
  return reader->fault;
}
