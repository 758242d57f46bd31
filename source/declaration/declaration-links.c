#include "declaration/declaration-imp.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* What one value says of another.  A rule that names a pool which does not
   exist would turn its requests away one by one, long after its writer has
   gone home; so it is refused as a whole when it is declared.  */

enum
{
  KEY_SLOTS_MIN = 16
};

static bool
is_broken (const csp_declaration_t *declaration, csp_kind_t kind,
           const char *name)
{
  const char *broken_name;
  csp_kind_t broken_kind;
  size_t i;

  for (i = 0; i < declaration->broken_count; i++)
    if (csp_split_key (declaration->broken[i], &broken_kind, &broken_name)
        && broken_kind == kind
        && (name == NULL || strcmp (broken_name, name) == 0))
      return true;
  return false;
}

static void
refuse_unknown (const csp_declaration_t *declaration, csp_faults_t *faults,
                const csp_item_t *item, const char *path, csp_kind_t kind,
                const char *name)
{
  static const char *const words[CSP_KIND_COUNT] = {
    [CSP_KIND_ORGANISATION] = "organisation",
    [CSP_KIND_ROUTE] = "route",
    [CSP_KIND_RULE] = "rule",
    [CSP_KIND_SERVICE] = "service",
    [CSP_KIND_POOL] = "pool",
  };

  if (!is_broken (declaration, kind, name))
    csp_add_fault (faults, item->where, path, 0, "there is no %s \"%s\"",
                   words[kind], name);
}

static void
check_pool (const csp_declaration_t *declaration, csp_faults_t *faults,
            const csp_item_t *item, const char *path, const char *name,
            csp_pool_kind_t kind)
{
  const csp_pool_t *pool = csp_find_pool (declaration, name);

  if (pool == NULL)
    refuse_unknown (declaration, faults, item, path, CSP_KIND_POOL, name);
  else if (pool->kind != kind)
    csp_add_fault (faults, item->where, path, 0,
                   "pool \"%s\" has %s; it must have %s", name,
                   kind == CSP_POOL_ENGINES ? "services" : "engines",
                   kind == CSP_POOL_ENGINES ? "engines" : "services");
}

/* A fallback that leads back to its route would send a request round while
   all pools are gone.  */
static void
check_fallback (const csp_declaration_t *declaration, csp_faults_t *faults,
                const csp_item_t *item)
{
  const csp_route_t *route = &item->is.route;
  size_t steps = 0;

  while (route != NULL && route->fallback != NULL
         && steps <= declaration->count[CSP_KIND_ROUTE])
    {
      route = csp_find_route (declaration, route->fallback);
      steps++;
    }
  if (steps > declaration->count[CSP_KIND_ROUTE])
    csp_add_fault (faults, item->where, "fallback", 0,
                   "the fallbacks lead round in a ring");
  else if (item->is.route.fallback != NULL
           && csp_find_route (declaration, item->is.route.fallback) == NULL)
    refuse_unknown (declaration, faults, item, "fallback", CSP_KIND_ROUTE,
                    item->is.route.fallback);
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
  for (i = 0; i < declaration->count[CSP_KIND_SERVICE]; i++)
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
any_route_has_class (const csp_declaration_t *declaration, const char *name)
{
  size_t i;

  for (i = 0; i < declaration->count[CSP_KIND_ROUTE]; i++)
    if (csp_find_class (csp_get_route (declaration, i), name) != NULL)
      return true;
  return false;
}

static void
check_class (const csp_declaration_t *declaration, csp_faults_t *faults,
             const csp_item_t *item, const char *path, const char *name)
{
  if (!any_route_has_class (declaration, name)
      && !is_broken (declaration, CSP_KIND_ROUTE, NULL))
    csp_add_fault (faults, item->where, path, 0, "there is no class \"%s\"",
                   name);
}

static void
check_name (const csp_declaration_t *declaration, csp_faults_t *faults,
            const csp_item_t *item, csp_when_set_t set, const char *name)
{
  char path[CSP_NAME_BYTES];
  csp_kind_t kind = CSP_KIND_ORGANISATION;

  snprintf (path, sizeof path, "when.%s", csp_when_set_name (set));
  switch (set)
    {
    case CSP_WHEN_CLASS:
      check_class (declaration, faults, item, path, name);
      return;
    case CSP_WHEN_DATA_CENTRE:
    case CSP_WHEN_SETS:
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
    refuse_unknown (declaration, faults, item, path, kind, name);
}

static void
check_sets (const csp_declaration_t *declaration, csp_faults_t *faults,
            const csp_item_t *item)
{
  const csp_name_set_t *set;
  size_t i;
  int s;

  for (s = 0; s < CSP_WHEN_SETS; s++)
    {
      set = &item->is.rule.when.sets[s];
      for (i = 0; i < set->count; i++)
        check_name (declaration, faults, item, s, set->declared[i]);
    }
}

static bool
is_in_order (const csp_declaration_t *declaration, const char *name)
{
  const csp_item_t *item
      = csp_find_item (declaration, CSP_KIND_RULE_ORDER, "rule-order");
  size_t i;

  for (i = 0; item != NULL && i < item->is.order.count; i++)
    if (strcmp (item->is.order.names[i], name) == 0)
      return true;
  return false;
}

/* A rule with a pool that held for generations and for calls of services
   would send the one to the other's targets, so it has to say for which of
   them it is.  */
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
  if (declaration->rule_count != declaration->count[CSP_KIND_RULE]
      && !is_in_order (declaration, rule->name)
      && !is_broken (declaration, CSP_KIND_RULE_ORDER, NULL))
    csp_add_fault (faults, item->where, "", 0,
                   "is not in rule-order, so it would never decide");
}

static void
link_order (csp_declaration_t *declaration, csp_faults_t *faults,
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
        refuse_unknown (declaration, faults, item, "", CSP_KIND_RULE,
                        order->names[i]);
      else
        declaration->rules[declaration->rule_count++] = &rule->is.rule;
    }
}

