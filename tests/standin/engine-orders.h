#ifndef STANDIN_ENGINE_ORDERS_H
#define STANDIN_ENGINE_ORDERS_H

#include <json-c/json.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/* What an engine has loaded and the orders that it was given.  */
typedef struct
{
  pthread_mutex_t lock;
  bool checks_fence;
  int64_t order_ms;
  int64_t fence;
  int64_t busy_until_ms;
  json_object *running; /* the order under way, or null */
  json_object *models;  /* name: version */
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

/* models lists what is loaded at the start, between commas.  */
void engine_init_orders (engine_orders_t *orders, bool checks_fence,
                         int64_t order_ms, const char *models);

/* Take an order over.  */
order_result_t engine_start_order (engine_orders_t *orders,
                                   json_object *order);

bool engine_has_model (engine_orders_t *orders, const char *model);

/* Add models, adapters, role, fence and order to a load report.  */
void engine_report_orders (engine_orders_t *orders, json_object *report);

/* Every order that came, with what it was answered.  */
json_object *engine_list_orders (engine_orders_t *orders);

#endif
