#ifndef BENCH_FLEET_IMP_H
#define BENCH_FLEET_IMP_H

#include "fleet.h"

#include "cowslipspoke/health.h"
#include "cowslipspoke/peer-choice.h"
#include "cowslipspoke/placement.h"
#include "cowslipspoke/preemption.h"
#include "cowslipspoke/random.h"
#include "cowslipspoke/shift.h"

enum
{
  TICK_US = 100000,
  REPORT_US = 1000000,
  RETURN_US = 10000000,
  NOTE_TOKENS = 16,
  MOST_HOSTS = 32,
  REPORT_RING = 8,
  MOST_ENGINES = 1024,
  MOST_VICTIMS = 16,
  BLOCK = 20,
  MOST_BLOCKS = MOST_ENGINES / BLOCK + 1
};

/* What a host last told the others.  */
typedef struct
{
  uint32_t headroom_tokens;
  uint32_t waiting;
} told_t;

/* One host: the requests that came to it, and the engines that it owns.  */
typedef struct
{
  csp_lengths_t *lengths;
  uint32_t keys[CLASS_COUNT];
  csp_queue_t *queue;
  csp_health_t *health;
  told_t told;
} host_t;

/* The ends of steps in blocks of engines, so that the first is found without
   looking at all of them.  */
typedef struct
{
  int64_t least_us[MOST_BLOCKS];
  uint32_t index[MOST_BLOCKS];
  bool dirty[MOST_BLOCKS];
} blocks_t;

typedef struct
{
  const play_t *play;
  engine_t *engines;
  csp_ledger_t **ledgers;
  csp_load_report_t (*reports)[REPORT_RING];
  csp_prefixes_t *prefixes;
  csp_shift_t *shifts;
  uint32_t engine_count;
  host_t hosts[MOST_HOSTS];
  request_t *requests;
  uint32_t request_count;
  request_t **fifo;
  uint32_t fifo_head;
  uint32_t fifo_tail;
  uint32_t next_engine;
  csp_random_t random;
  results_t *results;
  blocks_t blocks;
  int64_t now_us;
  uint64_t report;
} fleet_t;

int64_t fleet_now_ms (const fleet_t *fleet);
uint32_t host_of_engine (const fleet_t *fleet, uint32_t engine);
void send_request (fleet_t *fleet, request_t *request, uint32_t engine);

void pump_fifo (fleet_t *fleet);
void dispatch_baseline (fleet_t *fleet, request_t *request);

/* Callers of the baselines leave as well when their time is over.  */
void leave_engine_queues (fleet_t *fleet);

csp_stream_t stream_of_request (const fleet_t *fleet, const request_t *request,
                                uint32_t host);
void pump_host (fleet_t *fleet, uint32_t index);
void dispatch_decisions (fleet_t *fleet, request_t *request);
void expire_host (fleet_t *fleet, host_t *host);
void take_reports (fleet_t *fleet);
void take_back_streams (fleet_t *fleet);
void weigh_engines (fleet_t *fleet);

void count_outcomes (fleet_t *fleet);

#endif
