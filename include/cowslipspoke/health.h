#ifndef COWSLIPSPOKE_HEALTH_H
#define COWSLIPSPOKE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* Outlier detection: finds targets that are slow or half dead by comparing the
   gaps between their tokens with those of their peers.

   Load pattern: one engine of many slows down, by a failing card, a throttled
   clock or a noisy neighbour, but passes every health check.  Without outlier
   detection it gets as much load as the others, or more, as slow streams use
   little memory.  The symptom is a p99 of the gap between tokens of twice the
   median, caused by one target alone.

   If a target's gaps exceed slow_factor times the median of all targets for
   slow_ms, its usable share is halved every step_ms, down to zero; then it
   gets a single stream as a probe every probe_ms.  Once its gaps are below
   healthy_factor times the median, its share doubles again step by step.

   At most the fraction max_reduced of the targets, but always one, have a
   reduced share at any time.  If all targets are slow the median rises, and
   the remaining targets must not break down under the load of the others.
   Hosts that reduce targets within the same round of gossip can exceed this by
   one target each.  */
typedef struct csp_health csp_health_t;

/* slow_factor: the median gap of an engine full of streams and prompts is 1.6
   times that of an engine at half load, so load alone doesn't reach 2.
   gap_half_life: number of gaps after which the weight of a gap halves; 32 are
   1.3 s of one stream, or 0.2 s of a full engine.
   silent_factor: when a stream has had no token for so many median gaps, the
   silence is counted as a gap, so that a target that hangs is detected.  */
typedef struct
{
  double slow_factor;
  double healthy_factor;
  double silent_factor;
  uint32_t gap_half_life;
  uint32_t slow_ms;
  uint32_t step_ms;
  uint32_t probe_ms;
  double max_reduced;
} csp_health_policy_t;

csp_health_policy_t csp_default_health_policy (void);

/* Creates the state for up to `targets` targets, identified by their index;
   returns NULL when out of memory.  */
csp_health_t *csp_create_health (const csp_health_policy_t *policy,
                                 uint32_t targets);
void csp_destroy_health (csp_health_t *health);

/* Resets the state of an index, as a target joined under it or left.  */
void csp_reset_health (csp_health_t *health, uint32_t target, bool in_use);

/* Records the mean gap between tokens of a stream there, over `tokens`
   tokens.  */
void csp_note_gaps (csp_health_t *health, uint32_t target, uint32_t tokens,
                    double gap_ms);

/* Records that a stream there, which has begun, has had no token for
   silent_ms.  */
void csp_note_silence (csp_health_t *health, uint32_t target,
                       double silent_ms);

/* Sets the reports of the data centre's other hosts: the median of their
   medians (0 if unknown), the number of targets that they own, and how many of
   those have a reduced share.  Needed as a host with few targets can't tell
   which of them is the outlier.  */
void csp_set_fleet_health (csp_health_t *health, double median_ms,
                           uint32_t targets, uint32_t reduced);

/* The median gap of this host's targets and the number of its targets with a
   reduced share, as it reports them to the other hosts.  */
double csp_health_median_ms (const csp_health_t *health);
uint32_t csp_count_reduced_targets (const csp_health_t *health);

/* Updates the usable share of all targets; call once a second.  */
void csp_update_health (csp_health_t *health, int64_t now_ms);

/* Returns the usable share of the target, 0 to 1.  */
double csp_health_share (const csp_health_t *health, uint32_t target);

/* Returns the target's gap relative to the median, at least 1; 1 if too few
   gaps are known.  */
double csp_health_slowness (const csp_health_t *health, uint32_t target);

/* Whether a target with a share of zero gets a single stream as a probe now.
   `streams` is the number of streams that run there, which must be 0.  Returns
   true at most once per probe_ms.  */
bool csp_take_probe (csp_health_t *health, uint32_t target, uint32_t streams,
                     int64_t now_ms);

#endif
