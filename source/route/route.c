#include "cowslipspoke/route.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Texts of one version live in blocks that go with it: hundreds of routes
   would else be thousands of small allocations.  */
enum
{
  TEXT_BLOCK_BYTES = 16384
};

typedef struct text_block
{
  struct text_block *next;
  size_t used_bytes;
  size_t room_bytes;
  char bytes[];
} text_block_t;

typedef struct
{
  const char *key;
  uint32_t organisation;
} route_key_t;

/* A growing array; item_bytes is that of one item.  */
typedef struct
{
  void *items;
  size_t count;
  size_t room;
} items_t;

struct csp_routes
{
  uint64_t version;
  csp_caller_limits_t limits;
  uint32_t users;
  text_block_t *texts;
  items_t routes;
  items_t services;
  items_t organisations;
  items_t keys;
};

csp_routes_t *
csp_create_routes (uint64_t version, csp_caller_limits_t limits)
{
  csp_routes_t *routes = calloc (1, sizeof *routes);

  if (routes == NULL)
    return NULL;
  routes->version = version;
  routes->limits = limits;
  routes->users = 1;
  return routes;
}

static const char *
keep_text (csp_routes_t *routes, const char *text)
{
  size_t size_bytes = strlen (text) + 1;
  text_block_t *block = routes->texts;
  char *kept;

  if (block == NULL || block->room_bytes - block->used_bytes < size_bytes)
    {
      size_t room_bytes
          = size_bytes > TEXT_BLOCK_BYTES ? size_bytes : TEXT_BLOCK_BYTES;

      block = malloc (sizeof *block + room_bytes);
      if (block == NULL)
        return NULL;
      block->next = routes->texts;
      block->used_bytes = 0;
      block->room_bytes = room_bytes;
      routes->texts = block;
    }
  kept = block->bytes + block->used_bytes;
  memcpy (kept, text, size_bytes);
  block->used_bytes += size_bytes;
  return kept;
}

static void *
add_item (items_t *items, size_t item_bytes)
{
  if (items->count == items->room)
    {
      size_t room = items->room == 0 ? 8 : items->room * 2;
      void *grown = realloc (items->items, room * item_bytes);

      if (grown == NULL)
        return NULL;
      items->items = grown;
      items->room = room;
    }
  return (char *)items->items + item_bytes * items->count++;
}

bool
csp_add_service (csp_routes_t *routes, const csp_route_service_t *service)
{
  csp_route_service_t *kept = add_item (&routes->services, sizeof *kept);

  if (kept == NULL)
    return false;
  *kept = *service;
  kept->name = keep_text (routes, service->name);
  return kept->name != NULL;
}

bool
csp_add_route (csp_routes_t *routes, const csp_route_t *route)
{
  csp_route_t *kept = add_item (&routes->routes, sizeof *kept);
  size_t i;

  if (kept == NULL)
    return false;
  *kept = *route;
  kept->name = keep_text (routes, route->name);
  kept->host = keep_text (routes, route->host);
  kept->prefix = keep_text (routes, route->prefix);
  if (kept->name == NULL || kept->host == NULL || kept->prefix == NULL)
    return false;
  for (i = 0; i < route->share_count; i++)
    {
      kept->shares[i].service = keep_text (routes, route->shares[i].service);
      if (kept->shares[i].service == NULL)
        return false;
    }
  return true;
}

bool
csp_add_organisation (csp_routes_t *routes, const char *name, int32_t urgency)
{
  csp_route_organisation_t *kept
      = add_item (&routes->organisations, sizeof *kept);

  if (kept == NULL)
    return false;
  kept->name = keep_text (routes, name);
  kept->urgency = urgency;
  return kept->name != NULL;
}

bool
csp_add_key (csp_routes_t *routes, const char *key)
{
  route_key_t *kept;

  if (routes->organisations.count == 0)
    return false;
  kept = add_item (&routes->keys, sizeof *kept);
  if (kept == NULL)
    return false;
  kept->key = keep_text (routes, key);
  kept->organisation = (uint32_t)routes->organisations.count - 1;
  return kept->key != NULL;
}

