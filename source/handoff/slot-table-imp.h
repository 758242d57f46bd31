#ifndef COWSLIPSPOKE_SLOT_TABLE_IMP_H
#define COWSLIPSPOKE_SLOT_TABLE_IMP_H

#include <urcu/list.h>

#include "base/index-imp.h"
#include "cowslipspoke/handoff.h"
#include "cowslipspoke/random.h"

/* SLOT_ORPHANED: the holder is silent and may come back.  SLOT_DRAINING: the
   holder released the slot, but the engine may still be decoding.  */
typedef enum
{
  SLOT_RESERVED,
  SLOT_HELD,
  SLOT_ORPHANED,
  SLOT_DRAINING
} slot_state_t;

/* One incarnation of a host that holds slots.  */
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
  int64_t settling_until_ms;
  csp_target_usage_t usage;
  struct cds_list_head slots;
} target_t;

/* commit_number: holdings messages with a higher number must list the slot.
   listed_number: the number of the last holdings message that listed it.  */
typedef struct
{
  csp_index_node_t node;
  struct cds_list_head holder_link;
  struct cds_list_head target_link;
  struct cds_list_head queue_link;
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

/* reserved_queue: reserved slots.  draining_queue: orphaned and draining
   slots.  All slots of a queue last equally long, so each is in order of
   expiry.  */
struct csp_slot_table_s
{
  csp_slot_settings_t settings;
  csp_random_t random;
  csp_index_t slots;
  csp_index_t holders;
  csp_index_t targets;
  struct cds_list_head reserved_queue;
  struct cds_list_head draining_queue;
};

/* Returns the holder for the incarnation that sent a message, created if
   missing.  NULL if a later incarnation of the same host is known, or out of
   memory.  The first message of a later incarnation orphans the slots of the
   earlier one.  */
holder_t *csp_get_slot_holder (csp_slot_table_t *table,
                               const csp_host_ref_t *ref, int64_t now_ms);

/* Returns a target.  If it is missing, creates it if create is true, and
   returns NULL otherwise or if out of memory.  */
target_t *csp_get_slot_target (csp_slot_table_t *table, const char *name,
                               bool create);

slot_t *csp_find_slot_by_ask (const csp_slot_table_t *table,
                              const holder_t *holder, uint64_t ask_id);

/* Adds a held slot that never expires; csp_set_slot_state then sets its state.
   NULL if out of memory.  */
slot_t *csp_add_slot (csp_slot_table_t *table, holder_t *holder,
                      target_t *target, uint64_t ask_id,
                      uint32_t expected_tokens);

/* Sets the state of a slot and the expiry that follows from it.  */
void csp_set_slot_state (csp_slot_table_t *table, slot_t *slot,
                         slot_state_t state, int64_t now_ms);

void csp_free_slot (csp_slot_table_t *table, slot_t *slot);

void csp_orphan_slots (csp_slot_table_t *table, holder_t *holder,
                       int64_t now_ms);

#endif
