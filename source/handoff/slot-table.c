#include "handoff/slot-table-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  EXPECTED_SLOTS = 1024,
  EXPECTED_HOSTS = 64
};

csp_slot_settings_t
csp_default_slot_settings (void)
{
  csp_slot_settings_t settings = { .reserve_lease_ms = 1000,
                                   .open_lease_ms = 2000,
                                   .orphan_ms = 35000,
                                   .settle_ms = 3000 };

  return settings;
}

csp_slot_table_t *
csp_create_slot_table (const csp_slot_settings_t *settings, uint64_t seed)
{
  csp_slot_table_t *table = calloc (1, sizeof *table);

  if (table == NULL)
    return NULL;
  table->settings = *settings;
  csp_seed_random (&table->random, seed);
  CDS_INIT_LIST_HEAD (&table->reserved_queue);
  CDS_INIT_LIST_HEAD (&table->draining_queue);
  if (csp_open_index (&table->slots, EXPECTED_SLOTS) != 0
      || csp_open_index (&table->holders, EXPECTED_HOSTS) != 0
      || csp_open_index (&table->targets, EXPECTED_HOSTS) != 0)
    {
      csp_destroy_slot_table (table);
      return NULL;
    }
  return table;
}

static void
free_targets (csp_slot_table_t *table)
{
  csp_index_node_t *node;
  csp_index_node_t *next;
  target_t *target;
  slot_t *slot;
  slot_t *next_slot;
  size_t i;

  for (i = 0; i < table->targets.bucket_count; i++)
    for (node = table->targets.buckets[i]; node != NULL; node = next)
      {
        next = node->next;
        target = CSP_INDEX_ENTRY (node, target_t, node);
        cds_list_for_each_entry_safe (slot, next_slot, &target->slots,
                                      target_link) csp_free_slot (table, slot);
        free (target);
      }
}

static void
free_holders (csp_slot_table_t *table)
{
  csp_index_node_t *node;
  csp_index_node_t *next;
  size_t i;

  for (i = 0; i < table->holders.bucket_count; i++)
    for (node = table->holders.buckets[i]; node != NULL; node = next)
      {
        next = node->next;
        free (CSP_INDEX_ENTRY (node, holder_t, node));
      }
}

void
csp_destroy_slot_table (csp_slot_table_t *table)
{
  if (table == NULL)
    return;
  if (table->targets.buckets != NULL)
    free_targets (table);
  if (table->holders.buckets != NULL)
    free_holders (table);
  csp_close_index (&table->slots);
  csp_close_index (&table->holders);
  csp_close_index (&table->targets);
  free (table);
}

static size_t
expire_queue (csp_slot_table_t *table, struct cds_list_head *queue,
              int64_t now_ms)
{
  slot_t *slot;
  slot_t *next;
  size_t freed = 0;

  cds_list_for_each_entry_safe (slot, next, queue, queue_link)
  {
    if (slot->expiry_ms > now_ms)
      break;
    csp_free_slot (table, slot);
    freed++;
  }
  return freed;
}

size_t
csp_expire_slots (csp_slot_table_t *table, int64_t now_ms)
{
  return expire_queue (table, &table->reserved_queue, now_ms)
         + expire_queue (table, &table->draining_queue, now_ms);
}

void
csp_refuse_slot (const csp_reserve_ask_t *ask, uint32_t retry_after_ms,
                 csp_reserve_answer_t *answer)
{
  memset (answer, 0, sizeof *answer);
  answer->ask_id = ask->ask_id;
  answer->retry_after_ms = retry_after_ms;
}

static void
fill_grant (const csp_slot_table_t *table, const slot_t *slot,
            csp_reserve_answer_t *answer)
{
  memset (answer, 0, sizeof *answer);
  answer->ask_id = slot->ask_id;
  answer->granted = true;
  answer->nonce = slot->nonce;
  answer->lease_ms = table->settings.reserve_lease_ms;
  memcpy (answer->target, slot->target->name, sizeof answer->target);
}

/* Otherwise a duplicate message would reserve a second slot for the same
   request, and the target would seem fuller than it is until the lease
   ends.  */
bool
csp_repeat_reserve_answer (csp_slot_table_t *table,
                           const csp_reserve_ask_t *ask, int64_t now_ms,
                           csp_reserve_answer_t *answer)
{
  holder_t *holder;
  slot_t *slot;

  csp_expire_slots (table, now_ms);
  holder = csp_get_slot_holder (table, &ask->sender, now_ms);
  if (holder == NULL)
    return false;
  slot = csp_find_slot_by_ask (table, holder, ask->ask_id);
  if (slot == NULL)
    return false;
  fill_grant (table, slot, answer);
  return true;
}

