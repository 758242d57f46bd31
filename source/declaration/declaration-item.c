#include "json/json-reader-imp.h"
#include "declaration/declaration-imp.h"

#include <stdlib.h>
#include <string.h>

typedef struct
{
  const char *prefix;
  const csp_field_t *table;
} kind_info_t;

static const kind_info_t kind_table[CSP_KIND_COUNT] = {
  [CSP_KIND_ORGANISATION] = { "organisation/", csp_organisation_table },
  [CSP_KIND_ROUTE] = { "route/", csp_route_table },
  [CSP_KIND_RULE_ORDER] = { "rule-order", NULL },
  [CSP_KIND_RULE] = { "rule/", csp_rule_table },
  [CSP_KIND_SERVICE] = { "service/", csp_service_table },
  [CSP_KIND_POOL] = { "targets/", csp_pool_table },
};

bool
csp_split_key (const char *key, csp_value_kind_t *kind, const char **name)
{
  size_t length;
  int i;

  if (strcmp (key, kind_table[CSP_KIND_RULE_ORDER].prefix) == 0)
    {
      *kind = CSP_KIND_RULE_ORDER;
      *name = key;
      return true;
    }
  for (i = 0; i < CSP_KIND_COUNT; i++)
    {
      length = strlen (kind_table[i].prefix);
      if (i == CSP_KIND_RULE_ORDER
          || strncmp (key, kind_table[i].prefix, length) != 0)
        continue;
      *kind = (csp_value_kind_t)i;
      *name = key + length;
      return csp_text_has_form (CSP_FORM_NAME, *name);
    }
  return false;
}

static void
check_route (csp_json_position_t *position, csp_route_t *route)
{
  if (route->model == NULL)
    route->model = route->name;
  if (route->default_class != NULL
      && csp_find_class (route, route->default_class) == NULL)
    csp_add_fault (position->faults, position->where, "default_class", 0,
                   "\"%s\" is none of the route's classes",
                   route->default_class);
}

static void
check_service (csp_json_position_t *position, csp_service_t *service)
{
  if (service->path_prefix == NULL)
    service->path_prefix
        = csp_format_text (position->arena, "/services/%s", service->name);
  /* A service under /v1 would shadow the callers' generation API.  */
  if (strncmp (service->path_prefix, "/v1", 3) == 0
      && (service->path_prefix[3] == '/' || service->path_prefix[3] == '\0'))
    csp_add_fault (
        position->faults, position->where, "path_prefix", 0,
        "\"%s\" is in /v1, which is reserved for the generation API",
        service->path_prefix);
}

static void
check_ranges (csp_json_position_t *position, const csp_when_t *when)
{
  int i;

  for (i = 0; i < CSP_WHEN_RANGE_COUNT; i++)
    if (when->ranges[i].min > when->ranges[i].max)
      {
        size_t length = csp_push_path (position, "when", 0);

        csp_push_path (position, csp_when_range_key (i), 0);
        csp_add_fault_at (position, NULL, "min %g is above max %g",
                          when->ranges[i].min, when->ranges[i].max);
        csp_pop_path (position, length);
      }
}

static void
check_rule (csp_json_position_t *position, csp_rule_t *rule)
{
  const csp_rule_action_t *then = &rule->then;
  int count = then->has_send + then->has_lend + then->has_spill
              + then->has_turn_away;
  int i;

  if (count != 1)
    csp_add_fault (position->faults, position->where, "then", 0,
                   "has %d actions; exactly one of send, lend, spill, "
                   "turn_away must be given",
                   count);
  if (rule->when.sets[CSP_WHEN_ROUTE].count > 0
      && rule->when.sets[CSP_WHEN_SERVICE].count > 0)
    csp_add_fault (position->faults, position->where, "when", 0,
                   "asks for a route and a service; no request has both");
  check_ranges (position, &rule->when);
  rule->action = then->has_send    ? CSP_ACTION_SEND
                 : then->has_lend  ? CSP_ACTION_LEND
                 : then->has_spill ? CSP_ACTION_SPILL
                                   : CSP_ACTION_TURN_AWAY;
  for (i = 0; i < CSP_WHEN_SET_COUNT; i++)
    csp_sort_name_set (&rule->when.sets[i], position->arena);
}

