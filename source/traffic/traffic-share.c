#include "cowslipspoke/traffic-share.h"

#include <math.h>
#include <stddef.h>

enum
{
  PLACED_HALF_LIFE_MS = 4000,
  /* How long urgent requests are held for a regular one, and then let pass.  A
     short run ends within 0.3 s at the nominal speed, so within the hold most
     engines have room for a long one; and an urgent request that must start
     within 1.1 s is still in time after it.  */
  HOLD_MS = 400
};

/* Maximum share of the urgent class with which it goes first.  */
static const double max_urgent_share = 0.5;

void
csp_note_class_placed (csp_traffic_share_t *share,
                       csp_traffic_class_t traffic_class, uint32_t cost,
                       int64_t now_ms)
{
  double decay
      = exp2 (-(double)(now_ms - share->decayed_ms) / PLACED_HALF_LIFE_MS);
  size_t i;

  if (now_ms > share->decayed_ms)
    {
      for (i = 0; i < CSP_CLASS_COUNT; i++)
        share->placed[i] *= decay;
      share->decayed_ms = now_ms;
    }
  share->placed[traffic_class] += cost;
  if (traffic_class == CSP_CLASS_REGULAR)
    share->blocked = false;
}

double
csp_urgent_share (const csp_traffic_share_t *share)
{
  double all
      = share->placed[CSP_CLASS_URGENT] + share->placed[CSP_CLASS_REGULAR];

  return all > 0 ? share->placed[CSP_CLASS_URGENT] / all : 0;
}

static bool
is_urgent_held (csp_traffic_share_t *share, int64_t now_ms)
{
  if (!share->blocked || now_ms - share->blocked_since_ms >= 2 * HOLD_MS)
    {
      share->blocked = true;
      share->blocked_since_ms = now_ms;
    }
  return now_ms - share->blocked_since_ms < HOLD_MS;
}

static bool
offers_request (const csp_class_queue_state_t *queue)
{
  return queue->waits && !queue->is_done;
}

csp_traffic_class_t
csp_choose_next_class (csp_traffic_share_t *share,
                       const csp_class_queue_state_t queues[CSP_CLASS_COUNT],
                       int64_t now_ms)
{
  bool regular_first = csp_urgent_share (share) > max_urgent_share
                       && queues[CSP_CLASS_REGULAR].waits;
  bool offers_regular = offers_request (&queues[CSP_CLASS_REGULAR]);

  if (!regular_first)
    share->blocked = false;
  if (regular_first && offers_regular)
    return CSP_CLASS_REGULAR;
  if (offers_request (&queues[CSP_CLASS_URGENT])
      && !(regular_first && is_urgent_held (share, now_ms)))
    return CSP_CLASS_URGENT;
  return offers_regular ? CSP_CLASS_REGULAR : CSP_CLASS_COUNT;
}
