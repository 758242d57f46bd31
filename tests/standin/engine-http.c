#include "engine-http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char not_run_headers[]
    = "X-Verdict: not run\r\nRetry-After: 1\r\n";

/* Add a generation and attach its first connection; false when the id is in
   use.  */
static bool
start_generation (engine_t *engine, generation_t *generation,
                  int64_t *connection_number)
{
  engine_batch_t *batch = &engine->batch;
  bool added;

  pthread_mutex_lock (&batch->lock);
  added = engine_find_generation (batch, generation->id) == NULL;
  if (added)
    {
      engine_add_generation (batch, generation);
      *connection_number = engine_attach_connection (generation);
    }
  pthread_mutex_unlock (&batch->lock);
  if (added)
    engine_store_prefix (&engine->cache, generation->prompt);
  return added;
}

static int
handle_completion (struct mg_connection *conn, void *state)
{
  engine_t *engine = state;
  json_object *body = standin_read_json (conn);
  generation_t *generation = calloc (1, sizeof *generation);
  connection_faults_t faults;
  int64_t connection_number;
  int status;

  if (generation == NULL)
    abort ();
  status = engine_read_request (engine, conn, body, generation);
  json_object_put (body);
  if (status == 0)
    {
      engine_take_faults (&engine->faults, false, &faults);
      if (faults.index[FAULT_REFUSE] >= 0)
        status = 503;
      if (faults.index[FAULT_FAIL] >= 0)
        status = 500;
    }
  if (status == 0
      && !start_generation (engine, generation, &connection_number))
    status = 409;
  if (status == 0)
    return engine_send_stream (engine, conn, generation, connection_number, 0,
                               &faults);
  free (generation);
  return standin_send_error (conn, status,
                             status == 503 ? not_run_headers : "",
                             status == 409 ? "generation_exists" : "refused");
}

/* Split "/v1/generations/ID/OP"; false when the path has another form.  */
static bool
split_path (const char *path, char id[ENGINE_ID_BYTES], char op[16])
{
  return sscanf (path, "/v1/generations/%127[^/]/%15[a-z]", id, op) == 2;
}

static int
resume_generation (engine_t *engine, struct mg_connection *conn,
                   const char *id)
{
  json_object *body = standin_read_json (conn);
  int64_t from = standin_json_number (body, "from_index", 0);
  generation_t *generation;
  connection_faults_t faults;
  int64_t connection_number = 0;

  json_object_put (body);
  pthread_mutex_lock (&engine->batch.lock);
  generation = engine_find_generation (&engine->batch, id);
  if (generation != NULL && engine_is_resumable (generation))
    connection_number = engine_attach_connection (generation);
  pthread_mutex_unlock (&engine->batch.lock);
  if (connection_number == 0)
    return standin_send_error (conn, 404, "", "generation_unknown");
  engine_take_faults (&engine->faults, true, &faults);
  return engine_send_stream (engine, conn, generation, connection_number, from,
                             &faults);
}

static int
handle_generation (struct mg_connection *conn, void *state)
{
  engine_t *engine = state;
  char id[ENGINE_ID_BYTES];
  char op[16];
  generation_t *generation;

  if (!split_path (mg_get_request_info (conn)->local_uri, id, op))
    return standin_send_error (conn, 404, "", "path_unknown");
  if (strcmp (op, "resume") == 0)
    return resume_generation (engine, conn, id);
  if (strcmp (op, "cancel") != 0)
    return standin_send_error (conn, 404, "", "path_unknown");
  pthread_mutex_lock (&engine->batch.lock);
  generation = engine_find_generation (&engine->batch, id);
  if (generation != NULL)
    engine_cancel_generation (&engine->batch, generation);
  pthread_mutex_unlock (&engine->batch.lock);
  return standin_send_json (conn, 200, "", json_object_new_object ());
}

