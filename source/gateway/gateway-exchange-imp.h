#ifndef COWSLIPSPOKE_GATEWAY_EXCHANGE_IMP_H
#define COWSLIPSPOKE_GATEWAY_EXCHANGE_IMP_H

#include "gateway/gateway-host-imp.h"
#include "gateway/gateway-target-imp.h"

#include "cowslipspoke/run-end.h"

enum
{
  CSP_GATEWAY_REQUEST_ID_BYTES = 80,
  CSP_EVENT_ID_BYTES = 32,
  CSP_ADDRESS_TEXT_BYTES = 32,
  CSP_COPY_TEXT_BYTES = 128,
  /* More than a request's attempts; of further ones the oldest are
     forgotten.  */
  CSP_LOST_TARGETS_MAX = 4
};

/* How the answer is sent to the caller.  */
typedef enum
{
  CSP_ANSWER_NONE,      /* no head has been received */
  CSP_ANSWER_BUFFERED,  /* buffered until it is complete */
  CSP_ANSWER_FORWARDED, /* too long for the buffer; forwarded as it comes */
  CSP_ANSWER_STREAM     /* sent in whole events */
} csp_answer_mode_t;

/* Progress of moving a stream to another target.  */
typedef enum
{
  CSP_MOVE_NONE,
  CSP_MOVE_COPYING,  /* the memory is copied while the run continues */
  CSP_MOVE_STOPPING, /* the run is being stopped and the rest copied */
  CSP_MOVE_CHECKING, /* the run is lost, and its target is asked whether it
                        has ended */
  CSP_MOVE_RESUMING  /* resumed at another target that has sent no event yet */
} csp_move_state_t;

typedef struct
{
  csp_move_state_t state;
  bool wanted; /* the target leaves */
  csp_fleet_target_t *destination;
  csp_link_t *link; /* connection of the copy request */
  csp_buffer_t answer;
  uint16_t status; /* of the answer to the copy request */
  uv_timer_t timer;
  uint8_t tries;
  uint64_t refusing_target; /* hash of the last target without free memory */
  int64_t refused_until_ms; /* until then that target isn't asked again */
  bool granted; /* the decider reserved memory and lets this move start */
  bool decided_locally;       /* the decider does not answer */
  int64_t ask_at_ms;          /* no new ask before, after a failed move */
  csp_fleet_target_t *source; /* the target whose turn this move occupies */
  /* The stopped run is also kept by its source, for a resume there if the
     destination refuses it; NULL if there is none.  */
  csp_fleet_target_t *kept_by;
  char kept_copy[CSP_COPY_TEXT_BYTES];
} csp_move_t;

/* How it is found out whether the run has ended; the state of the move carries
   it.  */
typedef struct
{
  csp_run_check_kind_t kind;
  const char *detail; /* why the request leaves the target */
  uint64_t events;    /* with data, when the check began */
  bool stream_closed; /* by the target, since then */
} csp_run_check_t;

/* Resuming a stream without a copy of its run.  */
typedef struct
{
  bool pending;     /* no event has come yet from the target that resumes it */
  bool repeats;     /* while pending: an event came that was already sent */
  bool unnumbered;  /* an event was sent whose id is not a number */
  int64_t since_ms; /* when the run was lost */
  size_t lost_count;
  /* Targets at which a run of this request was lost, as hashes.  */
  uint64_t lost_targets[CSP_LOST_TARGETS_MAX];
} csp_resume_t;

typedef enum
{
  CSP_RELAY_NONE,
  CSP_RELAY_OFFERED, /* no byte of the request was sent */
  CSP_RELAY_SENT
} csp_relay_state_t;

/* Relaying the request through another host.  */
typedef struct
{
  csp_relay_state_t state;
  csp_offer_result_t result; /* of the current offer, by its answer's head */
  csp_peer_address_t host;   /* the last one that it was offered to */
  bool sent;                 /* the last attempt was sent to that host */
  uint8_t offers;
  bool received; /* another host relays the request to this one */
  csp_peer_address_t from;
} csp_relay_t;

struct csp_exchange
{
  csp_gateway_t *gateway;
  csp_caller_t *caller;
  csp_exchange_t *next;
  csp_exchange_t *previous;
  uv_timer_t deadline;
  uint8_t open_handles;
  bool ended;

