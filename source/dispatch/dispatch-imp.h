#ifndef CSP_DISPATCH_IMP_H
#define CSP_DISPATCH_IMP_H

#include "base/index-imp.h"
#include "cowslipspoke/dispatch.h"
#include "cowslipspoke/queue.h"
#include "cowslipspoke/traffic-cost.h"
#include "cowslipspoke/traffic-share.h"

/* Files:

   dispatch.c       placement and refusal
   dispatch-pool.c  the pools and their queues
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

/* The engines of one service and the queues for them.  Each traffic class has
   its own: a long request that doesn't fit blocks the queue it is in, and a
   pump ends once it has skipped a number of organisations.  */
typedef struct
{
  char service[CSP_FLEET_NAME_BYTES];
  uint32_t memory_tokens;
  uint32_t longest_gap_ms; /* see csp_dispatch_service_t */
  bool has_classes;
  csp_queue_t *queues[CSP_CLASS_COUNT]; /* NULL while a class isn't used */
  csp_traffic_cost_t cost;
  csp_traffic_share_t share;
  uint32_t waiting[CSP_CLASS_COUNT]; /* entries of the table of asks */
  uint64_t last_use;                 /* number of its last ask */
  bool is_pumped[CSP_CLASS_COUNT];   /* the class is done in this pump */
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
  csp_traffic_class_t traffic_class; /* whose queue it is in */
  uint32_t organisation;
  uint32_t cost_tokens; /* charged; the unit may have changed since */
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
  uint64_t use_count; /* asks so far */
  size_t pool_count;
  csp_dispatch_pool_t pools[CSP_DISPATCH_POOLS_MAX];
  uint32_t organisation_count;
  csp_index_t organisations; /* of csp_dispatch_organisation_t, by hash */
  size_t waiting_end;        /* used entries are below this index */
  uint32_t waiting_count;
  csp_waiting_ask_t waiting[CSP_DISPATCH_WAITING_MAX];
  csp_class_counts_t class_counts[CSP_CLASS_COUNT];
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

/* dispatch-pool.c  */

/* Returns the pool of a service and creates it if there is none; NULL when the
   table is full or memory allocation fails.  */
csp_dispatch_pool_t *
csp_find_dispatch_pool (csp_dispatch_t *dispatch,
                        const csp_dispatch_service_t *service);
void csp_close_dispatch_pool (csp_dispatch_pool_t *pool);

/* The class in whose queue an ask waits.  */
csp_traffic_class_t csp_get_ask_class (const csp_dispatch_pool_t *pool,
                                       const csp_ask_t *ask);

/* The cost that an ask is charged.  */
uint32_t csp_charge_ask (csp_dispatch_pool_t *pool, const csp_ask_t *ask);

/* Functions of the loop that serves a pool, see csp_begin_pump.  Returns false
   when nothing more can be served.  */
void csp_begin_pool_pump (csp_dispatch_pool_t *pool, int64_t now_ms);
bool csp_find_next_in_pool (csp_dispatch_pool_t *pool, int64_t now_ms,
                            csp_waiting_request_t *queued,
                            csp_traffic_class_t *traffic_class);

/* Takes the request that was found and settles it, as how long it uses the
   engine is known from the loads that hosts report.  */
void csp_take_from_pool (csp_dispatch_pool_t *pool,
                         const csp_waiting_ask_t *waiting, int64_t now_ms);

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

/* Answers an ask with a refusal, which is counted if it is of a new
   request.  */
void csp_refuse_ask (csp_dispatch_t *dispatch, const csp_ask_t *ask,
                     csp_traffic_class_t traffic_class,
                     const csp_ask_refusal_t *refusal,
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
