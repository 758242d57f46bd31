#include "configuration/config-state-imp.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A deletion that deltas still have to include.  */
typedef struct
{
  char *key;
  int64_t revision;
} tombstone_t;

struct csp_configuration
{
  csp_config_builder_t check;
  csp_config_state_t *state;
  void *built;
  /* Deltas after an older revision than this would miss deletions.  */
  int64_t oldest_delta_base;
  size_t tombstone_count;
  tombstone_t tombstones[CSP_MAX_TOMBSTONES];
  /* The values of the last delta returned by csp_collect_config_changes.  */
  csp_config_value_t *changes;
  size_t changes_capacity;
  csp_config_status_t status;
};

csp_configuration_t *
csp_create_configuration (const csp_config_builder_t *check)
{
  csp_configuration_t *configuration = calloc (1, sizeof *configuration);

  if (configuration == NULL)
    return NULL;
  configuration->check = *check;
  configuration->state = csp_create_config_state ();
  if (configuration->state == NULL)
    {
      free (configuration);
      return NULL;
    }
  return configuration;
}

static void
release_built (csp_configuration_t *configuration)
{
  if (configuration->built != NULL && configuration->check.release != NULL)
    configuration->check.release (configuration->check.state,
                                  configuration->built);
  configuration->built = NULL;
}

void
csp_destroy_configuration (csp_configuration_t *configuration)
{
  size_t i;

  if (configuration == NULL)
    return;
  release_built (configuration);
  for (i = 0; i < configuration->tombstone_count; i++)
    free (configuration->tombstones[i].key);
  csp_destroy_config_state (configuration->state);
  free (configuration->changes);
  free (configuration);
}

static void
drop_tombstone (csp_configuration_t *configuration, size_t index)
{
  tombstone_t *tombstones = configuration->tombstones;

  free (tombstones[index].key);
  configuration->tombstone_count--;
  memmove (&tombstones[index], &tombstones[index + 1],
           (configuration->tombstone_count - index) * sizeof *tombstones);
}

/* If a deletion can't be kept, no delta may span it: a peer would keep the
   deleted key forever.  */
static void
add_tombstone (csp_configuration_t *configuration, const char *key,
               int64_t revision)
{
  tombstone_t *tombstone;
  char *copy = strdup (key);

  if (copy == NULL)
    {
      configuration->oldest_delta_base = revision;
      return;
    }
  if (configuration->tombstone_count == CSP_MAX_TOMBSTONES)
    {
      if (configuration->oldest_delta_base
          < configuration->tombstones[0].revision)
        configuration->oldest_delta_base
            = configuration->tombstones[0].revision;
      drop_tombstone (configuration, 0);
    }
  tombstone = &configuration->tombstones[configuration->tombstone_count++];
  tombstone->key = copy;
  tombstone->revision = revision;
}

static void
update_tombstones (csp_configuration_t *configuration,
                   const csp_config_state_t *merged)
{
  const csp_config_state_t *old = configuration->state;
  size_t i;

  for (i = configuration->tombstone_count; i-- > 0;)
    if (csp_find_config_value (merged, configuration->tombstones[i].key)
        != NULL)
      drop_tombstone (configuration, i);
  for (i = 0; i < old->count; i++)
    if (csp_find_config_value (merged, old->values[i].key) == NULL)
      add_tombstone (configuration, old->values[i].key, merged->revision);
}

static void
activate (csp_configuration_t *configuration, csp_config_state_t *merged,
          void *built)
{
  csp_config_status_t *status = &configuration->status;

  /* Deletions before the first full configuration are unknown.  */
  if (configuration->state->revision == 0)
    configuration->oldest_delta_base = merged->revision;
  else
    update_tombstones (configuration, merged);
  csp_destroy_config_state (configuration->state);
  configuration->state = merged;
  release_built (configuration);
  configuration->built = built;
  if (status->refused_revision <= merged->revision)
    {
      status->refused_revision = 0;
      status->fault[0] = '\0';
    }
}

