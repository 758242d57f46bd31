#include "losses/losses-imp.h"

#include "cowslipspoke/hash.h"
#include "cowslipspoke/host-delay.h"
#include "cowslipspoke/log.h"
#include "cowslipspoke/text.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

enum
{
  INITIAL_CAPACITY = 256,
  STATUS_SERVER_ERROR = 500,
  /* A request that was refused sooner than this never waited in a queue; the
     time covers the few milliseconds until the deciding host's answer.  */
  REFUSED_ON_ARRIVAL_MAX_MS = 60
};

static const char *const loss_names[] = {
  [CSP_LOSS_NONE] = "whole answer",
  [CSP_LOSS_NOTICE_UNSEEN] = "notice unseen",
  [CSP_LOSS_COPY_NOT_STARTED] = "copy not started",
  [CSP_LOSS_COPY_REFUSED] = "copy refused",
  [CSP_LOSS_COPY_LATE] = "copy too late",
  [CSP_LOSS_COPY_MISSING] = "copy missing",
  [CSP_LOSS_LINK_RESET] = "link reset",
  [CSP_LOSS_STREAM_STALLED] = "stream stalled",
  [CSP_LOSS_TARGET_FAILED] = "target failed",
  [CSP_LOSS_TARGET_ERROR] = "target's own error",
  [CSP_LOSS_TARGET_REFUSED] = "target refused",
  [CSP_LOSS_REFUSED_ON_ARRIVAL] = "refused on arrival",
  [CSP_LOSS_NO_CAPACITY_IN_TIME] = "no capacity in time",
  [CSP_LOSS_NO_TARGET] = "no target",
  [CSP_LOSS_CORDONED] = "cordoned",
  [CSP_LOSS_BACKED_OFF] = "targets asked for a wait",
  [CSP_LOSS_RATE_LIMITED] = "targets at their rate limits",
  [CSP_LOSS_RELAY_REFUSED] = "refused where it was relayed",
  [CSP_LOSS_RELAY_LOST] = "lost where it was relayed",
  [CSP_LOSS_QUARANTINED] = "quarantined",
  [CSP_LOSS_HOST_STOPPING] = "host stopping",
  [CSP_LOSS_LINK_FULL] = "host's link full",
  [CSP_LOSS_HOST_LATE] = "host late",
  [CSP_LOSS_TIME_OVER] = "time over",
  [CSP_LOSS_CALLER_LEFT] = "caller left",
  [CSP_LOSS_OTHER] = "other",
};

const char *
csp_loss_name (csp_loss_t loss)
{
  return loss_names[loss];
}

csp_losses_t *
csp_create_losses (void)
{
  csp_losses_t *losses = calloc (1, sizeof *losses);

  if (losses != NULL
      && csp_open_index (&losses->histories, INITIAL_CAPACITY) != 0)
    {
      free (losses);
      return NULL;
    }
  return losses;
}

void
csp_destroy_losses (csp_losses_t *losses)
{
  size_t i;

  if (losses == NULL)
    return;
  for (i = 0; i < losses->history_count; i++)
    free (losses->all_histories[i]);
  free (losses->all_histories);
  free (losses->ends);
  csp_close_index (&losses->histories);
  free (losses);
}

static const char *
get_text (json_object *line, const char *name)
{
  json_object *value = NULL;

  return json_object_object_get_ex (line, name, &value)
                 && json_object_is_type (value, json_type_string)
             ? json_object_get_string (value)
             : "";
}

static int64_t
get_number (json_object *line, const char *name)
{
  json_object *value = NULL;

  return json_object_object_get_ex (line, name, &value)
             ? json_object_get_int64 (value)
             : 0;
}

static csp_loss_history_t *
find_history (csp_losses_t *losses, const char *first, const char *second)
{
  csp_index_node_t *node
      = csp_find_in_index (&losses->histories, csp_hash_pair (first, second));

  return node == NULL ? NULL
                      : CSP_INDEX_ENTRY (node, csp_loss_history_t, node);
}

/* Find the history or add one; NULL if memory is exhausted, and the line is
   then ignored.  */
static csp_loss_history_t *
get_or_add_history (csp_losses_t *losses, const char *first,
                    const char *second)
{
  csp_loss_history_t *history = find_history (losses, first, second);

  if (history != NULL)
    return history;
  if (losses->history_count == losses->history_capacity)
    {
      size_t capacity = losses->history_capacity == 0
                            ? INITIAL_CAPACITY
                            : losses->history_capacity * 2;
      csp_loss_history_t **grown = realloc (
          losses->all_histories, capacity * sizeof (csp_loss_history_t *));

      if (grown == NULL)
        return NULL;
      losses->all_histories = grown;
      losses->history_capacity = capacity;
    }
  history = calloc (1, sizeof *history);
  if (history == NULL)
    return NULL;
  losses->all_histories[losses->history_count++] = history;
  csp_add_to_index (&losses->histories, &history->node,
                    csp_hash_pair (first, second));
  return history;
}

