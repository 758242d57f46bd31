#include "declaration/declaration-imp.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Checks the references between values.  A rule that names a missing pool
   would fail each of its requests later, when its author no longer watches;
   therefore the declaration is refused when it is published.  */

enum
{
  KEY_SLOTS_MIN = 16
};

static bool
is_invalid (const csp_declaration_t *declaration, csp_value_kind_t kind,
            const char *name)
{
  const char *invalid_name;
  csp_value_kind_t invalid_kind;
  size_t i;

  for (i = 0; i < declaration->invalid_key_count; i++)
    if (csp_split_key (declaration->invalid_keys[i], &invalid_kind,
                       &invalid_name)
        && invalid_kind == kind
        && (name == NULL || strcmp (invalid_name, name) == 0))
      return true;
  return false;
}

static void
add_unknown_name_fault (const csp_declaration_t *declaration,
                        csp_faults_t *faults, const csp_item_t *item,
                        const char *path, csp_value_kind_t kind,
                        const char *name)
{
  static const char *const kind_names[CSP_KIND_COUNT] = {
    [CSP_KIND_ORGANISATION] = "organisation",
    [CSP_KIND_ROUTE] = "route",
    [CSP_KIND_RULE] = "rule",
    [CSP_KIND_SERVICE] = "service",
    [CSP_KIND_POOL] = "pool",
  };

  if (!is_invalid (declaration, kind, name))
    csp_add_fault (faults, item->where, path, 0, "there is no %s \"%s\"",
                   kind_names[kind], name);
}

static void
check_pool (const csp_declaration_t *declaration, csp_faults_t *faults,
            const csp_item_t *item, const char *path, const char *name,
            csp_pool_kind_t kind)
{
  const csp_pool_t *pool = csp_find_pool (declaration, name);

  if (pool == NULL)
    add_unknown_name_fault (declaration, faults, item, path, CSP_KIND_POOL,
                            name);
  else if (pool->kind != kind)
    csp_add_fault (faults, item->where, path, 0,
                   "pool \"%s\" has %s; it must have %s", name,
                   kind == CSP_POOL_ENGINES ? "services" : "engines",
                   kind == CSP_POOL_ENGINES ? "engines" : "services");
}

/* With a cycle of fallbacks, a request would be sent from route to route
   without end while all their pools are down.  */
static void
check_fallback (const csp_declaration_t *declaration, csp_faults_t *faults,
                const csp_item_t *item)
{
  const csp_route_t *route = &item->is.route;
  size_t steps = 0;

  while (route != NULL && route->fallback != NULL
         && steps <= declaration->kind_count[CSP_KIND_ROUTE])
    {
      route = csp_find_route (declaration, route->fallback);
      steps++;
    }
  if (steps > declaration->kind_count[CSP_KIND_ROUTE])
    csp_add_fault (faults, item->where, "fallback", 0,
                   "the fallbacks form a cycle");
  else if (item->is.route.fallback != NULL
           && csp_find_route (declaration, item->is.route.fallback) == NULL)
    add_unknown_name_fault (declaration, faults, item, "fallback",
                            CSP_KIND_ROUTE, item->is.route.fallback);
}

static void
check_service (const csp_declaration_t *declaration, csp_faults_t *faults,
               const csp_item_t *item)
{
  const csp_service_t *service = &item->is.service;
  const csp_service_t *other;
  size_t i;

  check_pool (declaration, faults, item, "pool", service->pool,
              CSP_POOL_SERVICES);
  for (i = 0; i < declaration->kind_count[CSP_KIND_SERVICE]; i++)
    {
      other = csp_get_service (declaration, i);
      if (other == service)
        break;
      if (strcmp (other->path_prefix, service->path_prefix) == 0)
        csp_add_fault (faults, item->where, "path_prefix", 0,
                       "\"%s\" is service \"%s\"'s already",
                       service->path_prefix, other->name);
    }
}

static bool
is_class_of_any_route (const csp_declaration_t *declaration, const char *name)
{
  size_t i;

  for (i = 0; i < declaration->kind_count[CSP_KIND_ROUTE]; i++)
    if (csp_find_class (csp_get_route (declaration, i), name) != NULL)
      return true;
  return false;
}

