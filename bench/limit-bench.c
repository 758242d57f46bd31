#include "cowslipspoke/limit.h"
#include "cowslipspoke/random.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How far a limit over all hosts is exceeded when hosts don't talk.  Twelve
   hosts publish their demand each second; news is `lag` rounds old; demands
   jump at random every ten seconds; for a third of the time the hosts are cut
   in two.  baseline is a limit that each host holds alone.  */

enum
{
  HOSTS = 12,
  RATE = 12000,
  ROUNDS = 1200,
  PIECE = 100,
  MOST_LAG = 8,
  MS_PER_ROUND = 1000
};

typedef struct
{
  const char *name;
  int lag;
  bool split;
  bool list_splits;
} case_t;

typedef struct
{
  csp_limit_t limits[HOSTS];
  double published[MOST_LAG][HOSTS];
  double demand[HOSTS];
  csp_random_t random;
} fleet_t;

typedef struct
{
  double worst_second;
  double worst_minute;
  double used;
} excess_t;

static void
draw_demands (fleet_t *fleet)
{
  int i;

  for (i = 0; i < HOSTS; i++)
    fleet->demand[i] = csp_random_unit (&fleet->random) < 0.3
                           ? RATE * csp_random_unit (&fleet->random)
                           : 0;
  fleet->demand[csp_random_below (&fleet->random, HOSTS)] = RATE;
}

static double
serve_round (fleet_t *fleet, int64_t now_ms)
{
  double through = 0;
  uint32_t after;
  int asked;
  int i;

  for (i = 0; i < HOSTS; i++)
    for (asked = 0; asked < fleet->demand[i]; asked += PIECE)
      if (csp_open_limited (
              &fleet->limits[i], PIECE,
              now_ms + (int64_t)(MS_PER_ROUND * asked / fleet->demand[i]),
              &after))
        {
          csp_close_limited (&fleet->limits[i], PIECE, PIECE);
          through += PIECE;
        }
  return through;
}

static void
share_round (fleet_t *fleet, const case_t *one, int round, int cut_since)
{
  csp_limit_peer_t peers[HOSTS];
  uint32_t count;
  int heard;
  int i;
  int j;

  for (i = 0; i < HOSTS; i++)
    fleet->published[round % MOST_LAG][i]
        = csp_publish_demand (&fleet->limits[i]);
  for (i = 0; i < HOSTS; i++)
    {
      count = 0;
      for (j = 0; j < HOSTS; j++)
        {
          bool apart = cut_since >= 0 && (i < HOSTS / 2) != (j < HOSTS / 2);

          if (j == i || (apart && one->list_splits))
            continue;
          heard = round - one->lag;
          peers[count].age_ms = (uint32_t)(one->lag * MS_PER_ROUND);
          if (apart)
            peers[count].age_ms
                += (uint32_t)((round - cut_since) * MS_PER_ROUND);
          peers[count].demand
              = heard < 0 ? 0 : fleet->published[heard % MOST_LAG][j];
          count++;
        }
      csp_share_limit (&fleet->limits[i], peers, count);
    }
}

static excess_t
play (const case_t *one)
{
  csp_limit_policy_t policy = csp_default_limit_policy ();
  excess_t excess = { 0, 0, 0 };
  double minute = 0;
  double through;
  fleet_t fleet;
  int cut_since = -1;
  int round;
  int i;

  memset (&fleet, 0, sizeof fleet);
  csp_seed_random (&fleet.random, 3);
  for (i = 0; i < HOSTS; i++)
    csp_open_limit (&fleet.limits[i], &policy, RATE, 0, HOSTS, 1000);
  for (round = 0; round < ROUNDS; round++)
    {
      if (round % 10 == 0)
        draw_demands (&fleet);
      if (one->split && round % 300 == 200)
        cut_since = round;
      if (round % 300 == 0)
        cut_since = -1;
      through = serve_round (&fleet, 1000 + (int64_t)round * MS_PER_ROUND);
      share_round (&fleet, one, round, cut_since);
      if (round < 60)
        continue;
      excess.worst_second = fmax (excess.worst_second, through / RATE);
      minute += through;
      excess.used += through / RATE / (ROUNDS - 60);
      if (round % 60 == 59)
        {
          excess.worst_minute = fmax (excess.worst_minute, minute / RATE / 60);
          minute = 0;
        }
    }
  return excess;
}

int
main (void)
{
  static const case_t cases[] = {
    { "talking.lag_1", 1, false, false },
    { "talking.lag_3", 3, false, false },
    { "split.all_listed", 1, true, false },
    { "split.list_splits", 1, true, true },
  };
  excess_t excess;
  uint32_t i;

  for (i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      excess = play (&cases[i]);
      printf ("limit.%s.worst_second baseline=%d now=%.3f ratio=%.3f "
              "unit=of_the_limit\n",
              cases[i].name, HOSTS, excess.worst_second,
              excess.worst_second / HOSTS);
      printf ("limit.%s.worst_minute baseline=%d now=%.3f ratio=%.3f "
              "unit=of_the_limit\n",
              cases[i].name, HOSTS, excess.worst_minute,
              excess.worst_minute / HOSTS);
      printf ("limit.%s.mean_used baseline=1 now=%.3f ratio=%.3f "
              "unit=of_the_limit\n",
              cases[i].name, excess.used, excess.used);
    }
  return EXIT_SUCCESS;
}
