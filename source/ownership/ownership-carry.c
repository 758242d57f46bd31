#include "ownership/ownership-imp.h"

#include <string.h>

bool
csp_all_peers_yielded (const csp_ownership_t *ownership,
                       const csp_target_t *target)
{
  size_t slot;

  for (slot = 0; slot < ownership->owner_count; slot++)
    if (ownership->owners[slot]->used && ownership->owners[slot]->alive
        && (!target->peer_answers[slot].answered
            || target->peer_answers[slot].owning))
      return false;
  return true;
}

static bool
needs_query (const csp_target_t *target, size_t slot, int64_t now_ms)
{
  const csp_peer_answer_t *answer = &target->peer_answers[slot];

  if (!target->used || !csp_is_owned_target (target)
      || now_ms < answer->next_query_ms)
    return false;
  return !answer->answered || answer->owning || answer->tokens > 0;
}

static void
query_peer (csp_ownership_t *ownership, size_t slot, int64_t now_ms,
            csp_load_queries_t *queries)
{
  csp_owner_t *owner = ownership->owners[slot];
  csp_load_query_t *query;
  size_t i;

  owner->queried_count = 0;
  for (i = 0; i < ownership->target_count
              && owner->queried_count < CSP_MAX_LOAD_QUERY_TARGETS;
       i++)
    if (needs_query (ownership->targets[i], slot, now_ms))
      owner->queried[owner->queried_count++] = (uint32_t)i;
  if (owner->queried_count == 0)
    return;
  owner->query_id = ++ownership->last_query_id;
  owner->query_until_ms = now_ms + CSP_LOAD_QUERY_TIMEOUT_MS;
  owner->next_query_ms = now_ms + CSP_LOAD_QUERY_GAP_MS;
  query = &queries->items[queries->count++];
  memcpy (query->peer, owner->name, sizeof query->peer);
  query->id = owner->query_id;
  query->timeout_ms = CSP_LOAD_QUERY_TIMEOUT_MS;
  query->count = owner->queried_count;
  query->targets = owner->queried;
}

void
csp_plan_load_queries (csp_ownership_t *ownership, int64_t now_ms,
                       csp_load_queries_t *queries)
{
  csp_owner_t *owner;
  size_t slot;

  queries->count = 0;
  for (slot = 0; slot < ownership->owner_count; slot++)
    {
      owner = ownership->owners[slot];
      if (owner->query_id != 0 && now_ms >= owner->query_until_ms)
        owner->query_id = 0;
      if (queries->count < CSP_MAX_LOAD_QUERIES && owner->used && owner->alive
          && owner->query_id == 0 && now_ms >= owner->next_query_ms)
        query_peer (ownership, slot, now_ms, queries);
    }
}

void
csp_get_carried_load (const csp_ownership_t *ownership, const char *name,
                      csp_carried_load_t *answer)
{
  const csp_target_t *target;
  uint32_t index;

  memset (answer, 0, sizeof *answer);
  strncpy (answer->target, name, sizeof answer->target - 1);
  if (!csp_find_target (ownership, name, &index))
    return;
  target = ownership->targets[index];
  answer->carried_tokens = target->carried_tokens;
  answer->carried_streams = target->carried_streams;
  answer->owning = csp_is_owned_target (target);
}

static void
record_answer (csp_ownership_t *ownership, const csp_owner_t *owner,
               size_t slot, const csp_carried_load_t *reported, int64_t now_ms)
{
  csp_peer_answer_t *answer;
  csp_target_t *target;
  uint32_t index;
  size_t i;

  if (!csp_find_target (ownership, reported->target, &index))
    return;
  /* Only targets that were queried since they were last closed: for a target
     that this host gained later, the answer may be out of date.  */
  for (i = 0; i < owner->queried_count; i++)
    if (owner->queried[i] == index)
      break;
  target = ownership->targets[index];
  if (i == owner->queried_count
      || owner->query_until_ms - CSP_LOAD_QUERY_TIMEOUT_MS
             < target->closed_at_ms)
    return;
  answer = &target->peer_answers[slot];
  answer->answered = true;
  answer->owning = reported->owning;
  answer->tokens = reported->carried_tokens > 0 ? reported->carried_tokens : 0;
  answer->next_query_ms = now_ms
                          + (reported->owning ? CSP_LOAD_QUERY_GAP_MS
                                              : CSP_LOAD_QUERY_REPEAT_MS);
}

void
csp_handle_load_query_answer (csp_ownership_t *ownership, const char *peer,
                              uint64_t id, const csp_carried_load_t *answers,
                              size_t count, int64_t now_ms)
{
  size_t slot;
  csp_owner_t *owner = csp_find_owner (ownership, peer, &slot);
  size_t i;

  if (owner == NULL || id == 0 || owner->query_id != id
      || now_ms >= owner->query_until_ms)
    return;
  for (i = 0; i < count; i++)
    record_answer (ownership, owner, slot, &answers[i], now_ms);
  owner->query_id = 0;
}

void
csp_handle_load_query_lost (csp_ownership_t *ownership, const char *peer,
                            uint64_t id, int64_t now_ms)
{
  size_t slot;
  csp_owner_t *owner = csp_find_owner (ownership, peer, &slot);

  (void)now_ms;
  if (owner != NULL && id != 0 && owner->query_id == id)
    owner->query_id = 0;
}
