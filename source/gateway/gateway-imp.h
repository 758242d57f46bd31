#ifndef COWSLIPSPOKE_GATEWAY_IMP_H
#define COWSLIPSPOKE_GATEWAY_IMP_H

#include "cowslipspoke/dispatch.h"
#include "cowslipspoke/gateway.h"
#include "cowslipspoke/host-delay.h"
#include "cowslipspoke/http.h"
#include "cowslipspoke/link-load.h"
#include "cowslipspoke/link.h"
#include "cowslipspoke/metrics.h"
#include "cowslipspoke/page.h"
#include "cowslipspoke/prompt-parts.h"
#include "cowslipspoke/quarantine.h"
#include "cowslipspoke/reach.h"
#include "cowslipspoke/refusal-limit.h"
#include "cowslipspoke/retry-lease.h"
#include "cowslipspoke/retry.h"
#include "cowslipspoke/service-reach.h"
#include "cowslipspoke/verdict.h"

#include <pthread.h>
#include <urcu/wfcqueue.h>
#include <uv.h>

/* A field of messages between hosts: what a relayed request is, and in answers
   that aren't a target's what became of it: not run, not run but another host
   may serve it, or may have run.  */
#define CSP_RELAY_FIELD "Cowslip-Relay"
#define CSP_RELAY_REFUSED "refused"
#define CSP_RELAY_UNSERVED "unserved"
#define CSP_RELAY_FAILED "failed"

/* Parts of the forwarder, all on the traffic thread:

     caller        one caller's connection: reads requests, writes answers
     decide        handles this host's decisions about its own requests
     exchange      one request, from its head to the end of its answer
     attempt       one attempt to send the request to a target
     stream        splits an answer into whole events, tracks the last id sent
     move          moves a running stream to another target
     resume-copy   resumes a run from a copy of its memory
     resume        resumes a lost stream without a copy of its run
     run-end       whether a run has ended, before its request goes elsewhere
     left-run      stops the runs that callers have left
     notice        notices about targets, sent to all hosts
     report        queries targets while the platform can't be read
     cordon        applies the operators' cordons
     quarantine    refuses requests that make targets end
     part          refuses requests with parts that make targets end
     target-state  handles what targets report of themselves in answers
     rate          handles rate limits that targets state, and reports them
     grant         asks the decider before a limited target is sent a request
     damping       counts losses at targets and damps those that flap
     reach         handles data centres that are cut off
     relay         passes requests on to other hosts
     relay-accept  accepts requests of other hosts
     paths         records how new connections to targets fare
     load          which streams this host's link carries, and how late the
                   host is
     budget        the state of each service beside its targets
     page          readiness and metrics

   Declared here: the gateway itself, callers and the way into an exchange; in
   gateway-exchange-imp.h an exchange and its attempts; in gateway-run-imp.h
   how runs end and go on; in gateway-target-imp.h what concerns targets; in
   gateway-host-imp.h what concerns other hosts.

   An exchange lives from csp_begin_exchange until it is finished, failed or
   abandoned; a caller has at most one.  One that has ended stays in the list
   until the loop frees it, so that no walk loses its place.  */

typedef struct csp_caller csp_caller_t;
typedef struct csp_exchange csp_exchange_t;
typedef struct csp_left_run csp_left_run_t;
typedef struct csp_status_query csp_status_query_t;

enum
{
  /* A body up to this size is read whole before the request is forwarded, so
     that the request can be sent again; a longer body is forwarded as it
     comes.  Prompts reach 17 KB.  */
  CSP_BODY_BUFFER_MAX_BYTES = 65536,
  /* Bytes that may wait for a slow reader before reading from the other side
     is paused.  */
  CSP_BACKLOG_BYTES = 262144,
  /* An answer up to this size is buffered until it is complete, so that after
     a broken connection a retry or an error answer is still possible.  */
  CSP_ANSWER_BUFFER_MAX_BYTES = 262144,
  /* An event of a stream, or what comes without data between two events; an
     event holds a few tokens.  */
  CSP_EVENT_MAX_BYTES = 65536,
  /* Services that are listed as unreached; further ones are left out.  */
  CSP_UNREACHED_SERVICES_MAX = 16,
  /* Notices of one kind that wait to be repeated; fit into a hello.  */
  CSP_NOTICES_MAX = 8,
  /* Live hosts offered to the control thread.  */
  CSP_LIVE_PEERS_MAX = 64,
  /* Data centres are one or two milliseconds apart; a target that accepts no
     connection within this time has lost power or is cut off.  */
  CSP_CONNECT_TIMEOUT_MS = 400,
  /* Time per token of a stream in a half-full batch.  */
  CSP_TOKEN_MS = 10,
  /* In a stop: the balancer checks readiness once a second and drops a host
     after two failures; until then new connections arrive.  */
  CSP_STOP_NOTICE_MS = 2500,
  /* How long before the process would be killed open requests are answered;
     and how long before it ends by itself, so that its sockets close in
     order.  */
  CSP_STOP_MARGIN_MS = 300,
  CSP_STOP_CLOSE_MARGIN_MS = 200
};

