#ifndef COWSLIPSPOKE_CONTROL_IMP_H
#define COWSLIPSPOKE_CONTROL_IMP_H

#include <pthread.h>
#include <stdatomic.h>

#include "cowslipspoke/admission.h"
#include "cowslipspoke/configuration.h"
#include "cowslipspoke/control.h"
#include "cowslipspoke/fetcher.h"
#include "cowslipspoke/hash.h"
#include "cowslipspoke/health.h"
#include "cowslipspoke/intern.h"
#include "cowslipspoke/length.h"
#include "cowslipspoke/limit.h"
#include "cowslipspoke/list-watch.h"
#include "cowslipspoke/membership.h"
#include "cowslipspoke/order.h"
#include "cowslipspoke/ownership.h"
#include "cowslipspoke/peer.h"
#include "cowslipspoke/placement.h"
#include "cowslipspoke/queue.h"
#include "cowslipspoke/random.h"
#include "cowslipspoke/retry.h"
#include "cowslipspoke/shift.h"
#include "cowslipspoke/spread.h"

/* What the files of the control slice share.  Everything here but the inbox
   and the view belongs to the control thread.  */

enum
{
  CSP_CONTROL_MAX_POOLS = 64,
  CSP_CONTROL_MAX_ORGANISATIONS = 4096,
  /* Of one data centre: ten times the planned 430.  */
  CSP_CONTROL_MAX_TARGETS = 4300,
  CSP_CONTROL_TICK_MS = 100,
  /* Of an organisation, a route or service, and a rule.  */
  CSP_CONTROL_PLACE_LIMITS = 3,
  CSP_CONTROL_REPORT_MS = 1000,
  CSP_CONTROL_REPORT_TIMEOUT_MS = 2000
};

/* A traffic thread that waits for a place.  It lives on that thread's stack;
   the control thread answers it exactly once and does not touch it again.  */
typedef struct
{
  uint64_t number; /* never used twice, unlike its address */
  const csp_admission_ask_t *ask;
  /* The ask on the terms of the rule that holds by now.  */
  csp_admission_ask_t held;
  csp_grant_t *grant;
  csp_error_t *error;
  char *text;                     /* of CSP_COMMAND_DESCRIBE */
  const csp_once_ask_t *once_ask; /* of CSP_COMMAND_CLAIM */
  uint64_t once_id;               /* of CLAIM and CONFIRM */
  int result;
  pthread_mutex_t lock;
  pthread_cond_t decided;
  bool is_decided;
} csp_waiter_t;

typedef enum
{
  CSP_COMMAND_ADMIT,
  CSP_COMMAND_CONFIRM,
  CSP_COMMAND_CLAIM,
  CSP_COMMAND_END_CLAIM,
  CSP_COMMAND_ABANDON,
  CSP_COMMAND_PROGRESS,
  CSP_COMMAND_RELEASE,
  CSP_COMMAND_CONFIG_READ,
  CSP_COMMAND_HOSTS_READ,
  CSP_COMMAND_LOAD_READ,
  CSP_COMMAND_ORDER_ANSWER,
  CSP_COMMAND_PEER_ASK,
  CSP_COMMAND_PEER_ANSWER,
  CSP_COMMAND_DESCRIBE
} csp_control_command_kind_t;

/* A command to the control thread.  body is owned by the command.  */
typedef struct csp_control_command
{
  struct csp_control_command *next;
  csp_control_command_kind_t kind;
  csp_waiter_t *waiter;
  uint64_t place;
  uint64_t tokens;
  int64_t blocked_ms;
  csp_place_outcome_t outcome;
  csp_once_outcome_t once_outcome;
  uint64_t id;
  int64_t after;
  uint32_t target;
  csp_peer_call_t *call;
  csp_peer_kind_t asked;
  char name[CSP_NAME_BYTES];
  char *body;
  size_t body_bytes;
} csp_control_command_t;

/* Engines of a pool and the host's share of its loads.  listed counts those
   of all data centres.  */
typedef struct
{
  char name[CSP_NAME_BYTES];
  uint32_t listed;
  uint32_t owned;
  csp_order_pace_t pace;
} csp_order_pool_t;

/* Requests of a pool that wait.  */
typedef struct
{
  char name[CSP_NAME_BYTES];
  csp_queue_t *queue;
  bool dirty;
} csp_pool_state_t;

