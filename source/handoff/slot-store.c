/* The indexes and lists of slots, holders and targets.  The rules of hand-off
   are in slot-table.c.  */

#include "handoff/slot-table-imp.h"

#include <stdlib.h>
#include <string.h>

static uint64_t
hash_slot (const holder_t *holder, uint64_t ask_id)
{
  return csp_mix_u64 (csp_mix_u64 ((uintptr_t)holder) + ask_id);
}

static void
copy_name (char *to, const char *from, size_t size_bytes)
{
  size_t length = strnlen (from, size_bytes - 1);

  memcpy (to, from, length);
  to[length] = '\0';
}

static holder_t *
add_holder (csp_slot_table_t *table, const csp_host_ref_t *ref, uint64_t hash)
{
  holder_t *holder = calloc (1, sizeof *holder);

  if (holder == NULL)
    return NULL;
  holder->ref = *ref;
  CDS_INIT_LIST_HEAD (&holder->slots);
  csp_add_to_index (&table->holders, &holder->node, hash);
  return holder;
}

static void
free_holder_if_empty (csp_slot_table_t *table, holder_t *holder)
{
  if (!cds_list_empty (&holder->slots))
    return;
  csp_remove_from_index (&table->holders, &holder->node);
  free (holder);
}

/* A host restarted at the same address keeps its name.  Its earlier
   incarnation can't release slots any more, so a late message of that
   incarnation must not add slots that are never released: the target would
   seem full forever.  So messages of earlier incarnations are ignored.  */
holder_t *
csp_get_slot_holder (csp_slot_table_t *table, const csp_host_ref_t *ref,
                     int64_t now_ms)
{
  uint64_t hash = csp_mix_name (ref->name);
  csp_index_node_t *node = csp_find_in_index (&table->holders, hash);
  csp_index_node_t *next;
  holder_t *holder;

  for (; node != NULL; node = next)
    {
      next = csp_find_next_in_index (node);
      holder = CSP_INDEX_ENTRY (node, holder_t, node);
      if (strcmp (holder->ref.name, ref->name) != 0)
        continue;
      if (holder->ref.incarnation > ref->incarnation)
        return NULL;
      if (holder->ref.incarnation == ref->incarnation)
        return holder;
      csp_orphan_slots (table, holder, now_ms);
      free_holder_if_empty (table, holder);
    }
  return add_holder (table, ref, hash);
}

target_t *
csp_get_slot_target (csp_slot_table_t *table, const char *name, bool create)
{
  uint64_t hash = csp_mix_name (name);
  csp_index_node_t *node = csp_find_in_index (&table->targets, hash);
  target_t *target;

  for (; node != NULL; node = csp_find_next_in_index (node))
    {
      target = CSP_INDEX_ENTRY (node, target_t, node);
      if (strcmp (target->name, name) == 0)
        return target;
    }
  if (!create)
    return NULL;
  target = calloc (1, sizeof *target);
  if (target == NULL)
    return NULL;
  copy_name (target->name, name, sizeof target->name);
  target->settling_until_ms = INT64_MIN;
  CDS_INIT_LIST_HEAD (&target->slots);
  csp_add_to_index (&table->targets, &target->node, hash);
  return target;
}

slot_t *
csp_find_slot_by_ask (const csp_slot_table_t *table, const holder_t *holder,
                      uint64_t ask_id)
{
  csp_index_node_t *node
      = csp_find_in_index (&table->slots, hash_slot (holder, ask_id));
  slot_t *slot;

  for (; node != NULL; node = csp_find_next_in_index (node))
    {
      slot = CSP_INDEX_ENTRY (node, slot_t, node);
      if (slot->holder == holder && slot->ask_id == ask_id)
        return slot;
    }
  return NULL;
}

static uint32_t *
get_state_counter (slot_t *slot)
{
  switch (slot->state)
    {
    case SLOT_RESERVED:
      return &slot->target->usage.reserved;
    case SLOT_HELD:
      return &slot->target->usage.held;
    case SLOT_ORPHANED:
    case SLOT_DRAINING:
      break;
    }
  return &slot->target->usage.orphaned;
}

slot_t *
csp_add_slot (csp_slot_table_t *table, holder_t *holder, target_t *target,
              uint64_t ask_id, uint32_t expected_tokens)
{
  slot_t *slot = calloc (1, sizeof *slot);

  if (slot == NULL)
    return NULL;
  slot->holder = holder;
  slot->target = target;
  slot->ask_id = ask_id;
  slot->expected_tokens = expected_tokens;
  slot->state = SLOT_HELD;
  slot->expiry_ms = INT64_MAX;
  while (slot->nonce == 0)
    slot->nonce = csp_random_u64 (&table->random);
  CDS_INIT_LIST_HEAD (&slot->queue_link);
  cds_list_add_tail (&slot->holder_link, &holder->slots);
  cds_list_add_tail (&slot->target_link, &target->slots);
  csp_add_to_index (&table->slots, &slot->node, hash_slot (holder, ask_id));
  target->usage.held++;
  target->usage.expected_tokens += expected_tokens;
  return slot;
}

void
csp_set_slot_state (csp_slot_table_t *table, slot_t *slot, slot_state_t state,
                    int64_t now_ms)
{
  (*get_state_counter (slot))--;
  slot->state = state;
  (*get_state_counter (slot))++;
  cds_list_del_init (&slot->queue_link);
  switch (state)
    {
    case SLOT_RESERVED:
      slot->expiry_ms = now_ms + table->settings.reserve_lease_ms;
      cds_list_add_tail (&slot->queue_link, &table->reserved_queue);
      break;
    case SLOT_HELD:
      slot->expiry_ms = INT64_MAX;
      break;
    case SLOT_ORPHANED:
    case SLOT_DRAINING:
      slot->expiry_ms = now_ms + table->settings.orphan_ms;
      cds_list_add_tail (&slot->queue_link, &table->draining_queue);
      break;
    }
}

void
csp_free_slot (csp_slot_table_t *table, slot_t *slot)
{
  (*get_state_counter (slot))--;
  slot->target->usage.expected_tokens -= slot->expected_tokens;
  cds_list_del (&slot->holder_link);
  cds_list_del (&slot->target_link);
  cds_list_del (&slot->queue_link);
  csp_remove_from_index (&table->slots, &slot->node);
  free (slot);
}

/* Reserved slots stay as they are, since their lease ends sooner.  */
void
csp_orphan_slots (csp_slot_table_t *table, holder_t *holder, int64_t now_ms)
{
  slot_t *slot;

  cds_list_for_each_entry (slot, &holder->slots, holder_link)
  {
    if (slot->state == SLOT_HELD)
      csp_set_slot_state (table, slot, SLOT_ORPHANED, now_ms);
  }
}
