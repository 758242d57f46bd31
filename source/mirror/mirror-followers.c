#include "mirror/mirror-imp.h"

#include <json-c/json.h>

enum
{
  /* A follower asks again within 0.4 s of its last answer; one that misses
     three requests is gone or follows another host.  */
  FOLLOWER_EXPIRY_MS = 1500,
  PORT_BITS = 16,
  PORT_MAX = 65535,
  /* A tenth of the link is for followers.  */
  LINK_DIVISOR = 10,
  /* On any link; with fewer followers per host the tree gets too deep.  */
  FOLLOWERS_MIN = 4
};

static const char redirect_key[] = "elsewhere";

size_t
csp_compute_follower_limit (uint64_t link_bytes_per_s,
                            uint64_t follower_bytes_per_s)
{
  uint64_t max_followers = CSP_MIRROR_FOLLOWERS_MAX;

  if (follower_bytes_per_s > 0)
    max_followers = link_bytes_per_s / LINK_DIVISOR / follower_bytes_per_s;
  if (max_followers < FOLLOWERS_MIN)
    return FOLLOWERS_MIN;
  return max_followers < CSP_MIRROR_FOLLOWERS_MAX ? max_followers
                                                  : CSP_MIRROR_FOLLOWERS_MAX;
}

static void
drop_expired (csp_mirror_followers_t *followers, uint64_t now_ms)
{
  size_t kept = 0;
  size_t i;

  for (i = 0; i < followers->count; i++)
    if (now_ms - followers->hosts[i].last_asked_ms < FOLLOWER_EXPIRY_MS)
      followers->hosts[kept++] = followers->hosts[i];
  followers->count = kept;
}

bool
csp_admit_follower (csp_mirror_followers_t *followers, uint64_t host,
                    size_t max_followers, uint64_t now_ms)
{
  size_t i;

  drop_expired (followers, now_ms);
  for (i = 0; i < followers->count && followers->hosts[i].host != host; i++)
    continue;
  if (i == followers->count && i >= max_followers)
    return false;
  if (i == followers->count)
    followers->count++;
  followers->hosts[i].host = host;
  followers->hosts[i].last_asked_ms = now_ms;
  return true;
}

void
csp_encode_redirect (const csp_mirror_followers_t *followers,
                     csp_buffer_t *text)
{
  size_t i;

  csp_print_buffer (text, "{\"%s\":[", redirect_key);
  for (i = 0; i < followers->count && i < CSP_MIRROR_REDIRECT_HOSTS_MAX; i++)
    csp_print_buffer (text, "%s%llu", i == 0 ? "" : ",",
                      (unsigned long long)followers->hosts[i].host);
  csp_print_buffer (text, "]}");
}

size_t
csp_decode_redirect (const char *text, csp_peer_address_t *hosts,
                     size_t max_hosts)
{
  json_object *object = json_tokener_parse (text);
  json_object *list = NULL;
  size_t count = 0;
  size_t i;

  if (json_object_object_get_ex (object, redirect_key, &list)
      && json_object_is_type (list, json_type_array))
    for (i = 0; i < json_object_array_length (list) && count < max_hosts; i++)
      {
        uint64_t packed
            = json_object_get_uint64 (json_object_array_get_idx (list, i));

        hosts[count++]
            = (csp_peer_address_t){ .ip = (uint32_t)(packed >> PORT_BITS),
                                    .port = (uint16_t)(packed & PORT_MAX) };
      }
  json_object_put (object);
  return count;
}