/* How full a pool is; read by traffic threads.  */
typedef struct
{
  char name[CSP_NAME_BYTES];
  atomic_uint millis;
  atomic_bool dead; /* none of its targets is live */
} csp_pool_load_t;

/* A target and what this host carries there.  index is the ownership slice's
   number of it, UINT32_MAX once it is not listed any more; the rest then goes
   with the last of its streams.  avoid_until_ms: no new work before, since
   its links failed.  */
typedef struct
{
  uint32_t index;
  csp_listed_target_t listed;
  csp_ledger_t *ledger;
  uint32_t streams;
  uint32_t failures;
  int64_t avoid_until_ms;
  int64_t next_report_ms;
  csp_prefixes_t prefixes;
  csp_shift_t shift;
  bool report_pending;
  bool owned;
  int64_t left_ms;
  csp_order_engine_t *orders;
  struct json_object *reported; /* the last load report */
} csp_target_state_t;

/* Where a peer listens.  */
typedef struct
{
  char name[CSP_HOST_NAME_BYTES];
  char address[CSP_ADDRESS_BYTES];
  uint16_t port;
} csp_peer_address_t;

/* A hand-off that is under way or holds a slot at another owner.  */
typedef struct
{
  csp_handoff_t *handoff;
  csp_peer_address_t peers[CSP_HANDOFF_MAX_PEERS];
  size_t peer_count;
  size_t holder;
  char target[CSP_NAME_BYTES];
  csp_endpoint_t endpoint;
} csp_spill_t;

typedef enum
{
  CSP_PLACE_WAITING,
  CSP_PLACE_LOCAL, /* on a target that this host owns, or a service */
  CSP_PLACE_REMOTE /* on a slot of another owner */
} csp_place_state_t;

/* Counted limits: all of them, and one.  */
typedef struct csp_control_limits csp_control_limits_t;
typedef struct csp_control_limit csp_control_limit_t;

/* A request that waits or holds a place.  */
typedef struct
{
  uint64_t id; /* 0: free */
  csp_waiter_t *waiter;
  uint64_t waiter_number;
  uint32_t organisation;
  uint32_t pool;
  csp_target_state_t *target;
  uint32_t stream;
  uint32_t cost_tokens;
  uint32_t prompt_tokens;
  uint32_t length_key;
  int64_t asked_ms;
  csp_place_state_t state;
  csp_spill_t *spill;
  int64_t next_spill_ms;
  uint64_t made_tokens;
  bool link_failed;
  int64_t progress_ms;
  csp_recall_t *recall;
  csp_control_limit_t *limits[CSP_CONTROL_PLACE_LIMITS];
  uint32_t limit_count;
  bool limits_wait; /* counts as waiting there */
} csp_place_t;

typedef struct
{
  csp_list_watch_t reads;
  int64_t version;
  int64_t next_pull_ms; /* from a peer */
  char *text;           /* the list as it came, for peers */
} csp_host_watch_t;

typedef struct csp_once_entry csp_once_entry_t;

struct csp_control
{
  const csp_context_t *context;
  csp_random_t random;
  uint64_t incarnation;

  pthread_t thread;
  bool thread_runs;
  pthread_mutex_t inbox_lock;
  pthread_cond_t inbox_wake;
  csp_control_command_t *first;
  csp_control_command_t **last;
  bool stopping;

  csp_view_t *view; /* read under RCU */
  atomic_bool ready;
  atomic_bool leaving;
  atomic_uint open_claims; /* rounds that some host is still to be told of */
  atomic_uint_fast64_t next_waiter;
  csp_pool_load_t loads[CSP_CONTROL_MAX_POOLS];
  atomic_uint load_count;

  csp_peers_t *peers;
  uint64_t deployment;
  csp_fetcher_t *fetcher;
  csp_endpoint_t platform;
  csp_host_watch_t host_watch;

  csp_configuration_t *configuration;
  csp_spread_t *spread;
  csp_membership_t *membership;
  csp_ownership_t *ownership;
  bool service_away;

