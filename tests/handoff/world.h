#ifndef COWSLIPSPOKE_TEST_HANDOFF_WORLD_H
#define COWSLIPSPOKE_TEST_HANDOFF_WORLD_H

#include "cowslipspoke/handoff.h"
#include "cowslipspoke/random.h"

/* The simulation of the interleaving test: senders, owners and messages in
   flight.  */

enum
{
  SENDERS = 3,
  OWNERS = 2,
  SEEDS = 600,
  WORKERS = 4,
  REQUESTS = 1600,
  MESSAGES = 512,
  CAPACITY = 3,
  STEP_MS = 20,
  LOAD_PERIOD_MS = 60000,
  DRAIN_MS = 65000,
  STREAM_MAX_MS = 20000,
  RESUME_WINDOW_MS = 30000,
  SILENCE_MS = 5000,
  HOLDINGS_PERIOD_MS = 1000
};

typedef enum
{
  FAULT_LOSS,
  FAULT_DUPLICATE,
  FAULT_SENDER_PAUSE,
  FAULT_SENDER_RESTART,
  FAULT_OWNER_PAUSE,
  FAULT_OWNER_RESTART,
  FAULT_OWNER_MOVE,
  FAULT_PAUSE_AT_SEND,
  FAULT_COUNT
} fault_t;

typedef enum
{
  TO_OWNER,
  TO_SENDER,
  HOLDINGS
} message_kind_t;

typedef struct
{
  bool used;
  message_kind_t kind;
  int64_t due_ms;
  int owner;
  int sender;
  int worker;
  int request;
  csp_handoff_action_t action;
  csp_handoff_event_t event;
  uint64_t holdings_number;
  size_t count;
  csp_held_slot_t slots[WORKERS];
  uint64_t incarnation;
} message_t;

typedef struct
{
  csp_handoff_t *handoff;
  int request;
  int peers[OWNERS];
} worker_t;

typedef struct
{
  csp_host_ref_t ref;
  int64_t paused_ms;
  int64_t last_holdings_ms;
  uint64_t holdings_number;
  uint64_t next_ask_id;
  worker_t workers[WORKERS];
} sender_t;

typedef struct
{
  csp_slot_table_t *table;
  int64_t paused_ms;
  bool owns[OWNERS];
} owner_t;

typedef struct
{
  int starts;
  bool reported_not_run;
  bool done;
  int target;
  int sender;
  int64_t end_ms;
} request_t;

typedef struct
{
  csp_random_t random;
  fault_t faults[2];
  int64_t now_ms;
  sender_t senders[SENDERS];
  owner_t owners[OWNERS];
  int target_owners[OWNERS];
  message_t messages[MESSAGES];
  request_t requests[REQUESTS];
  int request_count;
  int pauses_at_send;
  uint32_t peak_running;
} simulation_t;

#endif
