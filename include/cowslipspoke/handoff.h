#ifndef COWSLIPSPOKE_HANDOFF_H
#define COWSLIPSPOKE_HANDOFF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cowslipspoke/host-ref.h"
#include "cowslipspoke/verdict.h"

/* Two-step hand-off between the owner of a target and a host whose own targets
   are full (the sender).  Reserve gives the sender a slot for a short lease,
   commit makes the sender the slot's holder, and then the sender itself
   connects to the target.  See docs/HANDOFF.md.

   Load pattern: one host receives more than its own targets can take while
   other hosts have free capacity.  Without hand-off, requests wait beside idle
   engines, or several hosts choose the same engine from stale reports and that
   engine preempts.  Both show as stall time.  */

enum
{
  CSP_MODEL_NAME_BYTES = 96,
  CSP_POOL_NAME_BYTES = 64,
  CSP_TARGET_NAME_BYTES = 64,
  CSP_HANDOFF_MAX_PEERS = 4
};

/* Messages.  The pair of sender and ask_id identifies a slot on all hosts,
   also after the target moves to a new owner.  ask_id is unique within one
   incarnation of the sender.  */

typedef struct
{
  uint64_t ask_id;
  csp_host_ref_t sender;
  char model[CSP_MODEL_NAME_BYTES];
  char pool[CSP_POOL_NAME_BYTES];
  uint32_t expected_tokens;
  uint8_t priority;
} csp_reserve_ask_t;

/* lease_ms starts on the sender's clock when it sends the ask.  The nonce
   binds a commit to this grant.  */
typedef struct
{
  uint64_t ask_id;
  bool granted;
  char target[CSP_TARGET_NAME_BYTES];
  uint64_t nonce;
  uint32_t lease_ms;
  uint32_t retry_after_ms;
} csp_reserve_answer_t;

/* holdings_number: the number of the last holdings message that the sender
   made before this commit; see csp_holdings_t.  */
typedef struct
{
  uint64_t ask_id;
  csp_host_ref_t sender;
  uint64_t nonce;
  uint64_t holdings_number;
} csp_commit_ask_t;

/* held: false if the slot no longer exists, which is final.  lease_ms starts
   when the sender sends the first commit; within it the sender has to start
   the request at the target.  */
typedef struct
{
  uint64_t ask_id;
  uint64_t nonce;
  bool held;
  uint32_t lease_ms;
} csp_commit_answer_t;

/* maybe_decoding: the connection to the engine ended early, and the engine may
   continue generating tokens for its resume window.  The owner counts the slot
   for orphan_ms more.  */
typedef struct
{
  uint64_t ask_id;
  csp_host_ref_t sender;
  uint64_t nonce;
  bool maybe_decoding;
} csp_release_t;

typedef struct
{
  uint64_t ask_id;
  uint64_t nonce;
  char target[CSP_TARGET_NAME_BYTES];
  uint32_t expected_tokens;
} csp_held_slot_t;

/* All slots that a sender holds, or is committing, at one owner.  Sent every
   few seconds, also if the list is empty, and at once to each new owner of a
   target.  number increases by one with each such message of an incarnation.
   A slot that a later message omits is counted for orphan_ms more and then
   freed, which makes up for lost releases.  A slot that the owner doesn't know
   is added, which is how a new owner learns of it.  */
typedef struct
{
  csp_host_ref_t sender;
  uint64_t number;
  size_t count;
  const csp_held_slot_t *slots;
} csp_holdings_t;

/* The owner's side.  */

/* reserve_lease_ms: long enough for one more round trip with retries over a
   slow link; short, since the capacity is lost if the sender dies.
   open_lease_ms: how long after its commit a holder may still start its
   request at the target.
   orphan_ms: how long a slot is still counted after its holder became silent.
   It covers the 30 s resume window for which an engine continues after its
   connection is cut.
   settle_ms: how long a new owner of a target grants no slots at it, so that
   every peer's holdings arrive first.  */
typedef struct
{
  uint32_t reserve_lease_ms;
  uint32_t open_lease_ms;
  uint32_t orphan_ms;
  uint32_t settle_ms;
} csp_slot_settings_t;

