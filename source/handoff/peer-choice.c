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
may_choose (const csp_peer_offer_t *offer, uint32_t need_tokens, bool near)
{
  return offer->same_data_centre == near
         && offer->headroom_tokens >= (int64_t)need_tokens
         && offer->headroom_tokens > 0;
}

/* Draw one more in proportion to headroom; count when there is none.  */
static size_t
draw_peer (const csp_peer_offer_t *offers, size_t count, uint32_t need_tokens,
           bool near, csp_random_t *random, const size_t *chosen,
           size_t chosen_count)
{
  double total = 0;
  double mark;
  size_t last = count;
  size_t i;

  for (i = 0; i < count; i++)
    if (may_choose (&offers[i], need_tokens, near)
        && !is_chosen (chosen, chosen_count, i))
      total += (double)offers[i].headroom_tokens;
  mark = csp_random_unit (random) * total;
  for (i = 0; i < count; i++)
    {
      if (!may_choose (&offers[i], need_tokens, near)
          || is_chosen (chosen, chosen_count, i))
        continue;
      last = i;
      mark -= (double)offers[i].headroom_tokens;
      if (mark < 0)
        break;
    }
  return last;
}

static size_t
draw_peers (const csp_peer_offer_t *offers, size_t count, uint32_t need_tokens,
            bool near, size_t limit, csp_random_t *random, size_t *chosen,
            size_t chosen_count)
{
  size_t index;

  while (chosen_count < limit)
    {
      index = draw_peer (offers, count, need_tokens, near, random, chosen,
                         chosen_count);
      if (index == count)
        break;
      chosen[chosen_count++] = index;
    }
  return chosen_count;
}

size_t
csp_choose_peers (const csp_peer_offer_t *offers, size_t count,
                  uint32_t need_tokens, csp_random_t *random,
                  size_t chosen[CSP_HANDOFF_MAX_PEERS])
{
  size_t chosen_count = draw_peers (offers, count, need_tokens, true,
                                    CSP_NEAR_PEERS, random, chosen, 0);

  return draw_peers (offers, count, need_tokens, false, CSP_HANDOFF_MAX_PEERS,
                     random, chosen, chosen_count);
}
