#include "configuration/config-state-imp.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A deletion that deltas still have to carry.  */
typedef struct
{
  char *key;
  int64_t revision;
} tombstone_t;

struct csp_configuration
{
  csp_config_check_t check;
  csp_config_state_t *state;
  void *built;
  /* Deltas behind an older revision than this would miss deletions.  */
  int64_t floor;
  size_t tombstone_count;
  tombstone_t tombstones[CSP_MAX_TOMBSTONES];
  /* The values of the last delta given out.  */
  csp_config_value_t *changes;
  size_t changes_capacity;
  csp_config_status_t status;
};

csp_configuration_t *
csp_create_configuration (const csp_config_check_t *check)
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
drop_tombstone (csp_configuration_t *configuration, size_t at)
{
  tombstone_t *tombstones = configuration->tombstones;

  free (tombstones[at].key);
  configuration->tombstone_count--;
  memmove (&tombstones[at], &tombstones[at + 1],
           (configuration->tombstone_count - at) * sizeof *tombstones);
}

/* Where a deletion can't be remembered, deltas across it must not be given:
   a peer would keep the deleted key for ever.  */
static void
add_tombstone (csp_configuration_t *configuration, const char *key,
               int64_t revision)
{
  tombstone_t *tombstone;
  char *copy = strdup (key);

  if (copy == NULL)
    {
      configuration->floor = revision;
      return;
    }
  if (configuration->tombstone_count == CSP_MAX_TOMBSTONES)
    {
      if (configuration->floor < configuration->tombstones[0].revision)
        configuration->floor = configuration->tombstones[0].revision;
      drop_tombstone (configuration, 0);
    }
  tombstone = &configuration->tombstones[configuration->tombstone_count++];
  tombstone->key = copy;
  tombstone->revision = revision;
}

static void
update_tombstones (csp_configuration_t *configuration,
                   const csp_config_state_t *made)
{
  const csp_config_state_t *old = configuration->state;
  size_t i;

  for (i = configuration->tombstone_count; i-- > 0;)
    if (csp_find_config_value (made, configuration->tombstones[i].key) != NULL)
      drop_tombstone (configuration, i);
  for (i = 0; i < old->count; i++)
    if (csp_find_config_value (made, old->values[i].key) == NULL)
      add_tombstone (configuration, old->values[i].key, made->revision);
}

static void
put_in_force (csp_configuration_t *configuration, csp_config_state_t *made,
              void *built)
{
  csp_config_status_t *status = &configuration->status;

  /* What was deleted before the first whole is unknown here.  */
  if (configuration->state->revision == 0)
    configuration->floor = made->revision;
  else
    update_tombstones (configuration, made);
  csp_destroy_config_state (configuration->state);
  configuration->state = made;
  release_built (configuration);
  configuration->built = built;
  if (status->refused_revision <= made->revision)
    {
      status->refused_revision = 0;
      status->fault[0] = '\0';
    }
}

static csp_config_result_t
refuse (csp_configuration_t *configuration, int64_t revision,
        const char *fault)
{
  csp_note_refused (configuration, revision,
                    fault[0] == '\0' ? "no fault was given" : fault);
  return CSP_CONFIG_REFUSED;
}

/* Same revision: every value given must be what is held, and a whole must
   have the same digest.  A service that was restored from a backup and went
   on counting shows here; otherwise half the fleet would decide by one
   content and half by the other, under one number.  */
static csp_config_result_t
compare_content (csp_configuration_t *configuration,
                 const csp_config_delta_t *delta)
{
  const csp_config_state_t *held = configuration->state;
  const csp_config_value_t *value;
  csp_config_state_t *made;
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
  made = csp_merge_config_state (held, delta, fault);
  same = made != NULL && made->digest == held->digest;
  csp_destroy_config_state (made);
  return same ? CSP_CONFIG_SAME : CSP_CONFIG_CONFLICT;
}

