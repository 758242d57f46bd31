#ifndef COWSLIPSPOKE_DISPATCH_H
#define COWSLIPSPOKE_DISPATCH_H

#include "cowslipspoke/fleet.h"
#include "cowslipspoke/roster.h"

#include <stdbool.h>
#include <stdint.h>

/* Who gets a place at a model engine, decided by one host for all.

   Load pattern: engines whose memory is nearly full, and more arrivals than
   they can hold.  Hosts that decide by themselves see the last free place all
   at once and take it several times over: the engine throws runs out, reads
   them again, and every stream there pauses.  And each host has a queue of its
   own, in which a small organisation waits behind a large one that another
   host lets straight through.  So the hosts ask one of them, which counts
   every place exactly and keeps one queue, fair among organisations.  An ask
   costs two ways between hosts, a millisecond or three.

   The host that decides is the first in an order that all know; when it dies,
   is cut off or says nothing, an ask goes unanswered and its host places the
   request by itself, by what hosts tell each other.  */

/* A request that asks for a place.  */
typedef struct
{
  csp_peer_address_t host; /* who asks; zero: this host itself */
  uint64_t id;             /* of the asking host's choosing */
  uint32_t organisation;   /* hash of its name */
  uint32_t data_centre;    /* hash of the asking host's */
  uint32_t prompt_tokens;
  uint32_t tokens; /* memory that the run is expected to take */
  uint32_t start_within_ms;
  uint8_t urgency; /* 0 is the most urgent */
  /* A stream that leaves a target asks where to go; the other fields of a new
     request say nothing then.  */
  uint64_t moves_from; /* hash of that target's id; 0: a new request */
  uint64_t refused_at; /* hash of one that had no room; 0: none */
  uint32_t left_ms;    /* how much longer the run will probably write */
  size_t backoff_count;
  uint64_t backoffs[CSP_ASK_BACKOFFS_MAX]; /* hashes of targets that have asked
                                              its host for a wait */
} csp_ask_t;

typedef void (*csp_take_ask_answer_t) (void *state,
                                       const csp_ask_answer_t *answer);

typedef struct csp_dispatch csp_dispatch_t;

csp_dispatch_t *csp_create_dispatch (csp_fleet_t *fleet,
                                     csp_take_ask_answer_t take, void *state,
                                     uint64_t seed);
void csp_destroy_dispatch (csp_dispatch_t *dispatch);

/* Whether this host decides, and for how much of the fleet: it counts where
   targets are cold, see warmup.h.  Call it whenever that changes.  */
void csp_note_dispatch_duty (csp_dispatch_t *dispatch,
                             const csp_warmup_duty_t *duty);

/* An ask came, maybe not for the first time.  The answer is told before this
   returns: what it got, or that it waits.  service and memory_tokens are those
   of the engines that may run it.  */
void csp_push_ask (csp_dispatch_t *dispatch, const csp_ask_t *ask,
                   const char *service, uint32_t memory_tokens,
                   int64_t now_ms);

/* The request is over, or its host has placed it by itself; a move that was
   placed is done.  */
void csp_cancel_ask (csp_dispatch_t *dispatch, csp_peer_address_t host,
                     uint64_t id);

/* Serve what waits; call it when load has changed and a few times a second. */
void csp_pump_dispatch (csp_dispatch_t *dispatch, int64_t now_ms);

/* Requests and streams that load that changes may help.  */
uint32_t csp_count_waiting_asks (const csp_dispatch_t *dispatch);

#endif
