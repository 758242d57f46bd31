#include "http/http-imp.h"

#include <string.h>

/* Strict framing of chunked bodies after RFC 9112, section 7.1.  The
   http-parser library accepts any two bytes as the line end after a chunk's
   data; another parser may read bytes hidden there as a request.  */

enum
{
  /* 15 hexadecimal digits can't overflow 64 bits.  */
  SIZE_DIGITS_MAX = 15,
  DIGIT_BITS = 4,
  BAD_DIGIT = -1
};

const char csp_last_chunk[] = "0\r\n\r\n";

static int
digit_value (char byte)
{
  if (byte >= '0' && byte <= '9')
    return byte - '0';
  if (byte >= 'a' && byte <= 'f')
    return byte - 'a' + 10;
  if (byte >= 'A' && byte <= 'F')
    return byte - 'A' + 10;
  return BAD_DIGIT;
}

/* Control characters other than the tab are not allowed in a line.  */
static bool
is_line_byte (char byte)
{
  return byte == '\t' || ((unsigned char)byte >= ' ' && byte != 0x7f);
}

static bool
read_size_byte (csp_chunk_reader_t *chunks, char byte)
{
  int digit = digit_value (byte);

  if (digit != BAD_DIGIT)
    {
      if (chunks->digits++ >= SIZE_DIGITS_MAX)
        return false;
      chunks->left_bytes
          = (chunks->left_bytes << DIGIT_BITS) | (uint64_t)digit;
      return true;
    }
  if (chunks->digits == 0)
    return false;
  if (byte == '\r')
    chunks->state = CSP_CHUNK_SIZE_LF;
  else if (byte == ';')
    chunks->state = CSP_CHUNK_EXTENSION;
  else
    return false;
  return true;
}

static bool
read_extension_byte (csp_chunk_reader_t *chunks, char byte)
{
  if (byte == '\r')
    {
      chunks->state = CSP_CHUNK_SIZE_LF;
      return true;
    }
  return is_line_byte (byte)
         && ++chunks->line_bytes <= CSP_HTTP_CHUNK_LINE_BYTES;
}

static void
start_chunk (csp_chunk_reader_t *chunks)
{
  chunks->state = CSP_CHUNK_SIZE;
  chunks->left_bytes = 0;
  chunks->digits = 0;
  chunks->line_bytes = 0;
}

static bool
read_trailer_byte (csp_chunk_reader_t *chunks, char byte)
{
  bool starts_line = chunks->state == CSP_CHUNK_TRAILER;

  if (byte == '\r')
    {
      chunks->state = starts_line ? CSP_CHUNK_LAST_LF : CSP_CHUNK_TRAILER_LF;
      return true;
    }
  if (starts_line && (byte == ' ' || byte == '\t'))
    return false;
  chunks->state = CSP_CHUNK_TRAILER_LINE;
  return is_line_byte (byte)
         && ++chunks->trailer_bytes <= CSP_HTTP_TRAILER_BYTES;
}

/* Read one byte of framing; false if it isn't allowed in this state.  */
static bool
read_framing_byte (csp_chunk_reader_t *chunks, char byte)
{
  switch (chunks->state)
    {
    case CSP_CHUNK_SIZE:
      return read_size_byte (chunks, byte);
    case CSP_CHUNK_EXTENSION:
      return read_extension_byte (chunks, byte);
    case CSP_CHUNK_SIZE_LF:
      chunks->state
          = chunks->left_bytes == 0 ? CSP_CHUNK_TRAILER : CSP_CHUNK_DATA;
      return byte == '\n';
    case CSP_CHUNK_DATA_CR:
      chunks->state = CSP_CHUNK_DATA_LF;
      return byte == '\r';
    case CSP_CHUNK_DATA_LF:
      start_chunk (chunks);
      return byte == '\n';
    case CSP_CHUNK_TRAILER:
    case CSP_CHUNK_TRAILER_LINE:
      return read_trailer_byte (chunks, byte);
    case CSP_CHUNK_TRAILER_LF:
      chunks->state = CSP_CHUNK_TRAILER;
      return byte == '\n';
    case CSP_CHUNK_LAST_LF:
      chunks->state = CSP_CHUNK_DONE;
      return byte == '\n';
    case CSP_CHUNK_DATA:
    case CSP_CHUNK_DONE:
      break;
    }
  return false;
}

csp_http_step_t
csp_read_chunks (csp_chunk_reader_t *chunks, const char *data,
                 size_t size_bytes, size_t *used, const char **piece,
                 size_t *piece_bytes)
{
  size_t at = 0;

  while (at < size_bytes)
    {
      if (chunks->state == CSP_CHUNK_DATA)
        {
          size_t rest_bytes = size_bytes - at;

          *piece = data + at;
          *piece_bytes = rest_bytes < chunks->left_bytes
                             ? rest_bytes
                             : (size_t)chunks->left_bytes;
          chunks->left_bytes -= *piece_bytes;
          if (chunks->left_bytes == 0)
            chunks->state = CSP_CHUNK_DATA_CR;
          *used = at + *piece_bytes;
          return CSP_HTTP_BODY;
        }
      if (!read_framing_byte (chunks, data[at++]))
        return CSP_HTTP_FAULT;
      if (chunks->state == CSP_CHUNK_DONE)
        {
          *used = at;
          return CSP_HTTP_END;
        }
    }
  *used = at;
  return CSP_HTTP_NEED_MORE;
}

bool
csp_append_chunk (csp_buffer_t *buffer, const void *data, size_t size_bytes)
{
  if (size_bytes == 0)
    return true;
  return csp_print_buffer (buffer, "%zx\r\n", size_bytes)
         && csp_append_buffer (buffer, data, size_bytes)
         && csp_append_buffer (buffer, "\r\n", 2);
}
