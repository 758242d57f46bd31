#include "cowslipspoke/route.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* The strings of a version are stored in blocks that are freed with it, since
   hundreds of routes would otherwise need thousands of small allocations.  */
enum
{
  TEXT_BLOCK_BYTES = 16384
};

typedef struct string_block
{
  struct string_block *next;
  size_t used_bytes;
  size_t capacity_bytes;
  char bytes[];
} string_block_t;

typedef struct
{
  const char *key;
  uint32_t organisation;
} route_key_t;

/* A growing array.  */
typedef struct
{
  void *items;
  size_t count;
  size_t capacity;
} item_array_t;

struct csp_routes
{
  uint64_t version;
  csp_caller_limits_t limits;
  uint32_t references;
  string_block_t *strings;
  item_array_t routes;
  item_array_t services;
  item_array_t organisations;
  item_array_t keys;
};

csp_routes_t *
csp_create_routes (uint64_t version, csp_caller_limits_t limits)
{
  csp_routes_t *routes = calloc (1, sizeof *routes);

  if (routes == NULL)
    return NULL;
  routes->version = version;
  routes->limits = limits;
  routes->references = 1;
  return routes;
}

static const char *
copy_string (csp_routes_t *routes, const char *text)
{
  size_t size_bytes = strlen (text) + 1;
  string_block_t *block = routes->strings;
  char *stored;

  if (block == NULL || block->capacity_bytes - block->used_bytes < size_bytes)
    {
      size_t capacity_bytes
          = size_bytes > TEXT_BLOCK_BYTES ? size_bytes : TEXT_BLOCK_BYTES;

      block = malloc (sizeof *block + capacity_bytes);
      if (block == NULL)
        return NULL;
      block->next = routes->strings;
      block->used_bytes = 0;
      block->capacity_bytes = capacity_bytes;
      routes->strings = block;
    }
  stored = block->bytes + block->used_bytes;
  memcpy (stored, text, size_bytes);
  block->used_bytes += size_bytes;
  return stored;
}

static void *
append_item (item_array_t *items, size_t item_bytes)
{
  if (items->count == items->capacity)
    {
      size_t capacity = items->capacity == 0 ? 8 : items->capacity * 2;
      void *grown = realloc (items->items, capacity * item_bytes);

      if (grown == NULL)
        return NULL;
      items->items = grown;
      items->capacity = capacity;
    }
  return (char *)items->items + item_bytes * items->count++;
}

bool
csp_add_service (csp_routes_t *routes, const csp_route_service_t *service)
{
  csp_route_service_t *stored
      = append_item (&routes->services, sizeof *stored);

  if (stored == NULL)
    return false;
  *stored = *service;
  stored->name = copy_string (routes, service->name);
  if (service->health_path != NULL)
    stored->health_path = copy_string (routes, service->health_path);
  return stored->name != NULL
         && (service->health_path == NULL || stored->health_path != NULL);
}

bool
csp_add_route (csp_routes_t *routes, const csp_gateway_route_t *route)
{
  csp_gateway_route_t *stored = append_item (&routes->routes, sizeof *stored);
  size_t i;

  if (stored == NULL)
    return false;
  *stored = *route;
  stored->name = copy_string (routes, route->name);
  stored->host = copy_string (routes, route->host);
  stored->prefix = copy_string (routes, route->prefix);
  if (stored->name == NULL || stored->host == NULL || stored->prefix == NULL)
    return false;
  for (i = 0; i < route->share_count; i++)
    {
      stored->shares[i].service
          = copy_string (routes, route->shares[i].service);
      if (stored->shares[i].service == NULL)
        return false;
    }
  return true;
}

bool
csp_add_organisation (csp_routes_t *routes, const char *name, int32_t urgency)
{
  csp_route_organisation_t *stored
      = append_item (&routes->organisations, sizeof *stored);

  if (stored == NULL)
    return false;
  stored->name = copy_string (routes, name);
  stored->urgency = urgency;
  return stored->name != NULL;
}

bool
csp_add_key (csp_routes_t *routes, const char *key)
{
  route_key_t *stored;

  if (routes->organisations.count == 0)
    return false;
  stored = append_item (&routes->keys, sizeof *stored);
  if (stored == NULL)
    return false;
  stored->key = copy_string (routes, key);
  stored->organisation = (uint32_t)routes->organisations.count - 1;
  return stored->key != NULL;
}

