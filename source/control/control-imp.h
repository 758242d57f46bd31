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
#include "cowslipspoke/traffic-cost.h"

/* Shared by the files of source/control.  Only the control thread accesses
   this state, except for the inbox, the view and the atomic members.  */

enum
{
  CSP_CONTROL_MAX_POOLS = 64,
  CSP_CONTROL_MAX_ORGANISATIONS = 4096,
  /* Per data centre: ten times the planned 430.  */
  CSP_CONTROL_MAX_TARGETS = 4300,
  CSP_CONTROL_TICK_MS = 100,
  /* Those of the organisation, of the route or service, and of the rule.  */
  CSP_CONTROL_REQUEST_LIMITS = 3,
  CSP_CONTROL_REPORT_INTERVAL_MS = 1000,
  CSP_CONTROL_REPORT_TIMEOUT_MS = 2000
};

/* A traffic thread that waits for a decision.  The structure is on that
   thread's stack; the control thread answers it exactly once and does not
   access it afterwards.  */
typedef struct
{
  uint64_t number; /* never reused, unlike its address */
  const csp_admission_ask_t *ask;
  /* What ask points to: the request with the terms of the rule that applies
     to it now.  */
  csp_admission_ask_t current_ask;
  csp_grant_t *grant;
  csp_error_t *error;
  char *status_json;              /* of CSP_COMMAND_DESCRIBE */
  const csp_once_ask_t *once_ask; /* of CSP_COMMAND_CLAIM */
  uint64_t claim_id;              /* of CLAIM and CONFIRM */
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
  CSP_COMMAND_ORDER_STATUS,
  CSP_COMMAND_PEER_ASK,
  CSP_COMMAND_PEER_ANSWER,
  CSP_COMMAND_DESCRIBE
} csp_control_command_kind_t;

/* A command to the control thread, which owns its body.  after is a revision,
   the start of a load read (steady clock) or the status of an order's reply,
   depending on kind.  */
typedef struct csp_control_command
{
  struct csp_control_command *next;
  csp_control_command_kind_t kind;
  csp_waiter_t *waiter;
  uint64_t tracking_id;
  uint64_t tokens;
  int64_t blocked_ms;
  csp_grant_outcome_t outcome;
  csp_once_outcome_t once_outcome;
  uint64_t id;
  int64_t after;
  uint32_t target;
  csp_peer_call_t *call;
  csp_peer_kind_t ask_kind;
  char name[CSP_NAME_BYTES];
  char *body;
  size_t body_bytes;
} csp_control_command_t;

/* The engines of a pool, and this host's share of the model loads that the
   pool may start per minute.  listed counts engines of all data centres.  */
typedef struct
{
  char name[CSP_NAME_BYTES];
  uint32_t listed;
  uint32_t owned;
  csp_order_pace_t pace;
} csp_order_pool_t;

/* The queue of a pool.  dirty: it must be served, as something changed.  */
typedef struct
{
  char name[CSP_NAME_BYTES];
  csp_queue_t *queue;
  csp_traffic_cost_t cost;
  uint32_t engine_tokens; /* memory of its largest engine; 0: none here */
  bool dirty;
} csp_pool_state_t;

/* The published load of a pool; read by traffic threads.  */
typedef struct
{
  char name[CSP_NAME_BYTES];
  atomic_uint load_thousandths;
  atomic_bool no_live_target; /* none that is live and not avoided */
} csp_pool_load_t;

/* A target and this host's streams on it.  index is its index in the
   ownership, or UINT32_MAX once it is no longer listed; it is then freed when
   its last stream ends.  avoid_until_ms: it gets no new work before that time,
   because connections to it failed.  */
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
  csp_slow_start_t slow_start;
  bool report_pending;
  bool owned;
  int64_t leaving_since_ms;
  csp_order_tracker_t *orders;
  struct json_object *last_report; /* of its load and its orders */
} csp_target_state_t;

/* The address at which a peer listens.  */
typedef struct
{
  char name[CSP_HOST_NAME_BYTES];
  char address[CSP_ADDRESS_BYTES];
  uint16_t port;
} csp_named_peer_address_t;

/* A hand-off that is in progress or holds a slot at another owner.
   granting_peer is the index of the peer that granted the slot.  */
typedef struct
{
  csp_handoff_t *handoff;
  csp_named_peer_address_t peers[CSP_HANDOFF_MAX_PEERS];
  size_t peer_count;
  size_t granting_peer;
  char target[CSP_NAME_BYTES];
  csp_endpoint_t endpoint;
} csp_spill_t;

