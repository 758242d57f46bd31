#ifndef COWSLIPSPOKE_GATEWAY_IMP_H
#define COWSLIPSPOKE_GATEWAY_IMP_H

#include "cowslipspoke/dispatch.h"
#include "cowslipspoke/gateway.h"
#include "cowslipspoke/http.h"
#include "cowslipspoke/link.h"
#include "cowslipspoke/metrics.h"
#include "cowslipspoke/page.h"
#include "cowslipspoke/quarantine.h"
#include "cowslipspoke/reach.h"
#include "cowslipspoke/retry-lease.h"
#include "cowslipspoke/retry.h"
#include "cowslipspoke/verdict.h"

#include <pthread.h>
#include <urcu/wfcqueue.h>
#include <uv.h>

/* Parts of the forwarder, all on the traffic thread:

     caller    one caller's connection: reads requests, writes answers
     exchange  one request from its head to the end of its answer
     attempt   the request at one target
     stream    cuts an answer into whole events and knows the last id sent
     move      takes a stream to another target
     report    asks targets themselves, when the platform says nothing
     cordon    what operators let get nothing new
     quarantine  requests under which targets end
     target-state  what targets say of themselves in their answers
     reach     what follows where a data centre is cut off
     page      readiness and metrics

   An exchange lives between csp_begin_exchange and csp_end_exchange; a caller
   has at most one.  */

typedef struct csp_caller csp_caller_t;
typedef struct csp_exchange csp_exchange_t;
typedef struct csp_report csp_report_t;

enum
{
  /* A body up to this is read whole before the request is forwarded, so that
     it can be sent again; a longer one is passed on as it comes.  Prompts of
     the users reach 17 KB.  */
  CSP_BODY_KEPT_BYTES = 65536,
  /* Bytes that may wait for a slow reader before its writer is paused.  */
  CSP_BACKLOG_BYTES = 262144,
  /* An answer up to this is held until it is whole, so that one that breaks
     off can still become a retry or an honest error.  */
  CSP_ANSWER_KEPT_BYTES = 262144,
  /* Services that a host keeps a retry budget for; more share the last.  */
  CSP_BUDGETS_MAX = 16,
  /* Live hosts that the control thread may choose from.  */
  CSP_LIVE_PEERS_MAX = 64,
  /* Data centres are a millisecond or two apart; a target that takes no
     connection within this has no power or is cut off.  */
  CSP_CONNECT_TIMEOUT_MS = 400,
  /* What one token of a stream takes in a batch that is half full.  */
  CSP_TOKEN_MS = 10,
  /* In a stop: the balancer asks once a second and leaves a host out after
     two misses; until then new connections come.  */
  CSP_STOP_NOTICE_MS = 2500,
  /* What is open is cut that much before the process would be killed, so that
     its sockets close in order.  */
  CSP_STOP_MARGIN_MS = 300
};

/* What is known of one service beside its targets: its retry budget, what this
   host lends to others of it while it decides, and how full its engines are by
   the word of the host that decides.  */
typedef struct
{
  char service[CSP_TARGET_NAME_BYTES];
  csp_retry_budget_t budget;
  csp_lease_pool_t leases;
  uint64_t want_id;  /* of the question for a lease that is out; 0: none */
  int64_t wanted_ms; /* when it was asked */
  uint32_t pool_percent;
  int64_t pool_told_ms; /* 0: never */
} csp_service_budget_t;

/* A target that says it leaves, to be told to the other hosts.  */
typedef struct
{
  uint64_t target; /* hash of its id */
  uint8_t times;   /* still to be told */
} csp_left_t;

/* Counters of this slice, served as text.  */
typedef struct
{
  uint64_t requests;
  uint64_t answered;
  uint64_t refused;
  uint64_t failed;
  uint64_t abandoned;
  uint64_t retries;
  uint64_t retries_lent; /* to hosts, this one too, while it decides */
  uint64_t moves;
  uint64_t moves_failed;
  uint64_t streams_lost;
  uint64_t connections;
  uint64_t link_opens;
  uint64_t reports;            /* questions to targets whether they leave */
  uint64_t backoffs;           /* waits that targets asked for */
  uint64_t quarantined;        /* requests under which targets ended */
  uint64_t quarantine_refused; /* attempts of theirs that were not made */
} csp_gateway_counts_t;

