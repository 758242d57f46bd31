#include "cowslipspoke/fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

/* Measures what rate limits that targets state cost: a decision of the decider
   on a grant, a choice among targets of which some have a limit, and the bytes
   of the datagrams.  */

enum
{
  TARGETS = 12000,
  LIMITED = 430,
  REPEATS = 200,
  NS_PER_S = 1000000000
};

static int64_t
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (int64_t)now.tv_sec * NS_PER_S + now.tv_nsec;
}

/* Returns the nanoseconds of a decision on a grant, with what it has to know
   of a fleet of that many hosts.  */
static double
time_grant_ns (uint32_t hosts)
{
  const csp_peer_address_t self = { 1, 1 };
  csp_roster_t *roster = csp_create_roster (self, 1, 1, 1);
  csp_rate_limit_t limit
      = { .limited = true, .max_per_s = 3.5, .changed_ms = 1 };
  csp_decider_role_t role = { .decides = true };
  uint32_t wait_ms;
  int64_t start_ns;
  double elapsed_ns;
  uint32_t i;

  for (i = 1; i < hosts; i++)
    csp_add_peer_address (roster, (csp_peer_address_t){ 1 + i, 1 });
  start_ns = now_ns ();
  for (i = 0; i < REPEATS; i++)
    {
      role.fleet.hosts_asking = csp_count_asking_hosts (roster);
      role.fleet.hosts_known = csp_count_known_hosts (roster);
      role.fleet.data_centres_live = csp_count_reachable_data_centres (roster);
      role.fleet.data_centres_listed = 1;
      csp_take_rate_grant (&limit, &role, i, &wait_ms);
    }
  elapsed_ns = (double)(now_ns () - start_ns) / REPEATS;
  csp_destroy_roster (roster);
  return elapsed_ns;
}

/* Returns the nanoseconds of a choice for which the first targets have a
   limit.  */
static double
time_choice_ns (size_t limited)
{
  csp_fleet_t *fleet = csp_create_fleet (NULL, NULL, NULL);
  const csp_rate_report_t stated = { .max_per_s = 3.5 };
  const csp_fleet_need_t need
      = { .service = "s", .asks_rate_grant = true, .sent_by_this_host = true };
  csp_random_t random;
  int64_t start_ns;
  double elapsed_ns;
  size_t i;

  csp_seed_random (&random, 1);
  for (i = 0; i < TARGETS; i++)
    {
      csp_fleet_row_t row = { .service = "s", .data_centre = "d" };

      snprintf (row.id, sizeof row.id, "t-%zu", i);
      csp_update_target (fleet, &row, 0);
      if (i < limited)
        csp_note_target_rate (fleet, csp_find_fleet_target (fleet, row.id),
                              &stated, 1);
    }
  start_ns = now_ns ();
  for (i = 0; i < REPEATS; i++)
    csp_choose_fleet_target (fleet, &need, &random, 2);
  elapsed_ns = (double)(now_ns () - start_ns) / REPEATS;
  csp_destroy_fleet (fleet);
  return elapsed_ns;
}

static double
count_bytes (const csp_hello_t *hello)
{
  csp_buffer_t bytes = { 0 };
  double count;

  if (!csp_encode_hello (hello, &bytes))
    abort ();
  count = (double)bytes.size_bytes;
  csp_clear_buffer (&bytes);
  return count;
}

static void
print_result (const char *name, double baseline, double now, const char *unit)
{
  printf ("%s baseline=%.0f now=%.0f ratio=%.2f unit=%s\n", name, baseline,
          now, baseline > 0 ? now / baseline : 0, unit);
}

int
main (void)
{
  csp_hello_t hello
      = { .boot = ~0ULL, .sequence = 1000000, .data_centre = ~0U };
  double empty_bytes = count_bytes (&hello);

  print_result ("rate-grant-584", time_grant_ns (9), time_grant_ns (584),
                "ns");
  print_result ("rate-choice-430", time_choice_ns (0),
                time_choice_ns (LIMITED), "ns");
  hello.rate_count = 1;
  hello.rates[0]
      = (csp_hello_rate_t){ .target = ~0ULL,
                            .report = { .max_per_s = 3.7, .age_ms = 1000 } };
  print_result ("rate-report", empty_bytes, count_bytes (&hello), "bytes");
  hello.grant_request_count = 1;
  hello.grant_requests[0]
      = (csp_hello_grant_t){ .target = ~0ULL, .id = ~0ULL, .wait_ms = 1000 };
  print_result ("rate-grant-request", empty_bytes, count_bytes (&hello),
                "bytes");
  return 0;
}