  /* The request.  */
  csp_routes_t *routes;
  const csp_gateway_route_t *route;
  const csp_route_service_t *service;
  const char *organisation; /* NULL where no API key is required */
  uint32_t urgency;
  char request_id[CSP_GATEWAY_REQUEST_ID_BYTES];
  csp_labels_t labels; /* the series that its times are counted in */
  int64_t began_ms;
  int64_t deadline_ms;
  uint64_t tokens; /* memory that the run is expected to take */
  uint64_t prompt_tokens;
  uint64_t output_tokens;  /* expected */
  uint64_t reading_tokens; /* counted in the target's prompts being read */
  uint64_t movable_tokens; /* counted in the target's streams to move */
  uint64_t fingerprint;    /* see fingerprint.h; 0: not computed yet */
  bool parts_read;
  csp_prompt_parts_t parts;
  /* Start of the run that has shown that the parts are sound; 0: none.  */
  int64_t sound_run_ms;
  csp_buffer_t body;
  bool body_whole;
  bool body_streams; /* longer than the buffer, so forwarded as it comes */

  /* Asking the decider for a placement, that is for an engine with capacity
     for this run. The ask uses the timer of the move, which can only come
     later.  */
  bool asking;
  bool asks_to_move; /* asks where a stream may move, not for a first placement
                      */
  bool ask_answered;
  uint8_t silent_deciders; /* deciders in a row that did not answer this ask */
  uint64_t ask_id;
  csp_peer_address_t asked_host; /* the decider that the ask was sent to */
  int64_t last_answer_ms;        /* last answer of the decider */
  uint32_t retry_after_ms;
  int64_t waited_ms; /* from first byte to last placement; -1: none */

  /* The current attempt.  */
  csp_link_t *link;
  csp_fleet_target_t *target;
  int64_t sent_at_ms; /* when the request was written to the target */
  const csp_fleet_target_t *failed_target; /* for comparison only */
  uint32_t attempts;         /* attempts that a target may have received */
  uint32_t connect_failures; /* targets that accepted no connection */
  bool connect_timed_out;    /* one of those connections hung */
  bool may_have_run;
  csp_verdict_t verdict;
  bool awaits_lease; /* failed; sent again if a retry lease is granted */
  csp_reason_t lease_reason; /* reason of the failure without a lease */
  const char *lease_detail;
  int64_t lease_until_ms;
  uint64_t grant_id;     /* of the request for a grant that it awaits; 0: it
                            awaits none */
  uint64_t grant_target; /* hash of the target's id */
  int64_t grant_asked_ms;

  /* The answer.  */
  csp_answer_mode_t answer_mode;
  bool answer_begun; /* a byte was written to the caller */
  bool chunked;      /* towards the caller */
  uint16_t status;
  csp_buffer_t head;                   /* for the caller, without framing */
  csp_buffer_t buffered;               /* buffered body, or a partial event */
  char last_event[CSP_EVENT_ID_BYTES]; /* id of the last event sent */
  uint64_t events;                     /* blocks sent, with data or without */
  uint64_t data_events;                /* those with data */
  /* Bytes of blocks without data since the last event with data.  */
  size_t dataless_bytes;
  size_t searched_bytes; /* of the partial event, for its end */
  bool reserves_link;    /* see csp_reserve_stream */
  uint64_t stream_bytes; /* of its events, with the headers of packets */
  int64_t first_event_ms;
  int64_t last_data_ms;
  int64_t last_event_ms;
  /* The run's last event at this target; 0: the time to the next one doesn't
     show the target's speed.  */
  int64_t paced_event_ms;
  int64_t worst_gap_ms; /* longest time between two events sent */
  int64_t worst_gap_end_ms;
  int64_t stalled_us; /* sum of gap times beyond the stall threshold */
  uint32_t moves;     /* moves to another target while streaming */
  bool until_close;   /* the target's answer ends when its connection closes */
  int64_t stated_bytes; /* length that the target states */

  /* The target that the run's memory is copied to as it grows.  */
  csp_fleet_target_t *backup;
  csp_fleet_target_t *reserved_backup;
  int64_t run_started_ms; /* first event of the run at this target; 0: none */
  csp_run_end_t run_end;  /* of the run at the current target */
  int64_t run_end_ms;     /* when that became known */
  bool target_closed; /* the target has closed the run's connection orderly */
  csp_run_check_t run_check;
  csp_move_t move;
  csp_resume_t resume;
  csp_relay_t relay;
};

/* Attempt: see gateway-attempt.c.  Send the request to a target; if no target
   takes it, end the exchange with an answer.  */
void csp_send_attempt (csp_exchange_t *exchange);

/* Send the request to the given target; copy, if not NULL, names the memory
   copy from which the run resumes.  */
bool csp_send_to_target (csp_exchange_t *exchange, csp_fleet_target_t *target,
                         const char *copy);

/* Count an attempt that is about to be sent, and the time until it.  */
void csp_count_attempt (csp_exchange_t *exchange);

