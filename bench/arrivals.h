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
  LARGEST_ORGANISATION = 0,
  FIRST_SMALL_ORGANISATION = 3,
  ALL_ORGANISATIONS = -1
};

extern const char *const class_names[CLASS_COUNT];

/* Which requests arrive and when.  A load of 1 is the rate at which the mean
   request just fills the memory of all engines.  For burst_us from
   burst_from_us on the arrival rate is burst_factor times as high.
   length_factor scales the output lengths.  */
typedef struct
{
  uint64_t seed;
  uint32_t engines;
  double load;
  int64_t duration_us;
  /* The one organisation whose requests are kept, or ALL_ORGANISATIONS.  */
  int only_organisation;
  int64_t burst_from_us;
  int64_t burst_us;
  double burst_factor;
  double length_factor;
} arrivals_plan_t;

/* Returns the requests in order of arrival; the caller frees the array.  The
   same plan always gives the same requests, and a plan for one organisation
   gives those that it sends in the plan for all organisations.  */
request_t *make_arrivals (const arrivals_plan_t *plan,
                          const engine_shape_t *shape, uint32_t *count);

#endif
