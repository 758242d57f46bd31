#ifndef BENCH_ARRIVALS_H
#define BENCH_ARRIVALS_H

#include "engine-model.h"

enum
{
  CLASS_LOOKUP,
  CLASS_SCORE,
  CLASS_DRAFT,
  CLASS_COUNT,
  ORGANISATIONS = 10,
  LARGEST = 0,
  FIRST_SMALL = 3,
  ALL_ORGANISATIONS = -1
};

extern const char *const class_names[CLASS_COUNT];

/* What arrives.  load is a share of the memory that the engines have for the
   mean request at full speed; only is one organisation or all of them; from
   burst_from_us on for burst_us arrivals come burst_factor times as fast.  */
typedef struct
{
  uint64_t seed;
  uint32_t engines;
  double load;
  int64_t duration_us;
  int only;
  int64_t burst_from_us;
  int64_t burst_us;
  double burst_factor;
  double length_factor;
} arrivals_plan_t;

/* Requests in order of arrival; the caller frees them.  The same plan gives
   the same requests, and `only` gives the same ones of that organisation.  */
request_t *make_arrivals (const arrivals_plan_t *plan,
                          const engine_shape_t *shape, uint32_t *count);

#endif