static csp_config_result_t
refuse (csp_configuration_t *configuration, int64_t revision,
        const char *fault)
{
  csp_record_refused_revision (configuration, revision,
                               fault[0] == '\0' ? "no fault was given"
                                                : fault);
  return CSP_CONFIG_REFUSED;
}

/* For the revision in force, every value received must equal the value in
   force, and a full configuration must have the same digest.  This detects a
   service that was restored from a backup and reuses revisions; otherwise
   parts of the fleet would use different content under the same revision.  */
static csp_config_result_t
compare_content (csp_configuration_t *configuration,
                 const csp_config_delta_t *delta)
{
  const csp_config_state_t *held = configuration->state;
  const csp_config_value_t *value;
  csp_config_state_t *merged;
  char fault[CSP_FAULT_BYTES] = "";
  bool same;
  size_t i;

  if (delta->digest != 0 && delta->digest != held->digest)
    return CSP_CONFIG_CONFLICT;
  for (i = 0; i < delta->value_count; i++)
    {
      value = csp_find_config_value (held, delta->values[i].key);
      if ((value == NULL) != (delta->values[i].json == NULL)
          || (value != NULL
              && strcmp (value->json, delta->values[i].json) != 0))
        return CSP_CONFIG_CONFLICT;
    }
  if (!delta->full)
    return CSP_CONFIG_SAME;
  merged = csp_merge_config_state (held, delta, fault);
  same = merged != NULL && merged->digest == held->digest;
  csp_destroy_config_state (merged);
  return same ? CSP_CONFIG_SAME : CSP_CONFIG_CONFLICT;
}

static csp_config_result_t
apply_newer (csp_configuration_t *configuration, csp_config_source_t source,
             const csp_config_delta_t *delta)
{
  csp_config_status_t *status = &configuration->status;
  char fault[CSP_FAULT_BYTES] = "";
  csp_config_state_t *merged;
  void *built;

  /* A delta can only be applied to a state that includes its base.  */
  if (!delta->full
      && (delta->base > configuration->state->revision
          || configuration->state->revision == 0
          || (source == CSP_SOURCE_SERVICE && status->needs_full_read)))
    return CSP_CONFIG_NEEDS_FULL;
  merged = csp_merge_config_state (configuration->state, delta, fault);
  if (merged == NULL)
    return refuse (configuration, delta->revision, fault);
  /* The digest differs if the delta is incomplete, or its base had other
     content.  */
  if (delta->digest != 0 && delta->digest != merged->digest)
    {
      csp_destroy_config_state (merged);
      return CSP_CONFIG_NEEDS_FULL;
    }
  built = configuration->check.build (configuration->check.state,
                                      merged->revision, merged->values,
                                      merged->count, fault);
  if (built == NULL)
    {
      csp_destroy_config_state (merged);
      return refuse (configuration, delta->revision, fault);
    }
  activate (configuration, merged, built);
  return CSP_CONFIG_APPLIED;
}

static csp_config_result_t
apply_delta (csp_configuration_t *configuration, csp_config_source_t source,
             const csp_config_delta_t *delta)
{
  int64_t revision = configuration->state->revision;

  if (delta->revision < revision)
    return CSP_CONFIG_STALE;
  /* A watch after a refused revision ended without a change.  If this counted
     as a missing base, every reader would make a full read at the end of each
     watch.  */
  if (!delta->full && delta->value_count == 0 && delta->base == delta->revision
      && delta->revision == configuration->status.refused_revision)
    return CSP_CONFIG_SAME;
  if (delta->revision == revision)
    return compare_content (configuration, delta);
  return apply_newer (configuration, source, delta);
}

/* Once the service has returned a lower revision or other content, its deltas
   may omit what it published again under revisions already in force here.  So
   its deltas are not applied until a full read succeeds.  */
static void
update_service_status (csp_configuration_t *configuration,
                       const csp_config_delta_t *delta,
                       csp_config_result_t result)
{
  csp_config_status_t *status = &configuration->status;

  if (delta->revision < status->service_revision || result == CSP_CONFIG_STALE
      || result == CSP_CONFIG_CONFLICT)
    status->needs_full_read = true;
  else if (delta->full
           && (result == CSP_CONFIG_APPLIED || result == CSP_CONFIG_SAME))
    status->needs_full_read = false;
  status->service_revision = delta->revision;
  status->service_stale = result == CSP_CONFIG_STALE;
}

