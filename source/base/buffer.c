#include "cowslipspoke/buffer.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Most headers and small bodies fit without growing twice.  */
  INITIAL_CAPACITY_BYTES = 512
};

static bool
reserve (csp_buffer_t *buffer, size_t more_bytes)
{
  size_t needed_bytes = buffer->size_bytes + more_bytes;
  size_t capacity_bytes = buffer->capacity_bytes == 0 ? INITIAL_CAPACITY_BYTES
                                                      : buffer->capacity_bytes;
  char *data;

  if (needed_bytes <= buffer->capacity_bytes)
    return true;
  while (capacity_bytes < needed_bytes)
    capacity_bytes *= 2;
  data = realloc (buffer->data, capacity_bytes);
  if (data == NULL)
    return false;
  buffer->data = data;
  buffer->capacity_bytes = capacity_bytes;
  return true;
}

bool
csp_append_buffer (csp_buffer_t *buffer, const void *data, size_t size_bytes)
{
  if (size_bytes == 0)
    return true;
  if (!reserve (buffer, size_bytes))
    return false;
  memcpy (buffer->data + buffer->size_bytes, data, size_bytes);
  buffer->size_bytes += size_bytes;
  return true;
}

bool
csp_print_buffer (csp_buffer_t *buffer, const char *format, ...)
{
  va_list arguments;
  int size;

  va_start (arguments, format);
  size = vsnprintf (NULL, 0, format, arguments);
  va_end (arguments);
  if (size < 0 || !reserve (buffer, (size_t)size + 1))
    return false;
  va_start (arguments, format);
  vsnprintf (buffer->data + buffer->size_bytes, (size_t)size + 1, format,
             arguments);
  va_end (arguments);
  buffer->size_bytes += (size_t)size;
  return true;
}

void
csp_consume_buffer (csp_buffer_t *buffer, size_t size_bytes)
{
  if (size_bytes >= buffer->size_bytes)
    {
      buffer->size_bytes = 0;
      return;
    }
  buffer->size_bytes -= size_bytes;
  memmove (buffer->data, buffer->data + size_bytes, buffer->size_bytes);
}

void
csp_clear_buffer (csp_buffer_t *buffer)
{
  free (buffer->data);
  memset (buffer, 0, sizeof *buffer);
}
