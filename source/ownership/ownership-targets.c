#include "ownership/ownership-imp.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

csp_ownership_t *
csp_create_ownership (const char *host, const char *data_centre)
{
  csp_ownership_t *ownership = calloc (1, sizeof *ownership);

  if (ownership == NULL)
    return NULL;
  snprintf (ownership->host, sizeof ownership->host, "%s", host);
  snprintf (ownership->data_centre, sizeof ownership->data_centre, "%s",
            data_centre);
  ownership->lease_until_ms = INT64_MIN;
  return ownership;
}

static void
destroy_target (csp_target_t *target)
{
  if (target == NULL)
    return;
  free (target->scores);
  free (target->peer_answers);
  free (target);
}

void
csp_destroy_ownership (csp_ownership_t *ownership)
{
  size_t i;

  if (ownership == NULL)
    return;
  for (i = 0; i < ownership->target_count; i++)
    destroy_target (ownership->targets[i]);
  for (i = 0; i < ownership->owner_count; i++)
    free (ownership->owners[i]);
  free (ownership->targets);
  free (ownership->by_name);
  free (ownership);
}

csp_target_t *
csp_get_target (const csp_ownership_t *ownership, uint32_t target)
{
  if (target >= ownership->target_count || !ownership->targets[target]->used)
    return NULL;
  return ownership->targets[target];
}

