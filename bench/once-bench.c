/* Measures the time and memory that an idempotency key and a hand-off slot
   take, with one thousand to one million of them stored.  The baseline of each
   line is the cost at one thousand, so the ratio shows whether the cost grows
   with the number.  */

#include "cowslipspoke/handoff.h"
#include "cowslipspoke/once.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  NS_PER_S = 1000000000,
  SAMPLE = 100000,
  WALL_MS = 1000000,
  SMALL_ROUND_HOSTS = 12,
  TARGETS = 36,
  HOLDERS = 11,
  SIZES = 4
};

static const uint32_t sizes[SIZES] = { 1000, 10000, 100000, 1000000 };

/* What is measured at each size, in nanoseconds or bytes.  */
typedef enum
{
  CLAIM_NEW,
  CLAIM_REPEATED,
  KEY_BYTES,
  RESERVE_TO_RELEASE,
  SLOT_BYTES,
  MEASUREMENTS
} measurement_t;

static const char *const measurement_names[MEASUREMENTS]
    = { "once_claim_new", "once_claim_repeated", "once_bytes_per_key",
        "handoff_reserve_commit_release", "handoff_bytes_per_slot" };
static const char *const measurement_units[MEASUREMENTS]
    = { "ns", "ns", "bytes", "ns", "bytes" };

static double
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * NS_PER_S + (double)now.tv_nsec;
}

static double
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)info.uordblks + (double)info.hblkhd;
}

static void
print_line (const char *name, double baseline, double now, const char *unit)
{
  printf ("%s baseline=%.1f now=%.1f ratio=%.3f unit=%s\n", name, baseline,
          now, now / baseline, unit);
}

/* Fills in a random digest instead of that of a real key, so that SHA-256 is
   not measured.  */
static void
draw_claim_ask (csp_random_t *random, csp_claim_ask_t *ask)
{
  uint64_t digest[2] = { csp_random_u64 (random), csp_random_u64 (random) };

  memcpy (ask->key.digest, digest, sizeof digest);
  ask->claim.low = digest[0];
}

static double
time_claims (csp_once_key_store_t *once, uint64_t seed, uint32_t count)
{
  csp_random_t random;
  csp_claim_ask_t ask = { .key = { .organisation = "org",
                                   .scope = CSP_ONCE_SCOPE_DATA_CENTRE,
                                   .date_ms = WALL_MS } };
  csp_claim_answer_t answer;
  double start_ns = now_ns ();
  uint32_t i;

  csp_seed_random (&random, seed);
  for (i = 0; i < count; i++)
    {
      draw_claim_ask (&random, &ask);
      csp_claim_key (once, &ask, 0, WALL_MS, &answer);
    }
  return (now_ns () - start_ns) / count;
}

static void
measure_keys (uint32_t size, double results[MEASUREMENTS])
{
  csp_once_settings_t settings = csp_default_once_settings ();
  csp_host_ref_t self = { "h", 1 };
  double heap_before = heap_bytes ();
  csp_once_key_store_t *once;

  settings.capacity = 2 * size;
  settings.organisation_capacity = 2 * size;
  once = csp_create_once_key_store (&settings, &self, 0);
  results[CLAIM_NEW] = time_claims (once, 1, size);
  results[KEY_BYTES] = (heap_bytes () - heap_before) / size;
  results[CLAIM_REPEATED]
      = time_claims (once, 1, size < SAMPLE ? size : SAMPLE);
  csp_destroy_once_key_store (once);
}

static void
reserve_and_commit (csp_slot_table_t *table, uint64_t id,
                    csp_commit_ask_t *commit)
{
  csp_reserve_ask_t ask = { .ask_id = id, .expected_tokens = 400 };
  csp_reserve_answer_t answer;
  csp_commit_answer_t held;
  char target[CSP_TARGET_NAME_BYTES];

  snprintf (target, sizeof target, "engine-%d", (int)(id % TARGETS));
  snprintf (ask.sender.name, sizeof ask.sender.name, "host-%d",
            (int)(id % HOLDERS));
  csp_reserve_slot (table, &ask, target, 0, &answer);
  commit->ask_id = id;
  commit->sender = ask.sender;
  commit->nonce = answer.nonce;
  csp_commit_slot (table, commit, 0, &held);
}

