#include "cowslipspoke/random.h"
#include "cowslipspoke/retry-lease.h"
#include "cowslipspoke/retry.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static const csp_lease_policy_t policy = { .extra = 600, .window_ms = 10000 };

/* A fleet of 100 hosts in four data centres, whole.  */
static const csp_lease_facts_t whole = { .hosts_asking = 100,
                                         .hosts_known = 100,
                                         .data_centres_heard = 4,
                                         .data_centres_listed = 4 };

/* What happens to one pool, in order, and what is granted.  A host that takes
   over doesn't know what the one before has lent, so it lends nothing until
   that can't be spent any more in a window with its own: 12 s.  */
typedef struct
{
  int64_t at_ms;
  int duty; /* 1: it decides from now on, -1: no more, 0: as before */
  uint32_t wanted;
  uint32_t granted;
} step_t;

static const struct
{
  const char *what;
  step_t steps[6];
} stories[] = {
  { "a host that decides for long", { { 0, 1, 0, 0 }, { 12000, 0, 5, 5 } } },
  { "one that has just taken over",
    { { 0, 1, 0, 0 }, { 11999, 0, 5, 0 }, { 12001, 0, 5, 5 } } },
  { "one that doesn't decide", { { 0, 0, 0, 0 }, { 60000, 0, 5, 0 } } },
  { "half of all and no more",
    { { 0, 1, 0, 0 },
      { 20000, 0, 250, 250 },
      { 20100, 0, 100, 50 },
      { 21000, 0, 1, 0 } } },
  { "what was lent counts until no window holds it",
    { { 0, 1, 0, 0 },
      { 20000, 0, 300, 300 },
      { 31900, 0, 10, 0 },
      { 32600, 0, 10, 10 } } },
  { "it loses the duty and has it again",
    { { 0, 1, 0, 0 },
      { 20000, 0, 300, 300 },
      { 21000, -1, 9, 0 },
      { 22000, 1, 9, 0 },
      { 33900, 0, 9, 0 },
      { 34100, 0, 9, 9 } } },
  { "nothing for a long time",
    { { 0, 1, 0, 0 }, { 20000, 0, 300, 300 }, { 900000, 0, 300, 300 } } },
};

START_TEST (a_pool_lends_what_may_be_spent)
{
  csp_lease_pool_t pool;
  size_t i;

  csp_open_lease_pool (&pool, &policy, 0);
  for (i = 0; i < sizeof stories[0].steps / sizeof stories[0].steps[0]; i++)
    {
      const step_t *step = &stories[_i].steps[i];
      uint32_t granted;

      if (i > 0 && step->at_ms == 0)
        break;
      if (step->duty != 0)
        csp_note_lease_duty (&pool, step->duty > 0, step->at_ms);
      granted = csp_grant_leases (&pool, &whole, step->wanted, step->at_ms);
      ck_assert_msg (granted == step->granted, "%s: step %zu: %u",
                     stories[_i].what, i, granted);
    }
}
END_TEST

/* A cut makes two hosts decide, and each has a pool.  Each pool is worth the
   part of the fleet that asks its host; a side all of whose hosts have started
   anew knows nobody else, but knows from the list where targets are.  */
static const struct
{
  const char *what;
  csp_lease_facts_t facts;
  uint32_t lent;
} parts[] = {
  { "the whole fleet", { 100, 100, 4, 4 }, 300 },
  { "a quarter of it", { 25, 100, 4, 4 }, 75 },
  { "a data centre that has started anew in a cut", { 25, 25, 1, 4 }, 75 },
  { "a host that hears nobody", { 1, 100, 1, 4 }, 0 },
  { "nothing is listed", { 1, 1, 1, 0 }, 0 },
  { "more ask than are known", { 101, 100, 4, 4 }, 300 },
};

START_TEST (a_pool_is_worth_the_part_that_asks)
{
  csp_lease_pool_t pool;
  uint32_t lent;

  csp_open_lease_pool (&pool, &policy, 0);
  csp_note_lease_duty (&pool, true, 0);
  lent = csp_grant_leases (&pool, &parts[_i].facts, 1000, 20000);
  ck_assert_msg (lent == parts[_i].lent, "%s: %u", parts[_i].what, lent);
}
END_TEST

static const csp_retry_facts_t refused
    = { .verdict = CSP_VERDICT_NOT_RUN, .attempts = 1, .left_ms = 30000 };

/* What is lent dies by itself: a host that was paused with a lease spends
   nothing of it afterwards.  */
