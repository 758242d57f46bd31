#include "soak/soak.h"

#include <stdlib.h>

/* Each host has a narrow network link towards all servers: what it sends them,
   and what they send it, waits for what went before.  */

enum
{
  LINK_BYTES_PER_S = SOAK_NARROW_MBPS * 1000000 / 8,
  HEADER_BYTES = 66, /* of a packet */
  US_PER_MS = 1000,
  US_PER_S = 1000000
};

/* When each direction of each host's link has sent what waits for it.  */
struct narrow
{
  uint64_t free_us[SOAK_HOSTS_MAX][2];
};

void
narrow_open (soak_t *soak)
{
  soak->narrow = calloc (1, sizeof *soak->narrow);
  if (soak->narrow == NULL)
    abort ();
}

uint64_t
narrow_pace (void *context, const struct sockaddr_in *client,
             bool towards_client, size_t size_bytes)
{
  soak_t *soak = context;
  uint64_t now_us = soak_now_ms (soak) * US_PER_MS;
  const host_t *host = host_at_address (soak, client);
  uint64_t *free_us;

  if (host == NULL)
    return soak_now_ms (soak);
  free_us = &soak->narrow->free_us[host - soak->hosts][towards_client];
  if (*free_us < now_us)
    *free_us = now_us;
  *free_us += (size_bytes + HEADER_BYTES) * US_PER_S / LINK_BYTES_PER_S;
  return *free_us / US_PER_MS;
}