/* Settings for links with a latency of a few milliseconds: 1,000, 2,000,
   35,000 and 3,000 ms.  */
csp_slot_settings_t csp_default_slot_settings (void);

/* The usage counted at one target.  reserved: slots not committed yet.  held:
   committed slots.  orphaned: slots of silent holders, and released slots
   whose engine may still be decoding.  expected_tokens: the sum over all of
   them.  */
typedef struct
{
  uint32_t reserved;
  uint32_t held;
  uint32_t orphaned;
  uint64_t expected_tokens;
} csp_target_usage_t;

/* All slots at the targets that this host owns, including those of its own
   requests, which reserve and commit without messages.  Not thread-safe.  */
typedef struct csp_slot_table_s csp_slot_table_t;

csp_slot_table_t *csp_create_slot_table (const csp_slot_settings_t *settings,
                                         uint64_t seed);
void csp_destroy_slot_table (csp_slot_table_t *table);

/* Repeats the answer to a duplicate ask.  Returns false if the ask is new; the
   caller then chooses a target and calls csp_reserve_slot.  */
bool csp_repeat_reserve_answer (csp_slot_table_t *table,
                                const csp_reserve_ask_t *ask, int64_t now_ms,
                                csp_reserve_answer_t *answer);

/* Reserves a slot at a target that has free capacity.  The answer is a refusal
   with a retry time while the target settles, or if the ask is from an earlier
   incarnation of its sender.  */
void csp_reserve_slot (csp_slot_table_t *table, const csp_reserve_ask_t *ask,
                       const char *target, int64_t now_ms,
                       csp_reserve_answer_t *answer);

/* Fills in a refusal, for when no target has free capacity.  */
void csp_refuse_slot (const csp_reserve_ask_t *ask, uint32_t retry_after_ms,
                      csp_reserve_answer_t *answer);

void csp_commit_slot (csp_slot_table_t *table, const csp_commit_ask_t *ask,
                      int64_t now_ms, csp_commit_answer_t *answer);

/* Frees a slot.  Unknown slots are ignored.  */
void csp_release_slot (csp_slot_table_t *table, const csp_release_t *release,
                       int64_t now_ms);

/* Applies a peer's holdings.  The peer must list only slots at targets that
   this host owns.  */
void csp_apply_holdings (csp_slot_table_t *table,
                         const csp_holdings_t *holdings, int64_t now_ms);

/* Marks the slots of a silent or departed host as orphaned.  To be called
   about every second for each silent host, not only when it becomes silent: a
   commit or holdings message still queued in a socket can make its slots held
   again, and they would never be released.  A slot that is already orphaned
   keeps its expiry.  */
void csp_orphan_holder (csp_slot_table_t *table, const char *host,
                        int64_t now_ms);

/* Removes a host's name and last incarnation from the table.  To be called
   only after the host has been missing from the host list for orphan_ms or
   more.  */
void csp_remove_holder (csp_slot_table_t *table, const char *host);

/* Frees expired slots and returns how many.  Operations on slots and holdings
   call it first, too.  */
size_t csp_expire_slots (csp_slot_table_t *table, int64_t now_ms);

/* This host became the owner of a target: no slot is granted at it for
   settle_ms, or until csp_end_target_settling is called because every live
   peer has sent its holdings.  */
void csp_add_owned_target (csp_slot_table_t *table, const char *target,
                           int64_t now_ms);
void csp_end_target_settling (csp_slot_table_t *table, const char *target);

/* This host is no longer the owner of a target: removes its slots.  Their
   commits are answered with held false.  */
void csp_remove_owned_target (csp_slot_table_t *table, const char *target);

void csp_get_target_usage (csp_slot_table_t *table, const char *target,
                           int64_t now_ms, csp_target_usage_t *usage);

/* The number of slots in the table, and its memory use in bytes.  */
size_t csp_count_slots (const csp_slot_table_t *table);
size_t csp_measure_slot_bytes (const csp_slot_table_t *table);

/* The sender's side: one request that asks a few peers for a slot.  */