typedef enum
{
  CSP_REQUEST_WAITING,
  CSP_REQUEST_LOCAL, /* granted: a target owned by this host, or a service */
  CSP_REQUEST_REMOTE /* granted: a slot at another owner */
} csp_request_state_t;

/* The table of limits, and one limit.  */
typedef struct csp_control_limits csp_control_limits_t;
typedef struct csp_control_limit csp_control_limit_t;

/* A request that waits for admission or holds a grant.  */
typedef struct
{
  uint64_t id; /* 0: free */
  csp_waiter_t *waiter;
  uint64_t waiter_number;
  uint32_t organisation;
  uint32_t pool;
  csp_target_state_t *target;
  uint32_t stream;
  uint32_t memory_tokens;  /* its prompt and expected answer */
  uint32_t charged_tokens; /* by the queue */
  uint32_t prompt_tokens;
  uint32_t length_key;
  int64_t arrived_ms;
  csp_request_state_t state;
  csp_spill_t *spill;
  int64_t next_spill_ms;
  uint64_t generated_tokens;
  bool link_failed;
  int64_t last_progress_ms;
  csp_recall_t *recall;
  csp_control_limit_t *limits[CSP_CONTROL_REQUEST_LIMITS];
  uint32_t limit_count;
  bool counted_as_waiting; /* counted against max_waiting of the limits */
} csp_tracked_request_t;

typedef struct
{
  csp_list_watch_t read_schedule;
  int64_t version;
  int64_t next_pull_ms; /* when a peer may be asked for it */
  char *list_text;      /* as received, to send to peers */
} csp_host_watch_t;

typedef struct csp_once_entry csp_once_entry_t;

struct csp_control
{
  const csp_context_t *context;
  csp_random_t random;
  uint64_t incarnation;

  pthread_t thread;
  bool thread_started;
  pthread_mutex_t inbox_lock;
  pthread_cond_t inbox_wake;
  csp_control_command_t *inbox_first;
  csp_control_command_t **inbox_last;
  bool stopping;

  csp_view_t *view; /* read under RCU */
  atomic_bool ready;
  atomic_bool leaving;
  atomic_uint open_claims; /* not yet acknowledged by all hosts */
  atomic_uint_fast64_t next_waiter_number;
  csp_pool_load_t pool_loads[CSP_CONTROL_MAX_POOLS];
  atomic_uint pool_load_count;

  csp_peers_t *peers;
  uint64_t deployment;
  csp_fetcher_t *fetcher;
  csp_endpoint_t platform;
  csp_host_watch_t host_watch;

  csp_configuration_t *configuration;
  csp_config_sync_t *config_sync;
  csp_membership_t *membership;
  csp_ownership_t *ownership;
  bool platform_unreachable;

  csp_lengths_t *lengths;
  csp_control_limits_t *limits;
  csp_intern_t *organisations;
  csp_pool_state_t pools[CSP_CONTROL_MAX_POOLS];
  uint32_t pool_count;
  csp_target_state_t **targets; /* by index; NULL where there is none */
  uint32_t target_capacity;
  csp_tracked_request_t *requests;
  uint32_t request_capacity;
  uint32_t request_count;
  uint64_t next_request;
  csp_once_settings_t once_settings;
  csp_once_key_store_t *once;
  csp_once_entry_t *once_rounds;
  uint64_t next_round_id;
  csp_order_pool_t order_pools[CSP_CONTROL_MAX_POOLS];
  uint32_t order_pool_count;
  int64_t next_order_share_ms;
  csp_slot_table_t *slots;
  uint64_t holdings_number;
  int64_t next_holdings_ms;
  uint64_t next_ask_id;
  uint64_t spilled;
  csp_health_t *health;
  csp_slow_start_policy_t slow_start_policy;
  csp_retry_budget_t retry_budget;
  int64_t started_ms;
  int64_t next_health_ms;
  int64_t next_rule_check_ms;
  int64_t next_host_sync_ms;
  uint32_t live_peers;
  csp_candidate_t candidates[CSP_CONTROL_MAX_TARGETS];
  uint32_t candidate_targets[CSP_CONTROL_MAX_TARGETS];
  uint64_t recalled;
  uint64_t refused;
  uint64_t granted;
};

