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
   reports them with its loads; the decider merges the reports.  A target whose
   usual interval is under 1.75 times the median counts as usual, and so do all
   unless a tenth of the targets is slower, so that a service with even engines
   is placed as if all had one speed.  */

enum
{
  CSP_SPEED_FIRST_INTERVALS = 16
};

/* One host's measurements at one target since the target's start; a plain
   value, 0 at first.  */
typedef struct
{
  double usual_ms;   /* lower decile of the intervals */
  double longest_ms; /* decaying, as of longest_at_ms */
  int64_t longest_at_ms;
  int64_t noted_ms; /* when the last interval ended */
  uint32_t samples;
  float first_ms[CSP_SPEED_FIRST_INTERVALS]; /* in ascending order */
} csp_speed_sample_t;

/* Records an interval between two events of a run.  */
void csp_note_event_interval (csp_speed_sample_t *sample, double interval_ms,
                              int64_t now_ms);

/* What this host reports, in us; 0 while it has too few intervals.  The usual
   interval is known after 4 intervals and the longest one after 16, so a
   report that has the longest one stands for 16 intervals.  */
uint32_t csp_report_usual_us (const csp_speed_sample_t *sample,
                              int64_t now_ms);
uint32_t csp_report_longest_us (const csp_speed_sample_t *sample,
                                int64_t now_ms);

/* Whether a report differs so much from the last one that it is sent at once:
   an interval became known, or the usual one changed by more than a fifth.  */
bool csp_is_speed_news (uint32_t usual_us, uint32_t longest_us,
                        uint32_t reported_usual_us,
                        uint32_t reported_longest_us);

/* What the decider knows of one target; a plain value, 0 at first.  */
typedef struct
{
  double slowness;   /* as of the last csp_rate_speeds; 0: not rated */
  double usual_ms;   /* 0: unknown */
  double longest_ms; /* 0: no host has reported enough intervals */
  int64_t longest_at_ms;
  int64_t merged_ms; /* when the last report came */
  uint32_t reports;
  bool logged_slow; /* what the log last said */
  int64_t logged_ms;
} csp_speed_t;

/* Merges a host's report.  Zeros are ignored.  */
void csp_merge_speed_report (csp_speed_t *speed, uint32_t usual_us,
                             uint32_t longest_us, int64_t now_ms);

/* Rates the targets of one service against each other and reorders the array.
   Returns the service's stretch: how many times its usual interval a target's
   longest one is; 1 if it isn't known.  */
double csp_rate_speeds (csp_speed_t **speeds, size_t count, int64_t now_ms);

/* Usual interval of the target relative to the service's median: 1, or at
   least 1.75.  */
double csp_get_slowness (const csp_speed_t *speed);

/* Whether streams at the target will probably pause for longer than allowed
   while it reads a prompt; false for a target that isn't rated slow.
   longest_gap_ms of 0: any pause is allowed.  */
bool csp_may_pause_too_long (const csp_speed_t *speed, double stretch,
                             uint32_t longest_gap_ms);

/* Whether the log should say now that the target has become slow, or usual
   again; then it counts as said.  */
bool csp_take_speed_change (csp_speed_t *speed, int64_t now_ms);

#endif
