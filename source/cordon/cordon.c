#include "cowslipspoke/cordon.h"

#include "cowslipspoke/text.h"

#include <stdlib.h>
#include <string.h>

enum
{
  INITIAL_CAPACITY = 4
};

struct csp_cordons
{
  csp_cordon_t *rows;
  size_t count;
  size_t capacity;
};

csp_cordons_t *
csp_create_cordons (void)
{
  return calloc (1, sizeof (csp_cordons_t));
}

void
csp_destroy_cordons (csp_cordons_t *cordons)
{
  if (cordons == NULL)
    return;
  free (cordons->rows);
  free (cordons);
}

static csp_cordon_t *
find_row (const csp_cordons_t *cordons, const char *data_centre)
{
  size_t i;

  for (i = 0; i < cordons->count; i++)
    if (strcmp (cordons->rows[i].data_centre, data_centre) == 0)
      return &cordons->rows[i];
  return NULL;
}

const csp_cordon_t *
csp_find_cordon (const csp_cordons_t *cordons, const char *data_centre)
{
  return find_row (cordons, data_centre);
}

static bool
reserve_row (csp_cordons_t *cordons)
{
  size_t capacity
      = cordons->capacity == 0 ? INITIAL_CAPACITY : cordons->capacity * 2;
  csp_cordon_t *rows;

  if (cordons->count < cordons->capacity)
    return true;
  rows = realloc (cordons->rows, capacity * sizeof *rows);
  if (rows == NULL)
    return false;
  cordons->rows = rows;
  cordons->capacity = capacity;
  return true;
}

static csp_cordon_result_t
add_cordon (csp_cordons_t *cordons, const char *data_centre, int64_t now_ms)
{
  csp_cordon_t *row;

  if (!reserve_row (cordons))
    return CSP_CORDON_NO_MEMORY;
  row = &cordons->rows[cordons->count++];
  csp_copy_text (row->data_centre, sizeof row->data_centre, data_centre);
  row->since_ms = now_ms;
  return CSP_CORDON_CHANGED;
}

csp_cordon_result_t
csp_set_cordon (csp_cordons_t *cordons, const char *data_centre, bool cordoned,
                int64_t now_ms)
{
  csp_cordon_t *row = find_row (cordons, data_centre);

  if (data_centre[0] == '\0' || strlen (data_centre) >= CSP_CORDON_NAME_BYTES)
    return CSP_CORDON_INVALID_NAME;
  if (cordoned == (row != NULL))
    return CSP_CORDON_UNCHANGED;
  if (cordoned)
    return add_cordon (cordons, data_centre, now_ms);
  *row = cordons->rows[--cordons->count];
  return CSP_CORDON_CHANGED;
}

const csp_cordon_t *
csp_cordon_at (const csp_cordons_t *cordons, size_t index)
{
  return &cordons->rows[index];
}

size_t
csp_count_cordons (const csp_cordons_t *cordons)
{
  return cordons->count;
}
