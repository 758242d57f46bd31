#ifndef COWSLIPSPOKE_HANDOFF_H
#define COWSLIPSPOKE_HANDOFF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cowslipspoke/host-ref.h"
#include "cowslipspoke/verdict.h"

/* Hand-off in two steps between the owner of a target and a host whose own
   targets are full (the sender).  Reserve gives the sender a slot for a short
   lease, commit makes it the holder, and then the sender itself opens the
   target.  See docs/HANDOFF.md.

   Load pattern: one host gets more than its own targets can take while others
   have room.  Without it either requests wait beside idle engines, or several
   hosts choose the same engine from late reports and it preempts; one notices
   both as stall time.  */

enum
{
  CSP_MODEL_NAME_BYTES = 96,
  CSP_POOL_NAME_BYTES = 64,
  CSP_TARGET_NAME_BYTES = 64,
  CSP_HANDOFF_MAX_PEERS = 4
};

/* Messages.  The pair of sender and ask_id names a slot everywhere, also at a
   new owner; ask_id never repeats within one incarnation of the sender.  */

typedef struct
{
  uint64_t ask_id;
  csp_host_ref_t sender;
  char model[CSP_MODEL_NAME_BYTES];
  char pool[CSP_POOL_NAME_BYTES];
  uint32_t expected_tokens;
  uint8_t priority;
} csp_reserve_ask_t;

/* lease_ms counts from before the ask left, on the sender's clock.  The nonce
   ties a commit to this one grant.  */
typedef struct
{
  uint64_t ask_id;
  bool granted;
  char target[CSP_TARGET_NAME_BYTES];
  uint64_t nonce;
  uint32_t lease_ms;
  uint32_t retry_after_ms;
} csp_reserve_answer_t;

/* holdings_number is the number of the last holdings message that the sender
   made before this commit; see csp_holdings_t.  */
typedef struct
{
  uint64_t ask_id;
  csp_host_ref_t sender;
  uint64_t nonce;
  uint64_t holdings_number;
} csp_commit_ask_t;

/* held false: the slot is gone and will not come back.  lease_ms counts from
   before the commit left; within it the sender has to open the target.  */
typedef struct
{
  uint64_t ask_id;
  uint64_t nonce;
  bool held;
  uint32_t lease_ms;
} csp_commit_answer_t;

/* maybe_decoding: the link was cut or left, and the engine may go on making
   tokens for its resume window; the owner counts the slot that much longer. */
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

/* Everything that a sender holds, or has asked to hold, at one owner: sent to
   it every few seconds and to each new owner of a target at once.  number
   rises by one with each such message of an incarnation.  A slot that a later
   number leaves out is counted for orphan_ms more and then free, which mends
   lost releases; a slot that the owner does not know is taken up, which is how
   a new owner learns.  An empty list
   is sent as well.  */
typedef struct
{
  csp_host_ref_t sender;
  uint64_t number;
  size_t count;
  const csp_held_slot_t *slots;
} csp_holdings_t;

/* The owner's side.  */

/* reserve_lease_ms: long enough for one more round trip with retries over a
   slow link, short since it is lost capacity when the sender dies.
   open_lease_ms: how long a holder may wait before it opens the target.
   orphan_ms: how long a slot is still counted after its holder fell silent;
   an engine goes on for its resume window of 30 s after a cut.
   settle_ms: how long a new owner grants nothing at a target, so that each
   peer's holdings reach it first.  */
typedef struct
{
  uint32_t reserve_lease_ms;
  uint32_t open_lease_ms;
  uint32_t orphan_ms;
  uint32_t settle_ms;
} csp_slot_settings_t;

/* Settings that suit links of a few milliseconds: 1,000, 2,000, 35,000 and
   3,000 ms.  */
csp_slot_settings_t csp_default_slot_settings (void);

/* What is counted at one target: slots that are only reserved, slots that are
   held, slots of silent holders, and the tokens expected of all of them.  */
typedef struct
{
  uint32_t reserved;
  uint32_t held;
  uint32_t orphaned;
  uint64_t expected_tokens;
} csp_target_usage_t;

/* All slots at the targets that this host owns, its own requests' included
   (they reserve and commit without messages).  One thread at a time.  */
typedef struct csp_slot_table_s csp_slot_table_t;

csp_slot_table_t *csp_create_slot_table (const csp_slot_settings_t *settings,
                                         uint64_t seed);
void csp_destroy_slot_table (csp_slot_table_t *table);

/* Answer an ask that was already answered (a duplicate).  False: it is new,
   and the caller chooses a target and calls csp_reserve_slot.  */
bool csp_find_slot (csp_slot_table_t *table, const csp_reserve_ask_t *ask,
                    int64_t now_ms, csp_reserve_answer_t *answer);

/* Reserve a slot at a target that has room.  The answer is a refusal with a
   time to come back while the target settles, and when the ask is of an
   earlier life of its sender.  */
void csp_reserve_slot (csp_slot_table_t *table, const csp_reserve_ask_t *ask,
                       const char *target, int64_t now_ms,
                       csp_reserve_answer_t *answer);