/* Queue a command for the control thread, which frees it.  Any thread.  */
void csp_post_command (csp_control_t *control, csp_control_command_t *command);

/* A new command, or NULL.  */
csp_control_command_t *csp_create_command (csp_control_command_kind_t kind);

/* Free a command with its body.  */
void csp_free_command (csp_control_command_t *command);

/* Snapshots of the configuration.  csp_create_view takes over the
   declaration; csp_publish_view puts a view in force.  */
csp_view_t *csp_create_view (csp_declaration_t *declaration);
bool csp_note_pool_revisions (csp_view_t *view,
                              const csp_config_value_t *values, size_t count);
int64_t csp_view_pool_revision (const csp_view_t *view, const char *pool);
const char *const *csp_view_models (const csp_view_t *view, size_t *count);
void csp_publish_view (csp_control_t *control, csp_view_t *view);

/* Configuration and the host list: create what reads them from the platform,
   handle the answers, and start the reads that are due.  */
bool csp_init_config (csp_control_t *control, int64_t now_ms);
void csp_close_config (csp_control_t *control);
void csp_handle_config_read (csp_control_t *control,
                             const csp_control_command_t *command,
                             int64_t now_ms);
void csp_handle_hosts_read (csp_control_t *control,
                            const csp_control_command_t *command,
                            int64_t now_ms);
void csp_handle_peer_hosts (csp_control_t *control,
                            const csp_peer_message_t *answer, int64_t now_ms);
void csp_tick_config (csp_control_t *control, int64_t now_ms);

/* Log the result of reading a configuration, and publish a new one.  */
void csp_apply_config_result (csp_control_t *control,
                              csp_config_result_t result);

/* Start an HTTP GET.  When it ends, the command is queued with the response
   body, or with NULL if the read failed.  Takes ownership of the command even
   on failure.  */
bool csp_start_read (csp_control_t *control, const csp_endpoint_t *endpoint,
                     const char *path, uint32_t timeout_ms,
                     csp_control_command_t *command);

/* Peers: listen and connect, send heartbeats, handle asks and answers.  */
bool csp_open_peers (csp_control_t *control, char *message,
                     size_t message_bytes);
void csp_tick_peers (csp_control_t *control, int64_t now_ms);
void csp_handle_peer_ask (csp_control_t *control,
                          csp_control_command_t *command, int64_t now_ms);
void csp_handle_peer_answer (csp_control_t *control,
                             const csp_control_command_t *command,
                             int64_t now_ms);
bool csp_locate_peer (csp_control_t *control, const char *name, int64_t now_ms,
                      csp_named_peer_address_t *peer);

/* Whether a host is a live peer in this host's data centre.  */
bool csp_is_live_local_peer (const csp_control_t *control,
                             const csp_host_view_t *view);

/* Send a message to a peer.  The answer is queued as CSP_COMMAND_PEER_ANSWER
   with the peer's name, the kind of the message and id.  False when nothing
   was sent.  */
bool csp_send_peer (csp_control_t *control,
                    const csp_named_peer_address_t *peer,
                    const csp_peer_message_t *message, uint64_t id,
                    uint32_t timeout_ms);

/* Memory tokens free for new work on the engines that this host may grant.  */
int64_t csp_sum_headroom (csp_control_t *control, int64_t now_ms);

/* Fill in a target's endpoint; it uses TLS if the settings name a CA file.  */
void csp_fill_endpoint (const csp_control_t *control, const char *address,
                        uint16_t port, csp_endpoint_t *endpoint);

/* Whether the data centre has another live host, which could take requests
   that this host can't serve.  */
bool csp_has_live_local_peer (csp_control_t *control, int64_t now_ms);

/* Targets: keep the table in step with the ownership's, and read load reports.
   csp_free_unused_target frees one that isn't listed and has no streams.  */
void csp_sync_targets (csp_control_t *control, int64_t now_ms);
void csp_tick_targets (csp_control_t *control, int64_t now_ms);
void csp_handle_load_read (csp_control_t *control,
                           const csp_control_command_t *command,
                           int64_t now_ms);
void csp_free_unused_target (csp_target_state_t *target);
void csp_close_targets (csp_control_t *control);

/* Orders: count the listed engines, decide on an order at each load report,
   handle the reply, and add wanted and reported state to a status row.  */
void csp_count_listed_engines (csp_control_t *control,
                               const csp_host_list_t *list);
