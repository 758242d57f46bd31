#ifndef COWSLIPSPOKE_GATEWAY_EXCHANGE_IMP_H
#define COWSLIPSPOKE_GATEWAY_EXCHANGE_IMP_H

#include "gateway/gateway-imp.h"

enum
{
  CSP_REQUEST_ID_BYTES = 80,
  CSP_EVENT_ID_BYTES = 32,
  CSP_ADDRESS_TEXT_BYTES = 32,
  CSP_COPY_TEXT_BYTES = 128
};

/* How the answer goes to the caller.  */
typedef enum
{
  CSP_ANSWER_NONE,   /* no head has come */
  CSP_ANSWER_HELD,   /* kept until it is whole */
  CSP_ANSWER_PASSED, /* too long to be held */
  CSP_ANSWER_STREAM  /* whole events */
} csp_answer_mode_t;

/* Taking a stream to another target.  */
typedef enum
{
  CSP_MOVE_NONE,
  CSP_MOVE_COPYING,  /* the memory is copied, the run goes on */
  CSP_MOVE_STOPPING, /* the run stops, and the rest is copied */
  CSP_MOVE_RESUMING  /* the run goes on elsewhere; no event of it has come */
} csp_move_state_t;

typedef struct
{
  csp_move_state_t state;
  bool wanted; /* the target leaves */
  csp_fleet_target_t *to;
  csp_link_t *link; /* carries the request to copy */
  csp_buffer_t answer;
  uint16_t status; /* of the answer to the request to copy */
  uv_timer_t timer;
  uint8_t tries;
  uint64_t refused_at;      /* hash of the target that had no room last */
  int64_t refused_until_ms; /* it isn't asked again before */
  bool granted;      /* the host that decides has given it a turn and room */
  bool alone;        /* that host says nothing; turns are worked out here */
  int64_t ask_at_ms; /* not before, after a move that failed */
  csp_fleet_target_t *from; /* whose turn the move takes up */
} csp_move_t;

struct csp_exchange
{
  csp_gateway_t *gateway;
  csp_caller_t *caller;
  csp_exchange_t *next;
  csp_exchange_t *previous;
  uv_timer_t deadline;
  uint8_t open_handles;
  bool over;

  /* The request.  */
  csp_routes_t *routes;
  const csp_route_t *route;
  const csp_route_service_t *service;
  const char *organisation; /* NULL where no key was asked for */
  uint32_t urgency;
  char request_id[CSP_REQUEST_ID_BYTES];
  csp_labels_t labels; /* whom its times are counted for */
  int64_t began_ms;
  int64_t deadline_ms;
  uint64_t tokens; /* memory that the run is expected to take */
  uint64_t prompt_tokens;
  uint64_t output_tokens;  /* expected */
  uint64_t reading_tokens; /* counted at the target as being read */
  uint64_t movable_tokens; /* counted at the target as to be moved */
  uint64_t fingerprint;    /* see fingerprint.h; 0: not worked out yet */
  csp_buffer_t body;
  bool body_whole;
  bool body_streams; /* longer than what is kept */

  /* Asking for a place; the timer is that of the move, which comes later.  */
  bool asking;
  bool asks_to_move; /* not for a first place, but where a stream may go */
  bool ask_answered;
  uint8_t unheard; /* hosts in a row that did not answer it */
  uint64_t ask_id;
  csp_peer_address_t asked; /* the host that decides, as of the ask */
  int64_t heard_ms;         /* last word of the host that decides */
  uint32_t retry_after_ms;
  int64_t waited_ms; /* for its last place, from its first byte; -1: none */

  /* The attempt under way.  */
  csp_link_t *link;
  csp_fleet_target_t *target;
  int64_t sent_at_ms;                  /* when the target was written to */
  const csp_fleet_target_t *failed_at; /* for comparison only */
  uint32_t attempts;                   /* that a target may have got */
  uint32_t unreached;                  /* targets that took no connection */
  bool may_have_run;
  csp_verdict_t verdict;
  bool awaits_lease; /* it failed, and is sent again if a retry is lent */
  csp_reason_t lease_reason; /* how it ends otherwise */
  const char *lease_detail;
  int64_t lease_until_ms;

  /* The answer.  */
  csp_answer_mode_t mode;
  bool answer_begun; /* a byte was written to the caller */
  bool chunked;      /* to the caller */
  uint16_t status;
  csp_buffer_t head; /* as it goes to the caller, without framing */
  csp_buffer_t kept; /* held body, or the piece of an event */
  char last_event[CSP_EVENT_ID_BYTES]; /* id of the last event sent */
  uint64_t events;
  int64_t first_event_ms;
  int64_t last_data_ms;
  int64_t last_event_ms;
  int64_t worst_gap_ms; /* longest time between two events sent */
  int64_t stalled_us;   /* what gaps had beyond a stall's least, in all */
  uint32_t moves;       /* to another target, in the middle of the stream */
  bool until_close;     /* the target's answer ends with its connection */
  int64_t stated_bytes; /* length that the target states */

