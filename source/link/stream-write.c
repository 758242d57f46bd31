#include "link/link-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  READ_BUFFER_BYTES = 65536
};

/* The queued rest of a write, with its own copy of the bytes.  */
typedef struct
{
  uv_write_t request;
  uv_write_cb written;
  size_t size_bytes;
  char data[];
} pending_write_t;

void
csp_set_stream_counts (uv_loop_t *loop, csp_stream_counts_t *counts)
{
  uv_loop_set_data (loop, counts);
}

static void
count_write (const uv_stream_t *stream, size_t size_bytes)
{
  csp_stream_counts_t *counts = uv_loop_get_data (stream->loop);

  if (counts == NULL)
    return;
  counts->written_bytes += size_bytes;
  counts->writes++;
}

void
csp_count_stream_read (const uv_stream_t *stream, size_t size_bytes)
{
  csp_stream_counts_t *counts = uv_loop_get_data (stream->loop);

  if (counts == NULL)
    return;
  counts->read_bytes += size_bytes;
  counts->reads++;
}

int64_t
csp_stream_now_ms (const uv_loop_t *loop)
{
  const csp_stream_counts_t *counts = uv_loop_get_data (loop);

  return counts == NULL ? 0 : csp_now_ms (&counts->clock);
}

void
csp_count_connect (const uv_loop_t *loop, int64_t took_ms)
{
  csp_stream_counts_t *counts = uv_loop_get_data (loop);

  if (counts == NULL)
    return;
  if (counts->connects++ == 0 || took_ms < (int64_t)counts->least_connect_ms)
    counts->least_connect_ms = (uint32_t)took_ms;
}

static void
finish_write (uv_write_t *request, int status)
{
  pending_write_t *pending = (pending_write_t *)request;

  if (status == 0)
    count_write (request->handle, pending->size_bytes);
  if (pending->written != NULL)
    pending->written (request, status);
  free (pending);
}

int
csp_write_stream (uv_stream_t *stream, const void *data, size_t size_bytes,
                  uv_write_cb written, void *state)
{
  uv_buf_t buffer = uv_buf_init ((char *)data, (unsigned)size_bytes);
  pending_write_t *pending;
  int written_bytes = 0;
  int error;

  if (stream->write_queue_size == 0)
    {
      written_bytes = uv_try_write (stream, &buffer, 1);
      if (written_bytes < 0 && written_bytes != UV_EAGAIN)
        return written_bytes;
      if (written_bytes < 0)
        written_bytes = 0;
      if (written_bytes > 0)
        count_write (stream, (size_t)written_bytes);
    }
  if ((size_t)written_bytes == size_bytes)
    return 0;
  size_bytes -= (size_t)written_bytes;
  pending = malloc (sizeof *pending + size_bytes);
  if (pending == NULL)
    return UV_ENOMEM;
  memcpy (pending->data, (const char *)data + written_bytes, size_bytes);
  pending->written = written;
  pending->size_bytes = size_bytes;
  pending->request.data = state;
  buffer = uv_buf_init (pending->data, (unsigned)size_bytes);
  error = uv_write (&pending->request, stream, &buffer, 1, finish_write);
  if (error != 0)
    free (pending);
  return error;
}

void
csp_share_read_buffer (uv_handle_t *handle, size_t suggested_bytes,
                       uv_buf_t *read_buffer)
{
  static __thread char bytes[READ_BUFFER_BYTES];

  (void)handle;
  (void)suggested_bytes;
  *read_buffer = uv_buf_init (bytes, sizeof bytes);
}
