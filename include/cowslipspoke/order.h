#ifndef COWSLIPSPOKE_ORDER_H
#define COWSLIPSPOKE_ORDER_H

#include "cowslipspoke/declaration.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Decides which orders the owner of an engine sends to it: which models and
   adapters to load or unload, and which role to take.

   Load pattern: a change of the wanted state reaches thousands of engines at
   once while one rate-limited weight store feeds them all; in a split view two
   hosts, perhaps at two revisions of the configuration, order the same
   engine.  Without the rules here the store is overloaded, so that all loads
   time out, and an engine flaps between two states, so that its models come
   and go and callers get 404.

   Each owner derives the wanted state from its configuration and compares it
   with the engine's own report; there is no leader.  The fencing number is the
   revision at which the wanted state last changed.  Two owners at one revision
   therefore give the same order, and an engine that checks the number refuses
   an owner with an older configuration.  The number contains no incarnation
   and no sequence number, since those would rank a process that started later
   above one that has a newer configuration.  docs/ORDERS.md has the whole
   design.

   The functions do no I/O and read no clock: the caller passes the facts and
   now_ms and gets one action back.  */
typedef struct csp_order_tracker csp_order_tracker_t;

enum
{
  /* A report that was requested longer ago than this doesn't justify an order,
     since this process may have been paused since.  It is one and a half times
     the interval between two reads.  */
  CSP_ORDER_REPORT_MAX_AGE_MS = 1500,
  /* How long an order that was started may be missing from the reports, which
     lag by seconds, before it counts as failed.  */
  CSP_ORDER_CONFIRM_TIMEOUT_MS = 5000,
  /* Pause before an order is sent again.  It doubles with each further send,
     up to the maximum.  */
  CSP_ORDER_MIN_BACKOFF_MS = 5000,
  CSP_ORDER_MAX_BACKOFF_MS = 600000,
  /* After this many sends without lasting success the order is logged as given
     up; from then on the pause is the maximum.  */
  CSP_ORDER_GIVE_UP_SENDS = 8,
  /* An order whose outcome has lasted this long starts again without a pause
     if it is needed again.  */
  CSP_ORDER_STABLE_MS = 600000,
  /* Maximum pause for an order that another owner undid; longest_order_ms
     applies where that is longer.  */
  CSP_ORDER_UNDONE_MAX_BACKOFF_MS = 3600000,
  /* A host that wanted no load for this long starts its first load at its own
     point within the interval, which differs between hosts.  */
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
   except for loads.  */
typedef struct
{
  csp_order_op_t op;
  char name[CSP_NAME_BYTES];
  char version[CSP_NAME_BYTES];
  int64_t fence;
} csp_order_t;

/* What an engine's load report says about orders, with the report's sequence
   number.  asked_ms is when the report was requested, so that the report never
   counts as newer than it is.  A version or role that the engine doesn't
   report is NULL and counts as the wanted one.  */
typedef struct
{
  uint64_t sequence;
  int64_t asked_ms;
  const csp_named_version_t *models;
  size_t model_count;
  const csp_named_version_t *adapters;
  size_t adapter_count;
  const char *role;
  int64_t fence;
  bool busy;
} csp_order_report_t;

typedef struct
{
  /* revision is that of the configuration in force, wanted_revision the one at
     which the wanted state last changed.  */
  int64_t revision;
  int64_t wanted_revision;
  const csp_wanted_state_t *wanted; /* NULL: no orders */
  uint32_t longest_order_ms;
  bool checks_fence;
  /* This host owns the engine and its lease is valid at now_ms.  */
  bool granted;
  bool leaving;
  const csp_order_report_t *report;
  /* oldest_stream_ms is the arrival time of the oldest request that may use
     the engine, INT64_MAX when there is none.  foreign_streams: streams of
     unknown age run there.  */
  int64_t oldest_stream_ms;
  bool foreign_streams;
  /* Models that routes name; they are never unloaded.  */
  const char *const *routed;
  size_t routed_count;
} csp_order_facts_t;

/* A host's share of the weight store's rate limit for one pool: the pool's
   rate times the engines that the host owns divided by the engines that are
   listed.  The shares add up to the rate when the hosts agree on ownership,
   and to at most twice the rate in a split view, without any message between
   hosts.  */
typedef struct
{
  uint32_t interval_ms;
  uint32_t phase_thousandths;
  int64_t next_load_ms;
  int64_t last_wanted_ms;
} csp_order_pace_t;

/* Why no order is sent now.  */
typedef enum
{
  CSP_ORDER_SETTLED,       /* the engine is as wanted */
  CSP_ORDER_UNDECLARED,    /* no wanted state is declared */
  CSP_ORDER_NOT_GRANTED,   /* not the owner, or lease expired */
  CSP_ORDER_LEAVING,       /* the engine is leaving */
  CSP_ORDER_NO_REPORT,     /* no recent report */
  CSP_ORDER_HELD_BACK,     /* the engine has a newer revision */
  CSP_ORDER_UNDER_WAY,     /* the last order is unconfirmed */
  CSP_ORDER_ENGINE_BUSY,   /* with another owner's order */
  CSP_ORDER_EARLIER_OWNER, /* whose last order may still arrive */
  CSP_ORDER_PAUSED,        /* backoff after failures or an undo */
  CSP_ORDER_PACED,         /* rate limit of the weight store */
  CSP_ORDER_IN_USE,        /* only unloads of models in use remain */
  CSP_ORDER_SENT,          /* the action is an order */
  CSP_ORDER_STATE_COUNT
} csp_order_state_t;

/* Events that a decision detected, for the log.  */
enum
{
  CSP_ORDER_EVENT_DONE = 1,
  CSP_ORDER_EVENT_FAILED = 2,
  CSP_ORDER_EVENT_GIVEN_UP = 4,
  CSP_ORDER_EVENT_HELD_BACK = 8,
  CSP_ORDER_EVENT_UNDONE = 16,
  CSP_ORDER_EVENT_RESTART = 32
};

typedef enum
{
  CSP_ORDER_ACT_NOTHING,
  CSP_ORDER_ACT_WAIT,
  CSP_ORDER_ACT_SEND
} csp_order_act_t;

/* One action.  subject is the order that an event in events refers to.  */
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

/* The engine's answer to an order, or why there is none.  */
typedef enum
{
  CSP_ORDER_ANSWER_STARTED,
  CSP_ORDER_ANSWER_FENCE_OLD,
  CSP_ORDER_ANSWER_BUSY,
  CSP_ORDER_ANSWER_REFUSED,
  /* No answer: the order may have been started.  */
  CSP_ORDER_ANSWER_LOST,
  /* The order was certainly not sent.  */
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

/* Creates the state kept for the orders of one engine; NULL when out of
   memory.  */
csp_order_tracker_t *csp_create_order_tracker (void);
void csp_destroy_order_tracker (csp_order_tracker_t *engine);

/* Decides from a recent report.  At most one order per engine is pending:
   after a send, the next follows only when its answer was handled and a report
   showed the outcome.  */
void csp_decide_order (csp_order_tracker_t *engine,
                       const csp_order_facts_t *facts, csp_order_pace_t *pace,
                       int64_t now_ms, csp_order_action_t *action);

/* Records the answer to the order that was sent last.  */
void csp_handle_order_answer (csp_order_tracker_t *engine,
                              csp_order_answer_t answer, int64_t now_ms);

void csp_get_order_status (const csp_order_tracker_t *engine,
                           csp_order_status_t *status);

/* Sets a host's share of a pool's loads_per_minute.  phase_thousandths comes
   from a hash that differs between hosts, so that a change that reaches all
   hosts at once doesn't make them all start loads at once.  */
void csp_set_order_share (csp_order_pace_t *pace, uint32_t loads_per_minute,
                          uint32_t owned, uint32_t listed,
                          uint32_t phase_thousandths);

/* Returns whether a load may start now; also records that one is wanted.
   csp_note_load_started then reserves the interval until the next load.  */
bool csp_may_start_load (csp_order_pace_t *pace, int64_t now_ms);
void csp_note_load_started (csp_order_pace_t *pace, int64_t now_ms);

/* Names used in the engine's interface and in the status.  */
const char *csp_order_op_name (csp_order_op_t op);
const char *csp_order_state_name (csp_order_state_t state);
const char *csp_role_name (csp_role_t role);

#endif