/* Orders routes by host, then by length of prefix, longest first, so that the
   first match has the longest prefix.  */
static int
compare_routes (const void *left, const void *right)
{
  const csp_gateway_route_t *a = left;
  const csp_gateway_route_t *b = right;
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

static uint32_t
min_if_set (uint32_t current, uint32_t value)
{
  return current == 0 || (value != 0 && value < current) ? value : current;
}

/* Applies what a route requires of event streams to its services.  */
static void
apply_stream_limits (csp_routes_t *routes, const csp_gateway_route_t *route)
{
  csp_route_service_t *services = routes->services.items;
  size_t i;
  size_t j;

  for (i = 0; i < route->share_count; i++)
    for (j = 0; j < routes->services.count; j++)
      {
        csp_route_service_t *service = &services[j];

        if (strcmp (service->name, route->shares[i].service) != 0)
          continue;
        service->shortest_objective_ms
            = min_if_set (service->shortest_objective_ms, route->objective_ms);
        service->shortest_gap_limit_ms = min_if_set (
            service->shortest_gap_limit_ms, route->longest_gap_ms);
        if (route->objective_ms > service->longest_objective_ms)
          service->longest_objective_ms = route->objective_ms;
      }
}

void
csp_seal_routes (csp_routes_t *routes)
{
  const csp_gateway_route_t *route = routes->routes.items;
  const csp_gateway_route_t *end = route + routes->routes.count;

  for (; route < end; route++)
    if (route->kind == CSP_ROUTE_STREAM)
      apply_stream_limits (routes, route);

  if (routes->routes.count > 0)
    qsort (routes->routes.items, routes->routes.count,
           sizeof (csp_gateway_route_t), compare_routes);
  if (routes->keys.count > 0)
    qsort (routes->keys.items, routes->keys.count, sizeof (route_key_t),
           compare_keys);
}

csp_routes_t *
csp_retain_routes (csp_routes_t *routes)
{
  routes->references++;
  return routes;
}

void
csp_release_routes (csp_routes_t *routes)
{
  if (routes == NULL || --routes->references > 0)
    return;
  while (routes->strings != NULL)
    {
      string_block_t *next = routes->strings->next;

      free (routes->strings);
      routes->strings = next;
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
csp_routes_require_keys (const csp_routes_t *routes)
{
  return routes->organisations.count > 0;
}

static bool
host_matches (const char *declared, const char *host)
{
  size_t size_bytes = strlen (declared);

  return strncasecmp (declared, host, size_bytes) == 0
         && (host[size_bytes] == '\0' || host[size_bytes] == ':');
}

const csp_gateway_route_t *
csp_match_route (const csp_routes_t *routes, const char *host,
                 const char *path)
{
  const csp_gateway_route_t *route = routes->routes.items;
  const csp_gateway_route_t *end = route + routes->routes.count;

  for (; route < end; route++)
    if (host_matches (route->host, host)
        && strncmp (path, route->prefix, strlen (route->prefix)) == 0)
      return route;
  return NULL;
}

const csp_route_organisation_t *
csp_find_key_owner (const csp_routes_t *routes, const char *key)
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
csp_find_route_service (const csp_routes_t *routes, const char *name)
{
  const csp_route_service_t *services = routes->services.items;
  size_t i;

  for (i = 0; i < routes->services.count; i++)
    if (strcmp (services[i].name, name) == 0)
      return &services[i];
  return NULL;
}

const csp_route_service_t *
csp_get_route_service_at (const csp_routes_t *routes, size_t index)
{
  const csp_route_service_t *services = routes->services.items;

  return index < routes->services.count ? &services[index] : NULL;
}

const char *
csp_pick_weighted_service (const csp_gateway_route_t *route,
                           csp_random_t *random)
{
  uint32_t total = 0;
  uint32_t offset;
  size_t i;

  for (i = 0; i < route->share_count; i++)
    total += route->shares[i].weight;
  if (total == 0)
    return NULL;
  offset = csp_random_below (random, total);
  for (i = 0; offset >= route->shares[i].weight; i++)
    offset -= route->shares[i].weight;
  return route->shares[i].service;
}
