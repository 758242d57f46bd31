#include "cowslipspoke/link.h"

#include <stdlib.h>
#include <string.h>

enum
{
  READ_ROOM_BYTES = 65536
};

/* A queued rest of a write, with its own copy of the bytes.  */
typedef struct
{
  uv_write_t request;
  uv_write_cb written;
  char data[];
} write_rest_t;

static void
finish_write (uv_write_t *request, int status)
{
  write_rest_t *rest = (write_rest_t *)request;

  if (rest->written != NULL)
    rest->written (request, status);
  free (rest);
}

bool
csp_write_stream (uv_stream_t *stream, const void *data, size_t size_bytes,
                  uv_write_cb written, void *state)
{
  uv_buf_t buffer = uv_buf_init ((char *)data, (unsigned)size_bytes);
  write_rest_t *rest;
  int done = 0;

  if (stream->write_queue_size == 0)
    {
      done = uv_try_write (stream, &buffer, 1);
      if (done < 0 && done != UV_EAGAIN)
        return false;
      if (done < 0)
        done = 0;
    }
  if ((size_t)done == size_bytes)
    return true;
  size_bytes -= (size_t)done;
  rest = malloc (sizeof *rest + size_bytes);
  if (rest == NULL)
    return false;
  memcpy (rest->data, (const char *)data + done, size_bytes);
  rest->written = written;
  rest->request.data = state;
  buffer = uv_buf_init (rest->data, (unsigned)size_bytes);
  if (uv_write (&rest->request, stream, &buffer, 1, finish_write) == 0)
    return true;
  free (rest);
  return false;
}

void
csp_share_read_room (uv_handle_t *handle, size_t suggested_bytes,
                     uv_buf_t *room)
{
  static __thread char bytes[READ_ROOM_BYTES];

  (void)handle;
  (void)suggested_bytes;
  *room = uv_buf_init (bytes, sizeof bytes);
}