static void
check_class (const csp_declaration_t *declaration, csp_faults_t *faults,
             const csp_item_t *item, const char *path, const char *name)
{
  if (!is_class_of_any_route (declaration, name)
      && !is_invalid (declaration, CSP_KIND_ROUTE, NULL))
    csp_add_fault (faults, item->where, path, 0, "there is no class \"%s\"",
                   name);
}

static void
check_name_in_set (const csp_declaration_t *declaration, csp_faults_t *faults,
                   const csp_item_t *item, csp_when_set_t set,
                   const char *name)
{
  char path[CSP_NAME_BYTES];
  csp_value_kind_t kind = CSP_KIND_ORGANISATION;

  snprintf (path, sizeof path, "when.%s", csp_when_set_key (set));
  switch (set)
    {
    case CSP_WHEN_CLASS:
      check_class (declaration, faults, item, path, name);
      return;
    case CSP_WHEN_DATA_CENTRE:
    case CSP_WHEN_SET_COUNT:
      return;
    case CSP_WHEN_ORGANISATION:
      break;
    case CSP_WHEN_ROUTE:
      kind = CSP_KIND_ROUTE;
      break;
    case CSP_WHEN_SERVICE:
      kind = CSP_KIND_SERVICE;
      break;
    }
  if (csp_find_item (declaration, kind, name) == NULL)
    add_unknown_name_fault (declaration, faults, item, path, kind, name);
}

static void
check_sets (const csp_declaration_t *declaration, csp_faults_t *faults,
            const csp_item_t *item)
{
  const csp_name_set_t *set;
  size_t i;
  int s;

  for (s = 0; s < CSP_WHEN_SET_COUNT; s++)
    {
      set = &item->is.rule.when.sets[s];
      for (i = 0; i < set->count; i++)
        check_name_in_set (declaration, faults, item, s, set->declared[i]);
    }
}

static bool
is_in_rule_order (const csp_declaration_t *declaration, const char *name)
{
  const csp_item_t *item
      = csp_find_item (declaration, CSP_KIND_RULE_ORDER, "rule-order");
  size_t i;

  for (i = 0; item != NULL && i < item->is.order.count; i++)
    if (strcmp (item->is.order.names[i], name) == 0)
      return true;
  return false;
}

/* A rule that names a pool and matches both generations and service calls
   would send one of the two kinds to targets of the other kind, so it must
   restrict itself to one of them.  */
static void
check_rule_pool (const csp_declaration_t *declaration, csp_faults_t *faults,
                 const csp_item_t *item, const char *path, const char *name)
{
  const csp_name_set_t *sets = item->is.rule.when.sets;

  if (name == NULL)
    return;
  if (sets[CSP_WHEN_SERVICE].count > 0)
    check_pool (declaration, faults, item, path, name, CSP_POOL_SERVICES);
  else if (sets[CSP_WHEN_ROUTE].count > 0 || sets[CSP_WHEN_CLASS].count > 0)
    check_pool (declaration, faults, item, path, name, CSP_POOL_ENGINES);
  else
    csp_add_fault (faults, item->where, path, 0,
                   "a rule with a pool must ask for route, class or service "
                   "in \"when\", as pools hold engines or services");
}

static void
check_rule (const csp_declaration_t *declaration, csp_faults_t *faults,
            const csp_item_t *item)
{
  const csp_rule_t *rule = &item->is.rule;

  check_sets (declaration, faults, item);
  check_rule_pool (declaration, faults, item, "then.send.pool",
                   rule->then.send.pool);
  check_rule_pool (declaration, faults, item, "then.lend.pool",
                   rule->then.lend.pool);
  check_rule_pool (declaration, faults, item, "then.spill.pool",
                   rule->then.spill.pool);
  if (declaration->rule_count != declaration->kind_count[CSP_KIND_RULE]
      && !is_in_rule_order (declaration, rule->name)
      && !is_invalid (declaration, CSP_KIND_RULE_ORDER, NULL))
    csp_add_fault (faults, item->where, "", 0,
                   "is not in rule-order, so it would never decide");
}