/* By host, and the longest prefix first.  */
static int
compare_routes (const void *left, const void *right)
{
  const csp_route_t *a = left;
  const csp_route_t *b = right;
  int order = strcasecmp (a->host, b->host);
  size_t a_bytes = strlen (a->prefix);
  size_t b_bytes = strlen (b->prefix);

  if (order != 0)
    return order;
  return a_bytes == b_bytes ? strcmp (a->prefix, b->prefix)
                            : (a_bytes < b_bytes) - (a_bytes > b_bytes);
}

static int
compare_keys (const void *left, const void *right)
{
  const route_key_t *a = left;
  const route_key_t *b = right;
  int order = strcmp (a->key, b->key);

  return order != 0 ? order
                    : (a->organisation < b->organisation)
                          - (a->organisation > b->organisation);
}

void
csp_seal_routes (csp_routes_t *routes)
{
  if (routes->routes.count > 0)
    qsort (routes->routes.items, routes->routes.count, sizeof (csp_route_t),
           compare_routes);
  if (routes->keys.count > 0)
    qsort (routes->keys.items, routes->keys.count, sizeof (route_key_t),
           compare_keys);
}

csp_routes_t *
csp_hold_routes (csp_routes_t *routes)
{
  routes->users++;
  return routes;
}

void
csp_release_routes (csp_routes_t *routes)
{
  if (routes == NULL || --routes->users > 0)
    return;
  while (routes->texts != NULL)
    {
      text_block_t *next = routes->texts->next;

      free (routes->texts);
      routes->texts = next;
    }
  free (routes->routes.items);
  free (routes->services.items);
  free (routes->organisations.items);
  free (routes->keys.items);
  free (routes);
}

uint64_t
csp_routes_version (const csp_routes_t *routes)
{
  return routes->version;
}

const csp_caller_limits_t *
csp_routes_limits (const csp_routes_t *routes)
{
  return &routes->limits;
}

bool
csp_routes_have_keys (const csp_routes_t *routes)
{
  return routes->organisations.count > 0;
}

static bool
is_host (const char *declared, const char *host)
{
  size_t size_bytes = strlen (declared);

  return strncasecmp (declared, host, size_bytes) == 0
         && (host[size_bytes] == '\0' || host[size_bytes] == ':');
}

const csp_route_t *
csp_match_route (const csp_routes_t *routes, const char *host,
                 const char *path)
{
  const csp_route_t *route = routes->routes.items;
  const csp_route_t *end = route + routes->routes.count;

  for (; route < end; route++)
    if (is_host (route->host, host)
        && strncmp (path, route->prefix, strlen (route->prefix)) == 0)
      return route;
  return NULL;
}

const csp_route_organisation_t *
csp_find_key (const csp_routes_t *routes, const char *key)
{
  const route_key_t *keys = routes->keys.items;
  const csp_route_organisation_t *organisations = routes->organisations.items;
  size_t low = 0;
  size_t high = routes->keys.count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (strcmp (keys[middle].key, key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  if (low == routes->keys.count || strcmp (keys[low].key, key) != 0)
    return NULL;
  return &organisations[keys[low].organisation];
}

const csp_route_service_t *
csp_get_route_service (const csp_routes_t *routes, const char *name)
{
  const csp_route_service_t *services = routes->services.items;
  size_t i;

  for (i = 0; i < routes->services.count; i++)
    if (strcmp (services[i].name, name) == 0)
      return &services[i];
  return NULL;
}

const csp_route_service_t *
csp_list_route_service (const csp_routes_t *routes, size_t index)
{
  const csp_route_service_t *services = routes->services.items;

  return index < routes->services.count ? &services[index] : NULL;
}

const char *
csp_draw_service (const csp_route_t *route, csp_random_t *random)
{
  uint32_t total = 0;
  uint32_t drawn;
  size_t i;

  for (i = 0; i < route->share_count; i++)
    total += route->shares[i].weight;
  if (total == 0)
    return NULL;
  drawn = csp_random_below (random, total);
  for (i = 0; drawn >= route->shares[i].weight; i++)
    drawn -= route->shares[i].weight;
  return route->shares[i].service;
}