static csp_config_result_t
take_newer (csp_configuration_t *configuration, csp_config_source_t source,
            const csp_config_delta_t *delta)
{
  csp_config_status_t *status = &configuration->status;
  char fault[CSP_FAULT_BYTES] = "";
  csp_config_state_t *made;
  void *built;

  /* A delta only fits on the history it was made from.  */
  if (!delta->full
      && (delta->base > configuration->state->revision
          || configuration->state->revision == 0
          || (source == CSP_SOURCE_SERVICE && status->distrust_deltas)))
    return CSP_CONFIG_ASK_WHOLE;
  made = csp_merge_config_state (configuration->state, delta, fault);
  if (made == NULL)
    return refuse (configuration, delta->revision, fault);
  /* The sender's digest shows a half delta, or a base with other content.  */
  if (delta->digest != 0 && delta->digest != made->digest)
    {
      csp_destroy_config_state (made);
      return CSP_CONFIG_ASK_WHOLE;
    }
  built
      = configuration->check.build (configuration->check.state, made->revision,
                                    made->values, made->count, fault);
  if (built == NULL)
    {
      csp_destroy_config_state (made);
      return refuse (configuration, delta->revision, fault);
    }
  put_in_force (configuration, made, built);
  return CSP_CONFIG_TAKEN;
}

static csp_config_result_t
judge (csp_configuration_t *configuration, csp_config_source_t source,
       const csp_config_delta_t *delta)
{
  int64_t revision = configuration->state->revision;

  if (delta->revision < revision)
    return CSP_CONFIG_STALE;
  /* A watch behind a refused revision ended without news.  Taken for a gap,
     it would make every reader read the whole at each end of a watch.  */
  if (!delta->full && delta->value_count == 0 && delta->base == delta->revision
      && delta->revision == configuration->status.refused_revision)
    return CSP_CONFIG_SAME;
  if (delta->revision == revision)
    return compare_content (configuration, delta);
  return take_newer (configuration, source, delta);
}

/* After the service fell back or showed other content, its deltas may skip
   what it published a second time under revisions that we already had; only
   a whole read ends that.  */
static void
note_service (csp_configuration_t *configuration,
              const csp_config_delta_t *delta, csp_config_result_t result)
{
  csp_config_status_t *status = &configuration->status;

  if (delta->revision < status->service_revision || result == CSP_CONFIG_STALE
      || result == CSP_CONFIG_CONFLICT)
    status->distrust_deltas = true;
  else if (delta->full
           && (result == CSP_CONFIG_TAKEN || result == CSP_CONFIG_SAME))
    status->distrust_deltas = false;
  status->service_revision = delta->revision;
  status->service_stale = result == CSP_CONFIG_STALE;
}

csp_config_result_t
csp_take_configuration (csp_configuration_t *configuration,
                        csp_config_source_t source,
                        const csp_config_delta_t *delta)
{
  csp_config_result_t result = judge (configuration, source, delta);

  configuration->status.counts[result]++;
  if (source == CSP_SOURCE_SERVICE)
    note_service (configuration, delta, result);
  return result;
}

int64_t
csp_find_watch_base (const csp_configuration_t *configuration)
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
csp_find_config_changes (csp_configuration_t *configuration, int64_t after,
                         csp_config_delta_t *delta)
{
  const csp_config_state_t *state = configuration->state;

  memset (delta, 0, sizeof *delta);
  delta->base = after;
  delta->revision = state->revision;
  delta->digest = state->digest;
  if (after >= state->revision)
    return;
  if (after < configuration->floor || !reserve_changes (configuration))
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
csp_note_refused (csp_configuration_t *configuration, int64_t revision,
                  const char *fault)
{
  csp_config_status_t *status = &configuration->status;

  if (revision <= configuration->state->revision
      || revision < status->refused_revision)
    return;
  status->refused_revision = revision;
  snprintf (status->fault, sizeof status->fault, "%s", fault);
}

void
csp_note_conflict (csp_configuration_t *configuration)
{
  configuration->status.distrust_deltas = true;
}

void *
csp_built_configuration (const csp_configuration_t *configuration)
{
  return configuration->built;
}

void
csp_describe_configuration (const csp_configuration_t *configuration,
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
    [CSP_CONFIG_TAKEN] = "taken",         [CSP_CONFIG_SAME] = "same",
    [CSP_CONFIG_STALE] = "stale",         [CSP_CONFIG_CONFLICT] = "conflict",
    [CSP_CONFIG_ASK_WHOLE] = "ask_whole", [CSP_CONFIG_REFUSED] = "refused"
  };

  return result < CSP_CONFIG_RESULT_COUNT ? names[result] : "unknown";
}
