#include "gateway/gateway-target-imp.h"

#include <stdlib.h>

/* Idle connections to targets.  The most recently used one is taken first, so
   that the others expire.  */

enum
{
  IDLE_LINKS_MAX = 8,
  /* A request sent while the server closes the connection must count as run,
     so a link is not used this close to its idle timeout; covers a delayed
     packet and a pause of this process.  */
  IDLE_MARGIN_MS = 1000
};

typedef struct
{
  csp_link_t *link;
  int64_t usable_until_ms;
} idle_link_t;

typedef struct
{
  size_t count;
  idle_link_t links[IDLE_LINKS_MAX];
} idle_links_t;

static void
forget_link (void *state, csp_link_t *link)
{
  csp_fleet_target_t *target = state;
  idle_links_t *idle = target->links;
  size_t i;

  for (i = 0; i < idle->count; i++)
    if (idle->links[i].link == link)
      {
        idle->links[i] = idle->links[--idle->count];
        target->idle_link_count = (uint32_t)idle->count;
        return;
      }
}

csp_link_t *
csp_open_target_link (csp_gateway_t *gateway, const csp_fleet_target_t *target)
{
  const struct sockaddr_in *source = &gateway->settings.source_address;

  gateway->counts.link_opens++;
  return csp_open_link_from (
      &gateway->loop, source->sin_family == 0 ? NULL : source,
      &target->row.address,
      csp_extend_timeout_ms (gateway, CSP_CONNECT_TIMEOUT_MS));
}

csp_link_t *
csp_acquire_link (csp_gateway_t *gateway, csp_fleet_target_t *target)
{
  idle_links_t *idle = target->links;
  int64_t now_ms = csp_gateway_now_ms (gateway);

  while (idle != NULL && idle->count > 0)
    {
      idle_link_t last = idle->links[--idle->count];

      target->idle_link_count = (uint32_t)idle->count;
      if (now_ms < last.usable_until_ms)
        return last.link;
      csp_close_link (last.link);
    }
  return csp_open_target_link (gateway, target);
}

void
csp_release_link (csp_gateway_t *gateway, csp_fleet_target_t *target,
                  csp_link_t *link)
{
  idle_links_t *idle = target->links;
  uint32_t usable_ms = csp_link_reusable_ms (link);

  if (idle == NULL && usable_ms > IDLE_MARGIN_MS)
    idle = target->links = calloc (1, sizeof *idle);
  if (idle == NULL || usable_ms <= IDLE_MARGIN_MS
      || idle->count == IDLE_LINKS_MAX || target->state == CSP_FLEET_GONE
      || target->state == CSP_FLEET_LEAVING)
    {
      csp_close_link (link);
      return;
    }
  idle->links[idle->count].link = link;
  idle->links[idle->count].usable_until_ms
      = csp_gateway_now_ms (gateway) + usable_ms - IDLE_MARGIN_MS;
  target->idle_link_count = (uint32_t)++idle->count;
  csp_watch_idle_link (link, forget_link, target);
}

void
csp_close_idle_links (csp_fleet_target_t *target)
{
  idle_links_t *idle = target->links;
  size_t i;

  if (idle == NULL)
    return;
  for (i = 0; i < idle->count; i++)
    csp_close_link (idle->links[i].link);
  free (idle);
  target->links = NULL;
  target->idle_link_count = 0;
}