/* answer_timeout_ms: how long to wait for an answer before the next peer is
   asked (reserve) or the message is resent (commit).  lease_margin_ms: safety
   margin subtracted from every lease.  */
typedef struct
{
  uint32_t answer_timeout_ms;
  uint32_t lease_margin_ms;
} csp_handoff_settings_t;

/* 200 ms and 50 ms.  */
csp_handoff_settings_t csp_default_handoff_settings (void);

typedef enum
{
  CSP_HANDOFF_TICK,
  CSP_HANDOFF_RESERVE_ANSWER,
  CSP_HANDOFF_COMMIT_ANSWER,
  CSP_HANDOFF_PEER_LOST,      /* the peer is known to be unreachable */
  CSP_HANDOFF_BEFORE_SEND,    /* connected; may the first byte be sent? */
  CSP_HANDOFF_NOT_SENT,       /* no connection, or certainly no byte sent */
  CSP_HANDOFF_TARGET_REFUSED, /* refused before the target started */
  CSP_HANDOFF_TARGET_FAILED,  /* any other early end of the answer */
  CSP_HANDOFF_FIRST_TOKEN,
  CSP_HANDOFF_FINISHED,        /* the whole answer was received */
  CSP_HANDOFF_CALLER_GONE,     /* the caller disconnected */
  CSP_HANDOFF_CANCEL_CONFIRMED /* after the end: the target stopped decoding */
} csp_handoff_event_kind_t;

/* peer: the index of the peer that answered or was lost.  */
typedef struct
{
  csp_handoff_event_kind_t kind;
  size_t peer;
  union
  {
    csp_reserve_answer_t reserve;
    csp_commit_answer_t commit;
  } u;
} csp_handoff_event_t;

typedef enum
{
  CSP_HANDOFF_WAIT,
  CSP_HANDOFF_SEND_RESERVE,
  CSP_HANDOFF_SEND_COMMIT,
  CSP_HANDOFF_OPEN_TARGET,  /* connect, then step with BEFORE_SEND */
  CSP_HANDOFF_SEND_REQUEST, /* send the first byte now */
  CSP_HANDOFF_GIVE_UP,      /* answer the caller with u.error */
  CSP_HANDOFF_DONE          /* the answer is complete */
} csp_handoff_action_kind_t;

/* has_release: also send release to release_peer.  */
typedef struct
{
  csp_handoff_action_kind_t kind;
  size_t peer;
  bool has_release;
  size_t release_peer;
  csp_release_t release;
  union
  {
    csp_reserve_ask_t reserve;
    csp_commit_ask_t commit;
    char target[CSP_TARGET_NAME_BYTES];
    csp_error_t error;
  } u;
} csp_handoff_action_t;

typedef struct csp_handoff_s csp_handoff_t;

/* Creates a hand-off of the request described by ask.  The first peer is asked
   with ask_id and each next peer with the next id, so a hand-off uses
   CSP_HANDOFF_MAX_PEERS consecutive ids.  At most CSP_HANDOFF_MAX_PEERS peers
   are asked.  */
csp_handoff_t *csp_create_handoff (const csp_handoff_settings_t *settings,
                                   const csp_reserve_ask_t *ask,
                                   size_t peer_count, int64_t deadline_ms);
void csp_destroy_handoff (csp_handoff_t *handoff);

/* Fills in the first action.  */
void csp_start_handoff (csp_handoff_t *handoff, int64_t now_ms,
                        csp_handoff_action_t *action);

/* Handles an event and fills in the resulting action.  holdings_number is that
   of the last holdings message made by this host.  */
void csp_step_handoff (csp_handoff_t *handoff,
                       const csp_handoff_event_t *event,
                       uint64_t holdings_number, int64_t now_ms,
                       csp_handoff_action_t *action);

/* The time at which the next TICK event is due; INT64_MAX if none.  */
int64_t csp_next_handoff_tick (const csp_handoff_t *handoff);

/* Fills in the slot that this host's holdings must list for the hand-off, and
   the peer that granted it.  Returns false if there is none.  */
bool csp_get_handoff_slot (const csp_handoff_t *handoff, size_t *peer,
                           csp_held_slot_t *slot);

#endif
