#include "cowslipspoke/limit.h"
#include "cowslipspoke/random.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Measures by how much a limit shared by all hosts is exceeded when hosts know
   the demand of the others late or not at all.  Twelve hosts publish their
   demand each second, and the others see it lag_rounds later.  Demands change
   at random every ten seconds.  In some scenarios a network partition splits
   the hosts in two halves for a third of the time.  The baseline
   of the excess is each host enforcing the whole limit on its own.  */

enum
{
  HOSTS = 12,
  LIMIT_TOKENS_PER_S = 12000,
  ROUNDS = 1200,
  REQUEST_TOKENS = 100,
  LAG_SLOTS = 8,
  MS_PER_ROUND = 1000
};

typedef struct
{
  const char *name;
  int lag_rounds;
  bool partitioned;
  bool list_omits_unreachable;
} scenario_t;

/* published is a ring of the demands of the last rounds.  */
typedef struct
{
  csp_limit_t limits[HOSTS];
  double published[LAG_SLOTS][HOSTS];
  double demand[HOSTS];
  csp_random_t random;
} fleet_t;

/* Admitted tokens as multiples of the limit.  */
typedef struct
{
  double worst_second;
  double worst_minute;
  double mean_used;
} excess_t;

static void
draw_demands (fleet_t *fleet)
{
  int i;

  for (i = 0; i < HOSTS; i++)
    fleet->demand[i]
        = csp_random_unit (&fleet->random) < 0.3
              ? LIMIT_TOKENS_PER_S * csp_random_unit (&fleet->random)
              : 0;
  fleet->demand[csp_random_below (&fleet->random, HOSTS)] = LIMIT_TOKENS_PER_S;
}

static double
admit_requests (fleet_t *fleet, int64_t now_ms)
{
  double admitted = 0;
  uint32_t retry_after;
  int requested;
  int i;

  for (i = 0; i < HOSTS; i++)
    for (requested = 0; requested < fleet->demand[i];
         requested += REQUEST_TOKENS)
      if (csp_admit_limited_stream (
              &fleet->limits[i], REQUEST_TOKENS,
              now_ms + (int64_t)(MS_PER_ROUND * requested / fleet->demand[i]),
              &retry_after))
        {
          csp_end_limited_stream (&fleet->limits[i], REQUEST_TOKENS,
                                  REQUEST_TOKENS);
          admitted += REQUEST_TOKENS;
        }
  return admitted;
}

static void
update_shares (fleet_t *fleet, const scenario_t *scenario, int round,
               int partition_round)
{
  csp_limit_peer_t peers[HOSTS];
  uint32_t count;
  int seen_round;
  int i;
  int j;

  for (i = 0; i < HOSTS; i++)
    fleet->published[round % LAG_SLOTS][i]
        = csp_publish_demand (&fleet->limits[i]);
  for (i = 0; i < HOSTS; i++)
    {
      count = 0;
      for (j = 0; j < HOSTS; j++)
        {
          bool unreachable
              = partition_round >= 0 && (i < HOSTS / 2) != (j < HOSTS / 2);

          if (j == i || (unreachable && scenario->list_omits_unreachable))
            continue;
          seen_round = round - scenario->lag_rounds;
          peers[count].age_ms
              = (uint32_t)(scenario->lag_rounds * MS_PER_ROUND);
          if (unreachable)
            peers[count].age_ms
                += (uint32_t)((round - partition_round) * MS_PER_ROUND);
          peers[count].demand
              = seen_round < 0 ? 0
                               : fleet->published[seen_round % LAG_SLOTS][j];
          count++;
        }
      csp_update_limit_share (&fleet->limits[i], peers, count);
    }
}

static excess_t
simulate (const scenario_t *scenario)
{
  csp_limit_policy_t policy = csp_default_limit_policy ();
  excess_t excess = { 0, 0, 0 };
  double minute = 0;
  double admitted;
  fleet_t fleet;
  int partition_round = -1;
  int round;
  int i;

  memset (&fleet, 0, sizeof fleet);
  csp_seed_random (&fleet.random, 3);
  for (i = 0; i < HOSTS; i++)
    csp_init_limit (&fleet.limits[i], &policy, LIMIT_TOKENS_PER_S, 0, HOSTS,
                    1000);
  for (round = 0; round < ROUNDS; round++)
    {
      if (round % 10 == 0)
        draw_demands (&fleet);
      if (scenario->partitioned && round % 300 == 200)
        partition_round = round;
      if (round % 300 == 0)
        partition_round = -1;
      admitted = admit_requests (&fleet, 1000 + (int64_t)round * MS_PER_ROUND);
      update_shares (&fleet, scenario, round, partition_round);
      if (round < 60)
        continue;
      excess.worst_second
          = fmax (excess.worst_second, admitted / LIMIT_TOKENS_PER_S);
      minute += admitted;
      excess.mean_used += admitted / LIMIT_TOKENS_PER_S / (ROUNDS - 60);
      if (round % 60 == 59)
        {
          excess.worst_minute
              = fmax (excess.worst_minute, minute / LIMIT_TOKENS_PER_S / 60);
          minute = 0;
        }
    }
  return excess;
}

int
main (void)
{
  static const scenario_t scenarios[] = {
    { "talking.lag_1", 1, false, false },
    { "talking.lag_3", 3, false, false },
    { "split.all_listed", 1, true, false },
    { "split.list_splits", 1, true, true },
  };
  excess_t excess;
  uint32_t i;

  for (i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    {
      excess = simulate (&scenarios[i]);
      printf ("limit.%s.worst_second baseline=%d now=%.3f ratio=%.3f "
              "unit=of_the_limit\n",
              scenarios[i].name, HOSTS, excess.worst_second,
              excess.worst_second / HOSTS);
      printf ("limit.%s.worst_minute baseline=%d now=%.3f ratio=%.3f "
              "unit=of_the_limit\n",
              scenarios[i].name, HOSTS, excess.worst_minute,
              excess.worst_minute / HOSTS);
      printf ("limit.%s.mean_used baseline=1 now=%.3f ratio=%.3f "
              "unit=of_the_limit\n",
              scenarios[i].name, excess.mean_used, excess.mean_used);
    }
  return EXIT_SUCCESS;
}
