#include "cowslipspoke/peer-choice.h"

static bool
is_chosen (const size_t *chosen, size_t chosen_count, size_t index)
{
  size_t i;

  for (i = 0; i < chosen_count; i++)
    if (chosen[i] == index)
      return true;
  return false;
}

static bool
is_eligible (const csp_peer_candidate_t *candidate, uint32_t need_tokens,
             bool local)
{
  return candidate->same_data_centre == local
         && candidate->headroom_tokens >= (int64_t)need_tokens
         && candidate->headroom_tokens > 0;
}

/* Samples one more eligible peer, weighted by headroom.  Returns its index, or
   count if there is none.  */
static size_t
sample_peer (const csp_peer_candidate_t *candidates, size_t count,
             uint32_t need_tokens, bool local, csp_random_t *random,
             const size_t *chosen, size_t chosen_count)
{
  double total_headroom = 0;
  double remaining;
  size_t last = count;
  size_t i;

  for (i = 0; i < count; i++)
    if (is_eligible (&candidates[i], need_tokens, local)
        && !is_chosen (chosen, chosen_count, i))
      total_headroom += (double)candidates[i].headroom_tokens;
  remaining = csp_random_unit (random) * total_headroom;
  for (i = 0; i < count; i++)
    {
      if (!is_eligible (&candidates[i], need_tokens, local)
          || is_chosen (chosen, chosen_count, i))
        continue;
      last = i;
      remaining -= (double)candidates[i].headroom_tokens;
      if (remaining < 0)
        break;
    }
  return last;
}

static size_t
sample_peers (const csp_peer_candidate_t *candidates, size_t count,
              uint32_t need_tokens, bool local, size_t limit,
              csp_random_t *random, size_t *chosen, size_t chosen_count)
{
  size_t index;

  while (chosen_count < limit)
    {
      index = sample_peer (candidates, count, need_tokens, local, random,
                           chosen, chosen_count);
      if (index == count)
        break;
      chosen[chosen_count++] = index;
    }
  return chosen_count;
}

size_t
csp_choose_peers (const csp_peer_candidate_t *candidates, size_t count,
                  uint32_t need_tokens, csp_random_t *random,
                  size_t chosen[CSP_HANDOFF_MAX_PEERS])
{
  size_t chosen_count = sample_peers (candidates, count, need_tokens, true,
                                      CSP_LOCAL_PEERS_MAX, random, chosen, 0);

  return sample_peers (candidates, count, need_tokens, false,
                       CSP_HANDOFF_MAX_PEERS, random, chosen, chosen_count);
}