static void
record_step (csp_losses_t *losses, json_object *line)
{
  csp_loss_history_t *history
      = get_or_add_history (losses, "request", get_text (line, "request_id"));
  const char *step = get_text (line, "step");

  if (history == NULL)
    return;
  /* After a run has moved, its history starts again with the new target.  */
  if (strcmp (step, "arrived") == 0)
    history->copy_started = history->copy_refused = history->stalled = false;
  history->copy_started |= strcmp (step, "copy") == 0;
  history->copy_refused |= strcmp (step, "copy-refused") == 0;
  history->stalled |= strcmp (step, "silent") == 0;
}

/* Why a stream was lost when its target ended and closed the connection.  */
static csp_loss_t
classify_ended_target (csp_losses_t *losses, json_object *line,
                       const csp_loss_history_t *history)
{
  if (find_history (losses, get_text (line, "host"), get_text (line, "target"))
      == NULL)
    return CSP_LOSS_NOTICE_UNSEEN;
  if (history == NULL || !history->copy_started)
    return CSP_LOSS_COPY_NOT_STARTED;
  return history->copy_refused ? CSP_LOSS_COPY_REFUSED : CSP_LOSS_COPY_LATE;
}

static csp_loss_t
classify_failure (csp_losses_t *losses, json_object *line,
                  const csp_loss_history_t *history)
{
  static const struct
  {
    const char *detail;
    csp_loss_t loss;
  } rows[] = {
    { "the target reset the connection", CSP_LOSS_LINK_RESET },
    { "no connection to the target", CSP_LOSS_LINK_RESET },
    { "the copy was not there", CSP_LOSS_COPY_MISSING },
    { "copy-failed", CSP_LOSS_COPY_LATE },
    { "copy-late", CSP_LOSS_COPY_LATE },
    { "copy-refused", CSP_LOSS_COPY_REFUSED },
    { "stop-refused", CSP_LOSS_COPY_REFUSED },
    { "no connection to go on", CSP_LOSS_COPY_MISSING },
    { "the target refused it", CSP_LOSS_TARGET_REFUSED },
    { "no target can take it", CSP_LOSS_NO_TARGET },
    { "the route has no service", CSP_LOSS_NO_TARGET },
    { "all data centres of its service are cordoned", CSP_LOSS_CORDONED },
    { "the data centre is cordoned", CSP_LOSS_CORDONED },
    { "the engine with the copy has left", CSP_LOSS_COPY_REFUSED },
    { "all targets of its service want a wait", CSP_LOSS_BACKED_OFF },
    { "its targets are at their rate limits", CSP_LOSS_RATE_LIMITED },
    { "the host that it was relayed to refused it", CSP_LOSS_RELAY_REFUSED },
    { "the host that it was relayed to failed it", CSP_LOSS_RELAY_LOST },
    { "the host that it was relayed to broke off", CSP_LOSS_RELAY_LOST },
    { "targets ended under this request", CSP_LOSS_QUARANTINED },
    { "the host is stopping", CSP_LOSS_HOST_STOPPING },
    { "the host's link is full", CSP_LOSS_LINK_FULL },
    { "the time is over", CSP_LOSS_TIME_OVER },
    { "the target failed", CSP_LOSS_TARGET_FAILED },
    { "the target closed the connection", CSP_LOSS_TARGET_FAILED },
    { "the target sent what is no answer", CSP_LOSS_TARGET_FAILED },
    { "the answer is not the target's", CSP_LOSS_TARGET_FAILED },
    { "the answer is to another request", CSP_LOSS_TARGET_FAILED },
    { "the stream has no events", CSP_LOSS_TARGET_FAILED },
  };
  const char *detail = get_text (line, "detail");
  size_t i;

  if (get_number (line, "event") == CSP_EVENT_STREAM_LOST
      && strcmp (detail, "the target closed the connection") == 0)
    return classify_ended_target (losses, line, history);
  if (strcmp (detail, "the engines are full") == 0)
    return get_number (line, "took_ms") < REFUSED_ON_ARRIVAL_MAX_MS
               ? CSP_LOSS_REFUSED_ON_ARRIVAL
               : CSP_LOSS_NO_CAPACITY_IN_TIME;
  for (i = 0; i < sizeof rows / sizeof rows[0]; i++)
    if (strcmp (detail, rows[i].detail) == 0)
      return rows[i].loss;
  return CSP_LOSS_OTHER;
}

