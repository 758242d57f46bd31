#include "base/array-imp.h"

#include <stdlib.h>

enum
{
  INITIAL_CAPACITY = 16
};

void *
csp_grow_array (void *items, size_t count, size_t *capacity, size_t item_bytes)
{
  size_t grown_capacity = *capacity == 0 ? INITIAL_CAPACITY : 2 * *capacity;
  void *grown;

  if (count < *capacity)
    return items;
  grown = realloc (items, grown_capacity * item_bytes);
  if (grown != NULL)
    *capacity = grown_capacity;
  return grown;
}
