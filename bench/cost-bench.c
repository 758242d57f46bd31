#include "cowslipspoke/admission.h"
#include "cowslipspoke/clock.h"
#include "cowslipspoke/health.h"
#include "cowslipspoke/limit.h"
#include "cowslipspoke/placement.h"
#include "cowslipspoke/preemption.h"
#include "cowslipspoke/queue.h"
#include "cowslipspoke/random.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

/* Measures the time and memory that one decision takes, and how both grow with
   the number of targets and organisations.  baseline is the cost at the
   smallest size, now the cost at the size in the name.  */

enum
{
  ENGINE_MEMORY_TOKENS = 60000,
  STREAMS_PER_TARGET = 8,
  SIZES = 3,
  NS_PER_US = 1000,
  MIN_TIMED_US = 60000
};

static const uint32_t target_sizes[SIZES] = { 36, 430, 12000 };

typedef struct
{
  csp_lengths_t *lengths;
  csp_ledger_t **ledgers;
  csp_candidate_t *candidates;
  csp_health_t *health;
  uint32_t count;
  uint64_t heap_bytes;
  csp_random_t random;
} targets_t;

typedef void (*operation_t) (void *state, uint32_t round);

static uint64_t
bytes_in_use (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Returns the mean nanoseconds of a call, measured over at least 60 ms.  */
static double
time_operation_ns (operation_t operation, void *state)
{
  csp_clock_t clock = csp_system_clock ();
  int64_t start_us = csp_now_us (&clock);
  int64_t elapsed_us;
  uint32_t rounds = 0;
  uint32_t batch = 16;
  uint32_t i;

  do
    {
      for (i = 0; i < batch; i++)
        operation (state, rounds + i);
      rounds += batch;
      elapsed_us = csp_now_us (&clock) - start_us;
    }
  while (elapsed_us < MIN_TIMED_US);
  return (double)elapsed_us * NS_PER_US / rounds;
}

static void
print_line (const char *name, uint32_t size, const char *size_unit,
            double baseline, double now, const char *unit)
{
  printf ("cost.%s.%u_%s baseline=%.1f now=%.1f ratio=%.2f unit=%s\n", name,
          size, size_unit, baseline, now, baseline > 0 ? now / baseline : 0,
          unit);
}

static csp_stream_t
draw_stream (csp_random_t *random)
{
  csp_stream_t stream
      = { .prompt_tokens = 500 + csp_random_below (random, 5000),
          .priority = 5,
          .repeatable = true };

  return stream;
}

static void
create_targets (targets_t *targets, uint32_t count)
{
  csp_length_policy_t lengths = csp_default_length_policy ();
  csp_admission_policy_t policy = csp_default_admission_policy ();
  csp_health_policy_t health = csp_default_health_policy ();
  csp_load_report_t report
      = { .sequence = 1, .memory_tokens = ENGINE_MEMORY_TOKENS };
  uint64_t before = bytes_in_use ();
  csp_stream_t stream;
  uint32_t i;
  uint32_t j;

  csp_seed_random (&targets->random, 9);
  targets->count = count;
  targets->lengths = csp_create_lengths (&lengths);
  targets->ledgers = calloc (count, sizeof (csp_ledger_t *));
  targets->candidates = calloc (count, sizeof *targets->candidates);
  targets->health = csp_create_health (&health, count);
  for (i = 0; i < count; i++)
    {
      targets->ledgers[i] = csp_create_ledger (&policy, targets->lengths);
      csp_apply_load_report (targets->ledgers[i], &report, 1000);
      for (j = 0; j < STREAMS_PER_TARGET; j++)
        {
          stream = draw_stream (&targets->random);
          csp_add_stream (targets->ledgers[i], &stream, 100 * j, 1000);
        }
      csp_note_gaps (targets->health, i, 64, 40 + i % 7);
      targets->candidates[i] = (csp_candidate_t){
        .ledger = targets->ledgers[i], .usable_share = 1, .slowness = 1
      };
    }
  targets->heap_bytes = bytes_in_use () - before;
}

static void
destroy_targets (targets_t *targets)
{
  uint32_t i;

  for (i = 0; i < targets->count; i++)
    csp_destroy_ledger (targets->ledgers[i]);
  csp_destroy_health (targets->health);
  csp_destroy_lengths (targets->lengths);
  free (targets->ledgers);
  free (targets->candidates);
}

static void
run_choose_target (void *state, uint32_t round)
{
  targets_t *targets = state;
  csp_placement_policy_t policy = csp_default_placement_policy ();
  csp_stream_t stream = draw_stream (&targets->random);
  uint32_t chosen;

  csp_choose_target (&policy, targets->candidates, targets->count, &stream,
                     1000 + round % 16, &chosen);
}

static void
run_decide_admission (void *state, uint32_t round)
{
  targets_t *targets = state;
  csp_stream_t stream = draw_stream (&targets->random);

  csp_decide_admission (targets->ledgers[round % targets->count], &stream,
                        1000);
}

static void
run_note_tokens (void *state, uint32_t round)
{
  targets_t *targets = state;

  csp_note_tokens (targets->ledgers[round % targets->count], 1,
                   100 + 16 * (1 + round / targets->count), 1000);
}

static void
run_choose_victims (void *state, uint32_t round)
{
  targets_t *targets = state;
  csp_preemption_policy_t policy = csp_default_preemption_policy ();
  uint32_t handles[4];

  csp_choose_victims (&policy, targets->ledgers[round % targets->count], 1000,
                      handles, 4);
}

static void
run_update_health (void *state, uint32_t round)
{
  csp_update_health (((targets_t *)state)->health, 1000 + 1000 * round);
}

static void
measure_targets (void)
{
  static const struct
  {
    const char *name;
    operation_t operation;
  } rows[] = {
    { "choose_target", run_choose_target },
    { "decide_admission", run_decide_admission },
    { "note_tokens", run_note_tokens },
    { "choose_victims", run_choose_victims },
    { "weigh_all_health", run_update_health },
  };
  double first_ns[sizeof rows / sizeof rows[0]] = { 0 };
  double first_bytes = 0;
  targets_t targets;
  double ns;
  uint32_t i;
  uint32_t j;

  for (i = 0; i < SIZES; i++)
    {
      create_targets (&targets, target_sizes[i]);
      for (j = 0; j < sizeof rows / sizeof rows[0]; j++)
        {
          ns = time_operation_ns (rows[j].operation, &targets);
          if (i == 0)
            first_ns[j] = ns;
          print_line (rows[j].name, target_sizes[i], "targets", first_ns[j],
                      ns, "ns");
        }
      if (i == 0)
        first_bytes = (double)targets.heap_bytes;
      print_line ("target_state", target_sizes[i], "targets", first_bytes,
                  (double)targets.heap_bytes, "bytes");
      destroy_targets (&targets);
    }
}

typedef struct
{
  csp_queue_t *queue;
  csp_random_t random;
  uint32_t organisations;
  uint64_t next_id;
} queue_bench_t;

static void
push_one (queue_bench_t *bench, uint32_t organisation)
{
  csp_waiting_request_t waiting
      = { .id = bench->next_id++,
          .organisation = organisation,
          .priority = (uint8_t)csp_random_below (&bench->random, 10),
          .cost_tokens = 100 + csp_random_below (&bench->random, 5000) };
  csp_error_t error;

  waiting.memory_tokens = waiting.cost_tokens;
  csp_push_waiting (bench->queue, &waiting, 1000, &error);
}

/* Queues one request, takes one from the queue and settles its cost, while
   half of the organisations have requests waiting.  */
static void
push_take_settle (void *state, uint32_t round)
{
  queue_bench_t *bench = state;
  csp_waiting_request_t waiting;
  bool borrowing;

  push_one (bench, csp_random_below (&bench->random, bench->organisations));
  csp_begin_pump (bench->queue, 1000 + round / 64);
  if (!csp_next_waiting (bench->queue, &waiting, &borrowing))
    return;
  csp_take_waiting (bench->queue, 1000 + round / 64);
  csp_settle_waiting (bench->queue, waiting.organisation,
                      waiting.memory_tokens, waiting.cost_tokens,
                      waiting.cost_tokens, 1000 + round / 64);
}

/* Goes through the queue when no request can be placed.  */
static void
pump_without_capacity (void *state, uint32_t round)
{
  queue_bench_t *bench = state;
  csp_waiting_request_t waiting;
  bool borrowing;

  csp_begin_pump (bench->queue, 1000 + round / 64);
  while (csp_next_waiting (bench->queue, &waiting, &borrowing))
    csp_skip_waiting (bench->queue);
}

static void
expire_all (void *state, uint32_t round)
{
  queue_bench_t *bench = state;
  csp_waiting_request_t waiting;
  csp_error_t error;

  while (
      csp_expire_waiting (bench->queue, 2000 + round / 64, &waiting, &error))
    ;
}

static void
measure_queue (void)
{
  static const uint32_t sizes[] = { 10, 1600 };
  static const struct
  {
    const char *name;
    operation_t operation;
  } rows[] = { { "push_take_settle", push_take_settle },
               { "pump_without_room", pump_without_capacity },
               { "expire_pass", expire_all } };
  csp_queue_policy_t policy = csp_default_queue_policy ();
  double first_ns[3] = { 0 };
  double first_bytes = 0;
  queue_bench_t bench;
  uint64_t before;
  double bytes;
  double ns;
  uint32_t i;
  uint32_t j;

  for (i = 0; i < 2; i++)
    {
      before = bytes_in_use ();
      bench.queue = csp_create_queue (&policy);
      bench.organisations = sizes[i];
      bench.next_id = 1;
      csp_seed_random (&bench.random, 4);
      csp_set_capacity (bench.queue, 36 * ENGINE_MEMORY_TOKENS);
      for (j = 0; j < sizes[i]; j++)
        csp_set_weight (bench.queue, j, 1);
      for (j = 0; j < 800; j++)
        push_one (&bench, j % ((sizes[i] + 1) / 2));
      bytes = (double)(bytes_in_use () - before);
      for (j = 0; j < 3; j++)
        {
          ns = time_operation_ns (rows[j].operation, &bench);
          if (i == 0)
            first_ns[j] = ns;
          print_line (rows[j].name, sizes[i], "organisations", first_ns[j], ns,
                      "ns");
        }
      if (i == 0)
        first_bytes = bytes;
      print_line ("queue_state", sizes[i], "organisations", first_bytes, bytes,
                  "bytes");
      csp_destroy_queue (bench.queue);
    }
}

static void
measure_lengths (void)
{
  csp_length_policy_t policy = csp_default_length_policy ();
  csp_lengths_t *lengths = csp_create_lengths (&policy);

  print_line ("length_state", policy.max_keys, "keys",
              (double)csp_lengths_size_bytes (lengths),
              (double)csp_lengths_size_bytes (lengths), "bytes");
  print_line ("limit_state", 1, "limit", sizeof (csp_limit_t),
              sizeof (csp_limit_t), "bytes");
  csp_destroy_lengths (lengths);
}

int
main (void)
{
  measure_targets ();
  measure_queue ();
  measure_lengths ();
  return EXIT_SUCCESS;
}