static csp_loss_t
classify_end (csp_losses_t *losses, json_object *line)
{
  const csp_loss_history_t *history
      = find_history (losses, "request", get_text (line, "request_id"));
  csp_loss_t loss = CSP_LOSS_NONE;

  switch (get_number (line, "event"))
    {
    case CSP_EVENT_FORWARD_ENDED:
      loss = get_number (line, "status") >= STATUS_SERVER_ERROR
                 ? CSP_LOSS_TARGET_ERROR
                 : CSP_LOSS_NONE;
      break;
    case CSP_EVENT_FORWARD_ABANDONED:
      loss = history != NULL && history->stalled ? CSP_LOSS_STREAM_STALLED
                                                 : CSP_LOSS_CALLER_LEFT;
      break;
    default:
      loss = classify_failure (losses, line, history);
      break;
    }
  if ((loss == CSP_LOSS_TIME_OVER || loss == CSP_LOSS_CALLER_LEFT)
      && get_number (line, "host_delay_ms") >= CSP_HOST_LATE_MS)
    return CSP_LOSS_HOST_LATE;
  return loss;
}

static csp_loss_route_t *
get_or_add_route (csp_losses_t *losses, const char *name)
{
  size_t i;

  for (i = 0; i < losses->route_count; i++)
    if (strcmp (losses->routes[i].name, name) == 0)
      return &losses->routes[i];
  if (losses->route_count == CSP_LOSS_ROUTES_MAX)
    return &losses->routes[CSP_LOSS_ROUTES_MAX - 1];
  csp_copy_text (losses->routes[i].name, CSP_LOSS_NAME_BYTES, name);
  losses->route_count++;
  return &losses->routes[i];
}

/* If memory is exhausted, the end is counted but missing from the tables by
   time and by size.  */
static void
append_end (csp_losses_t *losses, const csp_request_end_t *end)
{
  if (losses->end_count == losses->end_capacity)
    {
      size_t capacity = losses->end_capacity == 0 ? INITIAL_CAPACITY
                                                  : losses->end_capacity * 2;
      csp_request_end_t *grown
          = realloc (losses->ends, capacity * sizeof *grown);

      if (grown == NULL)
        return;
      losses->ends = grown;
      losses->end_capacity = capacity;
    }
  losses->ends[losses->end_count++] = *end;
}

/* The host that relayed the request reports its end too.  */
static void
record_end (csp_losses_t *losses, json_object *line)
{
  csp_loss_t loss = classify_end (losses, line);
  csp_loss_route_t *route;

  if (get_text (line, "relayed_from")[0] != '\0')
    return;
  route = get_or_add_route (losses, get_text (line, "route"));
  route->requests[loss]++;
  route->tokens[loss] += (uint64_t)get_number (line, "tokens");
  append_end (losses,
              &(csp_request_end_t){ .at_ms = get_number (line, "at_ms"),
                                    .loss = loss,
                                    .route = (size_t)(route - losses->routes),
                                    .tokens = get_number (line, "tokens") });
}

static void
process_line (csp_losses_t *losses, json_object *line)
{
  switch (get_number (line, "event"))
    {
    case CSP_EVENT_TARGET_LEAVING:
      get_or_add_history (losses, get_text (line, "host"),
                          get_text (line, "target"));
      break;
    case CSP_EVENT_STREAM_MOVED:
      record_step (losses, line);
      break;
    case CSP_EVENT_FORWARD_ENDED:
    case CSP_EVENT_FORWARD_REFUSED:
    case CSP_EVENT_FORWARD_ABANDONED:
    case CSP_EVENT_STREAM_LOST:
      record_end (losses, line);
      break;
    default:
      break;
    }
}

bool
csp_process_loss_line (csp_losses_t *losses, const char *line)
{
  const char *brace = strchr (line, '{');
  json_object *object = brace == NULL ? NULL : json_tokener_parse (brace);
  bool is_log_line = json_object_is_type (object, json_type_object)
                     && json_object_object_get_ex (object, "event", NULL);

  if (is_log_line)
    process_line (losses, object);
  json_object_put (object);
  return is_log_line;
}

uint64_t
csp_count_losses (const csp_losses_t *losses, const char *route,
                  csp_loss_t loss)
{
  uint64_t count = 0;
  size_t i;

  for (i = 0; i < losses->route_count; i++)
    if (route == NULL || strcmp (losses->routes[i].name, route) == 0)
      count += losses->routes[i].requests[loss];
  return count;
}