static int
handle_load (struct mg_connection *conn, void *state)
{
  engine_t *engine = state;
  json_object *json = json_object_new_object ();
  engine_report_t report;

  pthread_mutex_lock (&engine->batch.lock);
  report = *engine_get_report (&engine->batch);
  pthread_mutex_unlock (&engine->batch.lock);
  json_object_object_add (json, "report",
                          json_object_new_int64 (report.number));
  json_object_object_add (
      json, "state",
      json_object_new_string (report.leaving ? "leaving" : "live"));
  json_object_object_add (
      json, "memory_tokens",
      json_object_new_int64 (engine->batch.options.memory_tokens));
  json_object_object_add (json, "used_tokens",
                          json_object_new_int64 (report.used_tokens));
  json_object_object_add (json, "running",
                          json_object_new_int64 (report.running));
  json_object_object_add (json, "waiting",
                          json_object_new_int64 (report.waiting));
  json_object_object_add (json, "preemptions",
                          json_object_new_int64 (report.preemptions));
  engine_report_orders (&engine->orders, json);
  return standin_send_json (conn, 200, "", json);
}

static int
handle_cache (struct mg_connection *conn, void *state)
{
  engine_t *engine = state;
  int64_t after = standin_query_number (conn, "after", 0);

  return standin_send_json (conn, 200, "",
                            engine_list_cache_events (&engine->cache, after));
}

static int
handle_orders (struct mg_connection *conn, void *state)
{
  engine_t *engine = state;
  json_object *order = standin_read_json (conn);
  order_result_t result = ORDER_UNKNOWN;
  json_object *answer;

  if (order != NULL)
    result = engine_start_order (&engine->orders, order);
  switch (result)
    {
    case ORDER_STARTED:
      return standin_send_json (conn, 202, "", json_object_new_object ());
    case ORDER_FENCE_OLD:
      answer = json_tokener_parse ("{\"error\":{\"code\":\"fence_old\"}}");
      json_object_object_add (answer, "fence",
                              json_object_new_int64 (engine->orders.fence));
      return standin_send_json (conn, 409, "", answer);
    case ORDER_BUSY:
      return standin_send_error (conn, 503, not_run_headers, "order_busy");
    case ORDER_UNKNOWN:
      break;
    }
  return standin_send_error (conn, 400, "", "order_unknown");
}

static int
handle_fault (struct mg_connection *conn, void *state)
{
  engine_t *engine = state;
  json_object *json = standin_read_json (conn);
  bool known = json != NULL && engine_add_fault (&engine->faults, json);

  json_object_put (json);
  if (!known)
    return standin_send_error (conn, 400, "", "fault_unknown");
  return standin_send_json (conn, 200, "", json_object_new_object ());
}

static int
handle_state (struct mg_connection *conn, void *state)
{
  engine_t *engine = state;
  json_object *json = standin_read_json (conn);

  pthread_mutex_lock (&engine->batch.lock);
  engine->batch.current.leaving
      = strcmp (standin_json_string (json, "state", "live"), "leaving") == 0;
  pthread_mutex_unlock (&engine->batch.lock);
  json_object_put (json);
  return standin_send_json (conn, 200, "", json_object_new_object ());
}

static int
handle_log (struct mg_connection *conn, void *state)
{
  engine_t *engine = state;
  json_object *json = json_object_new_object ();

  pthread_mutex_lock (&engine->batch.lock);
  json_object_object_add (
      json, "starts", json_object_new_int64 (engine->batch.generation_count));
  json_object_object_add (json, "generations",
                          engine_list_generations (&engine->batch));
  pthread_mutex_unlock (&engine->batch.lock);
  json_object_object_add (json, "orders",
                          engine_list_orders (&engine->orders));
  return standin_send_json (conn, 200, "", json);
}

const standin_route_t engine_routes[]
    = { { "/v1/completions$", handle_completion },
        { "/v1/chat/completions$", handle_completion },
        { "/v1/generations/", handle_generation },
        { "/v1/load$", handle_load },
        { "/v1/cache/events$", handle_cache },
        { "/v1/orders$", handle_orders },
        { "/test/fault$", handle_fault },
        { "/test/state$", handle_state },
        { "/test/log$", handle_log },
        { NULL, NULL } };