static void
read_rule_order (csp_json_position_t *position, struct json_object *root,
                 csp_rule_order_t *order)
{
  static const csp_field_t table[]
      = { { .name = "rule-order",
            .type = CSP_FIELD_STRINGS,
            .form = CSP_FORM_NAME,
            .offset = offsetof (csp_rule_order_t, names),
            .count_offset = offsetof (csp_rule_order_t, count),
            .min = 0,
            .max = CSP_ITEMS_MAX },
          { 0 } };
  struct json_object *object;

  if (!json_object_is_type (root, json_type_array))
    {
      csp_add_fault_at (position, root, "must be a list of rules' names");
      return;
    }
  object = json_object_new_object ();
  json_object_object_add (object, table[0].name, json_object_get (root));
  csp_read_fields (position, table, object, order);
  json_object_put (object);
}

/* Read the fields of an item.  The name is the first member of each struct in
   the union.  */
static void
read_item (csp_item_t *item, csp_json_position_t *position)
{
  if (item->kind == CSP_KIND_RULE_ORDER)
    {
      read_rule_order (position, item->root, &item->is.order);
      return;
    }
  csp_read_fields (position, kind_table[item->kind].table, item->root,
                   &item->is);
  *(const char **)&item->is = item->name;
  switch (item->kind)
    {
    case CSP_KIND_ROUTE:
      check_route (position, &item->is.route);
      break;
    case CSP_KIND_SERVICE:
      check_service (position, &item->is.service);
      break;
    case CSP_KIND_RULE:
      item->is.rule.where = item->where;
      check_rule (position, &item->is.rule);
      break;
    case CSP_KIND_ORGANISATION:
    case CSP_KIND_POOL:
    case CSP_KIND_RULE_ORDER:
    case CSP_KIND_COUNT:
      break;
    }
}

static csp_item_t *
create_item (const csp_declared_value_t *value)
{
  csp_item_t *item = calloc (1, sizeof *item);

  if (item == NULL)
    abort ();
  atomic_init (&item->references, 1);
  item->arena = csp_create_arena ();
  item->key = strdup (value->key);
  item->where = strdup (value->where == NULL ? value->key : value->where);
  item->text = malloc (value->size_bytes + 1);
  if (item->key == NULL || item->where == NULL || item->text == NULL)
    abort ();
  memcpy (item->text, value->json, value->size_bytes);
  item->text[value->size_bytes] = '\0';
  item->text_bytes = value->size_bytes;
  return item;
}

csp_item_t *
csp_parse_item (const csp_declared_value_t *value, csp_faults_t *faults)
{
  size_t before = csp_count_faults (faults);
  csp_item_t *item = create_item (value);
  csp_json_position_t position
      = { .where = item->where, .arena = item->arena, .faults = faults };

  if (!csp_split_key (item->key, &item->kind, &item->name))
    {
      csp_add_fault (faults, item->where, "", 0,
                     "unknown key; allowed are organisation/NAME, route/NAME, "
                     "service/NAME, rule/NAME, rule-order and targets/POOL, "
                     "NAME of 1 to 63 letters, digits, \".\", \"_\", \"-\"");
      goto fail;
    }
  item->root = csp_read_json_with_duplicates (item->where, item->text,
                                              item->text_bytes, faults);
  if (item->root == NULL)
    goto fail;
  read_item (item, &position);
  if (csp_count_faults (faults) != before)
    goto fail;
  return item;

fail:
  csp_release_item (item);
  return NULL;
}

/* References are counted atomically: the last user of an old declaration may
   be a traffic thread, which destroys it while the control thread builds the
   next one from the same items.  */
csp_item_t *
csp_retain_item (csp_item_t *item)
{
  atomic_fetch_add_explicit (&item->references, 1, memory_order_relaxed);
  return item;
}

void
csp_release_item (csp_item_t *item)
{
  if (item == NULL
      || atomic_fetch_sub_explicit (&item->references, 1, memory_order_acq_rel)
             > 1)
    return;
  json_object_put (item->root);
  csp_destroy_arena (item->arena);
  free (item->key);
  free (item->where);
  free (item->text);
  free (item);
}