void
csp_reserve_slot (csp_slot_table_t *table, const csp_reserve_ask_t *ask,
                  const char *target, int64_t now_ms,
                  csp_reserve_answer_t *answer)
{
  uint32_t retry_after_ms = table->settings.reserve_lease_ms;
  holder_t *holder;
  target_t *entry;
  slot_t *slot;

  if (csp_repeat_reserve_answer (table, ask, now_ms, answer))
    return;
  holder = csp_get_slot_holder (table, &ask->sender, now_ms);
  entry = csp_get_slot_target (table, target, true);
  if (holder == NULL || entry == NULL)
    goto refuse;
  if (entry->settling_until_ms > now_ms)
    {
      retry_after_ms = (uint32_t)(entry->settling_until_ms - now_ms);
      goto refuse;
    }
  slot
      = csp_add_slot (table, holder, entry, ask->ask_id, ask->expected_tokens);
  if (slot == NULL)
    goto refuse;
  csp_set_slot_state (table, slot, SLOT_RESERVED, now_ms);
  fill_grant (table, slot, answer);
  return;

refuse:
  csp_refuse_slot (ask, retry_after_ms, answer);
}

/* A commit is accepted only with the nonce of its grant.  A paused sender's
   commit may reach an owner that was restarted, or that has granted the
   capacity to another after the lease ended.  The answer is then not held, and
   the sender doesn't send the request.  */
void
csp_commit_slot (csp_slot_table_t *table, const csp_commit_ask_t *ask,
                 int64_t now_ms, csp_commit_answer_t *answer)
{
  holder_t *holder;
  slot_t *slot = NULL;

  csp_expire_slots (table, now_ms);
  memset (answer, 0, sizeof *answer);
  answer->ask_id = ask->ask_id;
  answer->nonce = ask->nonce;
  holder = csp_get_slot_holder (table, &ask->sender, now_ms);
  if (holder != NULL)
    slot = csp_find_slot_by_ask (table, holder, ask->ask_id);
  if (slot == NULL || slot->nonce != ask->nonce
      || slot->state == SLOT_DRAINING)
    return;
  csp_set_slot_state (table, slot, SLOT_HELD, now_ms);
  if (slot->commit_number < ask->holdings_number)
    slot->commit_number = ask->holdings_number;
  answer->held = true;
  answer->lease_ms = table->settings.open_lease_ms;
}

/* An engine whose connection was cut continues decoding.  If its slot were
   freed at once, the next request would find the engine's memory full and be
   preempted.  */
void
csp_release_slot (csp_slot_table_t *table, const csp_release_t *release,
                  int64_t now_ms)
{
  holder_t *holder;
  slot_t *slot;

  csp_expire_slots (table, now_ms);
  holder = csp_get_slot_holder (table, &release->sender, now_ms);
  if (holder == NULL)
    return;
  slot = csp_find_slot_by_ask (table, holder, release->ask_id);
  if (slot == NULL || slot->nonce != release->nonce)
    return;
  if (!release->maybe_decoding)
    csp_free_slot (table, slot);
  else if (slot->state != SLOT_DRAINING)
    csp_set_slot_state (table, slot, SLOT_DRAINING, now_ms);
}

static void
apply_listed_slot (csp_slot_table_t *table, holder_t *holder,
                   const csp_held_slot_t *held, uint64_t number,
                   int64_t now_ms)
{
  slot_t *slot = csp_find_slot_by_ask (table, holder, held->ask_id);
  target_t *target;

  if (slot == NULL)
    {
      target = csp_get_slot_target (table, held->target, true);
      if (target != NULL)
        slot = csp_add_slot (table, holder, target, held->ask_id,
                             held->expected_tokens);
      if (slot == NULL)
        return;
    }
  slot->listed_number = number;
  if (slot->state == SLOT_DRAINING)
    return;
  slot->nonce = held->nonce;
  if (slot->commit_number + 1 < number)
    slot->commit_number = number - 1;
  csp_set_slot_state (table, slot, SLOT_HELD, now_ms);
}

/* Whether a holdings message with this number should have listed the slot but
   did not.  A message made before the commit may arrive after it, and must not
   end a slot that it could not list.  */
