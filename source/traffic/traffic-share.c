#include "cowslipspoke/traffic-share.h"

#include <math.h>
#include <stddef.h>

enum
{
  PLACED_HALF_LIFE_MS = 4000,
  /* How long urgent requests are held for a regular one, and then let pass, at
     most.  A short run ends within 0.3 s at the nominal speed, so within the
     hold most engines have room for a long one.  */
  HOLD_MS_MAX = 400,
  /* A hold takes at most the time that an urgent request may wait divided by
     this.  With 400 ms always, urgent requests that must start within 0.23 s
     were refused during a hold.  */
  HOLD_DIVISOR = 4
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

void
csp_note_urgent_wait (csp_traffic_share_t *share, uint32_t start_within_ms)
{
  if (start_within_ms > 0)
    share->urgent_wait_ms = start_within_ms;
}

double
csp_urgent_share (const csp_traffic_share_t *share)
{
  double all
      = share->placed[CSP_CLASS_URGENT] + share->placed[CSP_CLASS_REGULAR];

  return all > 0 ? share->placed[CSP_CLASS_URGENT] / all : 0;
}

static int64_t
limit_hold_ms (const csp_traffic_share_t *share)
{
  int64_t limit_ms = share->urgent_wait_ms / HOLD_DIVISOR;

  return share->urgent_wait_ms > 0 && limit_ms < HOLD_MS_MAX ? limit_ms
                                                             : HOLD_MS_MAX;
}

/* An urgent request that comes during a hold and may wait less shortens it.
   The urgent class then passes until the hold and as long a pass would have
   ended.  */
static bool
is_urgent_held (csp_traffic_share_t *share, int64_t now_ms)
{
  int64_t limit_ms = limit_hold_ms (share);

  if (!share->blocked
      || now_ms - share->blocked_since_ms >= 2 * share->hold_ms)
    {
      share->blocked = true;
      share->blocked_since_ms = now_ms;
      share->hold_ms = limit_ms;
    }
  return now_ms - share->blocked_since_ms
         < (share->hold_ms < limit_ms ? share->hold_ms : limit_ms);
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
