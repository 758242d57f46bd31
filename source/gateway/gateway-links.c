#include "gateway/gateway-imp.h"

#include <stdlib.h>

/* Idle connections to targets.  The one used last is taken first, so that
   the others grow old and go.  */

enum
{
  KEPT_MAX = 8,
  /* A request that meets the server's close has to count as run, so a link is
     left alone that much before its server's time is over: a delayed packet
     and a pause of ours fit in.  */
  KEEP_MARGIN_MS = 1000
};

typedef struct
{
  csp_link_t *link;
  int64_t usable_until_ms;
} kept_link_t;

typedef struct
{
  size_t count;
  kept_link_t links[KEPT_MAX];
} kept_links_t;

static void
forget_link (void *state, csp_link_t *link)
{
  csp_fleet_target_t *target = state;
  kept_links_t *kept = target->links;
  size_t i;

  for (i = 0; i < kept->count; i++)
    if (kept->links[i].link == link)
      {
        kept->links[i] = kept->links[--kept->count];
        return;
      }
}

csp_link_t *
csp_acquire_link (csp_gateway_t *gateway, csp_fleet_target_t *target)
{
  kept_links_t *kept = target->links;
  int64_t now_ms = csp_gateway_now_ms (gateway);

  while (kept != NULL && kept->count > 0)
    {
      kept_link_t last = kept->links[--kept->count];

      if (now_ms < last.usable_until_ms)
        return last.link;
      csp_close_link (last.link);
    }
  gateway->counts.link_opens++;
  return csp_open_link (&gateway->loop, &target->row.address,
                        CSP_CONNECT_TIMEOUT_MS);
}

void
csp_release_link (csp_gateway_t *gateway, csp_fleet_target_t *target,
                  csp_link_t *link)
{
  kept_links_t *kept = target->links;
  uint32_t usable_ms = csp_link_usable_ms (link);

  if (kept == NULL && usable_ms > KEEP_MARGIN_MS)
    kept = target->links = calloc (1, sizeof *kept);
  if (kept == NULL || usable_ms <= KEEP_MARGIN_MS || kept->count == KEPT_MAX
      || target->state == CSP_FLEET_GONE || target->state == CSP_FLEET_LEAVING)
    {
      csp_close_link (link);
      return;
    }
  kept->links[kept->count].link = link;
  kept->links[kept->count].usable_until_ms
      = csp_gateway_now_ms (gateway) + usable_ms - KEEP_MARGIN_MS;
  kept->count++;
  csp_park_link (link, forget_link, target);
}

void
csp_close_idle_links (csp_fleet_target_t *target)
{
  kept_links_t *kept = target->links;
  size_t i;

  if (kept == NULL)
    return;
  for (i = 0; i < kept->count; i++)
    csp_close_link (kept->links[i].link);
  free (kept);
  target->links = NULL;
}
