#ifndef COWSLIPSPOKE_DAMPING_H
#define COWSLIPSPOKE_DAMPING_H

#include <stdbool.h>
#include <stdint.h>

/* Damps targets that go down and up by turns, as route flap damping does.

   Load pattern: a target fails under full load, comes back and fails again.
   It looks idle each time, so it is filled again, and everything that was sent
   there is lost; each loss is met by another host, which has seen none before.

   Hosts report with their loads how many attempts they have lost at a target.
   Two hosts have to report losses, so that a host or a data centre that is cut
   off from a target doesn't speak for the others; where no other host lives,
   two losses of the only host count.  A damped target gets
   nothing; then it is on probation for as long as it was damped, with a
   bounded number of short requests.  Each further time doubles the duration.
   Every decider computes the same from the same reports.  */

enum
{
  /* Hosts report a loss for this long even without requests at the target, and
     deciders remember it as long: a host that becomes decider needs those of
     the last 2 s, and reports may be lost.  */
  CSP_LOSS_REPORTED_MS = 10000
};

typedef enum
{
  CSP_TARGET_TRUSTED,
  CSP_TARGET_DAMPED,
  CSP_TARGET_ON_PROBATION
} csp_damping_state_t;

/* What a decider knows of one start of a target; a plain value, 0 at first. */
typedef struct
{
  csp_damping_state_t state;
  uint32_t times;          /* damped since it was last sound for long enough */
  int64_t changed_ms;      /* when the state began */
  int64_t counted_from_ms; /* losses before are no evidence */
  uint32_t duration_ms;    /* of the current or last damping */
  uint32_t allowed;        /* requests at a time while on probation */
  uint32_t served;         /* since the number allowed was last raised */
  uint32_t known_failures; /* sum of all hosts' counts at the last report */
  /* The last loss that was reported, and by whom.  */
  int64_t failed_ms;
  uint64_t failed_host;
  uint32_t failed_data_centre;
  uint64_t evidence_host; /* whose loss damped the target */
} csp_damping_t;

/* Losses that one host reports.  */
typedef struct
{
  uint64_t host;             /* see csp_pack_peer */
  uint32_t host_data_centre; /* hash of its name */
  uint32_t target_data_centre;
  bool is_only_host; /* no other host is known to live */
  /* All known hosts are in one data centre, so no other can confirm.  */
  bool is_only_data_centre;
  uint32_t failures; /* sum over all hosts, this report included */
  uint32_t age_ms;   /* of the host's last loss */
} csp_damping_report_t;

/* Applies a report; returns true if the target is damped by it.  */
bool csp_note_damping_report (csp_damping_t *damping,
                              const csp_damping_report_t *report,
                              int64_t now_ms);

/* A request was served by the target.  */
void csp_note_damping_success (csp_damping_t *damping);

/* Ends dampings and probations whose time is over; returns true if the state
   changed.  Call it periodically.  */
bool csp_update_damping (csp_damping_t *damping, int64_t now_ms);

/* Revokes a damping and its probation: too many targets of the service are
   restrained, and on probation they would all refuse long requests.  The
   target is trusted, and the damping isn't counted.  Until it would have
   ended, losses don't damp the target again: where many targets fail at once,
   the further losses of that moment would damp them again and again.  */
void csp_release_damping (csp_damping_t *damping, int64_t now_ms);

/* Whether a request may be placed there that is expected to run for run_ms,
   while the target has this many under way.  */
bool csp_damping_allows (const csp_damping_t *damping, uint32_t under_way,
                         uint32_t run_ms, int64_t now_ms);

/* How many of a number of ready targets may be damped or on probation at a
   time.  */
uint32_t csp_max_damped_targets (uint32_t ready_count);

#endif
