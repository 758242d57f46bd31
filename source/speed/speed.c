#include "cowslipspoke/speed.h"

#include <math.h>
#include <stdlib.h>

/* Each host measures the intervals between events of its streams, and the
   decider rates the targets of a service against each other: see speed.h.  */

enum
{
  US_PER_MS = 1000,
  /* Intervals after which a host reports the usual one, and the longest one.
     The longest of a few says nothing about pauses.  A target is rated once a
     host has reported its longest one.  */
  USUAL_SAMPLES_MIN = 4,
  LONGEST_SAMPLES_MIN = CSP_SPEED_FIRST_INTERVALS,
  /* A service with fewer rated targets is not rated: its median would be any
     of them.  */
  RATED_TARGETS_MIN = 4,
  UNEVEN_TARGETS_MIN = 2,
  /* A host reports what it measured within this time.  It may have load there
     without any events.  */
  REPORTED_MS = 10000,
  /* Measurements that weren't renewed for this long are dropped.  A slow
     target gets few runs, so nothing else would show that it has
     recovered.  */
  VALID_MS = 60000,
  LOG_PERIOD_MS = 5000
};

/* An event that follows within this time waited in a buffer.  */
static const double interval_min_ms = 1.0;

/* The estimated quantile of the intervals.  Under load an engine reads prompts
   beside its runs for most of its time, which doubles the intervals; what is
   compared is its speed without them, so the estimate is near the shortest
   ones.  The very shortest would follow events that arrived together.  */
static const double quantile = 0.1;

/* Size of a step, as a share of the estimate.  Prompts that are read for a
   second, some 16 intervals of a stream, raise the estimate by a quarter, and
   an engine that has become slow counts as slow after about 40.  */
static const double step_share = 0.15;

static const double longest_half_life_ms = 10000.0;

/* Weight of a new report in the average of all hosts' reports.  Hosts report
   at each change of their loads, so a report says little by itself.  */
static const double report_weight = 0.25;

/* Far enough from the factors of 1.3 between engines of one kind, and of 2
   between an engine that reads prompts and one that doesn't, on which the
   estimates depend a little.  */
static const double slowness_min = 1.75;

/* Targets are rated only in a service of which at least this share is slow,
   and at least UNEVEN_TARGETS_MIN.  */
static const double min_slow_share = 0.1;

static const double median_rank = 0.5;
static const double stretch_rank = 0.9;
static const double news_share = 0.2;

static double
decay_longest (double longest_ms, int64_t longest_at_ms, int64_t now_ms)
{
  double passed_ms = fmax ((double)(now_ms - longest_at_ms), 0);

  return longest_ms * exp2 (-passed_ms / longest_half_life_ms);
}

/* The quantile of the first intervals.  Steps from the first one would
   either take long to converge or follow a slow spell at the start.  */
static double
note_first_interval (csp_speed_sample_t *sample, double interval_ms)
{
  size_t place = sample->samples;

  for (; place > 0 && sample->first_ms[place - 1] > interval_ms; place--)
    sample->first_ms[place] = sample->first_ms[place - 1];
  sample->first_ms[place] = (float)interval_ms;
  return sample->first_ms[(size_t)(sample->samples * quantile)];
}

/* Moves the estimate towards the interval, but not past it.  Steps up are
   shorter than steps down by the odds of the quantile, so that they balance
   there.  Steps in proportion to the estimate work at any speed.  */
static double
step_towards (double usual_ms, double interval_ms)
{
  if (interval_ms < usual_ms)
    return fmax (usual_ms * (1 - step_share * (1 - quantile)), interval_ms);
  return fmin (usual_ms * (1 + step_share * quantile), interval_ms);
}

void
csp_note_event_interval (csp_speed_sample_t *sample, double interval_ms,
                         int64_t now_ms)
{
  double longest_ms
      = decay_longest (sample->longest_ms, sample->longest_at_ms, now_ms);

  if (interval_ms < interval_min_ms)
    return;
  if (sample->samples > 0 && now_ms - sample->noted_ms > VALID_MS)
    sample->samples = 0;
  sample->usual_ms = sample->samples < CSP_SPEED_FIRST_INTERVALS
                         ? note_first_interval (sample, interval_ms)
                         : step_towards (sample->usual_ms, interval_ms);
  sample->longest_ms = fmax (longest_ms, interval_ms);
  sample->longest_at_ms = now_ms;
  sample->noted_ms = now_ms;
  if (sample->samples < UINT32_MAX)
    sample->samples++;
}

static uint32_t
us_from_ms (double time_ms)
{
  return (uint32_t)fmin (time_ms * US_PER_MS, UINT32_MAX);
}

static bool
is_reported (const csp_speed_sample_t *sample, uint32_t min_samples,
             int64_t now_ms)
{
  return sample->samples >= min_samples
         && now_ms - sample->noted_ms <= REPORTED_MS;
}

uint32_t
csp_report_usual_us (const csp_speed_sample_t *sample, int64_t now_ms)
{
  return is_reported (sample, USUAL_SAMPLES_MIN, now_ms)
             ? us_from_ms (sample->usual_ms)
             : 0;
}

