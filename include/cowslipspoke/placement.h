#ifndef COWSLIPSPOKE_PLACEMENT_H
#define COWSLIPSPOKE_PLACEMENT_H

#include "cowslipspoke/admission.h"

/* Which of the targets that would admit a stream gets it.

   Load patterns: prompts that share a prefix, for which one target has the
   work done already; targets that are slow or half dead.  Without this
   decision every target computes every prefix; prompts queue up on one target
   while others have none; and a slow target is filled like the rest, as it
   looks emptier than they do.  One notices the time to first token, which
   grows by whole prompts, and gaps between tokens that differ from target to
   target.

   Each target is given the work ahead of the first token there, in tokens:
   the prompts that it hasn't finished, and the part of this prompt that it
   hasn't cached; plus a part of what it holds, as fuller targets make slower
   steps; all times how slow it is beside its peers.  The least wins.  */

/* How placement weighs.  Figures in docs/DECISIONS.md.

   held_weight: what a token in memory costs beside a prompt token still to be
   computed.  On the bench's engine a step has 0.17 us for each token held
   and a prompt token 50 us; over a prompt's some six steps and an answer's
   some 230 that is of the order of 0.1 to 1.  */
typedef struct
{
  double held_weight;
} csp_placement_policy_t;

csp_placement_policy_t csp_default_placement_policy (void);

/* A target that may be used.  cached_tokens of the prompt are believed to be
   in its cache; open is the share of it that may be used (csp_health_open
   times csp_shift_open); slowness is how slow it is beside its peers, 1 for
   as fast.  */
typedef struct
{
  const csp_ledger_t *ledger;
  uint32_t cached_tokens;
  double open;
  double slowness;
} csp_candidate_t;

/* Choose among count candidates; false when none admits the stream.  The
   first of equals wins.  All candidates share one length store.  */
bool csp_choose_target (const csp_placement_policy_t *policy,
                        const csp_candidate_t *candidates, uint32_t count,
                        const csp_stream_t *stream, int64_t now_ms,
                        uint32_t *chosen);

/* Whether a request of an organisation that borrows may be let in: the
   candidates together keep kept_tokens (csp_queue_kept_tokens) free beside
   its cost.  Over all of them and not on each, as what comes back needs one
   place and not a bit everywhere.  */
bool csp_may_borrow (const csp_candidate_t *candidates, uint32_t count,
                     uint64_t kept_tokens, uint32_t cost_tokens,
                     int64_t now_ms);

/* Prompt prefixes that one target is believed to have cached: the last
   CSP_PREFIXES of them, by hash.  Learnt from what was sent there, and
   corrected by the target's events, which come late and with gaps.  */
enum
{
  CSP_PREFIXES = 32
};

typedef struct
{
  struct
  {
    uint64_t hash;
    uint32_t tokens;
    int64_t used_ms;
  } entries[CSP_PREFIXES];
} csp_prefixes_t;

/* A prompt with this prefix was sent, or the target said that it stored it.
 */
void csp_note_prefix (csp_prefixes_t *prefixes, uint64_t hash, uint32_t tokens,
                      int64_t now_ms);

/* The target said that it dropped the prefix.  */
void csp_forget_prefix (csp_prefixes_t *prefixes, uint64_t hash);

/* Events were missed: nothing that is believed can be told from what was
   dropped in the gap, so all of it goes.  */
void csp_forget_prefixes (csp_prefixes_t *prefixes);

/* Tokens of this prefix that the target has, 0 when it isn't known.  */
uint32_t csp_cached_tokens (const csp_prefixes_t *prefixes, uint64_t hash);

#endif