/* State of one service beside its targets: its retry budget, the retries that
   this host lends to others while it is the decider, and how full its engines
   are according to the decider.  */
typedef struct csp_service_budget csp_service_budget_t;
struct csp_service_budget
{
  csp_service_budget_t *next;
  char service[CSP_FLEET_NAME_BYTES];
  int64_t used_ms; /* when it was last looked up */
  csp_retry_budget_t budget;
  csp_lease_pool_t leases;
  uint64_t lease_request_id;  /* id of the pending lease request; 0: none */
  int64_t lease_requested_ms; /* when that request was sent */
  uint32_t pool_percent;
  int64_t pool_reported_ms; /* 0: never */
};

/* Targets of which the other hosts are notified, several times each since
   datagrams may be lost.  */
typedef struct
{
  size_t count;
  struct
  {
    uint64_t target; /* hash of its id */
    uint8_t sends_left;
  } rows[CSP_NOTICES_MAX];
} csp_notices_t;

/* Counters of the forwarder, served as metrics.  */
typedef struct
{
  uint64_t requests;
  uint64_t answered;
  uint64_t refused;
  uint64_t failed;
  uint64_t abandoned;
  uint64_t retries;
  uint64_t retries_lent; /* by this host as the decider, to itself too */
  uint64_t moves;
  uint64_t moves_failed;
  uint64_t resumes;            /* streams resumed without a copy */
  uint64_t runs_left;          /* requests that went on at another target */
  uint64_t runs_left_unproven; /* those whose old run may not have ended */
  uint64_t streams_lost;
  uint64_t left_runs_stopped; /* of callers that left their streams */
  uint64_t connections;
  uint64_t link_opens;
  uint64_t links_failed; /* new connections to targets without an answer */
  uint64_t status_queries;
  uint64_t targets_left;   /* targets that began to leave or are gone */
  uint64_t refusal_pauses; /* after refusals of targets that state a limit */
  uint64_t backoffs;       /* backoffs that targets asked for */
  uint64_t quarantined;    /* requests whose targets ended while they ran */
  /* Attempts of those requests that were refused.  */
  uint64_t quarantine_refused;
  uint64_t part_strikes;  /* against prompt parts, of this and other hosts */
  uint64_t parts_tried;   /* trials of prompt parts that have begun here */
  uint64_t parts_held;    /* holds of prompt parts that have begun here */
  uint64_t parts_refused; /* attempts refused for a held part */
  uint64_t rate_grants;   /* by this host as the decider, to itself too */
  uint64_t rate_refused;  /* requests rejected for lack of a grant */
  uint64_t relays;        /* requests that were relayed to other hosts */
  uint64_t relays_refused;
  uint64_t relay_offers_failed;
  uint64_t relayed;         /* requests that other hosts relayed to this one */
  uint64_t relay_strangers; /* connections that came from no live host */
  uint64_t link_refused;    /* streams that this host's link can't carry */
  uint64_t dampings;        /* of targets, by this host as the decider */
  uint64_t entries_refused; /* of the platform's list, each once */
} csp_gateway_counts_t;