struct csp_gateway
{
  csp_gateway_settings_t settings;
  const csp_dialect_t *dialect;
  csp_clock_t clock;
  csp_log_t *log;
  uv_loop_t loop;
  uv_tcp_t front;
  csp_page_server_t *ready;
  csp_page_server_t *metrics;
  uv_async_t wake;
  uv_timer_t tick;
  uv_timer_t move_timer; /* while streams wait for their turn to move */
  struct cds_wfcq_head updates_head;
  struct cds_wfcq_tail updates_tail;
  csp_routes_t *routes;
  csp_fleet_t *fleet;
  csp_roster_t *roster;
  csp_reach_t *reach;
  int64_t alone_since_ms; /* no engine is reached; 0: one is */
  csp_dispatch_t *dispatch;
  csp_quarantine_t *quarantine;
  uint64_t next_ask_id;
  csp_buffer_t own_answers; /* csp_ask_answer_t one after another */
  bool taking_answers;
  uv_udp_t peers;
  uv_timer_t tell_timer;
  uv_timer_t greet_timer;
  uint64_t boot;
  uint32_t data_centre; /* hash of its name, as hosts tell it */
  uint64_t hello_sequence;
  csp_peer_address_t decider; /* whom to ask for places; may be this host */
  int64_t decider_since_ms;
  size_t decider_count;
  csp_peer_address_t deciders[CSP_DECIDERS_MAX]; /* who is told our loads */
  int64_t whole_at_ms;           /* when all loads are told them again */
  csp_peer_address_t *peer_room; /* CSP_ROSTER_MAX addresses, for one call */
  pthread_mutex_t live_lock;     /* guards what the control thread reads */
  csp_peer_address_t self;
  csp_reader_ranks_t readers;
  size_t live_count;
  csp_peer_address_t live[CSP_LIVE_PEERS_MAX];
  csp_random_t random;
  size_t budget_count;
  csp_service_budget_t budgets[CSP_BUDGETS_MAX];
  csp_gateway_counts_t counts;
  csp_metrics_t *times;  /* histograms of each organisation and route */
  csp_caller_t *callers; /* all open connections */
  csp_exchange_t *exchanges;
  csp_report_t *reports; /* questions to targets that are under way */
  size_t report_next;    /* the target whose turn to be asked is next */
  size_t left_count;
  csp_left_t left[CSP_HELLO_LEFT_MAX];
  int64_t heard_ms;       /* when the platform was last heard; 0: never */
  int64_t doubt_until_ms; /* engines are asked until then all the same */
  uint32_t caller_count;
  bool blind;  /* the platform can't be reached from here */
  bool listed; /* a whole list of targets has been read */
  bool stopping;
  int64_t stop_began_ms;
};

/* Time of the traffic thread, in ms.  */
int64_t csp_gateway_now_ms (const csp_gateway_t *gateway);

/* Whether the balancer may send callers here.  */
bool csp_gateway_is_ready (const csp_gateway_t *gateway);
csp_service_budget_t *csp_find_service_budget (csp_gateway_t *gateway,
                                               const char *service);
csp_retry_budget_t *csp_find_budget (csp_gateway_t *gateway,
                                     const char *service);

/* How full the engines of a service are in all, as the host that decides has
   told; 0 where it has not, or not lately.  */
void csp_note_pool_percent (csp_gateway_t *gateway, const char *service,
                            uint32_t percent);
double csp_told_pool_share (csp_gateway_t *gateway, const char *service);

/* Caller: see gateway-caller.c.  */
void csp_accept_caller (csp_gateway_t *gateway, uv_stream_t *listener);
const csp_http_head_t *csp_caller_head (const csp_caller_t *caller);

/* Write bytes of the answer; a broken connection shows on its read side.  */
void csp_write_caller (csp_caller_t *caller, const void *data,
                       size_t size_bytes);
