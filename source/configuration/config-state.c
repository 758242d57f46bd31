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
release_entry (csp_config_entry_t *entry)
{
  if (--entry->ref_count == 0)
    free (entry);
}

void
csp_destroy_config_state (csp_config_state_t *state)
{
  size_t i;

  if (state == NULL)
    return;
  for (i = 0; i < state->count; i++)
    release_entry (state->entries[i]);
  free (state->entries);
  free (state->values);
  free (state);
}

static csp_config_entry_t *
create_entry (const char *key, const char *json)
{
  size_t key_bytes = strlen (key) + 1;
  size_t json_bytes = strlen (json) + 1;
  csp_config_entry_t *entry = malloc (sizeof *entry + key_bytes + json_bytes);

  if (entry == NULL)
    return NULL;
  entry->ref_count = 1;
  entry->hash = csp_hash_pair (key, json);
  memcpy (entry->text, key, key_bytes);
  memcpy (entry->text + key_bytes, json, json_bytes);
  return entry;
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

/* Returns the delta's values sorted by key; NULL and a fault text if a value
   is invalid.  */
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
        goto invalid;
    }
  qsort (sorted, delta->value_count, sizeof (void *), compare_values);
  for (i = 1; i < delta->value_count; i++)
    if (!check_value (sorted[i], sorted[i - 1], fault))
      goto invalid;
  return sorted;
invalid:
  free (sorted);
  return NULL;
}

static void
append_entry (csp_config_state_t *state, csp_config_entry_t *entry,
              int64_t revision)
{
  csp_config_value_t *value = &state->values[state->count];

  value->key = entry->text;
  value->json = entry->text + strlen (entry->text) + 1;
  value->revision = revision;
  state->entries[state->count++] = entry;
  state->digest += entry->hash;
  state->size_bytes += strlen (value->key) + strlen (value->json);
}

static void
share_value (csp_config_state_t *merged, const csp_config_state_t *old,
             size_t old_index)
{
  old->entries[old_index]->ref_count++;
  append_entry (merged, old->entries[old_index],
                old->values[old_index].revision);
}

/* If a value changed but its revision is not higher than the old state's, the
   service reuses revisions.  Peers that ask for the changes after the old
   revision would miss the value, so it gets the new state's revision.  */
static bool
add_value (csp_config_state_t *merged, const csp_config_state_t *old,
           size_t match, const csp_config_value_t *value)
{
  csp_config_entry_t *entry;
  int64_t revision = value->revision;

  if (revision > merged->revision)
    revision = merged->revision;
  if (match < old->count && strcmp (old->values[match].json, value->json) == 0)
    {
      share_value (merged, old, match);
      merged->values[merged->count - 1].revision = revision;
      return true;
    }
  if (revision <= old->revision)
    revision = merged->revision;
  entry = create_entry (value->key, value->json);
  if (entry == NULL)
    return false;
  append_entry (merged, entry, revision);
  return true;
}

static bool
merge (csp_config_state_t *merged, const csp_config_state_t *old,
       const csp_config_delta_t *delta, const csp_config_value_t **sorted)
{
  size_t old_index = 0;
  size_t delta_index = 0;
  int order;

  while (old_index < old->count || delta_index < delta->value_count)
    {
      if (old_index == old->count)
        order = 1;
      else if (delta_index == delta->value_count)
        order = -1;
      else
        order = strcmp (old->values[old_index].key, sorted[delta_index]->key);
      if (order < 0 && !delta->full)
        share_value (merged, old, old_index);
      if (order >= 0 && sorted[delta_index]->json != NULL
          && !add_value (merged, old, order == 0 ? old_index : old->count,
                         sorted[delta_index]))
        return false;
      old_index += order <= 0;
      delta_index += order >= 0;
    }
  return true;
}

csp_config_state_t *
csp_merge_config_state (const csp_config_state_t *state,
                        const csp_config_delta_t *delta,
                        char fault[CSP_FAULT_BYTES])
{
  const csp_config_value_t **sorted = sort_delta (delta, fault);
  csp_config_state_t *merged = csp_create_config_state ();
  size_t capacity = state->count + delta->value_count + 1;
  bool succeeded = false;

  if (sorted == NULL || merged == NULL)
    goto out;
  merged->revision = delta->revision;
  merged->values = calloc (capacity, sizeof *merged->values);
  merged->entries = calloc (capacity, sizeof (void *));
  if (merged->values == NULL || merged->entries == NULL)
    goto out;
  succeeded = merge (merged, state, delta, sorted);
  if (succeeded && merged->size_bytes > CSP_MAX_ANSWER_BYTES)
    succeeded = fail (fault, "configuration", "is larger than 16 MB");
out:
  free (sorted);
  if (succeeded)
    return merged;
  csp_destroy_config_state (merged);
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
