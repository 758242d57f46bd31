#ifndef COWSLIPSPOKE_DISPATCH_H
#define COWSLIPSPOKE_DISPATCH_H

#include "cowslipspoke/fleet.h"
#include "cowslipspoke/roster.h"

#include <stdbool.h>
#include <stdint.h>

/* Places requests on model engines centrally: one host, the decider, decides
   for all hosts.

   Load pattern: engines whose memory is nearly full, and more arrivals than
   they can hold.  Hosts that decide independently all see the last free
   capacity and use it several times over: the engine evicts runs and
   recomputes them, and every stream there pauses.  Also, each host then has a
   queue of its own, in which a small organisation waits for a large one
   whose requests another host places at once.  So hosts send a placement
   request, called an ask as on the wire, to the decider, which counts every
   placement exactly and keeps one queue that is fair among organisations.  An
   ask costs one round trip between hosts, 1 to 3 ms.

   The decider is the first host in an order that all hosts know.  When it
   dies, is cut off or doesn't answer, the asking host places the request by
   itself, by the loads that hosts report to each other.  */

/* A placement request.  */
typedef struct
{
  csp_peer_address_t host; /* the asking host; zero: this host */
  uint64_t id;             /* chosen by the asking host */
  uint32_t organisation;   /* hash of the name */
  uint32_t data_centre;    /* hash of the asking host's data centre */
  uint32_t prompt_tokens;
  uint32_t tokens; /* expected memory of the run */
  uint32_t start_within_ms;
  uint8_t urgency; /* 0 is the most urgent */
  csp_traffic_class_t traffic_class;
  /* Set for a stream that leaves a target and asks where to move.  It doesn't
     use organisation, data_centre, prompt_tokens, start_within_ms and
     urgency.  */
  uint64_t moves_from; /* hash of that target's id; 0: new request */
  uint64_t refused_at; /* hash of a target that had no capacity; 0: none */
  uint32_t left_ms;    /* expected remaining time of the run */
  size_t backoff_count;
  /* Hashes of targets that asked its host to back off, or at which a run of
     this request was lost.  */
  uint64_t backoffs[CSP_ASK_BACKOFFS_MAX];
} csp_ask_t;

typedef void (*csp_deliver_ask_answer_t) (void *state,
                                          const csp_ask_answer_t *answer);

/* The engines that may run a request.  */
typedef struct
{
  const char *name;
  uint32_t memory_tokens; /* of one engine */
  bool has_classes;       /* see traffic-class.h */
  /* Longest pause between two events that its routes allow; 0: any.  */
  uint32_t longest_gap_ms;
} csp_dispatch_service_t;

typedef struct csp_dispatch csp_dispatch_t;

csp_dispatch_t *csp_create_dispatch (csp_fleet_t *fleet,
                                     csp_deliver_ask_answer_t deliver,
                                     void *state, uint64_t seed);
void csp_destroy_dispatch (csp_dispatch_t *dispatch);

/* Sets whether this host is the decider and for which part of the fleet; a
   decider counts placements on cold targets, see warmup.h.  To be called
   whenever that changes.  */
void csp_set_decider_role (csp_dispatch_t *dispatch,
                           const csp_decider_role_t *role);

/* Handles a new or repeated ask.  The answer (a placement, a refusal or that
   the ask waits) is delivered before this returns.  */
void csp_push_ask (csp_dispatch_t *dispatch, const csp_ask_t *ask,
                   const csp_dispatch_service_t *service, int64_t now_ms);

/* Removes an ask: the request has ended or its host has placed it by itself,
   or the move that was placed is done.  */
void csp_cancel_ask (csp_dispatch_t *dispatch, csp_peer_address_t host,
                     uint64_t id);

/* Serves the waiting asks; to be called when load has changed and a few times
   a second.  */
void csp_pump_dispatch (csp_dispatch_t *dispatch, int64_t now_ms);

/* What the decider did with requests of a traffic class, over all services.
   In a service without classes all requests are regular.  */
typedef struct
{
  uint64_t placed;
  uint64_t refused_on_arrival;
  uint64_t refused_after_wait;
  uint32_t waiting; /* now */
} csp_class_counts_t;

const csp_class_counts_t *
csp_get_class_counts (const csp_dispatch_t *dispatch,
                      csp_traffic_class_t traffic_class);

/* Number of waiting requests and of moves; a change of load may help them.  */
uint32_t csp_count_waiting_asks (const csp_dispatch_t *dispatch);

#endif