size_t csp_caller_backlog (const csp_caller_t *caller);

/* Whether the connection is kept behind this answer; the answer says so.  */
bool csp_caller_keeps (const csp_caller_t *caller);

/* The answer is whole; the exchange is over.  */
void csp_finish_caller_answer (csp_caller_t *caller);

/* The answer can't be ended well: cut it, so that it doesn't look whole.  */
void csp_abort_caller (csp_caller_t *caller);
void csp_pause_caller (csp_caller_t *caller, bool pause);

/* Answer by ourselves and end the exchange; detail goes into the body.  */
void csp_answer_caller (csp_caller_t *caller, uint16_t status,
                        uint32_t retry_after_ms, const char *detail);

/* Close callers that wait between requests; for a stop.  */
void csp_close_idle_callers (csp_gateway_t *gateway);
void csp_close_all_callers (csp_gateway_t *gateway);

/* Exchange: see gateway-exchange.c.  began_ms is when the first byte of the
   request came.  NULL when the request was answered at once.  */
csp_exchange_t *csp_begin_exchange (csp_gateway_t *gateway,
                                    csp_caller_t *caller, int64_t began_ms);
void csp_take_request_body (csp_exchange_t *exchange, const char *piece,
                            size_t piece_bytes);
void csp_end_request_body (csp_exchange_t *exchange);

/* The caller's socket takes bytes again.  */
void csp_caller_drained (csp_exchange_t *exchange);

/* Whether a byte of the answer was written.  */
bool csp_exchange_answers (const csp_exchange_t *exchange);

/* Whether a target may have begun to work on the request.  */
bool csp_exchange_may_have_run (const csp_exchange_t *exchange);

/* The caller left, or sent what can't be read on.  */
void csp_abandon_exchange (csp_exchange_t *exchange);

/* Targets: see gateway-links.c.  A fresh or kept connection, NULL when none
   can be had.  */
csp_link_t *csp_take_link (csp_gateway_t *gateway, csp_fleet_target_t *target);

/* Keep a link for the next request, or close it.  */
void csp_give_link_back (csp_gateway_t *gateway, csp_fleet_target_t *target,
                         csp_link_t *link);

/* Close what is kept for a target.  */
void csp_drop_links (csp_fleet_target_t *target);

/* A target leaves: streams go elsewhere.  */
void csp_leave_target (csp_gateway_t *gateway, csp_fleet_target_t *target);

/* Nothing goes on at a target any more: copies there are given up.  */
void csp_forget_destination (csp_gateway_t *gateway,
                             const csp_fleet_target_t *target);

/* Begin the moves whose turn has come.  */
void csp_pump_moves (csp_gateway_t *gateway);

/* Streams that fell silent go on elsewhere.  Call it now and then.  */
void csp_watch_streams (csp_gateway_t *gateway);

/* Cordon: see gateway-cordon.c.  Operators cordon a data centre, or lift its
   cordon.  */
void csp_take_cordon (csp_gateway_t *gateway, const char *data_centre,
                      bool cordoned);

/* Whether a run whose memory lies there alone may still be gone on with.  */
bool csp_may_resume_at (const csp_gateway_t *gateway,
                        const csp_fleet_target_t *target);

/* Reports: see gateway-report.c.  The platform was heard, so long ago.  */
void csp_note_platform_heard (csp_gateway_t *gateway, uint32_t age_ms);

/* Ask engines whether they leave and live, where the platform isn't heard.
   Call it now and then.  */
void csp_ask_reports (csp_gateway_t *gateway);

/* Whether its service runs models, by the routes in force.  */
bool csp_is_engine_target (const csp_gateway_t *gateway,
                           const csp_fleet_target_t *target);

/* Ask one target how it is.  */
void csp_ask_target (csp_gateway_t *gateway, csp_fleet_target_t *target,
                     int64_t now_ms);

/* A target itself says that it leaves: it gets nothing new, and the other
   hosts are told.  */
void csp_announce_leaving (csp_gateway_t *gateway, csp_fleet_target_t *target);

