#include "ownership/ownership-imp.h"

#include <string.h>

bool
csp_all_peers_yielded (const csp_ownership_t *ownership,
                       const csp_target_t *target)
{
  size_t slot;

  for (slot = 0; slot < ownership->owner_count; slot++)
    if (ownership->owners[slot]->used && ownership->owners[slot]->alive
        && (!target->carries[slot].answered || target->carries[slot].owning))
      return false;
  return true;
}

static bool
needs_ask (const csp_target_t *target, size_t slot, int64_t now_ms)
{
  const csp_peer_carry_t *carry = &target->carries[slot];

  if (!target->used || !csp_is_ours (target) || now_ms < carry->next_ask_ms)
    return false;
  return !carry->answered || carry->owning || carry->tokens > 0;
}

static void
ask_peer (csp_ownership_t *ownership, size_t slot, int64_t now_ms,
          csp_carry_asks_t *asks)
{
  csp_owner_t *owner = ownership->owners[slot];
  csp_carry_ask_t *ask;
  size_t i;

  owner->asked_count = 0;
  for (i = 0; i < ownership->target_count
              && owner->asked_count < CSP_MAX_CARRY_TARGETS;
       i++)
    if (needs_ask (ownership->targets[i], slot, now_ms))
      owner->asked[owner->asked_count++] = (uint32_t)i;
  if (owner->asked_count == 0)
    return;
  owner->ask_id = ++ownership->last_ask_id;
  owner->ask_until_ms = now_ms + CSP_CARRY_TIMEOUT_MS;
  owner->next_ask_ms = now_ms + CSP_CARRY_GAP_MS;
  ask = &asks->items[asks->count++];
  memcpy (ask->peer, owner->name, sizeof ask->peer);
  ask->id = owner->ask_id;
  ask->timeout_ms = CSP_CARRY_TIMEOUT_MS;
  ask->count = owner->asked_count;
  ask->targets = owner->asked;
}

void
csp_decide_carry_asks (csp_ownership_t *ownership, int64_t now_ms,
                       csp_carry_asks_t *asks)
{
  csp_owner_t *owner;
  size_t slot;

  asks->count = 0;
  for (slot = 0; slot < ownership->owner_count; slot++)
    {
      owner = ownership->owners[slot];
      if (owner->ask_id != 0 && now_ms >= owner->ask_until_ms)
        owner->ask_id = 0;
      if (asks->count < CSP_MAX_CARRY_ASKS && owner->used && owner->alive
          && owner->ask_id == 0 && now_ms >= owner->next_ask_ms)
        ask_peer (ownership, slot, now_ms, asks);
    }
}

void
csp_answer_carry (const csp_ownership_t *ownership, const char *name,
                  csp_carry_t *carry)
{
  const csp_target_t *target;
  uint32_t index;

  memset (carry, 0, sizeof *carry);
  strncpy (carry->target, name, sizeof carry->target - 1);
  if (!csp_find_target (ownership, name, &index))
    return;
  target = ownership->targets[index];
  carry->carried_tokens = target->carried_tokens;
  carry->carried_streams = target->carried_streams;
  carry->owning = csp_is_ours (target);
}

static void
note_carry (csp_ownership_t *ownership, const csp_owner_t *owner, size_t slot,
            const csp_carry_t *said, int64_t now_ms)
{
  csp_peer_carry_t *carry;
  csp_target_t *target;
  uint32_t index;
  size_t i;

  if (!csp_find_target (ownership, said->target, &index))
    return;
  /* Only what was asked: a target that came to us meanwhile has to be asked
     for after it came.  */
  for (i = 0; i < owner->asked_count; i++)
    if (owner->asked[i] == index)
      break;
  target = ownership->targets[index];
  if (i == owner->asked_count
      || owner->ask_until_ms - CSP_CARRY_TIMEOUT_MS < target->closed_ms)
    return;
  carry = &target->carries[slot];
  carry->answered = true;
  carry->owning = said->owning;
  carry->tokens = said->carried_tokens > 0 ? said->carried_tokens : 0;
  carry->next_ask_ms
      = now_ms + (said->owning ? CSP_CARRY_GAP_MS : CSP_CARRY_AGAIN_MS);
}

void
csp_handle_carry (csp_ownership_t *ownership, const char *peer, uint64_t id,
                  const csp_carry_t *carries, size_t count, int64_t now_ms)
{
  size_t slot;
  csp_owner_t *owner = csp_find_owner (ownership, peer, &slot);
  size_t i;

  if (owner == NULL || id == 0 || owner->ask_id != id
      || now_ms >= owner->ask_until_ms)
    return;
  for (i = 0; i < count; i++)
    note_carry (ownership, owner, slot, &carries[i], now_ms);
  owner->ask_id = 0;
}

void
csp_handle_carry_lost (csp_ownership_t *ownership, const char *peer,
                       uint64_t id, int64_t now_ms)
{
  size_t slot;
  csp_owner_t *owner = csp_find_owner (ownership, peer, &slot);

  (void)now_ms;
  if (owner != NULL && id != 0 && owner->ask_id == id)
    owner->ask_id = 0;
}