struct csp_gateway
{
  csp_gateway_settings_t settings;
  const csp_dialect_t *dialect;
  csp_clock_t clock;
  csp_log_t *log;
  uv_loop_t loop;
  uv_tcp_t caller_listener;
  uv_tcp_t relay_listener;
  uint16_t relay_port; /* 0: this host neither relays nor accepts requests */
  uint32_t relayed_count; /* open requests that other hosts relay */
  bool caller_waits;      /* a connection that is not accepted yet */
  int64_t started_ms;
  csp_page_server_t *readiness_page;
  csp_page_server_t *metrics_page;
  uv_async_t wake;
  uv_timer_t tick;
  uv_timer_t move_timer; /* while streams wait for their turn to move */
  struct cds_wfcq_head updates_head;
  struct cds_wfcq_tail updates_tail;
  csp_routes_t *routes;
  csp_fleet_t *fleet;
  csp_roster_t *roster;
  csp_reach_t *reach;
  csp_service_reach_t *service_reach;
  csp_host_delay_t *host_delay;
  csp_link_load_t *link_load;
  csp_stream_counts_t stream_counts;
  int64_t load_sampled_ms; /* 0: never */
  int64_t late_since_ms;   /* this host is late; 0: it is in time */
  int64_t late_logged_ms;
  int64_t isolated_since_ms; /* no engine is reachable; 0: one is */
  csp_dispatch_t *dispatch;
  csp_quarantine_t *quarantine;
  csp_part_quarantine_t *part_quarantine;
  uint64_t next_ask_id;
  uv_idle_t decide;         /* while decisions about own requests are due */
  csp_buffer_t own_answers; /* a sequence of csp_own_answer_t */
  bool placements_due;
  bool moves_due;
  uv_udp_t peer_socket;
  uv_timer_t load_report_timer;
  uv_timer_t hello_timer;
  uint64_t boot;
  uint32_t data_centre; /* hash of its name, as in datagrams */
  uint64_t hello_sequence;
  /* The host that places requests; may be this host.  */
  csp_peer_address_t decider;
  int64_t decider_since_ms;
  size_t decider_count;
  /* The hosts that get this host's loads.  */
  csp_peer_address_t deciders[CSP_DECIDERS_MAX];
  int64_t full_report_at_ms;    /* when all loads are sent again */
  int64_t speeds_checked_at_ms; /* changes of speeds aren't logged before */
  uint64_t hosts_refused;       /* as of the last hello tick */
  bool hosts_full;              /* hosts were refused in the last hello tick */
  /* CSP_ROSTER_MAX addresses, scratch space of one call.  */
  csp_peer_address_t *peer_scratch;
  pthread_mutex_t live_lock; /* guards readers and live_peers */
  csp_peer_address_t self;
  csp_reader_ranks_t readers;
  size_t live_peer_count;
  csp_peer_address_t live_peers[CSP_LIVE_PEERS_MAX];
  csp_random_t random;
  size_t budget_count;
  csp_service_budget_t *budgets;
  csp_service_budget_t shared_budget; /* without memory for another one */
  csp_gateway_counts_t counts;
  /* Counts and histograms per organisation and route.  */
  csp_metrics_t *request_metrics;
  csp_caller_t *callers;     /* all open connections */
  csp_exchange_t *exchanges; /* see csp_first_exchange */
  csp_left_run_t *left_runs; /* to be stopped at their targets */
  size_t left_run_count;
  csp_status_query_t *status_queries;
  size_t next_query_index[2]; /* in the fleet; of idle and busy targets */
  csp_notices_t leaving_notices;
  csp_notices_t rate_notices; /* of limits that have begun or ended */
  int64_t platform_read_ms;   /* when the platform was last read; 0: never */
  int64_t query_until_ms;     /* even if the platform is read again */
  uint32_t caller_count;
  bool platform_unreachable; /* the platform can't be reached from here */
  bool targets_listed;       /* a complete list of targets has been read */
  bool stopping;
  int64_t stop_began_ms;
  bool stop_limit_reached; /* open requests were ended */
};

/* Time of the traffic thread, in ms.  */
int64_t csp_gateway_now_ms (const csp_gateway_t *gateway);

/* Whether the balancer may send callers here.  */
bool csp_gateway_is_ready (const csp_gateway_t *gateway);

/* Budgets: see gateway-budget.c.  The state of a service, which begins here;
   never NULL, and valid until the next tick.  */
csp_service_budget_t *csp_find_service_budget (csp_gateway_t *gateway,
                                               const char *service);
csp_retry_budget_t *csp_find_retry_budget (csp_gateway_t *gateway,
                                           const char *service);

/* Free the state of services without requests.  Call it periodically.  */
void csp_free_unused_budgets (csp_gateway_t *gateway);
void csp_free_budgets (csp_gateway_t *gateway);

/* How full the engines of a service are in all, as reported by the decider; 0
   where it has sent no report, or none lately.  */
void csp_note_pool_percent (csp_gateway_t *gateway, const char *service,
                            uint32_t percent);
double csp_reported_pool_share (csp_gateway_t *gateway, const char *service);

/* Caller: see gateway-caller.c.  */
csp_caller_t *csp_accept_caller (csp_gateway_t *gateway,
                                 uv_stream_t *listener);
const csp_http_head_t *csp_caller_request_head (const csp_caller_t *caller);

/* Write bytes of the answer; a broken connection is noticed on its read
   side.  */
void csp_write_caller (csp_caller_t *caller, const void *data,
                       size_t size_bytes);