START_TEST (a_lease_is_spent_in_its_time)
{
  csp_retry_policy_t none = { .most_attempts = 3 };
  csp_retry_facts_t facts = refused;
  csp_retry_budget_t budget;

  csp_open_retry_budget (&budget, &none);
  ck_assert_int_eq (csp_decide_retry (&budget, &facts), CSP_RETRY_BUDGET);
  csp_take_retry_lease (&budget, 2, 5000);
  facts.now_ms = 4999;
  ck_assert_int_eq (csp_decide_retry (&budget, &facts), CSP_RETRY_YES);
  facts.now_ms = 5000;
  ck_assert_int_eq (csp_decide_retry (&budget, &facts), CSP_RETRY_BUDGET);
}
END_TEST

/* A play of a fleet all of whose targets refuse everything: hosts that ask for
   leases, decide, die and start anew, data centres that are cut off, words
   that are lost, and views of all this that are seconds old.  */
enum
{
  DATA_CENTRES = 3,
  HOSTS_EACH = 20,
  HOSTS = DATA_CENTRES * HOSTS_EACH,
  STEP_MS = 50,
  STEPS = 2400,
  WINDOW_STEPS = 200, /* 10 s */
  VIEW_LAG_MS = 3300,
  LOST_OF_100 = 5,
  REQUESTS_OF_100 = 30, /* a host, in a step */
  CUT_EVERY_STEPS = 900,
  DEATH_EVERY_STEPS = 40
};

static const double retry_share = 0.2;
static const csp_lease_policy_t play_policy
    = { .extra = 240, .window_ms = 10000 };

typedef struct
{
  csp_retry_budget_t budget;
  csp_lease_pool_t pool;
  bool alive;
  int64_t back_ms;
  size_t decider;      /* as it sees it */
  int64_t looks_at_ms; /* when it sees who decides anew */
  bool knows[HOSTS];   /* hosts that it has ever heard since its start */
} host_t;

typedef struct
{
  host_t hosts[HOSTS];
  size_t cut_off; /* a data centre; DATA_CENTRES: none */
  bool all_cut;   /* each data centre from each other */
  int64_t cut_until_ms;
  int64_t now_ms;
  csp_random_t random;
  uint32_t requests[STEPS];
  uint32_t repeats[STEPS];
} play_t;

static size_t
data_centre_of (size_t host)
{
  return host / HOSTS_EACH;
}

static bool
reaches (const play_t *play, size_t a, size_t b)
{
  bool a_cut = data_centre_of (a) == play->cut_off;
  bool b_cut = data_centre_of (b) == play->cut_off;

  if (play->all_cut && data_centre_of (a) != data_centre_of (b))
    return false;
  return play->hosts[a].alive && play->hosts[b].alive && a_cut == b_cut;
}

static void
start_host (play_t *play, size_t number)
{
  host_t *host = &play->hosts[number];
  csp_retry_policy_t own
      = { .retry_share = retry_share, .retry_most = 1, .most_attempts = 3 };

  memset (host, 0, sizeof *host);
  csp_open_retry_budget (&host->budget, &own);
  csp_open_lease_pool (&host->pool, &play_policy, play->now_ms);
  host->alive = true;
  host->decider = number;
  host->looks_at_ms = play->now_ms;
}

static void
look_around (play_t *play, size_t number)
{
  host_t *host = &play->hosts[number];
  size_t i;

  if (play->now_ms < host->looks_at_ms)
    return;
  host->looks_at_ms
      = play->now_ms + csp_random_below (&play->random, VIEW_LAG_MS);
  for (i = HOSTS; i-- > 0;)
    if (reaches (play, number, i))
      {
        host->knows[i] = true;
        host->decider = i;
      }
  csp_note_lease_duty (&host->pool, host->decider == number, play->now_ms);
}

static csp_lease_facts_t
facts_of (const play_t *play, size_t number)
{
  csp_lease_facts_t facts = { .data_centres_listed = DATA_CENTRES };
  bool heard[DATA_CENTRES] = { false };
  size_t i;

  for (i = 0; i < HOSTS; i++)
    {
      facts.hosts_known += i == number || play->hosts[number].knows[i];
      if (!reaches (play, number, i))
        continue;
      facts.hosts_asking += play->hosts[i].decider == number;
      heard[data_centre_of (i)] = true;
    }
  for (i = 0; i < DATA_CENTRES; i++)
    facts.data_centres_heard += heard[i];
  return facts;
}

