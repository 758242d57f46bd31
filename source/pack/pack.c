#include "cowslipspoke/pack.h"

#include <stdint.h>
#include <zlib.h>

const char csp_packed_type[] = "application/zlib";

enum
{
  PIECE_BYTES = 16384,
  /* The quickest level: rows repeat each other, and hosts are a tenth of a
     core.  */
  LEVEL = 1,
  /* 128 kB of state in place of 256; more finds nothing further in rows of 250
     bytes.  */
  WINDOW_BITS = 14,
  MEMORY_LEVEL = 7
};

typedef int (*step_t) (z_stream *stream, int flush);

/* Run a stream to its end.  */
static bool
run_stream (z_stream *stream, step_t step, size_t most_bytes,
            csp_buffer_t *out)
{
  unsigned char piece[PIECE_BYTES];
  size_t written_bytes = 0;
  int result;

  do
    {
      size_t got_bytes;

      stream->next_out = piece;
      stream->avail_out = sizeof piece;
      result = step (stream, Z_FINISH);
      got_bytes = sizeof piece - stream->avail_out;
      written_bytes += got_bytes;
      if (written_bytes > most_bytes
          || !csp_append_buffer (out, piece, got_bytes))
        return false;
    }
  /* Full output shows as Z_OK or Z_BUF_ERROR; input that is cut off too, and
     then nothing more is written.  */
  while (result != Z_STREAM_END && stream->avail_out == 0);
  return result == Z_STREAM_END && stream->avail_in == 0;
}

bool
csp_pack_bytes (const void *bytes, size_t size_bytes, csp_buffer_t *packed)
{
  z_stream stream
      = { .next_in = (unsigned char *)bytes, .avail_in = (uInt)size_bytes };
  bool good;

  if (deflateInit2 (&stream, LEVEL, Z_DEFLATED, WINDOW_BITS, MEMORY_LEVEL,
                    Z_DEFAULT_STRATEGY)
      != Z_OK)
    return false;
  good = run_stream (&stream, deflate, SIZE_MAX, packed);
  deflateEnd (&stream);
  return good;
}

bool
csp_unpack_bytes (const void *packed, size_t size_bytes, size_t most_bytes,
                  csp_buffer_t *bytes)
{
  z_stream stream
      = { .next_in = (unsigned char *)packed, .avail_in = (uInt)size_bytes };
  bool good;

  if (inflateInit (&stream) != Z_OK)
    return false;
  good = run_stream (&stream, inflate, most_bytes, bytes);
  inflateEnd (&stream);
  return good;
}
