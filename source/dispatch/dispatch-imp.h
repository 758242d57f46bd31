#ifndef CSP_DISPATCH_IMP_H
#define CSP_DISPATCH_IMP_H

#include "cowslipspoke/dispatch.h"
#include "cowslipspoke/queue.h"

/* Parts of the dispatch:

     dispatch.c       who gets a place, in which order, and who is turned away
     dispatch-move.c  which streams leave a target, where to and when
     dispatch-room.c  places that were given and are not told yet, and answers
                      that may have been lost  */

enum
{
  CSP_DISPATCH_POOLS_MAX = 8,
  CSP_DISPATCH_WAITING_MAX = 4096,
  CSP_DISPATCH_ORGANISATIONS_MAX = 1024,
  CSP_DISPATCH_RESERVED_MAX = 1024,
  /* Answers that are remembered for asks that come again.  */
  CSP_DISPATCH_REMEMBERED = 512,
  /* Streams that leave targets at one time.  At the planned size an engine
     runs 7 streams; so many are those of 140 engines.  */
  CSP_DISPATCH_MOVES_MAX = 1024
};

/* Engines of one service, and who waits for them.  */
typedef struct
{
  char service[CSP_TARGET_NAME_BYTES];
  uint32_t memory_tokens;
  csp_queue_t *queue;
} csp_dispatch_pool_t;

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

/* A stream that leaves a target.  */
typedef struct
{
  bool used;
  csp_ask_t ask;
  uint8_t pool;
  csp_fleet_target_t *from;
  csp_fleet_target_t *to; /* NULL while none has room */
  int64_t asked_ms;       /* last word of its host */
  bool started;           /* else it waits for its turn */
  int64_t started_ms;
} csp_dispatch_move_t;

struct csp_dispatch
{
  csp_fleet_t *fleet;
  csp_take_ask_answer_t take;
  void *state;
  csp_random_t random;
  uint64_t next_id;
  csp_warmup_duty_t duty;
  size_t pool_count;
  csp_dispatch_pool_t pools[CSP_DISPATCH_POOLS_MAX];
  size_t organisation_count;
  uint32_t organisations[CSP_DISPATCH_ORGANISATIONS_MAX];
  size_t waiting_room; /* used entries lie below */
  uint32_t waiting_count;
  csp_waiting_ask_t waiting[CSP_DISPATCH_WAITING_MAX];
  size_t reserved_count;
  csp_reservation_t reserved[CSP_DISPATCH_RESERVED_MAX];
  size_t remembered_next;
  csp_ask_answer_t remembered[CSP_DISPATCH_REMEMBERED];
  size_t move_room; /* used entries lie below */
  uint32_t move_count;
  csp_dispatch_move_t moves[CSP_DISPATCH_MOVES_MAX];
};

/* dispatch.c  */

/* An ask comes again; its host may have been asked for other waits since.  */
void csp_copy_backoffs (csp_ask_t *ask, const csp_ask_t *again);

/* dispatch-room.c  */

/* Count a place that was given until its host's own word of it has come.  */
void csp_reserve_place (csp_dispatch_t *dispatch, csp_fleet_target_t *target,
                        uint32_t tokens, uint32_t reading_tokens,
                        int64_t now_ms);
void csp_expire_reserved (csp_dispatch_t *dispatch, int64_t now_ms);
void csp_release_all_reserved (csp_dispatch_t *dispatch);

/* Tell what an ask came to.  */
void csp_answer_ask (csp_dispatch_t *dispatch, const csp_ask_t *ask,
                     csp_ask_outcome_t outcome, uint64_t target,
                     uint32_t retry_after_ms);

/* Tell it again where the answer to this ask was lost; false where it has
   none yet.  */
bool csp_answer_again (csp_dispatch_t *dispatch, const csp_ask_t *ask);

/* dispatch-move.c  */

/* A stream asks where to go, maybe not for the first time.  */
void csp_push_move (csp_dispatch_t *dispatch, const csp_ask_t *ask,
                    uint8_t pool, int64_t now_ms);

/* Whether it is known and waits for its turn.  */
bool csp_move_waits (csp_dispatch_t *dispatch, csp_peer_address_t host,
                     uint64_t id);

/* It has gone on, has ended, or needs no move.  */
void csp_cancel_move (csp_dispatch_t *dispatch, csp_peer_address_t host,
                      uint64_t id);

/* Give room and turns.  */
void csp_pump_moves_of_pool (csp_dispatch_t *dispatch, uint8_t pool,
                             int64_t now_ms);
void csp_release_all_moves (csp_dispatch_t *dispatch);

#endif
