#ifndef STANDIN_ENGINE_ORDERS_H
#define STANDIN_ENGINE_ORDERS_H

#include <json-c/json.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/* The models and adapters that an engine has loaded, and its orders.  */
typedef struct
{
  pthread_mutex_t lock;
  bool checks_fence;
  int64_t order_ms; /* how long an order takes */
  int64_t fence;    /* the highest one of an accepted order */
  int64_t busy_until_ms;
  json_object *running; /* the order being executed, or null */
  json_object *models;  /* versions by name */
  json_object *adapters;
  json_object *log; /* every order, in the order of arrival */
  const char *role;
} engine_orders_t;

typedef enum
{
  ORDER_STARTED,
  ORDER_UNKNOWN,
  ORDER_FENCE_OLD,
  ORDER_BUSY
} order_result_t;

/* models is a comma-separated list of the models loaded at the start.  */
void engine_init_orders (engine_orders_t *orders, bool checks_fence,
                         int64_t order_ms, const char *models);

/* Start an order, or refuse it, and log it with the result.  Takes ownership
   of order.  */
order_result_t engine_start_order (engine_orders_t *orders,
                                   json_object *order);

bool engine_has_model (engine_orders_t *orders, const char *model);

/* Add models, adapters, their versions, role, fence and order to a load
   report.  */
void engine_report_orders (engine_orders_t *orders, json_object *report);

/* Every order received, with its result.  */
json_object *engine_list_orders (engine_orders_t *orders);

#endif
