#ifndef BENCH_FLEET_IMP_H
#define BENCH_FLEET_IMP_H

#include "fleet.h"

#include "cowslipspoke/health.h"
#include "cowslipspoke/peer-choice.h"
#include "cowslipspoke/placement.h"
#include "cowslipspoke/preemption.h"
#include "cowslipspoke/random.h"
#include "cowslipspoke/shift.h"
#include "cowslipspoke/traffic-cost.h"

enum
{
  TICK_US = 100000,
  REPORT_INTERVAL_US = 1000000,
  AFTER_RETURN_US = 10000000,
  NOTE_INTERVAL_TOKENS = 16,
  MAX_HOSTS = 32,
  REPORT_RING_SIZE = 8,
  MAX_ENGINES = 1024,
  MAX_VICTIMS = 16,
  ENGINES_PER_BLOCK = 20,
  MAX_BLOCKS = MAX_ENGINES / ENGINES_PER_BLOCK + 1
};

/* The state that a host last reported to the other hosts.  */
typedef struct
{
  uint32_t headroom_tokens;
  uint32_t waiting;
} host_report_t;

/* A simulated entry host: the queue of the requests that arrived at it, and
   what it has learnt about output lengths and about the health of engines.  */
typedef struct
{
  csp_lengths_t *lengths;
  uint32_t keys[CLASS_COUNT];
  csp_queue_t *queue;
  csp_traffic_cost_t cost;
  csp_health_t *health;
  host_report_t last_report;
} host_t;

/* The earliest end of a step in each block of engines, so that the next
   one is found without scanning all engines.  A stale block has to be scanned
   before use.  */
typedef struct
{
  int64_t earliest_us[MAX_BLOCKS];
  uint32_t earliest_engine[MAX_BLOCKS];
  bool stale[MAX_BLOCKS];
} next_steps_t;

typedef struct
{
  const simulation_settings_t *settings;
  engine_t *engines;
  csp_ledger_t **ledgers;
  csp_load_report_t (*reports)[REPORT_RING_SIZE];
  csp_prefixes_t *prefixes;
  csp_slow_start_t *slow_starts;
  uint32_t engine_count;
  host_t hosts[MAX_HOSTS];
  request_t *requests;
  uint32_t request_count;
  request_t **fifo;
  uint32_t fifo_head;
  uint32_t fifo_tail;
  uint32_t next_engine;
  csp_random_t random;
  results_t *results;
  next_steps_t next_steps;
  int64_t now_us;
  uint64_t report_number;
} fleet_t;

int64_t fleet_now_ms (const fleet_t *fleet);
uint32_t host_of_engine (const fleet_t *fleet, uint32_t engine);
void send_request (fleet_t *fleet, request_t *request, uint32_t engine);

/* Sends the requests of a baseline in order of arrival, as long as an engine
   has memory for the next one.  */
void dispatch_fifo (fleet_t *fleet);
void dispatch_baseline (fleet_t *fleet, request_t *request);

/* Drops requests from the engines' queues whose caller has given up, for the
   baselines; expire_host does this for the host queues.  */
void expire_engine_queues (fleet_t *fleet);

csp_stream_t stream_of_request (const fleet_t *fleet, const request_t *request,
                                uint32_t host);
/* Sends all waiting requests of a host that an engine can take, at this host
   or at another one.  */
void dispatch_host_queue (fleet_t *fleet, uint32_t index);
/* Queues a new request at a random host and dispatches that host's queue.  */
void enqueue_at_random_host (fleet_t *fleet, request_t *request);
void expire_host (fleet_t *fleet, host_t *host);
/* Settles the cost of a request that has ended with so many tokens.  */
void settle_request (fleet_t *fleet, const request_t *request,
                     uint32_t generated_tokens);
/* Takes a load report of each engine, applies the one that is now
   report_lag_us old, and updates what hosts know of each other.  */
void exchange_reports (fleet_t *fleet);
/* Preempts streams on all engines before the engines have to: the streams go
   back to the queues of their hosts.  */
void requeue_victims (fleet_t *fleet);
void update_health_and_in_flight (fleet_t *fleet);

void count_outcomes (fleet_t *fleet);

#endif