uint32_t
csp_report_longest_us (const csp_speed_sample_t *sample, int64_t now_ms)
{
  if (!is_reported (sample, LONGEST_SAMPLES_MIN, now_ms))
    return 0;
  return us_from_ms (
      fmax (decay_longest (sample->longest_ms, sample->longest_at_ms, now_ms),
            sample->usual_ms));
}

bool
csp_is_speed_news (uint32_t usual_us, uint32_t longest_us,
                   uint32_t reported_usual_us, uint32_t reported_longest_us)
{
  double change = (double)usual_us - reported_usual_us;

  return fabs (change) > news_share * reported_usual_us
         || (longest_us != 0 && reported_longest_us == 0);
}

/* Brings the longest interval to the given time.  */
static void
decay_to (csp_speed_t *speed, int64_t now_ms)
{
  speed->longest_ms
      = decay_longest (speed->longest_ms, speed->longest_at_ms, now_ms);
  speed->longest_at_ms = now_ms;
}

void
csp_merge_speed_report (csp_speed_t *speed, uint32_t usual_us,
                        uint32_t longest_us, int64_t now_ms)
{
  double usual_ms = (double)usual_us / US_PER_MS;
  double longest_ms = (double)longest_us / US_PER_MS;

  if (usual_us == 0)
    return;
  if (speed->reports > 0 && now_ms - speed->merged_ms > VALID_MS)
    *speed = (csp_speed_t){ .logged_slow = speed->logged_slow,
                            .logged_ms = speed->logged_ms };
  if (speed->reports < UINT32_MAX)
    speed->reports++;
  speed->usual_ms += (usual_ms - speed->usual_ms)
                     * fmax (report_weight, 1.0 / speed->reports);
  decay_to (speed, now_ms);
  speed->longest_ms = fmax (speed->longest_ms, longest_ms);
  speed->merged_ms = now_ms;
}

static bool
is_rated (const csp_speed_t *speed, int64_t now_ms)
{
  return speed->reports > 0 && speed->longest_ms > 0
         && now_ms - speed->merged_ms <= VALID_MS;
}

/* How many times its usual interval the longest one is.  */
static double
stretch_of (const csp_speed_t *speed)
{
  return fmax (1, speed->longest_ms / speed->usual_ms);
}

static int
compare_values (double a, double b)
{
  return (a > b) - (a < b);
}

static int
compare_usual (const void *a, const void *b)
{
  const csp_speed_t *const *first = a;
  const csp_speed_t *const *second = b;

  return compare_values ((*first)->usual_ms, (*second)->usual_ms);
}

static int
compare_stretch (const void *a, const void *b)
{
  const csp_speed_t *const *first = a;
  const csp_speed_t *const *second = b;

  return compare_values (stretch_of (*first), stretch_of (*second));
}

/* Moves the targets that can be rated to the front, with their
   intervals as of now; returns their number.  */
static size_t
gather_rated (csp_speed_t **speeds, size_t count, int64_t now_ms)
{
  size_t rated = 0;
  size_t i;

  for (i = 0; i < count; i++)
    {
      csp_speed_t *speed = speeds[i];

      speed->slowness = 0;
      if (!is_rated (speed, now_ms))
        continue;
      decay_to (speed, now_ms);
      speeds[i] = speeds[rated];
      speeds[rated++] = speed;
    }
  return rated;
}

/* Whether enough targets are slow.  A single one may only have read prompts
   all the time lately.  speeds: in ascending order of the usual interval.  */
static bool
is_uneven (csp_speed_t *const *speeds, size_t count, double median_ms)
{
  size_t first_slow = (size_t)((double)count * (1 - min_slow_share));

  if (first_slow > count - UNEVEN_TARGETS_MIN)
    first_slow = count - UNEVEN_TARGETS_MIN;
  return speeds[first_slow]->usual_ms >= slowness_min * median_ms;
}

double
csp_rate_speeds (csp_speed_t **speeds, size_t count, int64_t now_ms)
{
  size_t rated = gather_rated (speeds, count, now_ms);
  double median_ms;
  size_t i;

  if (rated < RATED_TARGETS_MIN)
    return 1;
  qsort (speeds, rated, sizeof *speeds, compare_usual);
  median_ms = speeds[(size_t)((double)rated * median_rank)]->usual_ms;
  if (is_uneven (speeds, rated, median_ms))
    for (i = 0; i < rated; i++)
      speeds[i]->slowness = speeds[i]->usual_ms / median_ms;
  qsort (speeds, rated, sizeof *speeds, compare_stretch);
  return stretch_of (speeds[(size_t)((double)rated * stretch_rank)]);
}

double
csp_get_slowness (const csp_speed_t *speed)
{
  return speed->slowness < slowness_min ? 1 : speed->slowness;
}

bool
csp_may_pause_too_long (const csp_speed_t *speed, double stretch,
                        uint32_t longest_gap_ms)
{
  return longest_gap_ms > 0 && speed->slowness >= slowness_min
         && speed->usual_ms * stretch > longest_gap_ms;
}

bool
csp_take_speed_change (csp_speed_t *speed, int64_t now_ms)
{
  bool slow = speed->slowness >= slowness_min;

  if (slow == speed->logged_slow
      || (speed->logged_ms != 0 && now_ms - speed->logged_ms < LOG_PERIOD_MS))
    return false;
  speed->logged_slow = slow;
  speed->logged_ms = now_ms;
  return true;
}
