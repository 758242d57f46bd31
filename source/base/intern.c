#include "cowslipspoke/intern.h"

#include <search.h>
#include <stdlib.h>
#include <string.h>

struct csp_intern
{
  struct hsearch_data table;
  char **names;
  uint32_t count;
  uint32_t limit;
};

csp_intern_t *
csp_create_intern (uint32_t limit)
{
  csp_intern_t *intern = calloc (1, sizeof *intern);

  if (intern == NULL)
    return NULL;
  intern->limit = limit;
  intern->names = calloc (limit, sizeof *intern->names);
  if (intern->names == NULL || hcreate_r (limit * 2, &intern->table) == 0)
    {
      free (intern->names);
      free (intern);
      return NULL;
    }
  return intern;
}

void
csp_destroy_intern (csp_intern_t *intern)
{
  uint32_t i;

  if (intern == NULL)
    return;
  hdestroy_r (&intern->table);
  for (i = 0; i < intern->count; i++)
    free (intern->names[i]);
  free (intern->names);
  free (intern);
}

uint32_t
csp_intern_name (csp_intern_t *intern, const char *name)
{
  ENTRY entry = { .key = (char *)name, .data = NULL };
  ENTRY *found = NULL;

  if (hsearch_r (entry, FIND, &found, &intern->table) != 0)
    return (uint32_t)(uintptr_t)found->data;
  if (intern->count == intern->limit)
    return CSP_INTERN_NONE;
  entry.key = strdup (name);
  if (entry.key == NULL)
    return CSP_INTERN_NONE;
  entry.data = (void *)(uintptr_t)intern->count;
  if (hsearch_r (entry, ENTER, &found, &intern->table) == 0)
    {
      free (entry.key);
      return CSP_INTERN_NONE;
    }
  intern->names[intern->count] = entry.key;
  return intern->count++;
}

const char *
csp_get_interned_name (const csp_intern_t *intern, uint32_t number)
{
  return number < intern->count ? intern->names[number] : NULL;
}

uint32_t
csp_count_interned (const csp_intern_t *intern)
{
  return intern->count;
}