  csp_lengths_t *lengths;
  csp_control_limits_t *limits;
  csp_intern_t *organisations;
  csp_pool_state_t pools[CSP_CONTROL_MAX_POOLS];
  uint32_t pool_count;
  csp_target_state_t **targets; /* by index; NULL where there is none */
  uint32_t target_room;
  csp_place_t *places;
  uint32_t place_room;
  uint32_t places_used;
  uint64_t next_place;
  csp_once_settings_t once_settings;
  csp_once_t *once;
  csp_once_entry_t *once_rounds;
  uint64_t next_once;
  csp_order_pool_t order_pools[CSP_CONTROL_MAX_POOLS];
  uint32_t order_pool_count;
  int64_t next_shares_ms;
  csp_slot_table_t *slots;
  uint64_t holdings_number;
  int64_t next_holdings_ms;
  uint64_t next_ask;
  uint64_t spilled;
  csp_health_t *health;
  csp_shift_policy_t shift_policy;
  csp_retry_budget_t retries;
  int64_t started_ms;
  int64_t next_weigh_ms;
  int64_t next_reask_ms;
  int64_t next_follow_ms;
  uint32_t live_peers;
  csp_candidate_t candidates[CSP_CONTROL_MAX_TARGETS];
  uint32_t candidate_targets[CSP_CONTROL_MAX_TARGETS];
  uint64_t recalled;
  uint64_t refused;
  uint64_t granted;
};

/* Put a command into the inbox; any thread.  The control thread frees it.  */
void csp_post_command (csp_control_t *control, csp_control_command_t *command);

/* A new command, or NULL.  */
csp_control_command_t *csp_new_command (csp_control_command_kind_t kind);

/* Free a command with its body.  */
void csp_free_command (csp_control_command_t *command);

/* Views.  */
csp_view_t *csp_create_view (csp_declaration_t *declaration);
bool csp_note_pool_revisions (csp_view_t *view,
                              const csp_config_value_t *values, size_t count);
int64_t csp_view_pool_revision (const csp_view_t *view, const char *pool);
const char *const *csp_view_models (const csp_view_t *view, size_t *count);
void csp_publish_view (csp_control_t *control, csp_view_t *view);

/* Configuration and the host list: make what reads the platform, take what
   it answered, and start the reads that are due.  */
bool csp_open_config (csp_control_t *control, int64_t now_ms);
void csp_close_config (csp_control_t *control);
void csp_take_config_read (csp_control_t *control,
                           const csp_control_command_t *command,
                           int64_t now_ms);
void csp_take_hosts_read (csp_control_t *control,
                          const csp_control_command_t *command,
                          int64_t now_ms);
void csp_take_peer_hosts (csp_control_t *control,
                          const csp_peer_message_t *answer, int64_t now_ms);
void csp_tick_config (csp_control_t *control, int64_t now_ms);

/* Log what became of a configuration, and put a new one in force.  */
void csp_follow_config (csp_control_t *control, csp_config_result_t result);

/* Read over HTTP; the command comes back with the body, which is NULL when
   nothing came.  The command is taken in any case.  */
bool csp_start_read (csp_control_t *control, const csp_endpoint_t *endpoint,
                     const char *path, uint32_t timeout_ms,
                     csp_control_command_t *command);

/* Peers: open the links, send heartbeats, take asks and answers.  */
bool csp_open_peers (csp_control_t *control, char *message,
                     size_t message_bytes);
void csp_tick_peers (csp_control_t *control, int64_t now_ms);
void csp_take_peer_ask (csp_control_t *control, csp_control_command_t *command,
                        int64_t now_ms);
void csp_take_peer_answer (csp_control_t *control,
                           const csp_control_command_t *command,
                           int64_t now_ms);
bool csp_locate_peer (csp_control_t *control, const char *name, int64_t now_ms,
                      csp_peer_address_t *peer);

/* Whether a host is another one of this data centre that answers us.  */
bool csp_is_neighbour (const csp_control_t *control,
                       const csp_host_view_t *view);

/* Ask a peer; the answer comes back as CSP_COMMAND_PEER_ANSWER with the
   peer's name, the ask's kind and id.  False when nothing was sent.  */
bool csp_send_peer (csp_control_t *control, const csp_peer_address_t *peer,
                    const csp_peer_message_t *message, uint64_t id,
                    uint32_t timeout_ms);

/* Memory tokens free for new work on the targets that this host may grant. */
int64_t csp_sum_headroom (csp_control_t *control, int64_t now_ms);

/* Where a target listens, with TLS where the settings name an authority.  */
void csp_fill_endpoint (const csp_control_t *control, const char *address,
                        uint16_t port, csp_endpoint_t *endpoint);

