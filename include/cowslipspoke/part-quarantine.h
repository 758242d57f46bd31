#ifndef COWSLIPSPOKE_PART_QUARANTINE_H
#define COWSLIPSPOKE_PART_QUARANTINE_H

#include "cowslipspoke/prompt-parts.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Quarantine of prompt parts that crash the targets that run them.

   Load pattern: one part of a prompt crashes every target that begins to
   answer a request with it.  The requests differ from one another, come
   through all hosts, and share their other parts with sound requests.  A
   quarantine of single requests (see quarantine.h) never sees one of them
   twice, and the fleet loses a target per request.

   Each target that ends is a strike against the parts of the requests there
   that had not been answering for some time.  Hosts exchange strikes and keep
   the union.  An answer that began after a strike and came whole, or ran on,
   shows that its parts are sound and takes the strike back; an older answer
   shows nothing, as a part may begin to crash targets at any time.

   A part comes on trial when it has CSP_PART_STRIKES_TRIED strikes that no
   more suspicious part explains.  Parts of which the last sound answer began
   longer ago are more suspicious, so a part that all requests share gives way
   to the one that only the crashing requests have; then those with more
   strikes.  Ends at one moment can have a cause of their own, a failed data
   centre for instance, so only two of them count.  A host asks all others for
   sound answers before it begins a trial.

   On trial, one request with the part at a time is sent to a target, for some
   seconds only by the host that began the trial or sent the last one.  An
   answer ends the trial; a further end holds the part: no host sends a request
   with it.  An end among others repeats the trial once.  The hold ends with
   another trial and doubles each time.  So a sound part that was beside many
   ends by chance is only kept back until one request with it is served.
 */

enum
{
  /* Strikes that bring a part on trial.  */
  CSP_PART_STRIKES_TRIED = 4,
  /* Strikes that are kept for each part.  */
  CSP_PART_STRIKES_KEPT = 16,
  /* Strikes of one moment that count.  */
  CSP_PART_STRIKES_AT_ONCE = 2,
  /* Size of a host's table of parts with strikes.  */
  CSP_SUSPECTED_PARTS_MAX = 256,
  /* An answer that has run on for this long shows that its parts are
     sound.  */
  CSP_PART_SOUND_AFTER_MS = 500,
  /* A request that has been answering for this long when its target ends gets
     no strike.  */
  CSP_PART_INNOCENT_AFTER_MS = 1000
};

/* A target ended while a request with the part was there.  */
typedef struct
{
  uint64_t part;
  uint64_t target;   /* hash of the target incarnation */
  uint32_t position; /* of the part in the prompt; 0: the first */
  uint32_t age_ms;
} csp_part_strike_t;

/* An answer that shows that the part is sound began this long ago.  */
typedef struct
{
  uint64_t part;
  uint32_t age_ms;
} csp_sound_part_t;

/* A part that is held or on trial, as hosts report it to each other.  */
typedef struct
{
  uint64_t part;
  bool asks;              /* a trial may begin, and the host asks for sound
                             answers */
  bool leads;             /* the reporting host began the hold or trial */
  uint32_t left_ms;       /* of the hold; 0: the part is on trial */
  uint32_t trial_age_ms;  /* since the trial began */
  uint32_t strike_age_ms; /* since the last strike; if it asks, the first */
  uint32_t failed_trials;
} csp_held_part_t;

/* The effect of another host's report.  */
typedef enum
{
  CSP_PART_UNCHANGED,
  CSP_PART_ON_TRIAL, /* its trial has just begun, at another host */
  CSP_PART_HELD,     /* its hold has just begun, at another host */
  CSP_PART_SOUND     /* an answer that began later shows that it is sound */
} csp_part_change_t;

/* What an answer has done to the hold of a part.  */
typedef enum
{
  CSP_HOLD_UNCHANGED,
  CSP_HOLD_LIFTED,    /* it was another host's */
  CSP_OWN_HOLD_LIFTED /* this host had begun it */
} csp_hold_change_t;

/* What a host knows beside strikes.  is_only_host: no other host is live.
   has_ended: whether a target that had a strike at a time has not been heard
   of since.  */
typedef struct
{
  bool is_only_host;
  bool (*has_ended) (void *state, uint64_t target, int64_t at_ms);
  void *state;
} csp_trial_facts_t;

/* A part that has failed a trial.  */
typedef struct
{
  uint64_t part;
  bool held; /* false: it is tried again */
} csp_trial_verdict_t;

