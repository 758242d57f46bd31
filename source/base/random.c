#include "cowslipspoke/random.h"

#include <stdlib.h>
#include <sys/random.h>

void
csp_seed_random (csp_random_t *random, uint64_t seed)
{
  random->state[0] = (unsigned short)seed;
  random->state[1] = (unsigned short)(seed >> 16);
  random->state[2] = (unsigned short)((seed >> 32) ^ (seed >> 48));
}

uint64_t
csp_random_seed (void)
{
  uint64_t seed = 0;

  if (getrandom (&seed, sizeof seed, 0) != (ssize_t)sizeof seed)
    abort ();
  return seed;
}

double
csp_random_unit (csp_random_t *random)
{
  return erand48 (random->state);
}

uint32_t
csp_random_below (csp_random_t *random, uint32_t bound)
{
  return (uint32_t)(erand48 (random->state) * bound);
}

uint64_t
csp_random_u64 (csp_random_t *random)
{
  uint64_t high = (uint64_t)(uint32_t)jrand48 (random->state);
  uint64_t low = (uint64_t)(uint32_t)jrand48 (random->state);

  return high << 32 | low;
}