csp_config_result_t
csp_apply_configuration (csp_configuration_t *configuration,
                         csp_config_source_t source,
                         const csp_config_delta_t *delta)
{
  csp_config_result_t result = apply_delta (configuration, source, delta);

  configuration->status.counts[result]++;
  if (source == CSP_SOURCE_SERVICE)
    update_service_status (configuration, delta, result);
  return result;
}

int64_t
csp_get_watch_revision (const csp_configuration_t *configuration)
{
  int64_t revision = configuration->state->revision;
  int64_t refused = configuration->status.refused_revision;

  return refused > revision ? refused : revision;
}

static bool
reserve_changes (csp_configuration_t *configuration)
{
  size_t needed = configuration->state->count + configuration->tombstone_count;
  csp_config_value_t *grown;

  if (needed <= configuration->changes_capacity)
    return true;
  grown = realloc (configuration->changes, needed * sizeof *grown);
  if (grown == NULL)
    return false;
  configuration->changes = grown;
  configuration->changes_capacity = needed;
  return true;
}

static size_t
collect_changes (csp_configuration_t *configuration, int64_t after)
{
  const csp_config_state_t *state = configuration->state;
  const tombstone_t *tombstone;
  size_t count = 0;
  size_t i;

  for (i = 0; i < state->count; i++)
    if (state->values[i].revision > after)
      configuration->changes[count++] = state->values[i];
  for (i = 0; i < configuration->tombstone_count; i++)
    {
      tombstone = &configuration->tombstones[i];
      if (tombstone->revision > after)
        configuration->changes[count++]
            = (csp_config_value_t){ tombstone->key, NULL,
                                    tombstone->revision };
    }
  return count;
}

void
csp_collect_config_changes (csp_configuration_t *configuration, int64_t after,
                            csp_config_delta_t *delta)
{
  const csp_config_state_t *state = configuration->state;

  memset (delta, 0, sizeof *delta);
  delta->base = after;
  delta->revision = state->revision;
  delta->digest = state->digest;
  if (after >= state->revision)
    return;
  if (after < configuration->oldest_delta_base
      || !reserve_changes (configuration))
    {
      delta->base = 0;
      delta->full = true;
      delta->value_count = state->count;
      delta->values = state->values;
      return;
    }
  delta->value_count = collect_changes (configuration, after);
  delta->values = configuration->changes;
}

void
csp_record_refused_revision (csp_configuration_t *configuration,
                             int64_t revision, const char *fault)
{
  csp_config_status_t *status = &configuration->status;

  if (revision <= configuration->state->revision
      || revision < status->refused_revision)
    return;
  status->refused_revision = revision;
  snprintf (status->fault, sizeof status->fault, "%s", fault);
}

void
csp_record_config_conflict (csp_configuration_t *configuration)
{
  configuration->status.needs_full_read = true;
}

void *
csp_get_built_configuration (const csp_configuration_t *configuration)
{
  return configuration->built;
}

void
csp_get_configuration_status (const csp_configuration_t *configuration,
                              csp_config_status_t *status)
{
  *status = configuration->status;
  status->revision = configuration->state->revision;
  status->digest = configuration->state->digest;
  status->value_count = configuration->state->count;
}

const char *
csp_config_result_name (csp_config_result_t result)
{
  static const char *const names[CSP_CONFIG_RESULT_COUNT] = {
    [CSP_CONFIG_APPLIED] = "taken",        [CSP_CONFIG_SAME] = "same",
    [CSP_CONFIG_STALE] = "stale",          [CSP_CONFIG_CONFLICT] = "conflict",
    [CSP_CONFIG_NEEDS_FULL] = "ask_whole", [CSP_CONFIG_REFUSED] = "refused"
  };

  return result < CSP_CONFIG_RESULT_COUNT ? names[result] : "unknown";
}
