#include "engine-orders.h"
#include "server.h"

#include <stdlib.h>
#include <string.h>

void
engine_init_orders (engine_orders_t *orders, bool checks_fence,
                    int64_t order_ms, const char *models)
{
  char *list = strdup (models);
  char *rest = NULL;
  char *name;

  memset (orders, 0, sizeof *orders);
  pthread_mutex_init (&orders->lock, NULL);
  orders->checks_fence = checks_fence;
  orders->order_ms = order_ms;
  orders->models = json_object_new_object ();
  orders->adapters = json_object_new_object ();
  orders->log = json_object_new_array ();
  orders->role = "mixed";
  for (name = strtok_r (list, ",", &rest); name != NULL;
       name = strtok_r (NULL, ",", &rest))
    json_object_object_add (orders->models, name,
                            json_object_new_string ("1"));
  free (list);
}

/* Apply the running order.  The log keeps the order, so its strings stay
   valid as the role.  */
static void
finish_order (engine_orders_t *orders)
{
  const char *op = standin_json_string (orders->running, "op", "");
  const char *name = standin_json_string (orders->running, "name", "");
  const char *version = standin_json_string (orders->running, "version", "");
  json_object *loaded
      = strstr (op, "model") != NULL ? orders->models : orders->adapters;

  if (strcmp (op, "set_role") == 0)
    orders->role = name;
  else if (strncmp (op, "unload", strlen ("unload")) == 0)
    json_object_object_del (loaded, name);
  else
    json_object_object_add (loaded, name, json_object_new_string (version));
  orders->running = NULL;
}

/* Finish the running order when its time has passed.  */
static void
finish_due_order (engine_orders_t *orders)
{
  if (orders->running != NULL && standin_now_ms () >= orders->busy_until_ms)
    finish_order (orders);
}

static bool
is_known_op (const char *op)
{
  static const char *const ops[]
      = { "load_model", "unload_model", "load_adapter", "unload_adapter",
          "set_role" };
  size_t i;

  for (i = 0; i < sizeof ops / sizeof *ops; i++)
    if (strcmp (op, ops[i]) == 0)
      return true;
  return false;
}

static order_result_t
accept_order (engine_orders_t *orders, json_object *order)
{
  int64_t fence = standin_json_number (order, "fence", 0);

  if (!is_known_op (standin_json_string (order, "op", "")))
    return ORDER_UNKNOWN;
  if (orders->checks_fence && fence < orders->fence)
    return ORDER_FENCE_OLD;
  if (orders->running != NULL)
    return ORDER_BUSY;
  /* An engine that doesn't check the fence doesn't store it either.  */
  if (orders->checks_fence && fence > orders->fence)
    orders->fence = fence;
  orders->running = order;
  orders->busy_until_ms = standin_now_ms () + orders->order_ms;
  return ORDER_STARTED;
}

order_result_t
engine_start_order (engine_orders_t *orders, json_object *order)
{
  static const char *const results[]
      = { "started", "unknown", "fence_old", "busy" };
  order_result_t result;

  pthread_mutex_lock (&orders->lock);
  finish_due_order (orders);
  result = accept_order (orders, order);
  json_object_object_add (order, "result",
                          json_object_new_string (results[result]));
  json_object_array_add (orders->log, order);
  pthread_mutex_unlock (&orders->lock);
  return result;
}

bool
engine_has_model (engine_orders_t *orders, const char *model)
{
  bool found;

  pthread_mutex_lock (&orders->lock);
  finish_due_order (orders);
  found = json_object_object_get_ex (orders->models, model, NULL);
  pthread_mutex_unlock (&orders->lock);
  return found;
}

static json_object *
list_names (json_object *loaded)
{
  json_object *list = json_object_new_array ();

  json_object_object_foreach (loaded, name, version)
  {
    (void)version;
    json_object_array_add (list, json_object_new_string (name));
  }
  return list;
}

static json_object *
copy_versions (json_object *loaded)
{
  json_object *copy = NULL;

  json_object_deep_copy (loaded, &copy, NULL);
  return copy;
}

void
engine_report_orders (engine_orders_t *orders, json_object *report)
{
  pthread_mutex_lock (&orders->lock);
  finish_due_order (orders);
  json_object_object_add (report, "models", list_names (orders->models));
  json_object_object_add (report, "adapters", list_names (orders->adapters));
  json_object_object_add (report, "model_versions",
                          copy_versions (orders->models));
  json_object_object_add (report, "adapter_versions",
                          copy_versions (orders->adapters));
  json_object_object_add (report, "role",
                          json_object_new_string (orders->role));
  json_object_object_add (report, "fence",
                          json_object_new_int64 (orders->fence));
  json_object_object_add (
      report, "order",
      json_object_new_string (orders->running == NULL ? "idle" : "busy"));
  pthread_mutex_unlock (&orders->lock);
}

json_object *
engine_list_orders (engine_orders_t *orders)
{
  json_object *copy = NULL;

  pthread_mutex_lock (&orders->lock);
  json_object_deep_copy (orders->log, &copy, NULL);
  pthread_mutex_unlock (&orders->lock);
  return copy;
}
