#include "cowslipspoke/random.h"
#include "cowslipspoke/retry-lease.h"
#include "cowslipspoke/retry.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const csp_lease_policy_t policy
    = { .max_per_window = 600, .window_ms = 10000 };

/* A fleet of 100 hosts in four data centres without faults.  */
static const csp_lease_facts_t healthy_fleet = { .hosts_asking = 100,
                                                 .hosts_known = 100,
                                                 .data_centres_live = 4,
                                                 .data_centres_listed = 4 };

/* Events of one pool in order, with the granted leases.  A new decider doesn't
   know the leases of its predecessor, so it grants nothing until none of them
   can be used in the same window as its own: 12 s.  */
typedef struct
{
  int64_t at_ms;
  int decider; /* 1: becomes the decider, -1: no longer is, 0: unchanged */
  uint32_t wanted;
  uint32_t granted;
} step_t;

static const struct
{
  const char *name;
  step_t steps[6];
} cases[] = {
  { "an established decider", { { 0, 1, 0, 0 }, { 12000, 0, 5, 5 } } },
  { "a new decider",
    { { 0, 1, 0, 0 }, { 11999, 0, 5, 0 }, { 12001, 0, 5, 5 } } },
  { "not the decider", { { 0, 0, 0, 0 }, { 60000, 0, 5, 0 } } },
  { "half of the limit and no more",
    { { 0, 1, 0, 0 },
      { 20000, 0, 250, 250 },
      { 20100, 0, 100, 50 },
      { 21000, 0, 1, 0 } } },
  { "a grant counts until no window contains it",
    { { 0, 1, 0, 0 },
      { 20000, 0, 300, 300 },
      { 31900, 0, 10, 0 },
      { 32600, 0, 10, 10 } } },
  { "another decider in between",
    { { 0, 1, 0, 0 },
      { 20000, 0, 300, 300 },
      { 21000, -1, 9, 0 },
      { 22000, 1, 9, 0 },
      { 33900, 0, 9, 0 },
      { 34100, 0, 9, 9 } } },
  { "no grants for a long time",
    { { 0, 1, 0, 0 }, { 20000, 0, 300, 300 }, { 900000, 0, 300, 300 } } },
};

START_TEST (a_pool_grants_up_to_its_limit)
{
  csp_lease_pool_t pool;
  size_t i;

  csp_init_lease_pool (&pool, &policy, 0);
  for (i = 0; i < sizeof cases[0].steps / sizeof cases[0].steps[0]; i++)
    {
      const step_t *step = &cases[_i].steps[i];
      uint32_t granted;

      if (i > 0 && step->at_ms == 0)
        break;
      if (step->decider != 0)
        csp_set_lease_decider (&pool, step->decider > 0, step->at_ms);
      granted = csp_grant_leases (&pool, &healthy_fleet, step->wanted,
                                  step->at_ms);
      ck_assert_msg (granted == step->granted, "%s: step %zu: %u",
                     cases[_i].name, i, granted);
    }
}
END_TEST

/* A partition can produce two deciders, each with a pool, so a pool is limited
   to the part of the fleet that asks its host.  If all hosts of one side have
   restarted they don't know the others, but the list of targets still shows
   all data centres.  */
static const struct
{
  const char *name;
  csp_lease_facts_t facts;
  uint32_t granted;
} fleet_views[] = {
  { "the whole fleet", { 100, 100, 4, 4 }, 300 },
  { "a quarter of it", { 25, 100, 4, 4 }, 75 },
  { "a data centre that has restarted in a partition", { 25, 25, 1, 4 }, 75 },
  { "a host that reaches no other", { 1, 100, 1, 4 }, 0 },
  { "nothing is listed", { 1, 1, 1, 0 }, 0 },
  { "more ask than are known", { 101, 100, 4, 4 }, 300 },
};

START_TEST (a_pool_is_limited_to_the_part_that_asks)
{
  csp_lease_pool_t pool;
  uint32_t granted;

  csp_init_lease_pool (&pool, &policy, 0);
  csp_set_lease_decider (&pool, true, 0);
  granted = csp_grant_leases (&pool, &fleet_views[_i].facts, 1000, 20000);
  ck_assert_msg (granted == fleet_views[_i].granted, "%s: %u",
                 fleet_views[_i].name, granted);
}
END_TEST

static const csp_retry_facts_t refused
    = { .verdict = CSP_VERDICT_NOT_RUN, .attempts = 1, .left_ms = 30000 };

