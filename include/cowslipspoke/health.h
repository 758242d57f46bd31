#ifndef COWSLIPSPOKE_HEALTH_H
#define COWSLIPSPOKE_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* Which targets are slow or half dead, by the time between tokens against
   their peers.

   Load pattern: one engine of many slows down, by a failing card, a throttled
   clock or a neighbour; it answers every check.  Without this decision it is
   sent as much as the rest, more even, as streams that crawl hold little;
   one notices a p99 between tokens of twice the median, all of it from one
   target.

   A target whose gaps are slow_factor times the median of all for slow_ms is
   closed by halves, one half each step_ms, and at zero gets a single stream
   each probe_ms.  Once its gaps are under well_factor it is opened again by
   doubling.  No more than most_out of the targets, and one in any case, are
   not fully open at any time: when all of them are slow the median moves, and
   what is left must not break down under the load of the rest.  Hosts that
   take targets out within one round of news can exceed that by one each.  */
typedef struct csp_health csp_health_t;

/* slow_factor: on the bench's model the median gap of an engine full of
   streams and prompts is 1.6 times that of an engine at half load, so 2
   isn't reached by load.
   gap_half_life: gaps after which one counts half; 32 are 1.3 s of one
   stream, or 0.2 s of a full engine.
   silent_factor: a stream that has made nothing for so many median gaps is
   counted as a gap of that length, so that a target which stopped is noticed
   without a token.  */
typedef struct
{
  double slow_factor;
  double well_factor;
  double silent_factor;
  uint32_t gap_half_life;
  uint32_t slow_ms;
  uint32_t step_ms;
  uint32_t probe_ms;
  double most_out;
} csp_health_policy_t;

csp_health_policy_t csp_default_health_policy (void);

/* Create for up to `targets` targets, named by their index; NULL when memory
   is short.  */
csp_health_t *csp_create_health (const csp_health_policy_t *policy,
                                 uint32_t targets);
void csp_destroy_health (csp_health_t *health);

/* A target joined under this index, or left: what was known is forgotten.  */
void csp_reset_health (csp_health_t *health, uint32_t target, bool used);

/* Mean gap between tokens of a stream there, over `tokens` tokens.  */
void csp_note_gaps (csp_health_t *health, uint32_t target, uint32_t tokens,
                    double gap_ms);

/* A stream there has been silent for so long, though it had begun.  */
void csp_note_silence (csp_health_t *health, uint32_t target,
                       double silent_ms);

/* What the other hosts of the data centre say: the median of their medians
   (0 when unknown), how many targets they own, and how many of those are not
   fully open.  A host with few targets can't judge them against each other.
   */
void csp_set_fleet_health (csp_health_t *health, double median_ms,
                           uint32_t targets, uint32_t out);

/* What this host says to the others.  */
double csp_health_median_ms (const csp_health_t *health);
uint32_t csp_health_out (const csp_health_t *health);

/* Weigh all targets; call once a second.  */
void csp_weigh_health (csp_health_t *health, int64_t now_ms);

/* Share of the target that may be used, 0 to 1.  */
double csp_health_open (const csp_health_t *health, uint32_t target);

/* How slow it is beside its peers; 1 when nothing is known.  */
double csp_health_slowness (const csp_health_t *health, uint32_t target);

/* Whether a closed target may get a single stream as a probe now, with at
   most `streams` there already; true at most once each probe_ms.  */
bool csp_take_probe (csp_health_t *health, uint32_t target, uint32_t streams,
                     int64_t now_ms);

#endif
