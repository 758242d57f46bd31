#include "cowslipspoke/hash.h"
#include "declaration/declaration-imp.h"

#include <stdlib.h>
#include <string.h>

/* Position in the previous declaration's items, which advances with the sorted
   values.  */
typedef struct
{
  const csp_declaration_t *previous;
  size_t next;
} reuse_cursor_t;

static void *
allocate_array (size_t count, size_t size_bytes)
{
  void *array = calloc (count + 1, size_bytes);

  if (array == NULL)
    abort ();
  return array;
}

static int
compare_values (const void *a, const void *b)
{
  const csp_declared_value_t *const *first = a;
  const csp_declared_value_t *const *second = b;

  return strcmp ((*first)->key, (*second)->key);
}

static const csp_declared_value_t **
sort_values (const csp_declared_value_t *values, size_t count)
{
  const csp_declared_value_t **sorted
      = allocate_array (count, sizeof (void *));
  size_t i;

  for (i = 0; i < count; i++)
    sorted[i] = &values[i];
  qsort (sorted, count, sizeof (void *), compare_values);
  return sorted;
}

/* The previous item with the same key and text, if there is one.  Texts are
   compared instead of revisions: if a revision were wrong, an old rule would
   stay in force while status pages show the new one.  */
static csp_item_t *
find_reusable (reuse_cursor_t *reuse, const csp_declared_value_t *value)
{
  csp_item_t *item;
  int order;

  for (; reuse->previous != NULL && reuse->next < reuse->previous->item_count;
       reuse->next++)
    {
      item = reuse->previous->items[reuse->next];
      order = strcmp (item->key, value->key);
      if (order > 0)
        return NULL;
      if (order == 0)
        return item->text_bytes == value->size_bytes
                       && memcmp (item->text, value->json, value->size_bytes)
                              == 0
                   ? item
                   : NULL;
    }
  return NULL;
}

static void
add_item (csp_declaration_t *declaration, csp_item_t *item)
{
  if (declaration->kind_count[item->kind] == 0)
    declaration->kind_start[item->kind] = declaration->item_count;
  declaration->kind_count[item->kind]++;
  declaration->items[declaration->item_count++] = item;
}

static void
parse_values (csp_declaration_t *declaration, reuse_cursor_t *reuse,
              const csp_declared_value_t **sorted, size_t count,
              csp_faults_t *faults)
{
  csp_item_t *item;
  size_t i;

  for (i = 0; i < count; i++)
    {
      if (i > 0 && strcmp (sorted[i - 1]->key, sorted[i]->key) == 0)
        {
          csp_add_fault (faults,
                         sorted[i]->where == NULL ? sorted[i]->key
                                                  : sorted[i]->where,
                         "", 0, "key stands twice; it is allowed once");
          continue;
        }
      item = find_reusable (reuse, sorted[i]);
      if (item != NULL)
        csp_retain_item (item);
      else
        item = csp_parse_item (sorted[i], faults);
      if (item != NULL)
        add_item (declaration, item);
      else
        declaration->invalid_keys[declaration->invalid_key_count++]
            = sorted[i]->key;
    }
}

csp_declaration_t *
csp_create_declaration (const csp_declaration_t *previous,
                        const csp_declared_value_t *values, size_t count,
                        csp_faults_t *faults)
{
  csp_declaration_t *declaration = allocate_array (0, sizeof *declaration);
  const csp_declared_value_t **sorted = sort_values (values, count);
  size_t before = csp_count_faults (faults);
  reuse_cursor_t reuse = { previous, 0 };

  declaration->items = allocate_array (count, sizeof (void *));
  declaration->invalid_keys = allocate_array (count, sizeof (void *));
  parse_values (declaration, &reuse, sorted, count, faults);
  free (sorted);
  csp_resolve_references (declaration, faults);
  free (declaration->invalid_keys);
  declaration->invalid_keys = NULL;
  declaration->invalid_key_count = 0;
  if (csp_count_faults (faults) == before)
    return declaration;
  csp_destroy_declaration (declaration);
  return NULL;
}

void
csp_destroy_declaration (csp_declaration_t *declaration)
{
  size_t i;

  if (declaration == NULL)
    return;
  for (i = 0; i < declaration->item_count; i++)
    csp_release_item (declaration->items[i]);
  free (declaration->items);
  free (declaration->rules);
  free (declaration->bearer_keys);
  free (declaration);
}

