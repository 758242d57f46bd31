#include "ownership/ownership-imp.h"

#include "cowslipspoke/hash.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
csp_score_target (const csp_ownership_t *ownership, csp_target_t *target)
{
  size_t slot;

  for (slot = 0; slot < ownership->owner_count; slot++)
    if (ownership->owners[slot]->used)
      target->scores[slot]
          = csp_hash_pair (ownership->owners[slot]->name, target->target.name);
}

csp_owner_t *
csp_find_owner (csp_ownership_t *ownership, const char *name, size_t *slot)
{
  for (*slot = 0; *slot < ownership->owner_count; ++*slot)
    if (ownership->owners[*slot]->used
        && strcmp (ownership->owners[*slot]->name, name) == 0)
      return ownership->owners[*slot];
  return NULL;
}

/* Hashes are made once for a new host and kept; with 430 targets and 12 hosts
   to hash them all at every change would take milliseconds.  */
static void
score_owner (csp_ownership_t *ownership, size_t slot)
{
  csp_target_t *target;
  size_t i;

  for (i = 0; i < ownership->target_count; i++)
    {
      target = ownership->targets[i];
      if (!target->used)
        continue;
      target->scores[slot]
          = csp_hash_pair (ownership->owners[slot]->name, target->target.name);
      memset (&target->carries[slot], 0, sizeof target->carries[slot]);
    }
}

static csp_owner_t *
claim_owner (csp_ownership_t *ownership, const char *name)
{
  size_t slot;
  csp_owner_t *owner = csp_find_owner (ownership, name, &slot);

  if (owner != NULL)
    return owner;
  for (slot = 0; slot < ownership->owner_count; slot++)
    if (!ownership->owners[slot]->used)
      break;
  if (slot == CSP_MAX_OWNERS)
    return NULL;
  if (slot == ownership->owner_count)
    {
      owner = calloc (1, sizeof *owner);
      if (owner == NULL)
        return NULL;
      ownership->owners[ownership->owner_count++] = owner;
    }
  owner = ownership->owners[slot];
  memset (owner, 0, sizeof *owner);
  owner->used = true;
  owner->self = strcmp (name, ownership->host) == 0;
  snprintf (owner->name, sizeof owner->name, "%s", name);
  score_owner (ownership, slot);
  return owner;
}

/* Slots of hosts that the membership has forgotten are free again.  */
static void
release_owners (csp_ownership_t *ownership, const csp_membership_t *membership,
                int64_t now_ms)
{
  csp_host_view_t view;
  csp_owner_t *owner;
  size_t slot;
  size_t i;

  for (slot = 0; slot < ownership->owner_count; slot++)
    {
      owner = ownership->owners[slot];
      if (owner->used
          && !csp_find_host (membership, owner->name, now_ms, &view))
        owner->used = false;
      for (i = 0; !owner->used && i < ownership->target_count; i++)
        if (ownership->targets[i]->owner == (int32_t)slot)
          ownership->targets[i]->owner = CSP_NO_OWNER;
    }
}

static void
refresh_owners (csp_ownership_t *ownership, const csp_membership_t *membership,
                int64_t now_ms)
{
  size_t count = csp_count_hosts (membership);
  csp_host_view_t view;
  csp_owner_t *owner;
  size_t i;

  for (i = 0; i < ownership->owner_count; i++)
    ownership->owners[i]->owns = ownership->owners[i]->alive = false;
  for (i = 0; i < count; i++)
    {
      csp_view_host (membership, i, now_ms, &view);
      if (strcmp (view.data_centre, ownership->data_centre) != 0)
        continue;
      owner = claim_owner (ownership, view.name);
      if (owner == NULL)
        continue;
      owner->owns = csp_host_owns (&view);
      owner->alive = !view.self && view.liveness == CSP_PEER_ALIVE;
    }
  release_owners (ownership, membership, now_ms);
}

static int32_t
choose_owner (const csp_ownership_t *ownership, const csp_target_t *target)
{
  int32_t chosen = CSP_NO_OWNER;
  size_t slot;

  for (slot = 0; slot < ownership->owner_count; slot++)
    if (ownership->owners[slot]->used && ownership->owners[slot]->owns
        && (chosen == CSP_NO_OWNER
            || target->scores[slot] > target->scores[chosen]))
      chosen = (int32_t)slot;
  return chosen;
}

static void
move_target (csp_ownership_t *ownership, csp_target_t *target, int64_t now_ms)
{
  int32_t owner = choose_owner (ownership, target);
  bool leaving = !target->listed || target->report_leaving
                 || target->target.state == CSP_MEMBER_LEAVING;
  bool ours = owner != CSP_NO_OWNER && ownership->owners[owner]->self;
  bool was = csp_is_ours (target);

  target->owner = owner;
  if (leaving)
    {
      target->state = CSP_OWN_LEAVING;
      target->opening = 0;
      return;
    }
  if (ours == was)
    return;
  ownership->gained += ours;
  ownership->lost += was;
  target->opening = 0;
  target->state = CSP_OWN_OTHER;
  if (ours)
    csp_close_target (target, now_ms);
}

/* An owner whose lease ran out may have been replaced while it did not know.
   It closes its targets and asks again, as a new owner would; otherwise it
   would go on beside the one that took over, as soon as its lease is back. */
static void
note_lapse (csp_ownership_t *ownership, int64_t now_ms)
{
  bool lapsed = now_ms >= ownership->lease_until_ms;
  csp_target_t *target;
  size_t i;

  if (!lapsed || ownership->lapsed)
    {
      ownership->lapsed = lapsed;
      return;
    }
  ownership->lapsed = true;
  ownership->number++;
  for (i = 0; i < ownership->target_count; i++)
    {
      target = ownership->targets[i];
      if (target->used && csp_is_ours (target))
        csp_close_target (target, now_ms);
    }
}

void
csp_follow_view (csp_ownership_t *ownership,
                 const csp_membership_t *membership, int64_t now_ms)
{
  uint64_t view_number = csp_view_number (membership);
  bool changed = !ownership->viewed || view_number != ownership->view_number
                 || ownership->list_changed;
  size_t i;

  /* The lease that covered the time since the last tick, before it is
     renewed: a renewal after a lapse must not hide the lapse.  */
  note_lapse (ownership, now_ms);
  ownership->lease_until_ms = csp_lease_until_ms (membership);
  /* A host that starts knows nobody yet, and would own everything.  */
  if (!changed
      || (!ownership->viewed && ownership->lease_until_ms == INT64_MIN))
    return;
  ownership->viewed = true;
  ownership->list_changed = false;
  ownership->view_number = view_number;
  ownership->number++;
  refresh_owners (ownership, membership, now_ms);
  for (i = 0; i < ownership->target_count; i++)
    if (ownership->targets[i]->used)
      move_target (ownership, ownership->targets[i], now_ms);
}