  /* Where the run's memory is copied to as it grows.  */
  csp_fleet_target_t *backup;
  csp_fleet_target_t *reserved_backup;
  int64_t run_since_ms; /* first event of the run at this target; 0: none */
  csp_move_t move;
};

/* Attempt: see gateway-attempt.c.  Send the request to a target; where none
   takes it the exchange ends with an answer.  */
void csp_send_attempt (csp_exchange_t *exchange);

/* Send it to a given target; copy, if not NULL, is what the run goes on
   from.  */
bool csp_send_to_target (csp_exchange_t *exchange, csp_fleet_target_t *target,
                         const char *copy);

/* Send the first or a further whole attempt there; or choose where by what
   this host knows.  */
void csp_send_first (csp_exchange_t *exchange, csp_fleet_target_t *target);
void csp_place_alone (csp_exchange_t *exchange);

/* Cordon: see gateway-cordon.c.  Turn a request away whose service has no
   target but cordoned ones.  */
void csp_refuse_cordoned (csp_exchange_t *exchange);

/* Quarantine: see gateway-quarantine.c.  What the request is, whatever its id:
   see fingerprint.h.  Its body, or its first piece where it is long, has
   come.  */
uint64_t csp_exchange_fingerprint (csp_exchange_t *exchange);

/* Whether the request may not be sent to any target; and end it for that
   reason.  */
bool csp_is_quarantined (csp_exchange_t *exchange);
void csp_refuse_quarantined (csp_exchange_t *exchange);

/* Its target let go of the connection before the answer's end.  */
void csp_note_target_ended (csp_exchange_t *exchange);

/* It got a whole success.  */
void csp_note_request_served (csp_exchange_t *exchange);

/* Target state: see gateway-target-state.c.  Whether all targets of its
   service have asked this host for a wait; and turn it away for that reason.
 */
bool csp_is_service_backed_off (const csp_exchange_t *exchange);
void csp_refuse_backed_off (csp_exchange_t *exchange);

/* Dispatch: see gateway-dispatch.c.  Ask the host that decides for a place;
   the request is sent, refused or placed alone later.  */
void csp_ask_for_place (csp_exchange_t *exchange);
void csp_drop_ask (csp_exchange_t *exchange);

/* Ask it where a stream that leaves its target may go, and when.  */
void csp_ask_to_move (csp_exchange_t *exchange);

/* A move that it gave a turn is done or has failed.  */
void csp_release_move (csp_exchange_t *exchange);

/* Close the connection of the attempt, and give back what it took.  */
void csp_drop_attempt (csp_exchange_t *exchange);

/* The target has answered with a first token.  */
void csp_note_prompt_read (csp_exchange_t *exchange,
                           csp_fleet_target_t *target);

/* Pass a piece of the body on.  */
void csp_pass_body (csp_exchange_t *exchange, const char *piece,
                    size_t piece_bytes);
void csp_pass_body_end (csp_exchange_t *exchange);

/* Lease: see gateway-lease.c.  Wait for a retry to be lent, a moment at most;
   then it is sent again, or ends as it would have.  */
void csp_await_lease (csp_exchange_t *exchange, csp_reason_t reason,
                      const char *detail);

/* Answer: see gateway-answer.c.  Send the request once more, or end with an
   error; one that has waited for a lease doesn't wait again.  */
void csp_try_again (csp_exchange_t *exchange, csp_reason_t reason,
                    const char *detail, bool may_wait);

/* What the attempt's link tells.  */
extern const csp_link_events_t csp_attempt_events;

/* Stream: see gateway-stream.c.  Take bytes of an answer and send the whole
   events among them.  */
void csp_take_stream (csp_exchange_t *exchange, const char *piece,
                      size_t piece_bytes);

/* Begin the answer to the caller: head and framing.  */
void csp_begin_answer (csp_exchange_t *exchange, int64_t length_bytes);

/* End the exchange with what the target or we answered.  */
void csp_finish_exchange (csp_exchange_t *exchange);

/* End it with an error of our own; where the answer has begun it is cut.  */
void csp_fail_exchange (csp_exchange_t *exchange, csp_reason_t reason,
                        const char *detail);

/* Move: see gateway-move.c.  The target leaves: think of moving.  */
void csp_want_move (csp_exchange_t *exchange);

/* The attempt broke while a stream was under way; true where the stream goes
   on elsewhere.  */
bool csp_rescue_stream (csp_exchange_t *exchange);

/* The first bytes of the run elsewhere have come.  */
void csp_move_arrived (csp_exchange_t *exchange);

/* Count the stream among those that would have to be moved if its target
   left, or no longer.  */
void csp_count_movable (csp_exchange_t *exchange, bool movable);

/* Stop what a move has under way.  */
void csp_drop_move (csp_exchange_t *exchange);

/* Choose where the run's memory is copied to as it grows.  */
void csp_choose_backup (csp_exchange_t *exchange,
                        const csp_fleet_target_t *target);
void csp_drop_backup (csp_exchange_t *exchange);

void csp_print_target_address (const csp_fleet_target_t *target,
                               char text[CSP_ADDRESS_TEXT_BYTES]);

#endif