static bool
is_lost (play_t *play)
{
  return csp_random_below (&play->random, 100) < LOST_OF_100;
}

static void
ask_for_lease (play_t *play, size_t number)
{
  size_t decider = play->hosts[number].decider;
  csp_lease_facts_t facts;
  uint32_t granted;

  if (!reaches (play, number, decider) || is_lost (play))
    return;
  facts = facts_of (play, decider);
  granted
      = csp_grant_leases (&play->hosts[decider].pool, &facts, 2, play->now_ms);
  if (!is_lost (play))
    csp_take_retry_lease (&play->hosts[number].budget, granted,
                          play->now_ms + CSP_LEASE_MS);
}

/* A host's requests of one step, each refused until no retry is left.  */
static void
serve (play_t *play, size_t number, size_t step)
{
  host_t *host = &play->hosts[number];
  csp_retry_facts_t facts = refused;

  if (!host->alive || csp_random_below (&play->random, 100) >= REQUESTS_OF_100)
    return;
  play->requests[step]++;
  csp_note_first_attempt (&host->budget);
  facts.now_ms = play->now_ms;
  if (csp_decide_retry (&host->budget, &facts) != CSP_RETRY_YES)
    {
      ask_for_lease (play, number);
      if (csp_decide_retry (&host->budget, &facts) != CSP_RETRY_YES)
        return;
    }
  play->repeats[step]++;
}

static void
bring_trouble (play_t *play, size_t step)
{
  size_t victim = csp_random_below (&play->random, HOSTS);
  size_t i;

  if (step % CUT_EVERY_STEPS == CUT_EVERY_STEPS / 2)
    {
      play->cut_off = csp_random_below (&play->random, DATA_CENTRES);
      play->all_cut = csp_random_below (&play->random, 2) == 0;
      play->cut_until_ms
          = play->now_ms + 2000 + csp_random_below (&play->random, 38000);
    }
  if (play->now_ms >= play->cut_until_ms)
    {
      play->cut_off = DATA_CENTRES;
      play->all_cut = false;
    }
  if (step % DEATH_EVERY_STEPS == 0)
    {
      /* The one that decides is as likely as all others together.  */
      if (csp_random_below (&play->random, 2) == 0)
        victim = play->hosts[victim].decider;
      play->hosts[victim].alive = false;
      play->hosts[victim].back_ms
          = play->now_ms + csp_random_below (&play->random, 2000);
    }
  for (i = 0; i < HOSTS; i++)
    if (!play->hosts[i].alive && play->now_ms >= play->hosts[i].back_ms)
      start_host (play, i);
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

START_TEST (no_play_of_a_fleet_sends_more_than_it_may)
{
  play_t *play = calloc (1, sizeof *play);
  uint32_t lent = 0;
  size_t step;
  size_t i;

  ck_assert_ptr_nonnull (play);
  csp_seed_random (&play->random, (uint64_t)_i + 1);
  play->cut_off = DATA_CENTRES;
  for (i = 0; i < HOSTS; i++)
    start_host (play, i);
  for (step = 0; step < STEPS; step++)
    {
      uint32_t allowed;

      play->now_ms = (int64_t)step * STEP_MS;
      bring_trouble (play, step);
      for (i = 0; i < HOSTS; i++)
        {
          look_around (play, i);
          serve (play, i, step);
        }
      allowed = (uint32_t)(retry_share
                           * sum_before (play->requests, (int64_t)step + 1))
                + play_policy.extra;
      ck_assert_msg (sum_before (play->repeats, (int64_t)step + 1) <= allowed,
                     "seed %d, step %zu: %u repeats, allowed %u", _i + 1, step,
                     sum_before (play->repeats, (int64_t)step + 1), allowed);
      lent += play->repeats[step];
    }
  /* And it isn't kept by lending nothing.  */
  ck_assert_uint_gt (lent, sum_before (play->requests, STEPS) / 5);
  free (play);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("lease");
  TCase *tcase = tcase_create ("lease");

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, a_pool_lends_what_may_be_spent, 0,
                       sizeof stories / sizeof stories[0]);
  tcase_add_loop_test (tcase, a_pool_is_worth_the_part_that_asks, 0,
                       sizeof parts / sizeof parts[0]);
  tcase_add_test (tcase, a_lease_is_spent_in_its_time);
  tcase_add_loop_test (tcase, no_play_of_a_fleet_sends_more_than_it_may, 0,
                       24);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