void csp_tick_orders (csp_control_t *control, int64_t now_ms);
void csp_handle_order_report (csp_control_t *control, uint32_t index,
                              struct json_object *document, int64_t asked_ms,
                              int64_t now_ms);
void csp_handle_order_status (csp_control_t *control,
                              const csp_control_command_t *command,
                              int64_t now_ms);
void csp_render_orders (csp_control_t *control,
                        const csp_target_state_t *target,
                        struct json_object *row);
void csp_free_orders (csp_target_state_t *target);
void csp_fill_config_facts (csp_control_t *control,
                            const csp_target_state_t *target,
                            csp_order_facts_t *facts);

/* Admission: queue a waiter's request, record progress, end a request, and
   serve the queues.  */
bool csp_init_admission (csp_control_t *control);
void csp_enqueue_waiter (csp_control_t *control, csp_waiter_t *waiter,
                         int64_t now_ms);
void csp_handle_progress (csp_control_t *control,
                          const csp_control_command_t *command,
                          int64_t now_ms);
void csp_handle_release (csp_control_t *control,
                         const csp_control_command_t *command, int64_t now_ms);
/* all: also serve pools without changes, for decisions that depend on time. */
void csp_tick_admission (csp_control_t *control, bool all, int64_t now_ms);
void csp_tick_preemption (csp_control_t *control, int64_t now_ms);
void csp_close_admission (csp_control_t *control);

/* Remove a waiting request whose caller has hung up.  Does nothing if the
   waiter has been answered in the meantime.  */
void csp_abandon_waiter (csp_control_t *control, uint64_t number,
                         int64_t now_ms);

/* Answer a waiting request with an error, or queue it again with new terms. */
void csp_reject_waiting (csp_control_t *control,
                         csp_tracked_request_t *request,
                         const csp_error_t *error, int64_t now_ms);
void csp_requeue_waiting (csp_control_t *control,
                          csp_tracked_request_t *request, int64_t now_ms);

/* Whether requests that don't use the pool on loan wait for it here, and
   whether the pool's load is below the limit for lending.  */
bool csp_has_unlent_waiting (const csp_control_t *control, const char *pool);
bool csp_may_lend (csp_control_t *control, const char *name, double below,
                   int64_t now_ms);

/* Whether a rule sends a request to another data centre, and that data centre
   reports free capacity.  */
bool csp_is_for_other_data_centre (csp_control_t *control,
                                   const csp_admission_ask_t *ask,
                                   int64_t now_ms);

/* Publish the load of pools, and apply the rules again to waiting requests. */
void csp_tick_rules (csp_control_t *control, int64_t now_ms);

/* Record how an exchange with a target ended; a target whose connections fail
   is avoided for a while.  */
void csp_note_target_link_end (csp_control_t *control,
                               csp_target_state_t *target, csp_link_end_t end,
                               int64_t now_ms);

/* Check that a grant is still valid, immediately before the request is
   sent.  */
bool csp_confirm_request (csp_control_t *control, uint64_t id, int64_t now_ms);

/* The table of requests.  The find functions return NULL for a request that
   was removed, and csp_add_request returns NULL when the table is full.  */
bool csp_init_request_table (csp_control_t *control);
csp_tracked_request_t *csp_add_request (csp_control_t *control);
void csp_remove_request (csp_control_t *control,
                         csp_tracked_request_t *request);
csp_tracked_request_t *csp_find_request (csp_control_t *control, uint64_t id);
csp_tracked_request_t *csp_find_request_of_waiter (csp_control_t *control,
                                                   uint64_t number);

/* Choice of targets.  csp_is_eligible_target: whether a target could take a
   request now or later.  csp_may_borrow_in_pool: whether reserve_tokens stay
   free in the pool beside the request.  csp_choose_service: the index of a
   service, UINT32_MAX for none.  */
bool csp_is_eligible_target (const csp_control_t *control, const char *pool,
                             csp_target_kind_t kind,
                             const csp_tried_targets_t *tried, uint32_t index);
bool csp_may_borrow_in_pool (csp_control_t *control, const char *pool,
                             uint64_t reserve_tokens, uint32_t memory_tokens,
                             int64_t now_ms);
uint32_t csp_choose_service (const csp_control_t *control,
                             const csp_admission_ask_t *ask, int64_t now_ms);
void csp_update_queue_capacity (csp_control_t *control, csp_pool_state_t *pool,
                                int64_t now_ms);

/* Set how much of a newly listed target may be used, and update that share and
   the targets' health.  */