/* Start a whole attempt, the first or a later one, at the given target; or
   choose the target by what this host knows.  */
void csp_start_attempt (csp_exchange_t *exchange, csp_fleet_target_t *target);
void csp_place_locally (csp_exchange_t *exchange);

/* Write the head, of which the framing is still missing, and the body.  */
void csp_send_request (csp_exchange_t *exchange,
                       const csp_link_events_t *events, csp_buffer_t *head);

/* Whether the request asks for what follows the last event sent.  */
bool csp_resumes_after_event (const csp_exchange_t *exchange);

/* How many targets may get the request from this host.  */
uint32_t csp_attempts_max (const csp_exchange_t *exchange);

/* Relay: see gateway-relay.c.  Offer the request to another host; false where
   there is none.  An offer that fails ends in another one, or in
   csp_place_locally.  */
bool csp_relay_request (csp_exchange_t *exchange);

/* Whether the request is to be relayed before a target is looked for.  */
bool csp_prefers_relay (const csp_exchange_t *exchange);

/* Callbacks of the connection to the other host, once the request was
   sent.  */
extern const csp_link_events_t csp_relay_events;

/* End the exchange with a status that rejects the request as such.  */
void csp_reject_exchange (csp_exchange_t *exchange, uint16_t status);

uint32_t csp_service_hash (const csp_route_service_t *service);

/* Load: see gateway-load.c.  Refuse a stream that this host's link doesn't
   carry beside those under way; false where it does.  */
bool csp_refuse_unless_link_carries (csp_exchange_t *exchange);
void csp_release_link_reservation (csp_exchange_t *exchange);

/* Cordon: see gateway-cordon.c.  Refuse a request whose service has only
   cordoned targets.  */
void csp_refuse_cordoned (csp_exchange_t *exchange);

/* Quarantine: see gateway-quarantine.c.  Fingerprint of the request,
   independent of its id: see fingerprint.h.  Valid once its body, or the first
   piece of a long body, has come.  */
uint64_t csp_exchange_fingerprint (csp_exchange_t *exchange);

/* The parts of the prompt that the request shares with others.  Valid once it
   has a service.  */
const csp_prompt_parts_t *csp_exchange_parts (csp_exchange_t *exchange);

/* Whether the request is quarantined and may not be sent to any target; and
   end it for that reason.  */
bool csp_is_quarantined (csp_exchange_t *exchange);
void csp_refuse_quarantined (csp_exchange_t *exchange);

/* Whether an exchange carries a fingerprint, or a part.  */
typedef bool (*csp_exchange_match_t) (csp_exchange_t *exchange,
                                      uint64_t value);

/* End the exchanges that match a value and wait here or in a target's queue:
   each would end one more target when it runs.  not_this is the exchange that
   is being handled; NULL: none is.  */
void csp_end_unanswered (csp_gateway_t *gateway, csp_exchange_match_t matches,
                         uint64_t value, const csp_exchange_t *not_this);

/* Move the matching streams from targets that began to leave while they were
   quarantined.  */
void csp_move_cleared_streams (csp_gateway_t *gateway,
                               csp_exchange_match_t matches, uint64_t value,
                               const csp_exchange_t *not_this);

/* Part: see gateway-part.c.  The longest remaining hold of the request's
   parts; 0 where it may be sent.  */
uint32_t csp_exchange_part_hold_ms (csp_exchange_t *exchange);

/* When its caller should come back, if it is refused for one of its parts.  */
uint32_t csp_exchange_part_retry_ms (csp_exchange_t *exchange);

/* The request is sent to a target: it is the trial of those of its parts whose
   hold is over.  */
void csp_begin_exchange_trial (csp_exchange_t *exchange);

/* The target did not run it, so that it may be sent again.  */
void csp_cancel_exchange_trial (csp_exchange_t *exchange);

/* The target ended: count a strike against each part.  */
void csp_note_part_strikes (csp_exchange_t *exchange);

/* An answer that began at began_ms came whole.  */
void csp_note_parts_sound (csp_exchange_t *exchange, int64_t began_ms);

/* An event has come: see whether the run has gone on for long enough to show
   that the parts are sound.  */
void csp_note_parts_run_on (csp_exchange_t *exchange);

/* The target closed or reset the connection before the answer's end: count a
   strike against the request.  */
void csp_note_connection_lost (csp_exchange_t *exchange);

/* Damping: see gateway-damping.c.  The attempt's connection was refused, or
   ended before the answer's end; count a strike against the request and a loss
   against the target.  */
void csp_note_attempt_lost (csp_exchange_t *exchange, csp_link_failure_t why,
                            const char *detail);

