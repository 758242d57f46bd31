#ifndef COWSLIPSPOKE_TEST_ONCE_WORLD_H
#define COWSLIPSPOKE_TEST_ONCE_WORLD_H

#include "cowslipspoke/once.h"

/* The simulation of the interleaving test: hosts, calls and messages in
   flight.  */

enum
{
  HOSTS = 8,
  FIRST_HOSTS = 6,
  KEYS = 60,
  ROUNDS = 64,
  MESSAGES = 1024,
  BATCHES = 60,
  SEEDS_PER_BATCH = 50,
  STEP_MS = 20,
  END_MS = 100000,
  LAST_SEND_MS = 90000,
  LIST_LAG_MS = 2000,
  SKEW_MS = 100,
  NEVER_MS = 1000000
};

typedef enum
{
  FAULT_LOSS,
  FAULT_DUPLICATE,
  FAULT_PAUSE,
  FAULT_RESTART,
  FAULT_REPLACE,
  FAULT_PARTITION,
  FAULT_OLD_COPY,
  FAULT_NONE,
  FAULT_COUNT
} fault_t;

typedef enum
{
  ASK,
  ANSWER,
  OUTCOME,
  OUTCOME_ACK
} message_kind_t;

typedef struct
{
  bool used;
  message_kind_t kind;
  int from;
  int to;
  int round;
  int64_t due_ms;
  csp_claim_ask_t ask;
  csp_claim_answer_t answer;
  csp_outcome_report_t report;
} message_t;

/* listed_ms, delisted_ms: from when and until when the platform's list
   contains the host.  view_ms, list_read_ms: when the host last refreshed its
   list, and the time whose state that list shows.  */
typedef struct
{
  csp_host_ref_t ref;
  csp_once_key_store_t *store;
  bool up;
  int64_t skew_ms;
  int64_t paused_ms;
  int64_t listed_ms;
  int64_t delisted_ms;
  int64_t view_ms;
  int64_t list_read_ms;
} host_t;

typedef struct
{
  csp_once_round_t *round;
  int host;
  int key;
  int serial;
  bool send_pending;
  int64_t send_ms;
} active_round_t;

typedef struct
{
  csp_once_key_t key;
  int64_t next_ms;
  int sends;
  int runs;
  bool reported_not_run;
} call_t;

typedef struct
{
  csp_random_t random;
  csp_once_settings_t settings;
  fault_t faults[2];
  int64_t now_ms;
  bool partitioned;
  host_t hosts[HOSTS];
  active_round_t rounds[ROUNDS];
  call_t calls[KEYS];
  message_t messages[MESSAGES];
  int messages_end;
  int serial;
  int runs;
} simulation_t;

#endif
