#ifndef COWSLIPSPOKE_SLOT_TABLE_IMP_H
#define COWSLIPSPOKE_SLOT_TABLE_IMP_H

#include <urcu/list.h>

#include "base/index-imp.h"
#include "cowslipspoke/handoff.h"
#include "cowslipspoke/random.h"

/* ORPHANED: the holder is silent and may come back.  DRAINING: the holder
   let go, but the engine may still be decoding.  */
typedef enum
{
  SLOT_RESERVED,
  SLOT_HELD,
  SLOT_ORPHANED,
  SLOT_DRAINING
} slot_state_t;

/* One life of a host that holds slots.  */
typedef struct
{
  csp_index_node_t node;
  csp_host_ref_t ref;
  uint64_t holdings_number;
  struct cds_list_head slots;
} holder_t;

typedef struct
{
  csp_index_node_t node;
  char name[CSP_TARGET_NAME_BYTES];
  int64_t closed_until_ms;
  csp_target_usage_t usage;
  struct cds_list_head slots;
} target_t;

/* commit_number: holdings with a higher number have to list the slot.
   listed_number: the last holdings that did.  */
typedef struct
{
  csp_index_node_t node;
  struct cds_list_head of_holder;
  struct cds_list_head of_target;
  struct cds_list_head of_queue;
  holder_t *holder;
  target_t *target;
  uint64_t ask_id;
  uint64_t nonce;
  uint64_t commit_number;
  uint64_t listed_number;
  int64_t expiry_ms;
  uint32_t expected_tokens;
  slot_state_t state;
} slot_t;

/* leases and drains hold slots in order of expiry, since each kind lasts
   equally long.  */
struct csp_slot_table_s
{
  csp_slot_settings_t settings;
  csp_random_t random;
  csp_index_t slots;
  csp_index_t holders;
  csp_index_t targets;
  struct cds_list_head leases;
  struct cds_list_head drains;
};

/* The life that a message comes from, made if need be; NULL where a later
   life of the same host is known already, or without memory.  A first message
   from a later life orphans what the earlier one held.  */
holder_t *csp_find_slot_holder (csp_slot_table_t *table,
                                const csp_host_ref_t *ref, int64_t now_ms);

/* A target, made if need be; NULL without memory.  */
target_t *csp_find_slot_target (csp_slot_table_t *table, const char *name,
                                bool make);

slot_t *csp_find_held_slot (const csp_slot_table_t *table,
                            const holder_t *holder, uint64_t ask_id);

/* A new slot that is in no state yet; NULL without memory.  */
slot_t *csp_add_slot (csp_slot_table_t *table, holder_t *holder,
                      target_t *target, uint64_t ask_id,
                      uint32_t expected_tokens);

/* Move a slot into a state, and its expiry with it.  */
void csp_set_slot_state (csp_slot_table_t *table, slot_t *slot,
                         slot_state_t state, int64_t now_ms);

void csp_free_slot (csp_slot_table_t *table, slot_t *slot);

void csp_orphan_slots (csp_slot_table_t *table, holder_t *holder,
                       int64_t now_ms);

#endif
