#ifndef COWSLIPSPOKE_ORDER_H
#define COWSLIPSPOKE_ORDER_H

#include "cowslipspoke/declaration.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Orders to the engines that this host owns: which models and adapters they
   load, and their role.

   Load pattern: a change of wanted state hits thousands of engines at once, a
   weight store that is rate-limited feeds them all, and in a split view two
   hosts, perhaps at two revisions of the configuration, both order one
   engine.  Without the rules here the store is overrun, which one notices by
   loads that all time out; and an engine flaps between two states, which one
   notices by its models coming and going and callers getting 404.

   Each owner derives the wanted state from its configuration and compares it
   with the engine's own report; there is no leader.  The fencing number is
   the revision at which the wanted state last changed, so two owners at one
   revision give the same order and an engine that checks the number refuses
   an older owner.  It holds no incarnation and no sequence number: those would
   rank a process that started later above one that knows a newer
   configuration.  docs/ORDERS.md has the whole design.

   Pure: facts in, one action out; the clock is now_ms.  */
typedef struct csp_order_engine csp_order_engine_t;

enum
{
  /* A report that was asked for longer ago than this is no ground for an
     order: the process may have been paused since.  Half as long again as the
     time between two reads.  */
  CSP_ORDER_FRESH_MS = 1500,
  /* How long an order that was started may stay unseen in the reports, which
     lag by seconds, before it counts as failed.  */
  CSP_ORDER_SETTLE_MS = 5000,
  /* An order that was given is repeated after this pause at the earliest; it
     doubles with each further one up to the longest.  */
  CSP_ORDER_FIRST_PAUSE_MS = 5000,
  CSP_ORDER_LONGEST_PAUSE_MS = 600000,
  /* As many sends without lasting success are told as given up: from there on
     the pause is the longest.  */
  CSP_ORDER_GIVEN_UP = 8,
  /* What has stayed as wanted for so long starts anew without pauses.  */
  CSP_ORDER_STEADY_MS = 600000,
  /* The longest pause for what somebody else undid; at least the pool's
     longest order.  */
  CSP_ORDER_UNDONE_PAUSE_MS = 3600000,
  /* A pool in which no load was wanted for so long starts at a point of the
     interval that differs between hosts.  */
  CSP_ORDER_IDLE_MS = 5000
};

typedef enum
{
  CSP_ORDER_LOAD_MODEL,
  CSP_ORDER_UNLOAD_MODEL,
  CSP_ORDER_LOAD_ADAPTER,
  CSP_ORDER_UNLOAD_ADAPTER,
  CSP_ORDER_SET_ROLE
} csp_order_op_t;

/* One order, as POST /v1/orders takes it (docs/ENGINE.md).  version is empty
   but for loads.  */
typedef struct
{
  csp_order_op_t op;
  char name[CSP_NAME_BYTES];
  char version[CSP_NAME_BYTES];
  int64_t fence;
} csp_order_t;

/* What an engine's load report says of orders.  asked_ms is when it was asked
   for, so that it is no younger than it claims.  A version or a role that the
   engine does not report is NULL and counts as the wanted one.  */
typedef struct
{
  uint64_t report;
  int64_t asked_ms;
  const csp_versioned_t *models;
  size_t model_count;
  const csp_versioned_t *adapters;
  size_t adapter_count;
  const char *role;
  int64_t fence;
  bool busy;
} csp_order_report_t;

typedef struct
{
  /* The configuration in force, and where the wanted state last changed.  */
  int64_t revision;
  int64_t wanted_revision;
  const csp_wanted_t *wanted; /* NULL: no orders */
  uint32_t longest_order_ms;
  bool checks_fence;
  /* We own the engine, and the lease holds at now_ms.  */
  bool granted;
  bool leaving;
  const csp_order_report_t *report;
  /* When the oldest request that may use the engine came, INT64_MAX where
     there is none; and whether streams run there whose age is unknown.  */
  int64_t oldest_stream_ms;
  bool foreign_streams;
  /* Models that routes name: never unloaded.  */
  const char *const *routed;
  size_t routed_count;
} csp_order_facts_t;

/* A host's part of the weight store's rate for one pool.  Every host may
   start loads at the pool's rate times the engines it owns over the engines
   that are listed.  The shares add up to the rate wherever the hosts agree on
   ownership, and in a split view to twice the rate at most, with no message
   between them.  */
typedef struct
{
  uint32_t interval_ms;
  uint32_t phase_thousandths;
  int64_t next_ms;
  int64_t wanted_ms;
} csp_order_pace_t;