size_t csp_caller_backlog (const csp_caller_t *caller);

/* Whether the connection stays open after this answer; the answer's head says
   so.  */
bool csp_caller_keeps_alive (const csp_caller_t *caller);

/* The end of the connection is that of this answer.  */
void csp_close_behind_answer (csp_caller_t *caller);

/* The answer is complete and the exchange is over.  */
void csp_finish_caller_answer (csp_caller_t *caller);

/* The answer can't be completed: cut it off, so that it doesn't look
   complete.  */
void csp_abort_caller (csp_caller_t *caller);
void csp_pause_caller (csp_caller_t *caller, bool pause);

/* Hand over no more of the request's body until the caller is resumed.  Its
   end is still noticed while little has come.  */
void csp_hold_caller_body (csp_caller_t *caller);

/* Read on, and hand over what has come meanwhile.  The exchange may end.  */
void csp_resume_caller (csp_caller_t *caller);

/* Send an answer of this host and end the exchange; detail goes into the
   body.  */
void csp_answer_caller (csp_caller_t *caller, uint16_t status,
                        uint32_t retry_after_ms, const char *detail);

/* Send an answer of this host that accepts an offer.  */
void csp_answer_caller_without_body (csp_caller_t *caller);

/* Whether the caller is another host that relays a request, and which; and
   what an answer of this host tells it, one of CSP_RELAY_....  */
bool csp_caller_is_relay (const csp_caller_t *caller,
                          csp_peer_address_t *host);
void csp_set_relay_answer (csp_caller_t *caller, const char *answer);

/* Close callers without a request in progress; for a stop.  */
void csp_close_idle_callers (csp_gateway_t *gateway);
void csp_close_all_callers (csp_gateway_t *gateway);

/* Exchange: see gateway-exchange.c.  began_ms is when the first byte of the
   request came.  NULL when the request was answered at once.  */
csp_exchange_t *csp_begin_exchange (csp_gateway_t *gateway,
                                    csp_caller_t *caller, int64_t began_ms);
void csp_handle_request_body (csp_exchange_t *exchange, const char *piece,
                              size_t piece_bytes);
void csp_end_request_body (csp_exchange_t *exchange);

/* The caller's socket can be written again: resume reading from the
   target.  */
void csp_resume_target_reads (csp_exchange_t *exchange);

/* Whether a byte of the answer was written.  */
bool csp_exchange_answer_begun (const csp_exchange_t *exchange);

/* Whether a target may have begun to work on the request.  */
bool csp_exchange_may_have_run (const csp_exchange_t *exchange);

/* The time of a stop is over: answer all open requests with what is known of
   them.  */
void csp_end_exchanges_of_stop (csp_gateway_t *gateway);

/* The caller disconnected or sent malformed bytes.  */
void csp_abandon_exchange (csp_exchange_t *exchange);

/* Walk through the exchanges that haven't ended.  The body of the walk may end
   any of them; one that begins meanwhile is passed over.  */
csp_exchange_t *csp_first_exchange (const csp_gateway_t *gateway);
csp_exchange_t *csp_next_exchange (const csp_exchange_t *exchange);

/* Load: see gateway-load.c.  False when out of memory.  */
bool csp_open_host_load (csp_gateway_t *gateway);
void csp_close_host_load (csp_gateway_t *gateway);

/* Sample the host's load and lateness.  Call it every period_ms.  */
void csp_sample_host_load (csp_gateway_t *gateway, uint32_t period_ms);
uint32_t csp_current_host_delay_ms (const csp_gateway_t *gateway);

/* A time limit for an answer of another machine, extended by how late this
   host itself is, so that its own delay isn't taken for a dead peer.  */
uint32_t csp_extend_timeout_ms (const csp_gateway_t *gateway,
                                uint32_t timeout_ms);

/* Bytes of requests and answers that the kernel hasn't taken yet.  */
uint64_t csp_count_unsent_bytes (const csp_gateway_t *gateway);

/* Update which targets are cut off.  Call it periodically.  */
void csp_update_reachability (csp_gateway_t *gateway);

/* Whether this host has reached no engine for a while, though some are
   listed.  */
bool csp_is_isolated (const csp_gateway_t *gateway);

/* Time until the balancer will have dropped an isolated host; 0: it has.  */
uint32_t csp_isolated_retry_ms (const csp_gateway_t *gateway);

/* Pages: see gateway-page.c.  */
bool csp_open_gateway_pages (csp_gateway_t *gateway, char *message,
                             size_t message_bytes);
void csp_close_gateway_pages (csp_gateway_t *gateway);

#endif
