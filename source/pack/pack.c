#include "cowslipspoke/pack.h"

#include <stdint.h>
#include <zlib.h>

const char csp_compressed_content_type[] = "application/zlib";

enum
{
  OUTPUT_CHUNK_BYTES = 16384,
  /* The fastest level: rows are so alike that it is enough, and a host has
     only a tenth of a core.  */
  COMPRESSION_LEVEL = 1,
  /* 128 kB of compressor state instead of zlib's default 256 kB.  With rows of
     250 bytes a larger window finds no further matches.  */
  WINDOW_BITS = 14,
  MEMORY_LEVEL = 7
};

typedef int (*zlib_step_t) (z_stream *stream, int flush);

/* Run a zlib stream to its end and append its output to out.  False if the
   output exceeds max_bytes, the input is invalid, or memory runs out.  */
static bool
run_zlib_stream (z_stream *stream, zlib_step_t step, size_t max_bytes,
                 csp_buffer_t *out)
{
  unsigned char chunk[OUTPUT_CHUNK_BYTES];
  size_t written_bytes = 0;
  int result;

  do
    {
      size_t chunk_bytes;

      stream->next_out = chunk;
      stream->avail_out = sizeof chunk;
      result = step (stream, Z_FINISH);
      chunk_bytes = sizeof chunk - stream->avail_out;
      written_bytes += chunk_bytes;
      if (written_bytes > max_bytes
          || !csp_append_buffer (out, chunk, chunk_bytes))
        return false;
    }
  /* Z_OK and Z_BUF_ERROR are returned when the output buffer is full, and also
     when the input is truncated.  Truncated input in the end leaves the buffer
     partly empty, which ends the loop.  */
  while (result != Z_STREAM_END && stream->avail_out == 0);
  return result == Z_STREAM_END && stream->avail_in == 0;
}

bool
csp_compress_bytes (const void *bytes, size_t size_bytes, csp_buffer_t *packed)
{
  z_stream stream
      = { .next_in = (unsigned char *)bytes, .avail_in = (uInt)size_bytes };
  bool complete;

  if (deflateInit2 (&stream, COMPRESSION_LEVEL, Z_DEFLATED, WINDOW_BITS,
                    MEMORY_LEVEL, Z_DEFAULT_STRATEGY)
      != Z_OK)
    return false;
  complete = run_zlib_stream (&stream, deflate, SIZE_MAX, packed);
  deflateEnd (&stream);
  return complete;
}

bool
csp_decompress_bytes (const void *packed, size_t size_bytes, size_t max_bytes,
                      csp_buffer_t *bytes)
{
  z_stream stream
      = { .next_in = (unsigned char *)packed, .avail_in = (uInt)size_bytes };
  bool complete;

  if (inflateInit (&stream) != Z_OK)
    return false;
  complete = run_zlib_stream (&stream, inflate, max_bytes, bytes);
  inflateEnd (&stream);
  return complete;
}