static bool
is_missing_from_holdings (const slot_t *slot, uint64_t number)
{
  if (slot->state != SLOT_HELD && slot->state != SLOT_ORPHANED)
    return false;
  return slot->commit_number < number && slot->listed_number < number;
}

/* If a slot is missing, its release was lost, and with it the information
   whether the engine still decodes.  So the slot drains: if it were freed at
   once, its capacity could be granted while the engine still decodes, and the
   engine would preempt.  */
void
csp_apply_holdings (csp_slot_table_t *table, const csp_holdings_t *holdings,
                    int64_t now_ms)
{
  holder_t *holder;
  slot_t *slot;
  size_t i;

  csp_expire_slots (table, now_ms);
  holder = csp_get_slot_holder (table, &holdings->sender, now_ms);
  if (holder == NULL || holdings->number <= holder->holdings_number)
    return;
  holder->holdings_number = holdings->number;
  for (i = 0; i < holdings->count; i++)
    apply_listed_slot (table, holder, &holdings->slots[i], holdings->number,
                       now_ms);
  cds_list_for_each_entry (slot, &holder->slots, holder_link)
  {
    if (is_missing_from_holdings (slot, holdings->number))
      csp_set_slot_state (table, slot, SLOT_DRAINING, now_ms);
  }
}

void
csp_orphan_holder (csp_slot_table_t *table, const char *host, int64_t now_ms)
{
  csp_index_node_t *node
      = csp_find_in_index (&table->holders, csp_mix_name (host));
  holder_t *holder;

  csp_expire_slots (table, now_ms);
  for (; node != NULL; node = csp_find_next_in_index (node))
    {
      holder = CSP_INDEX_ENTRY (node, holder_t, node);
      if (strcmp (holder->ref.name, host) == 0)
        csp_orphan_slots (table, holder, now_ms);
    }
}

void
csp_remove_holder (csp_slot_table_t *table, const char *host)
{
  csp_index_node_t *node
      = csp_find_in_index (&table->holders, csp_mix_name (host));
  csp_index_node_t *next;
  holder_t *holder;

  for (; node != NULL; node = next)
    {
      next = csp_find_next_in_index (node);
      holder = CSP_INDEX_ENTRY (node, holder_t, node);
      if (strcmp (holder->ref.name, host) != 0)
        continue;
      if (!cds_list_empty (&holder->slots))
        continue;
      csp_remove_from_index (&table->holders, node);
      free (holder);
    }
}

/* A new owner doesn't know the slots that peers hold from the old owner.  If
   it granted slots at once, the engine's memory would be granted twice.  */
void
csp_add_owned_target (csp_slot_table_t *table, const char *target,
                      int64_t now_ms)
{
  target_t *entry = csp_get_slot_target (table, target, true);

  if (entry != NULL)
    entry->settling_until_ms = now_ms + table->settings.settle_ms;
}

void
csp_end_target_settling (csp_slot_table_t *table, const char *target)
{
  target_t *entry = csp_get_slot_target (table, target, false);

  if (entry != NULL)
    entry->settling_until_ms = INT64_MIN;
}

void
csp_remove_owned_target (csp_slot_table_t *table, const char *target)
{
  target_t *entry = csp_get_slot_target (table, target, false);
  slot_t *slot;
  slot_t *next;

  if (entry == NULL)
    return;
  cds_list_for_each_entry_safe (slot, next, &entry->slots, target_link)
      csp_free_slot (table, slot);
  csp_remove_from_index (&table->targets, &entry->node);
  free (entry);
}

void
csp_get_target_usage (csp_slot_table_t *table, const char *target,
                      int64_t now_ms, csp_target_usage_t *usage)
{
  target_t *entry = csp_get_slot_target (table, target, false);

  csp_expire_slots (table, now_ms);
  memset (usage, 0, sizeof *usage);
  if (entry != NULL)
    *usage = entry->usage;
}

size_t
csp_count_slots (const csp_slot_table_t *table)
{
  return table->slots.count;
}

size_t
csp_measure_slot_bytes (const csp_slot_table_t *table)
{
  return sizeof *table + table->slots.count * sizeof (slot_t)
         + table->holders.count * sizeof (holder_t)
         + table->targets.count * sizeof (target_t)
         + (table->slots.bucket_count + table->holders.bucket_count
            + table->targets.bucket_count)
               * sizeof (csp_index_node_t *);
}
