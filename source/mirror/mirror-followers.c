#include "mirror/mirror-imp.h"

#include <json-c/json.h>

enum
{
  /* A host asks again within 0.4 s of its last answer; one that misses three
     is gone or follows another.  */
  FOLLOWER_GONE_MS = 1500,
  PORT_BITS = 16,
  PORT_MAX = 65535,
  /* A tenth of a link is for telling others.  */
  LINK_PART = 10,
  /* However small it is: a tree of fewer is too deep.  */
  FOLLOWERS_LEAST = 4
};

static const char elsewhere_key[] = "elsewhere";

size_t
csp_limit_followers (uint64_t link_bytes_per_s, uint64_t follower_bytes_per_s)
{
  uint64_t most = CSP_MIRROR_FOLLOWERS_MAX;

  if (follower_bytes_per_s > 0)
    most = link_bytes_per_s / LINK_PART / follower_bytes_per_s;
  if (most < FOLLOWERS_LEAST)
    return FOLLOWERS_LEAST;
  return most < CSP_MIRROR_FOLLOWERS_MAX ? most : CSP_MIRROR_FOLLOWERS_MAX;
}

static void
drop_gone (csp_mirror_followers_t *followers, uint64_t now_ms)
{
  size_t kept = 0;
  size_t i;

  for (i = 0; i < followers->count; i++)
    if (now_ms - followers->hosts[i].asked_ms < FOLLOWER_GONE_MS)
      followers->hosts[kept++] = followers->hosts[i];
  followers->count = kept;
}

bool
csp_admit_follower (csp_mirror_followers_t *followers, uint64_t host,
                    size_t most, uint64_t now_ms)
{
  size_t i;

  drop_gone (followers, now_ms);
  for (i = 0; i < followers->count && followers->hosts[i].host != host; i++)
    continue;
  if (i == followers->count && i >= most)
    return false;
  if (i == followers->count)
    followers->count++;
  followers->hosts[i].host = host;
  followers->hosts[i].asked_ms = now_ms;
  return true;
}

void
csp_write_elsewhere (const csp_mirror_followers_t *followers,
                     csp_buffer_t *text)
{
  size_t i;

  csp_print_buffer (text, "{\"%s\":[", elsewhere_key);
  for (i = 0; i < followers->count && i < CSP_MIRROR_NAMED_MAX; i++)
    csp_print_buffer (text, "%s%llu", i == 0 ? "" : ",",
                      (unsigned long long)followers->hosts[i].host);
  csp_print_buffer (text, "]}");
}

size_t
csp_read_elsewhere (const char *text, csp_peer_address_t *hosts, size_t room)
{
  json_object *object = json_tokener_parse (text);
  json_object *list = NULL;
  size_t count = 0;
  size_t i;

  if (json_object_object_get_ex (object, elsewhere_key, &list)
      && json_object_is_type (list, json_type_array))
    for (i = 0; i < json_object_array_length (list) && count < room; i++)
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