static size_t
count_keys (const csp_declaration_t *declaration)
{
  size_t count = 0;
  size_t i;

  for (i = 0; i < declaration->count[CSP_KIND_ORGANISATION]; i++)
    count += csp_get_organisation (declaration, i)->key_count;
  return count;
}

static const csp_organisation_t *
insert_key (csp_declaration_t *declaration, const char *key,
            const csp_organisation_t *organisation)
{
  size_t mask = declaration->key_slots - 1;
  size_t slot = csp_hash_name (key) & mask;

  for (; declaration->keys[slot].key != NULL; slot = (slot + 1) & mask)
    if (strcmp (declaration->keys[slot].key, key) == 0)
      return declaration->keys[slot].organisation;
  declaration->keys[slot].key = key;
  declaration->keys[slot].organisation = organisation;
  return NULL;
}

/* One bearer key in two organisations would bill and limit the one for what
   the other sends.  */
static void
link_keys (csp_declaration_t *declaration, csp_faults_t *faults)
{
  const csp_organisation_t *organisation;
  const csp_organisation_t *owner;
  size_t i;
  size_t k;

  declaration->key_slots = KEY_SLOTS_MIN;
  while (declaration->key_slots < 2 * count_keys (declaration))
    declaration->key_slots *= 2;
  declaration->keys
      = calloc (declaration->key_slots, sizeof *declaration->keys);
  if (declaration->keys == NULL)
    abort ();
  for (i = 0; i < declaration->count[CSP_KIND_ORGANISATION]; i++)
    {
      organisation = csp_get_organisation (declaration, i);
      for (k = 0; k < organisation->key_count; k++)
        {
          owner = insert_key (declaration, organisation->key_sha256[k],
                              organisation);
          if (owner != NULL)
            csp_add_fault (
                faults,
                declaration
                    ->items[declaration->first[CSP_KIND_ORGANISATION] + i]
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
      link_order (declaration, faults, item);
      break;
    case CSP_KIND_ORGANISATION:
    case CSP_KIND_POOL:
    case CSP_KIND_COUNT:
      break;
    }
}

void
csp_link_declaration (csp_declaration_t *declaration, csp_faults_t *faults)
{
  size_t most;
  size_t i;
  int kind;

  for (kind = 0; kind < CSP_KIND_COUNT; kind++)
    {
      most = kind == CSP_KIND_ORGANISATION ? CSP_ORGANISATIONS_MAX
                                           : CSP_ITEMS_MAX;
      if (declaration->count[kind] > most)
        csp_add_fault (faults, "declaration", "", 0,
                       "%zu values of one kind; at most %zu are allowed",
                       declaration->count[kind], most);
    }
  for (i = 0; i < declaration->item_count; i++)
    check_item (declaration, faults, declaration->items[i]);
  link_keys (declaration, faults);
}