const csp_item_t *
csp_find_item (const csp_declaration_t *declaration, csp_value_kind_t kind,
               const char *name)
{
  csp_item_t **items = declaration->items + declaration->kind_start[kind];
  size_t low = 0;
  size_t high = declaration->kind_count[kind];
  size_t middle;
  int order;

  while (low < high)
    {
      middle = low + (high - low) / 2;
      order = strcmp (items[middle]->name, name);
      if (order == 0)
        return items[middle];
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

const csp_organisation_t *
csp_find_organisation (const csp_declaration_t *declaration, const char *name)
{
  const csp_item_t *item
      = csp_find_item (declaration, CSP_KIND_ORGANISATION, name);

  return item == NULL ? NULL : &item->is.organisation;
}

const csp_route_t *
csp_find_route (const csp_declaration_t *declaration, const char *name)
{
  const csp_item_t *item = csp_find_item (declaration, CSP_KIND_ROUTE, name);

  return item == NULL ? NULL : &item->is.route;
}

const csp_service_t *
csp_find_service (const csp_declaration_t *declaration, const char *name)
{
  const csp_item_t *item = csp_find_item (declaration, CSP_KIND_SERVICE, name);

  return item == NULL ? NULL : &item->is.service;
}

const csp_pool_t *
csp_find_pool (const csp_declaration_t *declaration, const char *name)
{
  const csp_item_t *item = csp_find_item (declaration, CSP_KIND_POOL, name);

  return item == NULL ? NULL : &item->is.pool;
}

const csp_organisation_t *
csp_find_organisation_by_key (const csp_declaration_t *declaration,
                              const char *key_sha256)
{
  size_t mask = declaration->bearer_key_slots - 1;
  size_t slot = csp_hash_name (key_sha256) & mask;

  for (; declaration->bearer_keys[slot].key != NULL; slot = (slot + 1) & mask)
    if (strcmp (declaration->bearer_keys[slot].key, key_sha256) == 0)
      return declaration->bearer_keys[slot].organisation;
  return NULL;
}

static const char *
path_after_prefix (const csp_service_t *service, const char *path)
{
  size_t length = strlen (service->path_prefix);

  if (strncmp (path, service->path_prefix, length) != 0)
    return NULL;
  if (path[length] == '\0')
    return "/";
  return path[length] == '/' ? path + length : NULL;
}

const csp_service_t *
csp_find_service_by_path (const csp_declaration_t *declaration,
                          const char *path, const char **rest)
{
  const csp_service_t *best = NULL;
  const csp_service_t *service;
  const char *after_prefix;
  size_t i;

  for (i = 0; i < declaration->kind_count[CSP_KIND_SERVICE]; i++)
    {
      service = csp_get_service (declaration, i);
      after_prefix = path_after_prefix (service, path);
      if (after_prefix == NULL
          || (best != NULL
              && strlen (best->path_prefix) > strlen (service->path_prefix)))
        continue;
      best = service;
      *rest = after_prefix;
    }
  return best;
}

const csp_class_t *
csp_find_class (const csp_route_t *route, const char *name)
{
  size_t i;

  if (name == NULL)
    name = route->default_class;
  if (name == NULL)
    return NULL;
  for (i = 0; i < route->class_count; i++)
    if (strcmp (route->classes[i].name, name) == 0)
      return &route->classes[i];
  return NULL;
}

static bool
call_matches (const csp_service_call_t *call, const char *method,
              const char *rest)
{
  size_t length = strlen (call->path);

  return strcmp (call->method, method) == 0
         && strncmp (call->path, rest, length) == 0
         && (rest[length] == '\0' || rest[length] == '/'
             || rest[length] == '?');
}

bool
csp_may_repeat_call (const csp_service_t *service, const char *method,
                     const char *rest)
{
  static const char *const repeatable[] = { "GET", "HEAD", "PUT", "DELETE" };
  const csp_service_call_t *best = NULL;
  size_t i;

  for (i = 0; i < service->call_count; i++)
    if (call_matches (&service->calls[i], method, rest)
        && (best == NULL
            || strlen (service->calls[i].path) > strlen (best->path)))
      best = &service->calls[i];
  if (best != NULL)
    return best->repeatable;
  for (i = 0; i < sizeof repeatable / sizeof repeatable[0]; i++)
    if (strcmp (repeatable[i], method) == 0)
      return true;
  return false;
}

const csp_wanted_state_t *
csp_get_wanted_state (const csp_pool_t *pool, const char *target)
{
  size_t i;

  for (i = 0; i < pool->engine_count; i++)
    if (strcmp (pool->engines[i].target, target) == 0)
      return &pool->engines[i].wanted;
  return pool->has_wanted ? &pool->wanted : NULL;
}

size_t
csp_count_organisations (const csp_declaration_t *declaration)
{
  return declaration->kind_count[CSP_KIND_ORGANISATION];
}

size_t
csp_count_routes (const csp_declaration_t *declaration)
{
  return declaration->kind_count[CSP_KIND_ROUTE];
}

size_t
csp_count_services (const csp_declaration_t *declaration)
{
  return declaration->kind_count[CSP_KIND_SERVICE];
}

size_t
csp_count_pools (const csp_declaration_t *declaration)
{
  return declaration->kind_count[CSP_KIND_POOL];
}

size_t
csp_count_rules (const csp_declaration_t *declaration)
{
  return declaration->rule_count;
}

static const csp_item_t *
get_item (const csp_declaration_t *declaration, csp_value_kind_t kind,
          size_t index)
{
  return declaration->items[declaration->kind_start[kind] + index];
}

const csp_organisation_t *
csp_get_organisation (const csp_declaration_t *declaration, size_t index)
{
  return &get_item (declaration, CSP_KIND_ORGANISATION, index)
              ->is.organisation;
}

const csp_route_t *
csp_get_route (const csp_declaration_t *declaration, size_t index)
{
  return &get_item (declaration, CSP_KIND_ROUTE, index)->is.route;
}

const csp_service_t *
csp_get_service (const csp_declaration_t *declaration, size_t index)
{
  return &get_item (declaration, CSP_KIND_SERVICE, index)->is.service;
}

const csp_pool_t *
csp_get_pool (const csp_declaration_t *declaration, size_t index)
{
  return &get_item (declaration, CSP_KIND_POOL, index)->is.pool;
}

const char *
csp_get_rule_name (const csp_declaration_t *declaration, size_t index)
{
  return declaration->rules[index]->name;
}