/* Whether a live peer of the data centre could take what this host can't.  */
bool csp_has_live_peer (csp_control_t *control, int64_t now_ms);

/* Targets: follow the ownership's numbering, read load reports.  */
void csp_sync_targets (csp_control_t *control, int64_t now_ms);
void csp_tick_targets (csp_control_t *control, int64_t now_ms);
void csp_take_load_read (csp_control_t *control,
                         const csp_control_command_t *command, int64_t now_ms);
void csp_drop_target (csp_target_state_t *target);
void csp_close_targets (csp_control_t *control);

/* Orders: count the engines of the list, decide at each load report, take
   the answer, and show wanted and reported state in a status row.  */
void csp_note_order_list (csp_control_t *control, const csp_host_list_t *list);
void csp_tick_orders (csp_control_t *control, int64_t now_ms);
void csp_take_order_report (csp_control_t *control, uint32_t index,
                            struct json_object *document, int64_t asked_ms,
                            int64_t now_ms);
void csp_take_order_answer (csp_control_t *control,
                            const csp_control_command_t *command,
                            int64_t now_ms);
void csp_render_orders (csp_control_t *control,
                        const csp_target_state_t *target,
                        struct json_object *row);
void csp_drop_orders (csp_target_state_t *target);
void csp_fill_wanted (csp_control_t *control, const csp_target_state_t *target,
                      csp_order_facts_t *facts);

/* Admission: take a waiter, note progress, take a place back, serve queues.
   csp_close_admission frees what it holds.  */
bool csp_open_admission (csp_control_t *control);
void csp_take_waiter (csp_control_t *control, csp_waiter_t *waiter,
                      int64_t now_ms);
void csp_take_progress (csp_control_t *control,
                        const csp_control_command_t *command, int64_t now_ms);
void csp_take_release (csp_control_t *control,
                       const csp_control_command_t *command, int64_t now_ms);
/* all: also pools of which nothing has changed, since time has passed.  */
void csp_tick_admission (csp_control_t *control, bool all, int64_t now_ms);
void csp_tick_preemption (csp_control_t *control, int64_t now_ms);
void csp_close_admission (csp_control_t *control);

/* The caller of a request that waits has hung up.  A waiter that was answered
   meanwhile is left alone.  */
void csp_abandon_waiter (csp_control_t *control, uint64_t number,
                         int64_t now_ms);

/* End a wait with an error, or go on with it on other terms.  */
void csp_give_up_waiting (csp_control_t *control, csp_place_t *place,
                          const csp_error_t *error, int64_t now_ms);
void csp_move_waiting (csp_control_t *control, csp_place_t *place,
                       int64_t now_ms);

/* Whether requests wait here for a pool that are not lent to it, and whether
   its load is below what lending allows.  */
bool csp_has_own_waiting (const csp_control_t *control, const char *pool);
bool csp_may_lend (csp_control_t *control, const char *name, double below,
                   int64_t now_ms);

/* Whether a request is for another data centre that offers room.  */
bool csp_goes_elsewhere (csp_control_t *control,
                         const csp_admission_ask_t *ask, int64_t now_ms);

/* Publish the load of pools, and ask the rules again for what waits.  */
void csp_tick_rules (csp_control_t *control, int64_t now_ms);

/* Note how a link to a target ended: one that fails is avoided.  */
void csp_judge_target (csp_control_t *control, csp_target_state_t *target,
                       csp_link_end_t end, int64_t now_ms);

/* Confirm a grant immediately before bytes leave.  */
bool csp_confirm_place (csp_control_t *control, uint64_t id, int64_t now_ms);

/* The table of places.  find: NULL when it was freed; make: NULL when the
   table is full.  */
bool csp_open_places (csp_control_t *control);
csp_place_t *csp_make_place (csp_control_t *control);
void csp_free_place (csp_control_t *control, csp_place_t *place);
csp_place_t *csp_find_place (csp_control_t *control, uint64_t id);
csp_place_t *csp_find_waiter_place (csp_control_t *control, uint64_t number);

/* Whether a target could take a request at all, now or later.  */
bool csp_could_use (const csp_control_t *control, const char *pool,
                    csp_target_kind_t kind, const csp_tried_t *tried,
                    uint32_t index);