static void
resolve_rule_order (csp_declaration_t *declaration, csp_faults_t *faults,
                    const csp_item_t *item)
{
  const csp_rule_order_t *order = &item->is.order;
  const csp_item_t *rule;
  size_t i;

  declaration->rules = calloc (order->count + 1, sizeof (void *));
  if (declaration->rules == NULL)
    abort ();
  for (i = 0; i < order->count; i++)
    {
      rule = csp_find_item (declaration, CSP_KIND_RULE, order->names[i]);
      if (rule == NULL)
        add_unknown_name_fault (declaration, faults, item, "", CSP_KIND_RULE,
                                order->names[i]);
      else
        declaration->rules[declaration->rule_count++] = &rule->is.rule;
    }
}

static size_t
count_bearer_keys (const csp_declaration_t *declaration)
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < declaration->kind_count[CSP_KIND_ORGANISATION]; i++)
    count += csp_get_organisation (declaration, i)->key_count;
  return count;
}

static const csp_organisation_t *
insert_bearer_key (csp_declaration_t *declaration, const char *key,
                   const csp_organisation_t *organisation)
{
  size_t mask = declaration->bearer_key_slots - 1;
  size_t slot = csp_hash_name (key) & mask;

  for (; declaration->bearer_keys[slot].key != NULL; slot = (slot + 1) & mask)
    if (strcmp (declaration->bearer_keys[slot].key, key) == 0)
      return declaration->bearer_keys[slot].organisation;
  declaration->bearer_keys[slot].key = key;
  declaration->bearer_keys[slot].organisation = organisation;
  return NULL;
}

/* If two organisations had the same bearer key, one would be billed and
   limited for the other's requests.  */
static void
index_bearer_keys (csp_declaration_t *declaration, csp_faults_t *faults)
{
  const csp_organisation_t *organisation;
  const csp_organisation_t *owner;
  size_t i;
  size_t k;

  declaration->bearer_key_slots = KEY_SLOTS_MIN;
  while (declaration->bearer_key_slots < 2 * count_bearer_keys (declaration))
    declaration->bearer_key_slots *= 2;
  declaration->bearer_keys = calloc (declaration->bearer_key_slots,
                                     sizeof *declaration->bearer_keys);
  if (declaration->bearer_keys == NULL)
    abort ();
  for (i = 0; i < declaration->kind_count[CSP_KIND_ORGANISATION]; i++)
    {
      organisation = csp_get_organisation (declaration, i);
      for (k = 0; k < organisation->key_count; k++)
        {
          owner = insert_bearer_key (declaration, organisation->key_sha256[k],
                                     organisation);
          if (owner != NULL)
            csp_add_fault (
                faults,
                declaration
                    ->items[declaration->kind_start[CSP_KIND_ORGANISATION] + i]
                    ->where,
                "key_sha256", 0, "key %zu is organisation \"%s\"'s already", k,
                owner->name);
        }
    }
}

static void
check_item (csp_declaration_t *declaration, csp_faults_t *faults,
            const csp_item_t *item)
{
  switch (item->kind)
    {
    case CSP_KIND_ROUTE:
      check_pool (declaration, faults, item, "pool", item->is.route.pool,
                  CSP_POOL_ENGINES);
      check_fallback (declaration, faults, item);
      break;
    case CSP_KIND_SERVICE:
      check_service (declaration, faults, item);
      break;
    case CSP_KIND_RULE:
      check_rule (declaration, faults, item);
      break;
    case CSP_KIND_RULE_ORDER:
      resolve_rule_order (declaration, faults, item);
      break;
    case CSP_KIND_ORGANISATION:
    case CSP_KIND_POOL:
    case CSP_KIND_COUNT:
      break;
    }
}

void
csp_resolve_references (csp_declaration_t *declaration, csp_faults_t *faults)
{
  size_t max_count;
  size_t i;
  int kind;

  for (kind = 0; kind < CSP_KIND_COUNT; kind++)
    {
      max_count = kind == CSP_KIND_ORGANISATION ? CSP_ORGANISATIONS_MAX
                                                : CSP_ITEMS_MAX;
      if (declaration->kind_count[kind] > max_count)
        csp_add_fault (faults, "declaration", "", 0,
                       "%zu values of one kind; at most %zu are allowed",
                       declaration->kind_count[kind], max_count);
    }
  for (i = 0; i < declaration->item_count; i++)
    check_item (declaration, faults, declaration->items[i]);
  index_bearer_keys (declaration, faults);
}