/* The position of a name in by_name, or the one to insert it at.  */
static size_t
find_name_position (const csp_ownership_t *ownership, const char *name,
                    bool *found)
{
  size_t low = 0;
  size_t high = ownership->name_count;
  size_t middle;
  int order;

  *found = false;
  while (low < high)
    {
      middle = (low + high) / 2;
      order = strcmp (
          ownership->targets[ownership->by_name[middle]]->target.name, name);
      if (order == 0)
        {
          *found = true;
          return middle;
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

bool
csp_find_target (const csp_ownership_t *ownership, const char *name,
                 uint32_t *target)
{
  bool found;
  size_t position = find_name_position (ownership, name, &found);

  if (found)
    *target = ownership->by_name[position];
  return found;
}

static bool
grow_targets (csp_ownership_t *ownership)
{
  size_t capacity = ownership->target_capacity * 2 + 16;
  csp_target_t **targets
      = realloc (ownership->targets, capacity * sizeof (void *));
  uint32_t *by_name;

  if (targets == NULL)
    return false;
  ownership->targets = targets;
  by_name = realloc (ownership->by_name, capacity * sizeof *by_name);
  if (by_name == NULL)
    return false;
  ownership->by_name = by_name;
  ownership->target_capacity = capacity;
  return true;
}

static bool
allocate_target_slot (csp_ownership_t *ownership, uint32_t *slot)
{
  csp_target_t *target;
  size_t i;

  for (i = 0; i < ownership->target_count; i++)
    if (!ownership->targets[i]->used)
      {
        *slot = (uint32_t)i;
        return true;
      }
  if (ownership->target_count == ownership->target_capacity
      && !grow_targets (ownership))
    return false;
  target = calloc (1, sizeof *target);
  if (target == NULL)
    return false;
  target->scores = calloc (CSP_MAX_OWNERS, sizeof *target->scores);
  target->peer_answers = calloc (CSP_MAX_OWNERS, sizeof *target->peer_answers);
  if (target->scores == NULL || target->peer_answers == NULL)
    {
      destroy_target (target);
      return false;
    }
  *slot = (uint32_t)ownership->target_count;
  ownership->targets[ownership->target_count++] = target;
  return true;
}

static csp_target_t *
add_target (csp_ownership_t *ownership, const char *name)
{
  bool found;
  size_t position = find_name_position (ownership, name, &found);
  uint64_t *scores;
  csp_peer_answer_t *peer_answers;
  csp_target_t *target;
  uint32_t slot;

  if (found)
    return ownership->targets[ownership->by_name[position]];
  if (!allocate_target_slot (ownership, &slot))
    return NULL;
  target = ownership->targets[slot];
  scores = target->scores;
  peer_answers = target->peer_answers;
  memset (peer_answers, 0, CSP_MAX_OWNERS * sizeof *peer_answers);
  memset (target, 0, sizeof *target);
  target->scores = scores;
  target->peer_answers = peer_answers;
  target->used = true;
  target->owner = CSP_NO_OWNER;
  snprintf (target->target.name, sizeof target->target.name, "%s", name);
  csp_score_target (ownership, target);
  memmove (&ownership->by_name[position + 1], &ownership->by_name[position],
           (ownership->name_count - position) * sizeof *ownership->by_name);
  ownership->by_name[position] = slot;
  ownership->name_count++;
  return target;
}

/* An unlisted target keeps its slot while streams of this host run on it;
   otherwise the next target in that slot would get their counts.  */
static void
drop_unlisted (csp_ownership_t *ownership)
{
  csp_target_t *target;
  size_t i;

  for (i = ownership->name_count; i-- > 0;)
    {
      target = ownership->targets[ownership->by_name[i]];
      if (target->listed)
        continue;
      target->state = CSP_OWN_LEAVING;
      target->open_share = 0;
      if (target->carried_streams > 0)
        continue;
      target->used = false;
      ownership->name_count--;
      memmove (&ownership->by_name[i], &ownership->by_name[i + 1],
               (ownership->name_count - i) * sizeof *ownership->by_name);
    }
}

void
csp_apply_target_list (csp_ownership_t *ownership, const csp_host_list_t *list,
                       int64_t now_ms)
{
  csp_target_t *target;
  size_t i;

  (void)now_ms;
  for (i = 0; i < ownership->target_count; i++)
    ownership->targets[i]->listed = false;
  for (i = 0; i < list->target_count; i++)
    {
      if (strcmp (list->targets[i].data_centre, ownership->data_centre) != 0)
        continue;
      target = add_target (ownership, list->targets[i].name);
      if (target == NULL)
        continue;
      target->target = list->targets[i];
      target->listed = true;
      /* Closed here and not at the next tick, so that nothing is granted in
         between.  */
      if (target->target.state == CSP_MEMBER_LEAVING)
        {
          target->state = CSP_OWN_LEAVING;
          target->open_share = 0;
        }
    }
  drop_unlisted (ownership);
  ownership->list_changed = true;
  ownership->version++;
}

size_t
csp_count_target_slots (const csp_ownership_t *ownership)
{
  return ownership->target_count;
}

bool
csp_view_target (const csp_ownership_t *ownership, uint32_t index,
                 csp_target_view_t *view)
{
  const csp_target_t *target = csp_get_target (ownership, index);

  if (target == NULL)
    return false;
  memset (view, 0, sizeof *view);
  view->target = target->target;
  if (target->owner != CSP_NO_OWNER)
    memcpy (view->owner, ownership->owners[target->owner]->name,
            sizeof view->owner);
  view->state = target->state;
  view->open_share_thousandths = target->open_share;
  view->peer_tokens = target->peer_tokens;
  view->foreign_tokens = csp_compute_foreign_tokens (target);
  return true;
}

void
csp_get_ownership_status (const csp_ownership_t *ownership,
                          csp_ownership_status_t *status)
{
  const csp_target_t *target;
  size_t i;

  memset (status, 0, sizeof *status);
  status->gained = ownership->gained;
  status->lost = ownership->lost;
  status->contested = ownership->contested;
  for (i = 0; i < ownership->name_count; i++)
    {
      target = ownership->targets[ownership->by_name[i]];
      status->targets++;
      status->owned += csp_is_owned_target (target);
      status->closed += target->state == CSP_OWN_CLOSED;
      status->opening += target->state == CSP_OWN_OPENING;
      status->leaving += target->state == CSP_OWN_LEAVING;
      status->foreign += csp_is_owned_target (target) && target->foreign;
    }
}

uint64_t
csp_ownership_version (const csp_ownership_t *ownership)
{
  return ownership->version;
}
