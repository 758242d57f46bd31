#ifndef COWSLIPSPOKE_RANDOM_H
#define COWSLIPSPOKE_RANDOM_H

#include <stdint.h>

/* A seeded sequence of numbers over the C library's drand48 family, so that a
   test or a replay sees the same choices for the same seed.  */
typedef struct
{
  unsigned short state[3];
} csp_random_t;

/* Start a sequence from a seed.  */
void csp_seed_random (csp_random_t *random, uint64_t seed);

/* A seed from the kernel, for a process that starts for real.  */
uint64_t csp_random_seed (void);

/* A number in [0, 1).  */
double csp_random_unit (csp_random_t *random);

/* A whole number in [0, bound); 0 where bound is 0.  */
uint32_t csp_random_below (csp_random_t *random, uint32_t bound);

/* A 64-bit number.  */
uint64_t csp_random_u64 (csp_random_t *random);

#endif
