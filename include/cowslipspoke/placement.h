#ifndef COWSLIPSPOKE_PLACEMENT_H
#define COWSLIPSPOKE_PLACEMENT_H

#include "cowslipspoke/admission.h"

/* Chooses one of the targets that would admit a stream.

   Load patterns: prompts share a prefix that one target has already computed;
   some targets are slow or half dead.  Without regard to these, every target
   computes every prefix, prompts queue up on one target while others have
   none, and a slow target is filled like the rest, as it looks emptier.  The
   symptoms are a time to first token that grows by whole prompts, and gaps
   between tokens that differ between targets.

   The cost of a target is the work before the first token there, in tokens:
   the prompts that it hasn't finished and the uncached part of this prompt.  A
   part of the tokens in its memory is added, as fuller targets have slower
   steps, and the sum is multiplied by the target's slowness relative to its
   peers.  The lowest cost wins.  */

/* Weights of the cost (see docs/DECISIONS.md).

   held_weight: cost of a token in memory relative to a prompt token still to
   be computed.  If a step takes 0.17 us for each token in memory and 50 us for
   a prompt token, the ratio over some six steps of a prompt and 230 steps of
   an answer is of the order of 0.1 to 1.  */
typedef struct
{
  double held_weight;
} csp_placement_policy_t;

csp_placement_policy_t csp_default_placement_policy (void);

/* A target that may be chosen.  */
typedef struct
{
  const csp_ledger_t *ledger;
  /* Estimated tokens of the prompt that are in its cache.  */
  uint32_t cached_tokens;
  /* Share of its memory that may be used, by its health and slow start.  */
  double usable_share;
  /* Its gap between tokens relative to its peers; 1 if as fast.  */
  double slowness;
} csp_candidate_t;

/* Chooses one of `count` candidates; returns false if none admits the stream.
   The first of equal candidates wins.  All candidates share one length
   store.  */
bool csp_choose_target (const csp_placement_policy_t *policy,
                        const csp_candidate_t *candidates, uint32_t count,
                        const csp_stream_t *stream, int64_t now_ms,
                        uint32_t *chosen);

/* Whether a request of a borrowing organisation, one above its share, may be
   admitted: reserve_tokens (csp_queue_lending_reserve_tokens) must stay free
   in addition to its memory.  The sum over all candidates counts, as a request
   of a returning organisation needs memory on one target and not some on each.
 */
bool csp_may_borrow (const csp_candidate_t *candidates, uint32_t count,
                     uint64_t reserve_tokens, uint32_t memory_tokens,
                     int64_t now_ms);

/* Prompt prefixes that one target has probably cached: the last
   CSP_PREFIXES_MAX of them, by hash.  Derived from the prompts that were sent
   there, and corrected by the target's cache events, which are late and
   incomplete.  */
enum
{
  CSP_PREFIXES_MAX = 32
};

typedef struct
{
  struct
  {
    uint64_t hash;
    uint32_t tokens;
    int64_t used_ms;
  } entries[CSP_PREFIXES_MAX];
} csp_prefixes_t;

/* Records that a prompt with this prefix was sent, or that the target reported
   to have stored the prefix.  */
void csp_note_prefix (csp_prefixes_t *prefixes, uint64_t hash, uint32_t tokens,
                      int64_t now_ms);

/* Removes a prefix that the target reported as dropped.  */
void csp_forget_prefix (csp_prefixes_t *prefixes, uint64_t hash);

/* Removes all prefixes.  Needed after missed events, as any of the prefixes
   may have been dropped in between.  */
void csp_forget_prefixes (csp_prefixes_t *prefixes);

/* Returns the tokens of this prefix that the target has cached; 0 if the
   prefix isn't known.  */
uint32_t csp_cached_tokens (const csp_prefixes_t *prefixes, uint64_t hash);

#endif