bool csp_may_borrow_here (csp_control_t *control, const char *pool,
                          uint64_t kept_tokens, uint32_t cost_tokens,
                          int64_t now_ms);
uint32_t csp_choose_service (const csp_control_t *control,
                             const csp_admission_ask_t *ask, int64_t now_ms);
void csp_follow_pool_capacity (csp_control_t *control, csp_pool_state_t *pool,
                               int64_t now_ms);

/* A target was listed: how far it is open, and how that moves on.  */
void csp_open_target_shift (csp_control_t *control, csp_target_state_t *target,
                            int64_t now_ms);
void csp_tick_choices (csp_control_t *control, int64_t now_ms);

/* Limits: count a place that begins to wait, false with an error when a limit
   is used up; it waits no more; it is over and cost used_tokens.  */
bool csp_open_limits (csp_control_t *control);
bool csp_count_limits (csp_control_t *control, csp_place_t *place,
                       int64_t now_ms, csp_error_t *error);
void csp_end_limited_wait (csp_place_t *place);
void csp_settle_limits (csp_place_t *place, uint32_t used_tokens);
void csp_close_limits (csp_control_t *control);

/* Choose an owned engine of a pool for a stream; UINT32_MAX when none has
   room.  */
uint32_t csp_choose_engine (csp_control_t *control, const char *pool,
                            const csp_tried_t *tried,
                            const csp_stream_t *stream, uint64_t prefix,
                            int64_t now_ms);

/* Hand-offs, the sender's side: look for a slot elsewhere, take answers, and
   end with the request.  */
void csp_start_spill (csp_control_t *control, csp_place_t *place,
                      int64_t now_ms);
void csp_take_reserved (csp_control_t *control,
                        const csp_control_command_t *command,
                        const csp_peer_reserved_t *reserved, int64_t now_ms);
void csp_take_committed (csp_control_t *control,
                         const csp_control_command_t *command,
                         const csp_commit_answer_t *answer, int64_t now_ms);
bool csp_confirm_spill (csp_control_t *control, csp_place_t *place,
                        int64_t now_ms);
void csp_cancel_spill (csp_control_t *control, csp_place_t *place,
                       int64_t now_ms);
void csp_finish_spill (csp_control_t *control, csp_place_t *place,
                       const csp_place_outcome_t *outcome, int64_t now_ms);
void csp_tick_spills (csp_control_t *control, int64_t now_ms);
void csp_tick_holdings (csp_control_t *control, int64_t now_ms);

/* Fill place->spill->peers with whom to ask, in order; returns how many.  */
size_t csp_find_spill_peers (csp_control_t *control, csp_place_t *place,
                             int64_t now_ms);

/* Hand-offs, the owner's side.  */
bool csp_open_slots (csp_control_t *control);
void csp_take_slot_release (csp_control_t *control,
                            const csp_peer_release_t *release, int64_t now_ms);
void csp_answer_reserve (csp_control_t *control,
                         const csp_peer_reserve_t *reserve, int64_t now_ms,
                         csp_peer_reserved_t *reserved);
void csp_follow_ownership (csp_control_t *control, int64_t now_ms);
uint64_t csp_slot_tokens (csp_control_t *control, const char *target,
                          int64_t now_ms);

/* At most once: this host's memory of keys, and the rounds of its callers. */
bool csp_open_once (csp_control_t *control, int64_t now_ms);
void csp_close_once (csp_control_t *control);
void csp_take_once_ask (csp_control_t *control, csp_waiter_t *waiter,
                        int64_t now_ms);
bool csp_confirm_once (csp_control_t *control, uint64_t id, int64_t now_ms);
void csp_end_once (csp_control_t *control, uint64_t id,
                   csp_once_outcome_t outcome, int64_t now_ms);
void csp_take_claim_answer (csp_control_t *control,
                            const csp_control_command_t *command,
                            const csp_peer_message_t *answer, int64_t now_ms);
void csp_take_told (csp_control_t *control,
                    const csp_control_command_t *command,
                    const csp_peer_message_t *answer, int64_t now_ms);
void csp_tick_once (csp_control_t *control, int64_t now_ms);

/* Answer a waiter; result is 0 for a grant.  */
void csp_answer_waiter (csp_waiter_t *waiter, int result);

/* The JSON of csp_describe_control, made on the control thread.  */
char *csp_render_status (csp_control_t *control, int64_t now_ms);

#endif