/* Guards against a paused host that uses its lease after it has expired.  */
START_TEST (an_expired_lease_is_not_used)
{
  csp_retry_policy_t no_retries = { .attempts_max = 3 };
  csp_retry_facts_t facts = refused;
  csp_retry_budget_t budget;

  csp_init_retry_budget (&budget, &no_retries);
  ck_assert_int_eq (csp_decide_retry (&budget, &facts),
                    CSP_RETRY_BUDGET_USED_UP);
  csp_take_retry_lease (&budget, 2, 5000);
  facts.now_ms = 4999;
  ck_assert_int_eq (csp_decide_retry (&budget, &facts), CSP_RETRY_ALLOWED);
  facts.now_ms = 5000;
  ck_assert_int_eq (csp_decide_retry (&budget, &facts),
                    CSP_RETRY_BUDGET_USED_UP);
}
END_TEST

/* A simulation of a fleet whose targets refuse all requests.  Hosts ask for
   leases, become the decider, crash and restart; data centres are partitioned,
   messages are lost, and a host's view of the decider is seconds old.  */
enum
{
  DATA_CENTRES = 3,
  HOSTS_EACH = 20,
  HOSTS = DATA_CENTRES * HOSTS_EACH,
  STEP_MS = 50,
  STEPS = 2400,
  WINDOW_STEPS = 200, /* 10 s */
  VIEW_LAG_MS = 3300,
  LOSS_PERCENT = 5,
  REQUEST_PERCENT = 30, /* per host and step */
  PARTITION_EVERY_STEPS = 900,
  CRASH_EVERY_STEPS = 40
};

static const double retry_share = 0.2;
static const csp_lease_policy_t sim_policy
    = { .max_per_window = 240, .window_ms = 10000 };

typedef struct
{
  csp_retry_budget_t budget;
  csp_lease_pool_t pool;
  bool alive;
  int64_t restart_ms;
  size_t decider;       /* in this host's view */
  int64_t next_view_ms; /* next update of the view */
  bool seen[HOSTS];     /* hosts seen since its start */
} host_t;

typedef struct
{
  host_t hosts[HOSTS];
  size_t partitioned;   /* the partitioned data centre; DATA_CENTRES: none */
  bool all_partitioned; /* every data centre is partitioned from all others */
  int64_t partition_ends_ms;
  int64_t now_ms;
  csp_random_t random;
  uint32_t requests[STEPS];
  uint32_t retries[STEPS];
} sim_t;

static size_t
data_centre_of (size_t host)
{
  return host / HOSTS_EACH;
}

static bool
can_reach (const sim_t *sim, size_t a, size_t b)
{
  bool a_partitioned = data_centre_of (a) == sim->partitioned;
  bool b_partitioned = data_centre_of (b) == sim->partitioned;

  if (sim->all_partitioned && data_centre_of (a) != data_centre_of (b))
    return false;
  return sim->hosts[a].alive && sim->hosts[b].alive
         && a_partitioned == b_partitioned;
}

static void
start_host (sim_t *sim, size_t index)
{
  host_t *host = &sim->hosts[index];
  csp_retry_policy_t own_policy
      = { .retry_share = retry_share, .retry_max = 1, .attempts_max = 3 };

  memset (host, 0, sizeof *host);
  csp_init_retry_budget (&host->budget, &own_policy);
  csp_init_lease_pool (&host->pool, &sim_policy, sim->now_ms);
  host->alive = true;
  host->decider = index;
  host->next_view_ms = sim->now_ms;
}

static void
update_view (sim_t *sim, size_t index)
{
  host_t *host = &sim->hosts[index];
  size_t i;

  if (sim->now_ms < host->next_view_ms)
    return;
  host->next_view_ms
      = sim->now_ms + csp_random_below (&sim->random, VIEW_LAG_MS);
  for (i = HOSTS; i-- > 0;)
    if (can_reach (sim, index, i))
      {
        host->seen[i] = true;
        host->decider = i;
      }
  csp_set_lease_decider (&host->pool, host->decider == index, sim->now_ms);
}

static csp_lease_facts_t
view_fleet (const sim_t *sim, size_t index)
{
  csp_lease_facts_t facts = { .data_centres_listed = DATA_CENTRES };
  bool seen_data_centres[DATA_CENTRES] = { false };
  size_t i;

  for (i = 0; i < HOSTS; i++)
    {
      facts.hosts_known += i == index || sim->hosts[index].seen[i];
      if (!can_reach (sim, index, i))
        continue;
      facts.hosts_asking += sim->hosts[i].decider == index;
      seen_data_centres[data_centre_of (i)] = true;
    }
  for (i = 0; i < DATA_CENTRES; i++)
    facts.data_centres_live += seen_data_centres[i];
  return facts;
}

static bool
loses_message (sim_t *sim)
{
  return csp_random_below (&sim->random, 100) < LOSS_PERCENT;
}

