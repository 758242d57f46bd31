/* A plain service that logs its calls, for tests and the demo.  */

#include "server.h"

#include <getopt.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

typedef enum
{
  SERVICE_FAULT_DELAY,  /* runs the call, answers for_ms later */
  SERVICE_FAULT_CUT,    /* runs the call, closes without an answer */
  SERVICE_FAULT_REFUSE, /* 503 with X-Verdict: not run */
  SERVICE_FAULT_FAIL,   /* runs the call, answers 500 */
  SERVICE_FAULT_COUNT
} service_fault_t;

static const char *const fault_names[SERVICE_FAULT_COUNT]
    = { "delay", "cut", "refuse", "fail" };

typedef struct
{
  pthread_mutex_t lock;
  const char *name;
  json_object *calls;
  int64_t remaining[SERVICE_FAULT_COUNT]; /* calls that still get each fault */
  int64_t for_ms;                         /* of the delay */
} service_t;

/* True when a fault applies to this call; counts the fault down.  */
static bool
take_fault (service_t *service, service_fault_t fault)
{
  bool taken = service->remaining[fault] > 0;

  if (taken)
    service->remaining[fault]--;
  return taken;
}

/* Log a call that runs; returns its number.  */
static int64_t
log_call (service_t *service, struct mg_connection *conn, const char *body)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  json_object *call = json_object_new_object ();
  const char *id = standin_header (conn, "X-Request-Id");

  json_object_object_add (call, "request_id", json_object_new_string (id));
  json_object_object_add (call, "method",
                          json_object_new_string (info->request_method));
  json_object_object_add (call, "path",
                          json_object_new_string (info->local_uri));
  json_object_object_add (
      call, "query",
      json_object_new_string (info->query_string ? info->query_string : ""));
  json_object_object_add (call, "body", json_object_new_string (body));
  json_object_array_add (service->calls, call);
  return (int64_t)json_object_array_length (service->calls);
}

static int
answer_call (service_t *service, struct mg_connection *conn, int64_t number,
             const char *body)
{
  json_object *answer = json_object_new_object ();

  json_object_object_add (answer, "service",
                          json_object_new_string (service->name));
  json_object_object_add (answer, "call", json_object_new_int64 (number));
  json_object_object_add (answer, "echo", json_object_new_string (body));
  return standin_send_json (conn, 200, "", answer);
}

static int
handle_call (struct mg_connection *conn, void *state)
{
  service_t *service = state;
  char *body = standin_read_body (conn);
  struct timespec delay = { 0, 0 };
  int64_t number = 0;
  int status = 200;
  bool cut;

  pthread_mutex_lock (&service->lock);
  if (take_fault (service, SERVICE_FAULT_REFUSE))
    status = 503;
  else
    number = log_call (service, conn, body == NULL ? "" : body);
  if (status == 200 && take_fault (service, SERVICE_FAULT_FAIL))
    status = 500;
  cut = status == 200 && take_fault (service, SERVICE_FAULT_CUT);
  if (take_fault (service, SERVICE_FAULT_DELAY))
    {
      delay.tv_sec = service->for_ms / STANDIN_MS_PER_S;
      delay.tv_nsec = (service->for_ms % STANDIN_MS_PER_S) * STANDIN_NS_PER_MS;
    }
  pthread_mutex_unlock (&service->lock);
  nanosleep (&delay, NULL);
  if (cut)
    status = standin_drop_connection (conn);
  else if (status == 200)
    status = answer_call (service, conn, number, body == NULL ? "" : body);
  else
    status = standin_send_error (conn, status,
                                 status == 503 ? "X-Verdict: not run\r\n" : "",
                                 status == 503 ? "refused" : "failed");
  free (body);
  return status;
}

static int
handle_fault (struct mg_connection *conn, void *state)
{
  service_t *service = state;
  json_object *json = standin_read_json (conn);
  const char *op = standin_json_string (json, "op", "");
  int fault;

  pthread_mutex_lock (&service->lock);
  for (fault = 0; fault < SERVICE_FAULT_COUNT; fault++)
    if (strcmp (op, fault_names[fault]) == 0)
      {
        service->remaining[fault] = standin_json_number (json, "count", 1);
        service->for_ms = standin_json_number (json, "for_ms", 0);
        break;
      }
  pthread_mutex_unlock (&service->lock);
  json_object_put (json);
  if (fault == SERVICE_FAULT_COUNT)
    return standin_send_error (conn, 400, "", "fault_unknown");
  return standin_send_json (conn, 200, "", json_object_new_object ());
}

static int
handle_log (struct mg_connection *conn, void *state)
{
  service_t *service = state;
  json_object *json = json_object_new_object ();
  json_object *copy = NULL;

  pthread_mutex_lock (&service->lock);
  json_object_deep_copy (service->calls, &copy, NULL);
  pthread_mutex_unlock (&service->lock);
  json_object_object_add (
      json, "count", json_object_new_int64 (json_object_array_length (copy)));
  json_object_object_add (json, "calls", copy);
  return standin_send_json (conn, 200, "", json);
}

int
main (int argc, char **argv)
{
  static const struct option long_options[]
      = { { "port", required_argument, NULL, 'p' },
          { "name", required_argument, NULL, 'n' },
          { NULL, 0, NULL, 0 } };
  static const standin_route_t routes[] = { { "/test/fault$", handle_fault },
                                            { "/test/log$", handle_log },
                                            { "/", handle_call },
                                            { NULL, NULL } };
  static service_t service;
  int64_t port = 0;
  int option;

  service.name = "service";
  while ((option = getopt_long (argc, argv, "", long_options, NULL)) != -1)
    switch (option)
      {
      case 'p':
        port = standin_parse_number (optarg);
        break;
      case 'n':
        service.name = optarg;
        break;
      default:
        return 2;
      }
  pthread_mutex_init (&service.lock, NULL);
  service.calls = json_object_new_array ();
  return standin_serve ((uint16_t)port, 64, routes, &service);
}
