#include "fields/fields-imp.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct block block_t;

struct block
{
  block_t *next;
  max_align_t data[];
};

struct csp_arena
{
  block_t *blocks;
};

csp_arena_t *
csp_create_arena (void)
{
  csp_arena_t *arena = calloc (1, sizeof *arena);

  if (arena == NULL)
    abort ();
  return arena;
}

void
csp_destroy_arena (csp_arena_t *arena)
{
  block_t *block;

  if (arena == NULL)
    return;
  while (arena->blocks != NULL)
    {
      block = arena->blocks;
      arena->blocks = block->next;
      free (block);
    }
  free (arena);
}

void *
csp_allocate (csp_arena_t *arena, size_t size_bytes)
{
  block_t *block = calloc (1, sizeof *block + size_bytes);

  if (block == NULL)
    abort ();
  block->next = arena->blocks;
  arena->blocks = block;
  return block->data;
}

char *
csp_format_text (csp_arena_t *arena, const char *format, ...)
{
  va_list args;
  va_list args_copy;
  char *text;
  int length;

  va_start (args, format);
  va_copy (args_copy, args);
  length = vsnprintf (NULL, 0, format, args);
  va_end (args);
  if (length < 0)
    abort ();
  text = csp_allocate (arena, (size_t)length + 1);
  vsnprintf (text, (size_t)length + 1, format, args_copy);
  va_end (args_copy);
  return text;
}