typedef struct csp_part_quarantine csp_part_quarantine_t;

/* Returns NULL when out of memory.  seed: of the order in which hosts try a
   part.  */
csp_part_quarantine_t *csp_create_part_quarantine (uint64_t seed);
void csp_destroy_part_quarantine (csp_part_quarantine_t *quarantine);

/* Records a strike that another host saw; or one that this host saw and will
   broadcast, against a request that it sent at sent_ms.  Returns whether it is
   a new one that counts.  */
bool csp_add_part_strike (csp_part_quarantine_t *quarantine,
                          const csp_part_strike_t *strike, int64_t now_ms);
bool csp_add_own_part_strike (csp_part_quarantine_t *quarantine,
                              const csp_part_strike_t *strike, int64_t sent_ms,
                              int64_t now_ms);

/* Records that an answer that began at began_ms shows that the part is
   sound.  */
csp_hold_change_t csp_note_sound_part (csp_part_quarantine_t *quarantine,
                                       uint64_t part, int64_t began_ms);

/* The last answer that shows that the part is sound; false if none is
   known.  */
bool csp_find_sound_part (const csp_part_quarantine_t *quarantine,
                          uint64_t part, csp_sound_part_t *sound,
                          int64_t now_ms);

/* Begins the trials that are due, of parts that this host has strikes against,
   and lists those parts.  Call it periodically.  */
size_t csp_try_suspected_parts (csp_part_quarantine_t *quarantine,
                                const csp_trial_facts_t *facts,
                                uint64_t *parts, size_t capacity,
                                int64_t now_ms);

/* Begins the holds of parts that have failed a trial of this host, or another
   trial where what ended the target is unclear, and lists those parts.  Call
   it periodically.  */
size_t csp_judge_failed_trials (csp_part_quarantine_t *quarantine,
                                csp_trial_verdict_t *verdicts, size_t capacity,
                                int64_t now_ms);

/* Adopts a hold or a trial of another host, or looks for what it asks for.
   precedes: of two hosts that began a trial at once, the other one leads.  */
csp_part_change_t csp_merge_held_part (csp_part_quarantine_t *quarantine,
                                       const csp_held_part_t *held,
                                       bool precedes, int64_t now_ms);

/* Returns the longest time that any of the parts is still held, or waits for
   the request on trial; 0 when a request with them may be sent.  */
uint32_t csp_held_part_left_ms (const csp_part_quarantine_t *quarantine,
                                const csp_prompt_parts_t *parts,
                                int64_t now_ms);

/* When a caller that is refused for these parts should come back: behind the
   hold, or soon where a part is on trial.  0: it isn't refused.  */
uint32_t csp_part_retry_after_ms (const csp_part_quarantine_t *quarantine,
                                  const csp_prompt_parts_t *parts,
                                  int64_t now_ms);

/* A request with these parts is sent to a target; of a part on trial no other
   one is, until that one has an answer or some time has passed.  */
void csp_begin_part_trials (csp_part_quarantine_t *quarantine,
                            const csp_prompt_parts_t *parts, int64_t now_ms);

/* The request on trial didn't run, so that another one may be sent.  */
void csp_cancel_part_trials (csp_part_quarantine_t *quarantine,
                             const csp_prompt_parts_t *parts, int64_t now_ms);

/* List what has to be broadcast now, and count one broadcast for each.  Parts
   that this host asks about are among the held ones.  */
size_t csp_take_part_strikes (csp_part_quarantine_t *quarantine,
                              csp_part_strike_t *strikes, size_t capacity,
                              int64_t now_ms);
size_t csp_take_held_parts (csp_part_quarantine_t *quarantine,
                            csp_held_part_t *held, size_t capacity,
                            int64_t now_ms);

/* Lists parts that are held or on trial to include in a hello, round
   robin.  */
size_t csp_list_held_parts (csp_part_quarantine_t *quarantine,
                            csp_held_part_t *held, size_t capacity,
                            int64_t now_ms);

/* Drops old strikes and holds that expired long ago.  Call it
   periodically.  */
void csp_expire_part_strikes (csp_part_quarantine_t *quarantine,
                              int64_t now_ms);

size_t csp_count_suspected_parts (const csp_part_quarantine_t *quarantine);

/* Counts parts that are held or on trial.  */
size_t csp_count_held_parts (const csp_part_quarantine_t *quarantine);

#endif
