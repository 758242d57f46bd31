#ifndef COWSLIPSPOKE_RANDOM_H
#define COWSLIPSPOKE_RANDOM_H

#include <stdint.h>

/* A seeded pseudo-random generator over the C library's drand48 family, so
   that a test or a replay makes the same choices for the same seed.  */
typedef struct
{
  unsigned short state[3];
} csp_random_t;

/* Initialises a generator with a seed.  */
void csp_seed_random (csp_random_t *random, uint64_t seed);

/* A random seed from the kernel, for production use.  */
uint64_t csp_random_seed (void);

/* A number in [0, 1).  */
double csp_random_unit (csp_random_t *random);

/* An integer in [0, bound); 0 if bound is 0.  */
uint32_t csp_random_below (csp_random_t *random, uint32_t bound);

/* A 64-bit number.  */
uint64_t csp_random_u64 (csp_random_t *random);

#endif
