#ifndef TESTS_PART_SIM_H
#define TESTS_PART_SIM_H

#include "cowslipspoke/part-quarantine.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A seeded simulation: requests with parts that crash engines come through all
   hosts, among sound ones that share their other parts; hosts restart, are
   partitioned and lose messages, and engines also end for other reasons.  */

typedef enum
{
  PART_ENDS_NONE,
  PART_ENDS_A_THIRD, /* of the engines at one moment, three times */
  PART_ENDS_ALL,     /* engines at one moment, three times */
  PART_ENDS_IN_TURN, /* the same, within two seconds */
  PART_ENDS_THIRD_IN_TURN,
  PART_ENDS_FLAPPING, /* one engine again and again */
  PART_ENDS_RANDOM    /* one engine a second, any */
} part_ends_t;

typedef struct
{
  const char *name;
  size_t guilty;     /* parts */
  bool guilty_first; /* it is the first part of every prompt */
  int64_t guilty_every_ms;
  int64_t sound_every_ms;
  int64_t sound_max_ms; /* how long sound answers last */
  part_ends_t other_ends;
  bool host_faults;
  bool herd; /* most requests come to one host */
} part_play_t;

/* Runs a play and checks its bounds: of requests with a crashing part at most
   three are sent well after the fifth engine has ended under it, by hosts that
   are in contact, and no sound part is held.  */
void part_sim_check (const part_play_t *play, int seed);

#endif