/* A refusal, for when no target has room.  */
void csp_refuse_slot (const csp_reserve_ask_t *ask, uint32_t retry_after_ms,
                      csp_reserve_answer_t *answer);

void csp_commit_slot (csp_slot_table_t *table, const csp_commit_ask_t *ask,
                      int64_t now_ms, csp_commit_answer_t *answer);

/* Free a slot; unknown ones are ignored.  */
void csp_release_slot (csp_slot_table_t *table, const csp_release_t *release,
                       int64_t now_ms);

/* Take over what a peer says that it holds.  Slots at targets outside this
   host's ownership must be left out by the sender.  */
void csp_take_holdings (csp_slot_table_t *table,
                        const csp_holdings_t *holdings, int64_t now_ms);

/* The holder is silent, or known to be gone.  Called every second or so for
   each silent host and not only when it falls silent: a commit or a list that
   lay in this host's sockets can make slots held again, and nobody would ever
   release them.  A slot that is orphaned already keeps its expiry.  */
void csp_orphan_holder (csp_slot_table_t *table, const char *host,
                        int64_t now_ms);

/* The host list has been without the host for orphan_ms or more; its name is
   forgotten together with its last incarnation.  */
void csp_forget_holder (csp_slot_table_t *table, const char *host);

/* Free what has run out; the number of slots freed.  Each call to the table
   does this first as well.  */
size_t csp_expire_slots (csp_slot_table_t *table, int64_t now_ms);

/* Ownership came: nothing is granted for settle_ms, or until
   csp_open_target, once every live peer has told its holdings.  */
void csp_gain_target (csp_slot_table_t *table, const char *target,
                      int64_t now_ms);
void csp_open_target (csp_slot_table_t *table, const char *target);

/* Ownership went: its slots are forgotten; commits are answered with gone. */
void csp_lose_target (csp_slot_table_t *table, const char *target);

void csp_count_target (csp_slot_table_t *table, const char *target,
                       int64_t now_ms, csp_target_usage_t *usage);

/* Slots in the table, and bytes that they take.  */
size_t csp_count_slots (const csp_slot_table_t *table);
size_t csp_measure_slot_bytes (const csp_slot_table_t *table);

/* The sender's side: one request looking for a slot among a few peers. */

/* answer_timeout_ms: how long each ask waits before the next peer (reserve)
   or a repeat (commit).  lease_margin_ms is taken off every lease.  */
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
  CSP_HANDOFF_PEER_LOST,      /* the owner asked last is known to be away */
  CSP_HANDOFF_BEFORE_SEND,    /* connected; may the first byte leave?  */
  CSP_HANDOFF_NOT_SENT,       /* no connection, or surely no byte left */
  CSP_HANDOFF_TARGET_REFUSED, /* the target says that it started nothing */
  CSP_HANDOFF_TARGET_FAILED,  /* anything else that ends the answer early */
  CSP_HANDOFF_FIRST_TOKEN,
  CSP_HANDOFF_FINISHED, /* the whole answer has come */
  CSP_HANDOFF_HUNG_UP,  /* the caller has gone */
  CSP_HANDOFF_CANCELLED /* after the end: the target says so */
} csp_handoff_event_kind_t;

/* peer is the index of the peer that an answer or loss comes from.  */
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
  CSP_HANDOFF_OPEN_TARGET,  /* connect, then ask with BEFORE_SEND */
  CSP_HANDOFF_SEND_REQUEST, /* let the first byte leave now */
  CSP_HANDOFF_GIVE_UP,      /* u.error is the caller's answer */
  CSP_HANDOFF_DONE          /* the answer was whole */
} csp_handoff_action_kind_t;

/* has_release: besides the action, send release to release_peer.  */
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

/* A hand-off of the request described by ask (its ask_id is that of the first
   peer; the next peers get the next ids, so CSP_HANDOFF_MAX_PEERS ids in a
   row belong to it).  peer_count of at most CSP_HANDOFF_MAX_PEERS.  */
csp_handoff_t *csp_create_handoff (const csp_handoff_settings_t *settings,
                                   const csp_reserve_ask_t *ask,
                                   size_t peer_count, int64_t deadline_ms);
void csp_destroy_handoff (csp_handoff_t *handoff);

/* The first action.  */
void csp_start_handoff (csp_handoff_t *handoff, int64_t now_ms,
                        csp_handoff_action_t *action);

/* What an event leads to.  holdings_number is that of the last holdings
   message made by this host.  */
void csp_step_handoff (csp_handoff_t *handoff,
                       const csp_handoff_event_t *event,
                       uint64_t holdings_number, int64_t now_ms,
                       csp_handoff_action_t *action);

/* When to call with a tick; INT64_MAX for never.  */
int64_t csp_next_handoff_tick (const csp_handoff_t *handoff);

/* What has to stand in this host's holdings for the hand-off, with the peer
   that granted it.  False: nothing.  */
bool csp_held_by_handoff (const csp_handoff_t *handoff, size_t *peer,
                          csp_held_slot_t *slot);

#endif