static void
ask_for_lease (sim_t *sim, size_t index)
{
  size_t decider = sim->hosts[index].decider;
  csp_lease_facts_t facts;
  uint32_t granted;

  if (!can_reach (sim, index, decider) || loses_message (sim))
    return;
  facts = view_fleet (sim, decider);
  granted
      = csp_grant_leases (&sim->hosts[decider].pool, &facts, 2, sim->now_ms);
  if (!loses_message (sim))
    csp_take_retry_lease (&sim->hosts[index].budget, granted,
                          sim->now_ms + CSP_LEASE_MS);
}

/* Simulates the request of one host in one step: its first attempt is refused,
   and it is retried if the budget or a lease allows it.  */
static void
simulate_request (sim_t *sim, size_t index, size_t step)
{
  host_t *host = &sim->hosts[index];
  csp_retry_facts_t facts = refused;

  if (!host->alive || csp_random_below (&sim->random, 100) >= REQUEST_PERCENT)
    return;
  sim->requests[step]++;
  csp_note_first_attempt (&host->budget);
  facts.now_ms = sim->now_ms;
  if (csp_decide_retry (&host->budget, &facts) != CSP_RETRY_ALLOWED)
    {
      ask_for_lease (sim, index);
      if (csp_decide_retry (&host->budget, &facts) != CSP_RETRY_ALLOWED)
        return;
    }
  sim->retries[step]++;
}

static void
inject_faults (sim_t *sim, size_t step)
{
  size_t victim = csp_random_below (&sim->random, HOSTS);
  size_t i;

  if (step % PARTITION_EVERY_STEPS == PARTITION_EVERY_STEPS / 2)
    {
      sim->partitioned = csp_random_below (&sim->random, DATA_CENTRES);
      sim->all_partitioned = csp_random_below (&sim->random, 2) == 0;
      sim->partition_ends_ms
          = sim->now_ms + 2000 + csp_random_below (&sim->random, 38000);
    }
  if (sim->now_ms >= sim->partition_ends_ms)
    {
      sim->partitioned = DATA_CENTRES;
      sim->all_partitioned = false;
    }
  if (step % CRASH_EVERY_STEPS == 0)
    {
      /* The decider is hit as often as all other hosts together.  */
      if (csp_random_below (&sim->random, 2) == 0)
        victim = sim->hosts[victim].decider;
      sim->hosts[victim].alive = false;
      sim->hosts[victim].restart_ms
          = sim->now_ms + csp_random_below (&sim->random, 2000);
    }
  for (i = 0; i < HOSTS; i++)
    if (!sim->hosts[i].alive && sim->now_ms >= sim->hosts[i].restart_ms)
      start_host (sim, i);
}

static uint32_t
sum_before (const uint32_t *counts, int64_t end)
{
  int64_t i = end - WINDOW_STEPS;
  uint32_t sum = 0;

  for (i = i < 0 ? 0 : i; i < end; i++)
    sum += counts[i];
  return sum;
}

START_TEST (no_simulated_fleet_exceeds_its_retries)
{
  sim_t *sim = calloc (1, sizeof *sim);
  uint32_t total_retries = 0;
  size_t step;
  size_t i;

  ck_assert_ptr_nonnull (sim);
  csp_seed_random (&sim->random, (uint64_t)_i + 1);
  sim->partitioned = DATA_CENTRES;
  for (i = 0; i < HOSTS; i++)
    start_host (sim, i);
  for (step = 0; step < STEPS; step++)
    {
      uint32_t allowed;

      sim->now_ms = (int64_t)step * STEP_MS;
      inject_faults (sim, step);
      for (i = 0; i < HOSTS; i++)
        {
          update_view (sim, i);
          simulate_request (sim, i, step);
        }
      allowed = (uint32_t)(retry_share
                           * sum_before (sim->requests, (int64_t)step + 1))
                + sim_policy.max_per_window;
      ck_assert_msg (sum_before (sim->retries, (int64_t)step + 1) <= allowed,
                     "seed %d, step %zu: %u retries, allowed %u", _i + 1, step,
                     sum_before (sim->retries, (int64_t)step + 1), allowed);
      total_retries += sim->retries[step];
    }
  /* The limit isn't kept by lending nothing.  */
  ck_assert_uint_gt (total_retries, sum_before (sim->requests, STEPS) / 5);
  free (sim);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("lease");
  TCase *tcase = tcase_create ("lease");

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, a_pool_grants_up_to_its_limit, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_loop_test (tcase, a_pool_is_limited_to_the_part_that_asks, 0,
                       sizeof fleet_views / sizeof fleet_views[0]);
  tcase_add_test (tcase, an_expired_lease_is_not_used);
  tcase_add_loop_test (tcase, no_simulated_fleet_exceeds_its_retries, 0, 24);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
