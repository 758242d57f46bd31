#include "cowslipspoke/sse.h"

#include <stdlib.h>
#include <string.h>

static const char data_field[] = "data:";

struct csp_sse_reader
{
  char *line;
  size_t used_bytes;
  size_t capacity_bytes;
  size_t limit_bytes;
};

enum
{
  INITIAL_CAPACITY_BYTES = 512
};

csp_sse_reader_t *
csp_create_sse_reader (size_t limit_bytes)
{
  csp_sse_reader_t *reader = calloc (1, sizeof *reader);

  if (reader != NULL)
    reader->limit_bytes = limit_bytes;
  return reader;
}

void
csp_destroy_sse_reader (csp_sse_reader_t *reader)
{
  if (reader == NULL)
    return;
  free (reader->line);
  free (reader);
}

void
csp_reset_sse_reader (csp_sse_reader_t *reader)
{
  reader->used_bytes = 0;
}

static int
append_bytes (csp_sse_reader_t *reader, const char *data, size_t size_bytes)
{
  size_t needed_bytes = reader->used_bytes + size_bytes + 1;
  size_t capacity = reader->capacity_bytes == 0 ? INITIAL_CAPACITY_BYTES
                                                : reader->capacity_bytes;
  char *line;

  if (needed_bytes > reader->limit_bytes)
    return -1;
  while (capacity < needed_bytes)
    capacity *= 2;
  if (capacity != reader->capacity_bytes)
    {
      line = realloc (reader->line, capacity);
      if (line == NULL)
        return -1;
      reader->line = line;
      reader->capacity_bytes = capacity;
    }
  memcpy (reader->line + reader->used_bytes, data, size_bytes);
  reader->used_bytes += size_bytes;
  return 0;
}

static int
finish_line (csp_sse_reader_t *reader, csp_sse_callback_t callback,
             void *state)
{
  size_t skip = sizeof data_field - 1;
  size_t size = reader->used_bytes;

  reader->used_bytes = 0;
  if (size > 0 && reader->line[size - 1] == '\r')
    size--;
  if (size < skip || memcmp (reader->line, data_field, skip) != 0)
    return 0;
  reader->line[size] = '\0';
  if (reader->line[skip] == ' ')
    skip++;
  return callback (state, reader->line + skip, size - skip) == 0 ? 0 : -1;
}

int
csp_feed_sse (csp_sse_reader_t *reader, const char *data, size_t size_bytes,
              csp_sse_callback_t callback, void *state)
{
  const char *end = data + size_bytes;
  const char *newline;

  while (data < end)
    {
      newline = memchr (data, '\n', (size_t)(end - data));
      if (newline == NULL)
        return append_bytes (reader, data, (size_t)(end - data));
      if (append_bytes (reader, data, (size_t)(newline - data)) != 0)
        return -1;
      if (finish_line (reader, callback, state) != 0)
        return -1;
      data = newline + 1;
    }
  return 0;
}