void csp_init_target_slow_start (csp_control_t *control,
                                 csp_target_state_t *target, int64_t now_ms);
void csp_tick_target_health (csp_control_t *control, int64_t now_ms);

/* Limits.  csp_charge_limits charges a request that begins to wait, and
   returns false with an error when a limit is used up.  csp_end_limited_wait:
   the request no longer waits.  csp_settle_limits: the request has ended and
   has used used_tokens.  */
bool csp_init_limits (csp_control_t *control);
bool csp_charge_limits (csp_control_t *control, csp_tracked_request_t *request,
                        int64_t now_ms, csp_error_t *error);
void csp_end_limited_wait (csp_tracked_request_t *request);
void csp_settle_limits (csp_tracked_request_t *request, uint32_t used_tokens);
void csp_close_limits (csp_control_t *control);

/* Choose an owned engine of a pool for a stream; UINT32_MAX when none has
   enough free capacity.  */
uint32_t csp_choose_engine (csp_control_t *control, const char *pool,
                            const csp_tried_targets_t *tried,
                            const csp_stream_t *stream, uint64_t prefix,
                            int64_t now_ms);

/* Hand-offs, on the sender: ask other owners for a slot, handle their answers,
   and release the slot when the request ends.  */
void csp_start_spill (csp_control_t *control, csp_tracked_request_t *request,
                      int64_t now_ms);
void csp_handle_reserve_answer (csp_control_t *control,
                                const csp_control_command_t *command,
                                const csp_peer_reserve_answer_t *reserved,
                                int64_t now_ms);
void csp_handle_commit_answer (csp_control_t *control,
                               const csp_control_command_t *command,
                               const csp_commit_answer_t *answer,
                               int64_t now_ms);
bool csp_confirm_spill (csp_control_t *control, csp_tracked_request_t *request,
                        int64_t now_ms);
void csp_cancel_spill (csp_control_t *control, csp_tracked_request_t *request,
                       int64_t now_ms);
void csp_finish_spill (csp_control_t *control, csp_tracked_request_t *request,
                       const csp_grant_outcome_t *outcome, int64_t now_ms);
void csp_tick_spills (csp_control_t *control, int64_t now_ms);
void csp_tick_holdings (csp_control_t *control, int64_t now_ms);

/* Fill request->spill->peers with the peers to ask, in order; returns their
   number.  */
size_t csp_choose_spill_peers (csp_control_t *control,
                               csp_tracked_request_t *request, int64_t now_ms);

/* Hand-offs, on the owner.  csp_count_slot_tokens: expected tokens of the
   slots that other hosts hold on a target.  */
bool csp_init_slots (csp_control_t *control);
void csp_handle_slot_release (csp_control_t *control,
                              const csp_peer_release_t *release,
                              int64_t now_ms);
void csp_answer_reserve (csp_control_t *control,
                         const csp_peer_reserve_ask_t *reserve, int64_t now_ms,
                         csp_peer_reserve_answer_t *reserved);
void csp_sync_ownership (csp_control_t *control, int64_t now_ms);
uint64_t csp_count_slot_tokens (csp_control_t *control, const char *target,
                                int64_t now_ms);

/* At-most-once calls: the keys that this host has recorded, and the claims of
   its own callers.  */
bool csp_init_once (csp_control_t *control, int64_t now_ms);
void csp_close_once (csp_control_t *control);
void csp_start_claim (csp_control_t *control, csp_waiter_t *waiter,
                      int64_t now_ms);
bool csp_confirm_once (csp_control_t *control, uint64_t id, int64_t now_ms);
void csp_end_once (csp_control_t *control, uint64_t id,
                   csp_once_outcome_t outcome, int64_t now_ms);
void csp_handle_claim_answer (csp_control_t *control,
                              const csp_control_command_t *command,
                              const csp_peer_message_t *answer,
                              int64_t now_ms);
void csp_handle_outcome_acknowledged (csp_control_t *control,
                                      const csp_control_command_t *command,
                                      const csp_peer_message_t *answer,
                                      int64_t now_ms);
void csp_tick_once (csp_control_t *control, int64_t now_ms);

/* Answer a waiter; result is 0 for a grant.  */
void csp_answer_waiter (csp_waiter_t *waiter, int result);

/* Render the JSON of csp_describe_control, on the control thread.  */
char *csp_render_status (csp_control_t *control, int64_t now_ms);

#endif
