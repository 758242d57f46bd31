#include "cowslipspoke/sse.h"

#include <stdlib.h>
#include <string.h>

static const char data_field[] = "data:";

struct csp_sse_reader
{
  char *line;
  size_t used_bytes;
  size_t room_bytes;
  size_t limit_bytes;
};

enum
{
  FIRST_ROOM_BYTES = 512
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
  size_t need = reader->used_bytes + size_bytes + 1;
  size_t room
      = reader->room_bytes == 0 ? FIRST_ROOM_BYTES : reader->room_bytes;
  char *line;

  if (need > reader->limit_bytes)
    return -1;
  while (room < need)
    room *= 2;
  if (room != reader->room_bytes)
    {
      line = realloc (reader->line, room);
      if (line == NULL)
        return -1;
      reader->line = line;
      reader->room_bytes = room;
    }
  memcpy (reader->line + reader->used_bytes, data, size_bytes);
  reader->used_bytes += size_bytes;
  return 0;
}

static int
finish_line (csp_sse_reader_t *reader, csp_sse_take_t take, void *state)
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
  return take (state, reader->line + skip, size - skip) == 0 ? 0 : -1;
}

int
csp_feed_sse (csp_sse_reader_t *reader, const char *data, size_t size_bytes,
              csp_sse_take_t take, void *state)
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
      if (finish_line (reader, take, state) != 0)
        return -1;
      data = newline + 1;
    }
  return 0;
}
