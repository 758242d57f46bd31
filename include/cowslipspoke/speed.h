#ifndef COWSLIPSPOKE_SPEED_H
#define COWSLIPSPOKE_SPEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How fast the engines of a service are, as observed from the events of the
   streams that they run.

   Load pattern: engines of one service differ in speed by more than half, and
   each has slow spells.  A long run at a slow engine takes more than twice as
   long, so it is more often lost when an engine or a host ends, and its events
   pause for longer than allowed while a prompt is read there.

   Each host measures the intervals between events of its own streams and
   reports them with its loads; the decider merges the reports.  A target that
   isn't slower than the median by half counts as usual, so that a service with
   even engines is placed as if all had one speed.  */

/* One host's measurements at one target since the target's start; a plain
   value, 0 at first.  */
typedef struct
{
  double usual_ms;   /* lower quartile of the intervals */
  double longest_ms; /* decaying, as of longest_at_ms */
  int64_t longest_at_ms;
  uint32_t samples;
} csp_speed_sample_t;

/* Records an interval between two events of a run.  */
void csp_note_event_interval (csp_speed_sample_t *sample, double interval_ms,
                              int64_t now_ms);

/* What this host reports, in us; 0 while it has too few samples.  */
uint32_t csp_report_usual_us (const csp_speed_sample_t *sample);
uint32_t csp_report_longest_us (const csp_speed_sample_t *sample,
                                int64_t now_ms);

/* What the decider knows of one target; a plain value, 0 at first.  */
typedef struct
{
  double usual_ms; /* 0: unknown */
  double longest_ms;
  int64_t longest_at_ms;
  uint32_t reports;
  double slowness; /* as of the last csp_rate_speeds; 0: not rated */
} csp_speed_t;

/* Merges a host's report.  Zeros are ignored.  */
void csp_merge_speed_report (csp_speed_t *speed, uint32_t usual_us,
                             uint32_t longest_us, int64_t now_ms);

/* Rates the targets of one service against each other.  Returns the service's
   stretch: how many times its usual interval a target's longest one is; 1 if
   it isn't known.  */
double csp_rate_speeds (csp_speed_t *const *speeds, size_t count,
                        int64_t now_ms);

/* Usual interval of the target relative to the service's median: 1, or at
   least 1.5.  */
double csp_get_slowness (const csp_speed_t *speed);

/* Whether streams at the target will probably pause for longer than allowed
   while it reads a prompt.  longest_gap_ms of 0: any pause is allowed.  */
bool csp_may_pause_too_long (const csp_speed_t *speed, double stretch,
                             uint32_t longest_gap_ms);

#endif