/* Why nothing is ordered now.  */
typedef enum
{
  CSP_ORDER_SETTLED,       /* the engine is as wanted */
  CSP_ORDER_UNDECLARED,    /* no wanted state is declared */
  CSP_ORDER_NOT_GRANTED,   /* not ours, or the lease has run out */
  CSP_ORDER_LEAVING,       /* the engine leaves */
  CSP_ORDER_NO_REPORT,     /* none that is fresh */
  CSP_ORDER_HELD_BACK,     /* the engine knows a newer revision than we */
  CSP_ORDER_UNDER_WAY,     /* our last order is not settled */
  CSP_ORDER_ENGINE_BUSY,   /* with an order of somebody else */
  CSP_ORDER_EARLIER_OWNER, /* whose last order may still come */
  CSP_ORDER_PAUSED,        /* after failures, or after it was undone */
  CSP_ORDER_PACED,         /* the weight store's rate */
  CSP_ORDER_IN_USE,        /* all that is left are unloads of what is used */
  CSP_ORDER_SENT,          /* the action is an order */
  CSP_ORDER_STATE_COUNT
} csp_order_state_t;

/* What a decision noticed, for the log.  */
enum
{
  CSP_ORDER_SAW_DONE = 1,
  CSP_ORDER_SAW_FAILED = 2,
  CSP_ORDER_SAW_GIVEN_UP = 4,
  CSP_ORDER_SAW_HELD_BACK = 8,
  CSP_ORDER_SAW_UNDONE = 16,
  CSP_ORDER_SAW_RESTART = 32
};

typedef enum
{
  CSP_ORDER_ACT_NOTHING,
  CSP_ORDER_ACT_WAIT,
  CSP_ORDER_ACT_SEND
} csp_order_act_t;

/* One action.  subject is the order that a done, failed or undone event is
   about.  */
typedef struct
{
  csp_order_act_t kind;
  csp_order_state_t state;
  uint32_t events;
  csp_order_t subject;
  union
  {
    csp_order_t send;
    struct
    {
      int64_t until_ms; /* 0: until something changes */
    } wait;
  } is;
} csp_order_action_t;

/* What became of an order that was sent.  */
typedef enum
{
  CSP_ORDER_ANSWER_STARTED,
  CSP_ORDER_ANSWER_FENCE_OLD,
  CSP_ORDER_ANSWER_BUSY,
  CSP_ORDER_ANSWER_REFUSED,
  /* No answer: it may have been started.  */
  CSP_ORDER_ANSWER_LOST,
  /* Certainly not sent.  */
  CSP_ORDER_ANSWER_NOT_SENT
} csp_order_answer_t;

typedef struct
{
  csp_order_state_t state;
  uint64_t sent;
  uint64_t done;
  uint64_t failed;
  uint64_t undone;
  uint64_t restarts;
} csp_order_status_t;

/* The memory of one engine's orders; NULL without memory.  */
csp_order_engine_t *csp_create_order_engine (void);
void csp_destroy_order_engine (csp_order_engine_t *engine);

/* Decide at a fresh report.  At most one order of an engine is open: after a
   send, the next comes only once the answer was handled and the report showed
   the outcome.  */
void csp_decide_order (csp_order_engine_t *engine,
                       const csp_order_facts_t *facts, csp_order_pace_t *pace,
                       int64_t now_ms, csp_order_action_t *action);

/* What became of the order that was sent last.  */
void csp_handle_order_answer (csp_order_engine_t *engine,
                              csp_order_answer_t answer, int64_t now_ms);

void csp_describe_order (const csp_order_engine_t *engine,
                         csp_order_status_t *status);

/* Set a host's share of a pool's loads_per_minute.  phase_thousandths differs
   between hosts, by hash, so that a change that reaches all at once does not
   start all loads at once.  */
void csp_set_order_share (csp_order_pace_t *pace, uint32_t loads_per_minute,
                          uint32_t owned, uint32_t listed,
                          uint32_t phase_thousandths);

/* Whether a load may start now, and take the place if so.  */
bool csp_may_start_load (csp_order_pace_t *pace, int64_t now_ms);
void csp_note_load_started (csp_order_pace_t *pace, int64_t now_ms);

/* Names as the engine's interface and the status have them.  */
const char *csp_order_op_name (csp_order_op_t op);
const char *csp_order_state_name (csp_order_state_t state);
const char *csp_role_name (csp_role_t role);

#endif
