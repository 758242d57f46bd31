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

/* Compute a new host's hashes once and keep them: hashing 430 targets and 12
   hosts anew at every change would take milliseconds.  */
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
      memset (&target->peer_answers[slot], 0,
              sizeof target->peer_answers[slot]);
    }
}

static csp_owner_t *
get_or_add_owner (csp_ownership_t *ownership, const char *name)
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

/* Free the slots of hosts that the membership no longer knows.  */
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
update_owners (csp_ownership_t *ownership, const csp_membership_t *membership,
               int64_t now_ms)
{
  size_t count = csp_count_hosts (membership);
  csp_host_view_t view;
  csp_owner_t *owner;
  size_t i;

  for (i = 0; i < ownership->owner_count; i++)
    ownership->owners[i]->may_own = ownership->owners[i]->alive = false;
  for (i = 0; i < count; i++)
    {
      csp_view_host (membership, i, now_ms, &view);
      if (strcmp (view.data_centre, ownership->data_centre) != 0)
        continue;
      owner = get_or_add_owner (ownership, view.name);
      if (owner == NULL)
        continue;
      owner->may_own = csp_may_host_own_targets (&view);
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
    if (ownership->owners[slot]->used && ownership->owners[slot]->may_own
        && (chosen == CSP_NO_OWNER
            || target->scores[slot] > target->scores[chosen]))
      chosen = (int32_t)slot;
  return chosen;
}

static void
update_target_owner (csp_ownership_t *ownership, csp_target_t *target,
                     int64_t now_ms)
{
  int32_t owner = choose_owner (ownership, target);
  bool leaving = !target->listed || target->report_leaving
                 || target->target.state == CSP_MEMBER_LEAVING;
  bool owned_now = owner != CSP_NO_OWNER && ownership->owners[owner]->self;
  bool owned_before = csp_is_owned_target (target);

  target->owner = owner;
  if (leaving)
    {
      target->state = CSP_OWN_LEAVING;
      target->open_share = 0;
      return;
    }
  if (owned_now == owned_before)
    return;
  ownership->gained += owned_now;
  ownership->lost += owned_before;
  target->open_share = 0;
  target->state = CSP_OWN_OTHER;
  if (owned_now)
    csp_close_target (target, now_ms);
}

/* An owner whose lease lapsed may have been replaced without noticing.  It
   closes its targets and queries its peers as a new owner would; otherwise it
   would grant beside its successor as soon as it has a lease again.  */
static void
check_lease_lapse (csp_ownership_t *ownership, int64_t now_ms)
{
  bool lease_lapsed = now_ms >= ownership->lease_until_ms;
  csp_target_t *target;
  size_t i;

  if (!lease_lapsed || ownership->lease_lapsed)
    {
      ownership->lease_lapsed = lease_lapsed;
      return;
    }
  ownership->lease_lapsed = true;
  ownership->version++;
  for (i = 0; i < ownership->target_count; i++)
    {
      target = ownership->targets[i];
      if (target->used && csp_is_owned_target (target))
        csp_close_target (target, now_ms);
    }
}

void
csp_apply_membership_view (csp_ownership_t *ownership,
                           const csp_membership_t *membership, int64_t now_ms)
{
  uint64_t view_version = csp_view_version (membership);
  bool changed = !ownership->has_view
                 || view_version != ownership->view_version
                 || ownership->list_changed;
  size_t i;

  /* Checked before the lease is renewed: a renewal must not hide that the
     lease lapsed since the last tick.  */
  check_lease_lapse (ownership, now_ms);
  ownership->lease_until_ms = csp_lease_until_ms (membership);
  /* A host that starts knows no peers yet and would own all targets.  */
  if (!changed
      || (!ownership->has_view && ownership->lease_until_ms == INT64_MIN))
    return;
  ownership->has_view = true;
  ownership->list_changed = false;
  ownership->view_version = view_version;
  ownership->version++;
  update_owners (ownership, membership, now_ms);
  for (i = 0; i < ownership->target_count; i++)
    if (ownership->targets[i]->used)
      update_target_owner (ownership, ownership->targets[i], now_ms);
}