/* Target state: see gateway-target-state.c.  What the head of a target's
   answer says of the target.  */
void csp_take_target_state (csp_gateway_t *gateway, csp_fleet_target_t *target,
                            const csp_http_head_t *head);
bool csp_says_leaving (const csp_gateway_t *gateway,
                       const csp_http_head_t *head);

/* Another host tells which targets say that they leave.  */
void csp_take_left (csp_gateway_t *gateway, const csp_hello_t *hello);
void csp_drop_reports (csp_gateway_t *gateway);

/* Reach: see gateway-reach.c.  Bytes of an answer came from a target.  */
void csp_note_target_answered (csp_gateway_t *gateway,
                               const csp_fleet_target_t *target);

/* A target took no connection, or reset one.  */
void csp_note_target_failed (csp_gateway_t *gateway,
                             const csp_fleet_target_t *target);

/* Judge anew which targets are cut off.  Call it now and then.  */
void csp_judge_reach (csp_gateway_t *gateway);

/* Whether this host has reached no engine for a while, though some are
   listed.  */
bool csp_is_isolated (const csp_gateway_t *gateway);

/* When the balancer will have left such a host out; 0: it has.  */
uint32_t csp_isolated_retry_ms (const csp_gateway_t *gateway);

/* Peers: see gateway-peers.c.  False where the port can't be had.  */
bool csp_open_gateway_peers (csp_gateway_t *gateway);
void csp_stop_gateway_peers (csp_gateway_t *gateway);
void csp_close_gateway_peers (csp_gateway_t *gateway);

/* Count what other hosts have told of a target that is new here.  */
void csp_count_new_target (csp_gateway_t *gateway, const char *id);

/* Send one datagram to some hosts.  */
void csp_send_hello (csp_gateway_t *gateway, csp_hello_t *hello,
                     const csp_peer_address_t *peers, size_t peer_count);

/* Dispatch: see gateway-dispatch.c.  */
void csp_take_answer_of_dispatch (void *state, const csp_ask_answer_t *answer);
void csp_take_dispatch_hello (csp_gateway_t *gateway, csp_peer_address_t from,
                              const csp_hello_t *hello);

void csp_take_own_answers (csp_gateway_t *gateway);

/* A service by the hash of its name; NULL where no route has it.  */
const csp_route_service_t *
csp_find_hashed_service (const csp_gateway_t *gateway, uint32_t hash);

/* Lease: see gateway-lease.c.  What hosts ask this one for, and what it got.
 */
void csp_take_lease_hello (csp_gateway_t *gateway, csp_peer_address_t from,
                           const csp_hello_t *hello);

/* Who decides has changed.  */
void csp_note_lease_duties (csp_gateway_t *gateway);

/* For which part of the fleet this host decides, where targets are cold.  Call
   it now and then.  */
void csp_note_warmup_duty (csp_gateway_t *gateway);

/* Give places that have come free.  */
void csp_pump_places (csp_gateway_t *gateway);

/* Quarantine: see gateway-quarantine.c.  Tell all hosts of fresh strikes.
   Call it now and then.  */
void csp_tell_suspects (csp_gateway_t *gateway);

/* Name some suspects in a greeting.  */
void csp_name_gateway_suspects (csp_gateway_t *gateway, csp_hello_t *hello);

/* Another host tells its suspects, and what it found sound.  */
void csp_take_suspects (csp_gateway_t *gateway, csp_peer_address_t from,
                        const csp_hello_t *hello);

/* Tell: see gateway-tell.c.  What is under way here has changed; the hosts
   that decide hear of it in a moment.  */
void csp_open_gateway_tell (csp_gateway_t *gateway);
void csp_tell_load (csp_gateway_t *gateway);

/* Who decides may have changed; who is new to it is told all.  */
void csp_choose_deciders (csp_gateway_t *gateway);

/* Pages: see gateway-page.c.  */
bool csp_open_gateway_pages (csp_gateway_t *gateway, char *message,
                             size_t message_bytes);
void csp_close_gateway_pages (csp_gateway_t *gateway);

#endif
