#ifndef CSP_DISPATCH_IMP_H
#define CSP_DISPATCH_IMP_H

#include "base/index-imp.h"
#include "cowslipspoke/dispatch.h"
#include "cowslipspoke/queue.h"

/* Files:

   dispatch.c       queues, placement and refusal
   dispatch-move.c  which streams leave a target, where to and when
   dispatch-room.c  reservations until the hosts report the load, and repeated
                    answers  */

enum
{
  CSP_DISPATCH_POOLS_MAX = 8,
  CSP_DISPATCH_WAITING_MAX = 4096,
  /* Answers kept to answer repeated asks.  */
  CSP_DISPATCH_RECENT_ANSWERS = 512,
  /* Maximum number of streams that are leaving targets at the same time.  At
     the planned size an engine runs 7 streams; this covers 140 engines.  */
  CSP_DISPATCH_MOVES_MAX = 1024
};

/* The engines of one service and the queue for them.  */
typedef struct
{
  char service[CSP_FLEET_NAME_BYTES];
  uint32_t memory_tokens;
  uint32_t longest_gap_ms; /* see csp_dispatch_service_t */
  csp_queue_t *queue;
} csp_dispatch_pool_t;

/* An organisation's number in the queues; 0 is shared by those for which
   memory allocation failed.  */
typedef struct
{
  csp_index_node_t by_hash;
  uint32_t number;
} csp_dispatch_organisation_t;

typedef struct
{
  bool used;
  uint64_t queue_id;
  uint8_t pool;
  uint32_t organisation;
  csp_ask_t ask;
} csp_waiting_ask_t;

typedef struct
{
  csp_fleet_target_t *target;
  uint32_t tokens;
  uint32_t reading_tokens;
  int64_t until_ms;
} csp_reservation_t;

/* A stream that moves to another target.  */
typedef struct
{
  bool used;
  csp_ask_t ask;
  uint8_t pool;
  csp_fleet_target_t *from;
  csp_fleet_target_t *to; /* NULL while none has capacity */
  int64_t asked_ms;       /* when its host last asked */
  bool started;           /* false: waits for free links */
  int64_t started_ms;
} csp_dispatch_move_t;

struct csp_dispatch
{
  csp_fleet_t *fleet;
  csp_deliver_ask_answer_t deliver;
  void *state;
  csp_random_t random;
  uint64_t next_id;
  csp_decider_role_t role;
  size_t pool_count;
  csp_dispatch_pool_t pools[CSP_DISPATCH_POOLS_MAX];
  uint32_t organisation_count;
  csp_index_t organisations; /* of csp_dispatch_organisation_t, by hash */
  size_t waiting_end;        /* used entries are below this index */
  uint32_t waiting_count;
  csp_waiting_ask_t waiting[CSP_DISPATCH_WAITING_MAX];
  size_t reserved_count;
  size_t reserved_capacity;
  csp_reservation_t *reserved;
  size_t next_recent_answer;
  csp_ask_answer_t recent_answers[CSP_DISPATCH_RECENT_ANSWERS];
  size_t move_end; /* used entries are below this index */
  uint32_t move_count;
  csp_dispatch_move_t moves[CSP_DISPATCH_MOVES_MAX];
};

/* dispatch.c  */

/* Updates a repeated ask: other targets may have asked its host to back off
   since.  */
void csp_copy_backoffs (csp_ask_t *ask, const csp_ask_t *again);

/* dispatch-room.c  */

/* Counts a placement as load of the target until the asking host's own load
   report includes it.  */
void csp_reserve_capacity (csp_dispatch_t *dispatch,
                           csp_fleet_target_t *target, uint32_t tokens,
                           uint32_t reading_tokens, int64_t now_ms);
void csp_expire_reservations (csp_dispatch_t *dispatch, int64_t now_ms);
void csp_release_all_reservations (csp_dispatch_t *dispatch);

/* Delivers the answer to an ask.  */
void csp_send_ask_answer (csp_dispatch_t *dispatch, const csp_ask_t *ask,
                          csp_ask_outcome_t outcome, uint64_t target,
                          uint32_t retry_after_ms);

/* Delivers an earlier answer again, as it may have been lost; false when the
   ask has no answer yet.  */
bool csp_resend_ask_answer (csp_dispatch_t *dispatch, const csp_ask_t *ask);

/* dispatch-move.c  */

/* Handles a new or repeated ask of a stream that must move.  */
void csp_push_move (csp_dispatch_t *dispatch, const csp_ask_t *ask,
                    uint8_t pool, int64_t now_ms);

/* Whether the move is known and hasn't started.  */
bool csp_is_move_waiting (csp_dispatch_t *dispatch, csp_peer_address_t host,
                          uint64_t id);

/* Removes a move: the stream was moved, has ended or needs no move.  */
void csp_cancel_move (csp_dispatch_t *dispatch, csp_peer_address_t host,
                      uint64_t id);

/* Assigns destinations to the pool's moves and starts those whose links are
   free.  */
void csp_pump_pool_moves (csp_dispatch_t *dispatch, uint8_t pool,
                          int64_t now_ms);
void csp_release_all_moves (csp_dispatch_t *dispatch);

#endif
