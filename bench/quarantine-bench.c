#include "cowslipspoke/fingerprint.h"
#include "cowslipspoke/part-quarantine.h"
#include "cowslipspoke/quarantine.h"
#include "cowslipspoke/roster.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

/* Measures what the quarantine of requests that crash targets costs every
   other request: the fingerprint, and the look-up whether the fingerprint is
   quarantined.  The baseline is a body of one kilobyte for the fingerprint and
   an empty table for the look-up.  The same for parts of prompts: reading,
   looking up and noting three parts, and what a host does ten times a second
   and tells others.  */

enum
{
  BODY_BYTES_MAX = 65536,
  REPEATS = 2000,
  STRIDE = 1000,
  NS_PER_S = 1000000000
};

static int64_t
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (int64_t)now.tv_sec * NS_PER_S + now.tv_nsec;
}

static double
time_fingerprint_ns (const char *body, size_t body_bytes)
{
  const csp_request_identity_t identity = { .method = "POST",
                                            .host = "h",
                                            .target = "/a/b",
                                            .organisation = "org",
                                            .body = body,
                                            .body_bytes = body_bytes };
  int64_t start_ns = now_ns ();
  int i;

  for (i = 0; i < REPEATS; i++)
    csp_fingerprint_request (&identity);
  return (double)(now_ns () - start_ns) / REPEATS;
}

/* Returns the nanoseconds of looking up a request that isn't in a table of
   that many suspects.  */
static double
time_lookup_ns (uint64_t suspects)
{
  csp_quarantine_t *quarantine = csp_create_quarantine ();
  uint64_t i;
  int64_t start_ns;
  double elapsed_ns;

  if (quarantine == NULL)
    abort ();
  for (i = 1; i <= suspects; i++)
    csp_add_request_strike (quarantine, i, 1, 1);
  start_ns = now_ns ();
  for (i = 0; i < REPEATS; i++)
    csp_quarantine_left_ms (quarantine, CSP_SUSPECTS_MAX + i + 1, 2);
  elapsed_ns = (double)(now_ns () - start_ns) / REPEATS;
  csp_destroy_quarantine (quarantine);
  return elapsed_ns;
}

static void
print_result (const char *name, double baseline, double now)
{
  printf ("%s baseline=%.0f now=%.0f ratio=%.2f unit=ns\n", name, baseline,
          now, baseline > 0 ? now / baseline : 0);
}

static const char prompt[] = "5c1e07a2:800,91bd3f06:410,e4402b7d:250,7:100";

static double
time_reading_parts_ns (void)
{
  csp_prompt_parts_t parts;
  int64_t start_ns = now_ns ();
  int i;

  for (i = 0; i < REPEATS; i++)
    csp_read_prompt_parts (prompt, (uint32_t)i, &parts);
  return (double)(now_ns () - start_ns) / REPEATS;
}

/* Parts that each have as many strikes as are kept.  */
static csp_part_quarantine_t *
create_suspected (uint32_t suspects)
{
  csp_part_quarantine_t *quarantine = csp_create_part_quarantine (1);
  uint32_t i;
  uint32_t j;

  if (quarantine == NULL)
    abort ();
  for (i = 0; i < suspects; i++)
    for (j = 0; j < CSP_PART_STRIKES_KEPT; j++)
      {
        csp_part_strike_t strike
            = { .part = i + 1, .target = (uint64_t)i * STRIDE + j + 1 };

        csp_add_own_part_strike (quarantine, &strike, 1, 1 + j * STRIDE);
      }
  return quarantine;
}

typedef enum
{
  LOOK_UP,
  NOTE_SOUND,
  TRY
} part_work_t;

static bool
has_ended (void *state, uint64_t target, int64_t at_ms)
{
  (void)state;
  (void)target;
  (void)at_ms;
  return true;
}

static double
time_parts_ns (uint32_t suspects, part_work_t work)
{
  csp_part_quarantine_t *quarantine = create_suspected (suspects);
  csp_trial_facts_t facts = { .has_ended = has_ended };
  csp_prompt_parts_t parts;
  uint64_t tried[4];
  int64_t start_ns;
  double elapsed_ns;
  size_t j;
  int i;

  csp_read_prompt_parts (prompt, 7, &parts);
  start_ns = now_ns ();
  for (i = 0; i < REPEATS; i++)
    switch (work)
      {
      case LOOK_UP:
        csp_held_part_left_ms (quarantine, &parts, 1);
        break;
      case NOTE_SOUND:
        for (j = 0; j < parts.count; j++)
          csp_note_sound_part (quarantine, parts.parts[j], i);
        break;
      case TRY:
        /* Too early for any trial, so all are looked at each time.  */
        csp_try_suspected_parts (quarantine, &facts, tried, 4, 1);
        break;
      }
  elapsed_ns = (double)(now_ns () - start_ns) / REPEATS;
  csp_destroy_part_quarantine (quarantine);
  return elapsed_ns;
}

static double
count_strike_bytes (size_t strikes)
{
  csp_hello_t hello = { .boot = UINT64_MAX,
                        .sequence = STRIDE,
                        .part_strike_count = strikes };
  csp_buffer_t bytes = { 0 };
  double size_bytes;
  size_t i;

  for (i = 0; i < strikes; i++)
    hello.part_strikes[i] = (csp_part_strike_t){ .part = UINT64_MAX - i,
                                                 .target = UINT64_MAX,
                                                 .position = 1,
                                                 .age_ms = 100 };
  if (!csp_encode_hello (&hello, &bytes))
    abort ();
  size_bytes = (double)bytes.size_bytes;
  csp_clear_buffer (&bytes);
  return size_bytes;
}

static void
print_bytes (const char *name, double baseline, double now)
{
  printf ("%s baseline=%.0f now=%.0f ratio=%.2f unit=B\n", name, baseline, now,
          now / baseline);
}

static void
measure_parts (void)
{
  double none_ns = time_parts_ns (0, LOOK_UP);
  double sound_ns = time_parts_ns (0, NOTE_SOUND);

  printf ("parts-read baseline=%.0f now=%.0f ratio=1.00 unit=ns\n",
          time_reading_parts_ns (), time_reading_parts_ns ());
  print_result ("parts-look-256", none_ns,
                time_parts_ns (CSP_SUSPECTED_PARTS_MAX, LOOK_UP));
  print_result ("parts-sound-256", sound_ns,
                time_parts_ns (CSP_SUSPECTED_PARTS_MAX, NOTE_SOUND));
  print_result ("parts-try-256", time_parts_ns (1, TRY),
                time_parts_ns (CSP_SUSPECTED_PARTS_MAX, TRY));
  print_bytes ("parts-strikes-16", count_strike_bytes (1),
               count_strike_bytes (CSP_HELLO_PART_STRIKES_MAX));
}

int
main (void)
{
  char *body = calloc (1, BODY_BYTES_MAX);
  double kilobyte_body_ns;
  double no_suspects_ns;

  if (body == NULL)
    return 1;
  kilobyte_body_ns = time_fingerprint_ns (body, 1024);
  no_suspects_ns = time_lookup_ns (0);
  print_result ("fingerprint-13kB", kilobyte_body_ns,
                time_fingerprint_ns (body, 13000));
  print_result ("fingerprint-64kB", kilobyte_body_ns,
                time_fingerprint_ns (body, BODY_BYTES_MAX));
  print_result ("quarantine-look-64", no_suspects_ns, time_lookup_ns (64));
  print_result ("quarantine-look-1024", no_suspects_ns,
                time_lookup_ns (CSP_SUSPECTS_MAX));
  free (body);
  measure_parts ();
  return 0;
}
