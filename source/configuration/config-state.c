#include "configuration/config-state-imp.h"

#include "cowslipspoke/hash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

csp_config_state_t *
csp_create_config_state (void)
{
  return calloc (1, sizeof (csp_config_state_t));
}

static void
release_cell (csp_config_cell_t *cell)
{
  if (--cell->uses == 0)
    free (cell);
}

void
csp_destroy_config_state (csp_config_state_t *state)
{
  size_t i;

  if (state == NULL)
    return;
  for (i = 0; i < state->count; i++)
    release_cell (state->cells[i]);
  free (state->cells);
  free (state->values);
  free (state);
}

static csp_config_cell_t *
create_cell (const char *key, const char *json)
{
  size_t key_bytes = strlen (key) + 1;
  size_t json_bytes = strlen (json) + 1;
  csp_config_cell_t *cell = malloc (sizeof *cell + key_bytes + json_bytes);

  if (cell == NULL)
    return NULL;
  cell->uses = 1;
  cell->hash = csp_hash_pair (key, json);
  memcpy (cell->text, key, key_bytes);
  memcpy (cell->text + key_bytes, json, json_bytes);
  return cell;
}

static int
compare_values (const void *a, const void *b)
{
  const csp_config_value_t *first = *(const csp_config_value_t *const *)a;
  const csp_config_value_t *second = *(const csp_config_value_t *const *)b;

  return strcmp (first->key, second->key);
}

static bool
fail (char fault[CSP_FAULT_BYTES], const char *key, const char *problem)
{
  snprintf (fault, CSP_FAULT_BYTES, "%.100s: %s", key, problem);
  return false;
}

static bool
check_value (const csp_config_value_t *value, const csp_config_value_t *before,
             char fault[CSP_FAULT_BYTES])
{
  if (value->key == NULL || value->key[0] == '\0'
      || strlen (value->key) >= CSP_MAX_KEY_BYTES)
    return fail (fault, "key", "is empty or too long");
  if (value->json != NULL && strlen (value->json) > CSP_MAX_VALUE_BYTES)
    return fail (fault, value->key, "is larger than a megabyte");
  if (before != NULL && strcmp (before->key, value->key) == 0)
    return fail (fault, value->key, "stands twice");
  return true;
}

/* The delta's values in order of key; NULL and a fault if one is bad.  */
static const csp_config_value_t **
sort_delta (const csp_config_delta_t *delta, char fault[CSP_FAULT_BYTES])
{
  const csp_config_value_t **sorted
      = malloc ((delta->value_count + 1) * sizeof (void *));
  size_t i;

  if (sorted == NULL)
    return NULL;
  for (i = 0; i < delta->value_count; i++)
    {
      sorted[i] = &delta->values[i];
      if (!check_value (sorted[i], NULL, fault))
        goto bad;
    }
  qsort (sorted, delta->value_count, sizeof (void *), compare_values);
  for (i = 1; i < delta->value_count; i++)
    if (!check_value (sorted[i], sorted[i - 1], fault))
      goto bad;
  return sorted;
bad:
  free (sorted);
  return NULL;
}

static void
append_cell (csp_config_state_t *state, csp_config_cell_t *cell,
             int64_t revision)
{
  csp_config_value_t *value = &state->values[state->count];

  value->key = cell->text;
  value->json = cell->text + strlen (cell->text) + 1;
  value->revision = revision;
  state->cells[state->count++] = cell;
  state->digest += cell->hash;
  state->size_bytes += strlen (value->key) + strlen (value->json);
}

static void
keep_value (csp_config_state_t *made, const csp_config_state_t *old, size_t at)
{
  old->cells[at]->uses++;
  append_cell (made, old->cells[at], old->values[at].revision);
}

/* A value whose text changed but which claims to be no newer than what was in
   force comes from a service that reuses revisions.  Peers that ask for the
   changes behind the old revision would miss it, so it counts as changed
   now.  */
static bool
put_value (csp_config_state_t *made, const csp_config_state_t *old,
           size_t match, const csp_config_value_t *value)
{
  csp_config_cell_t *cell;
  int64_t revision = value->revision;

  if (revision > made->revision)
    revision = made->revision;
  if (match < old->count && strcmp (old->values[match].json, value->json) == 0)
    {
      keep_value (made, old, match);
      made->values[made->count - 1].revision = revision;
      return true;
    }
  if (revision <= old->revision)
    revision = made->revision;
  cell = create_cell (value->key, value->json);
  if (cell == NULL)
    return false;
  append_cell (made, cell, revision);
  return true;
}

static bool
merge (csp_config_state_t *made, const csp_config_state_t *old,
       const csp_config_delta_t *delta, const csp_config_value_t **sorted)
{
  size_t at = 0;
  size_t next = 0;
  int order;

  while (at < old->count || next < delta->value_count)
    {
      if (at == old->count)
        order = 1;
      else if (next == delta->value_count)
        order = -1;
      else
        order = strcmp (old->values[at].key, sorted[next]->key);
      if (order < 0 && !delta->full)
        keep_value (made, old, at);
      if (order >= 0 && sorted[next]->json != NULL
          && !put_value (made, old, order == 0 ? at : old->count,
                         sorted[next]))
        return false;
      at += order <= 0;
      next += order >= 0;
    }
  return true;
}

csp_config_state_t *
csp_merge_config_state (const csp_config_state_t *state,
                        const csp_config_delta_t *delta,
                        char fault[CSP_FAULT_BYTES])
{
  const csp_config_value_t **sorted = sort_delta (delta, fault);
  csp_config_state_t *made = csp_create_config_state ();
  size_t most = state->count + delta->value_count + 1;
  bool good = false;

  if (sorted == NULL || made == NULL)
    goto out;
  made->revision = delta->revision;
  made->values = calloc (most, sizeof *made->values);
  made->cells = calloc (most, sizeof (void *));
  if (made->values == NULL || made->cells == NULL)
    goto out;
  good = merge (made, state, delta, sorted);
  if (good && made->size_bytes > CSP_MAX_ANSWER_BYTES)
    good = fail (fault, "configuration", "is larger than 16 MB");
out:
  free (sorted);
  if (good)
    return made;
  csp_destroy_config_state (made);
  return NULL;
}

static int
compare_key (const void *key, const void *value)
{
  return strcmp (key, ((const csp_config_value_t *)value)->key);
}

const csp_config_value_t *
csp_find_config_value (const csp_config_state_t *state, const char *key)
{
  if (state->count == 0)
    return NULL;
  return bsearch (key, state->values, state->count, sizeof *state->values,
                  compare_key);
}