/* The connection was closed in the middle of an event, in an answer without
   framing.  */
void csp_note_attempt_broke_off (csp_exchange_t *exchange);

/* The request got a complete, successful answer.  */
void csp_note_request_served (csp_exchange_t *exchange);

/* Target state: see gateway-target-state.c.  Whether all targets of the
   request's service have asked this host to back off; and refuse the request
   for that reason.  */
bool csp_is_service_backed_off (const csp_exchange_t *exchange);
void csp_refuse_backed_off (csp_exchange_t *exchange);

/* When a caller should come back after a wait that others are given too.  */
uint32_t csp_spread_wait_ms (csp_gateway_t *gateway, uint32_t wait_ms);

/* Dispatch: see gateway-dispatch.c.  Ask the decider for a placement; the
   request
   is sent, refused or placed locally later.  */
void csp_ask_for_placement (csp_exchange_t *exchange);
void csp_drop_ask (csp_exchange_t *exchange);

/* Ask the decider where a stream that leaves its target may go, and when.  */
void csp_ask_to_move (csp_exchange_t *exchange);

/* Report to the decider that a granted move is done or has failed.  */
void csp_release_move (csp_exchange_t *exchange);

/* Close the connection of the attempt, and release what it reserved.  */
void csp_drop_attempt (csp_exchange_t *exchange);

/* The target has sent the first token, so it has read the prompt.  */
void csp_note_prompt_read (csp_exchange_t *exchange,
                           csp_fleet_target_t *target);

/* Forward a piece of the body.  */
void csp_forward_body (csp_exchange_t *exchange, const char *piece,
                       size_t piece_bytes);
void csp_forward_body_end (csp_exchange_t *exchange);

/* Let the rest of a long body come once the target is connected: what is
   written to a connection that fails is lost for the next attempt.  The
   exchange may end.  */
void csp_resume_body (csp_exchange_t *exchange);

/* Lease: see gateway-lease.c.  Wait briefly for a retry lease; then the
   request is sent again, or fails with the given reason.  */
void csp_await_lease (csp_exchange_t *exchange, csp_reason_t reason,
                      const char *detail);

/* Grant: see gateway-grant.c.  Ask for a grant to send the request to a rate
   limited target; then it is sent there or placed again.  */
void csp_await_grant (csp_exchange_t *exchange, csp_fleet_target_t *target);

/* Answer: see gateway-answer.c.  Send the request once more, or fail it with
   the given reason.  may_wait is false once the request has waited for a
   lease.  */
void csp_retry_or_fail (csp_exchange_t *exchange, csp_reason_t reason,
                        const char *detail, bool may_wait);

/* Callbacks of the attempt's connection; and parts of them that hold for a
   connection to another host too.  */
extern const csp_link_events_t csp_attempt_events;
void csp_handle_answer_body (void *state, const char *piece,
                             size_t piece_bytes);
void csp_handle_answer_end (void *state);
void csp_handle_link_drained (void *state);

/* Take the head of an answer, unless it says that the request has not run.  */
void csp_accept_answer (csp_exchange_t *exchange, const csp_http_head_t *head);

/* The request may have run, and there is no answer to forward: send it once
   more, or end it.  */
void csp_fail_attempt (csp_exchange_t *exchange, const char *detail);

/* The target states that it did not run the request.  */
void csp_handle_refusal (csp_exchange_t *exchange,
                         const csp_http_head_t *head);

/* The connection to the target failed; see csp_link_events_t.  */
void csp_handle_link_failure (void *state, csp_link_failure_t why);

/* What a target of this host has done; another host notes it of the targets
   that it relayed a request to.  */
void csp_note_exchange_outcome (csp_exchange_t *exchange, bool failed);

/* Stream: see gateway-stream.c.  Handle bytes of an answer and send the whole
   events among them.  */
void csp_handle_stream_bytes (csp_exchange_t *exchange, const char *piece,
                              size_t piece_bytes);

/* Stop reading the answer until the caller has read what was written.  */
void csp_hold_back_target (csp_exchange_t *exchange);

/* Begin the answer to the caller: head and framing.  */
void csp_begin_answer (csp_exchange_t *exchange, int64_t length_bytes);

/* End the exchange after a complete answer.  */
void csp_finish_exchange (csp_exchange_t *exchange);

/* End the exchange with an error of this host; an answer that has begun is cut
   off.  */
void csp_fail_exchange (csp_exchange_t *exchange, csp_reason_t reason,
                        const char *detail);

void csp_print_target_address (const csp_fleet_target_t *target,
                               char text[CSP_ADDRESS_TEXT_BYTES]);

#endif