static void
measure_slots (uint32_t size, double results[MEASUREMENTS])
{
  csp_slot_settings_t settings = csp_default_slot_settings ();
  double heap_before = heap_bytes ();
  csp_slot_table_t *table = csp_create_slot_table (&settings, 1);
  csp_commit_ask_t commit = { 0 };
  csp_release_t release = { 0 };
  double start_ns;
  uint32_t i;

  for (i = 0; i < size; i++)
    reserve_and_commit (table, i, &commit);
  results[SLOT_BYTES] = (heap_bytes () - heap_before) / size;
  start_ns = now_ns ();
  for (i = 0; i < SAMPLE; i++)
    {
      reserve_and_commit (table, (uint64_t)size + i, &commit);
      release.ask_id = commit.ask_id;
      release.sender = commit.sender;
      release.nonce = commit.nonce;
      csp_release_slot (table, &release, 0);
    }
  results[RESERVE_TO_RELEASE] = (now_ns () - start_ns) / SAMPLE;
  csp_destroy_slot_table (table);
}

/* Returns the nanoseconds that a whole claim round takes at the requesting
   host when all hosts answer at once.  */
static double
time_rounds (uint32_t hosts)
{
  csp_once_settings_t settings = csp_default_once_settings ();
  csp_once_peer_t *peers = calloc (hosts, sizeof *peers);
  csp_once_view_t view = { peers, hosts, 0, true };
  csp_once_key_t key = { .scope = CSP_ONCE_SCOPE_ALL, .date_ms = WALL_MS };
  csp_once_event_t event = { .kind = CSP_ONCE_ANSWER };
  csp_once_round_t *round;
  csp_once_action_t action;
  csp_random_t random;
  uint32_t rounds = SAMPLE / hosts;
  double start_ns;
  uint32_t i;
  uint32_t h;

  for (h = 0; h < hosts; h++)
    snprintf (peers[h].ref.name, CSP_HOST_NAME_BYTES, "host-%u", h);
  csp_seed_random (&random, 1);
  start_ns = now_ns ();
  for (i = 0; i < rounds; i++)
    {
      round
          = csp_create_once_round (&settings, &key, &view, &random, INT64_MAX);
      csp_start_once_round (round, 0, WALL_MS, &action);
      event.u.answer.claim = action.ask.claim;
      memcpy (event.u.answer.from.name, action.hosts[0], CSP_HOST_NAME_BYTES);
      csp_step_once_round (round, &event, 0, &action);
      for (h = 0; h < hosts; h++)
        {
          event.u.answer.from = peers[h].ref;
          csp_step_once_round (round, &event, 0, &action);
        }
      csp_destroy_once_round (round);
    }
  start_ns = (now_ns () - start_ns) / rounds;
  free (peers);
  return start_ns;
}

static double
time_parse (void)
{
  csp_once_key_t key;
  csp_error_t error;
  double start_ns = now_ns ();
  uint32_t i;

  for (i = 0; i < SAMPLE; i++)
    csp_parse_once_key ("org", "d:cardiff:1764707400000~lease-77", &key,
                        &error);
  return (now_ns () - start_ns) / SAMPLE;
}

int
main (void)
{
  double results[SIZES][MEASUREMENTS];
  double parse_ns = time_parse ();
  double small_round_ns = time_rounds (SMALL_ROUND_HOSTS);
  char name[96];
  int f;
  int s;

  for (s = 0; s < SIZES; s++)
    {
      measure_keys (sizes[s], results[s]);
      measure_slots (sizes[s], results[s]);
    }
  for (f = 0; f < MEASUREMENTS; f++)
    for (s = 0; s < SIZES; s++)
      {
        snprintf (name, sizeof name, "%s_%u", measurement_names[f], sizes[s]);
        print_line (name, results[0][f], results[s][f], measurement_units[f]);
      }
  print_line ("once_parse_key", parse_ns, parse_ns, "ns");
  print_line ("once_round_12_hosts", small_round_ns, small_round_ns, "ns");
  print_line ("once_round_330_hosts", small_round_ns, time_rounds (330), "ns");
  return 0;
}
