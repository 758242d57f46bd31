#include "cowslipspoke/losses.h"

#include "base/index-imp.h"
#include "cowslipspoke/hash.h"
#include "cowslipspoke/log.h"
#include "cowslipspoke/text.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ROUTES_MAX = 64,
  NAME_BYTES = 64,
  /* Causes over time are shown in so many parts of the logs' time.  */
  PARTS = 20,
  FIRST_ROOM = 256,
  STATUS_SERVER_ERROR = 500,
  /* A request that was turned away sooner than this never waited for a place:
     the answer of the host that decides takes some milliseconds.  */
  ARRIVAL_MS = 60
};

static const char *const loss_names[] = {
  [CSP_LOSS_NONE] = "whole answer",
  [CSP_LOSS_NOTICE_UNSEEN] = "notice unseen",
  [CSP_LOSS_NO_ROOM] = "no room or no turn",
  [CSP_LOSS_COPY_REFUSED] = "copy refused",
  [CSP_LOSS_COPY_LATE] = "copy too late",
  [CSP_LOSS_COPY_MISSING] = "copy missing",
  [CSP_LOSS_LINK_RESET] = "link reset",
  [CSP_LOSS_LINK_SILENT] = "link silent",
  [CSP_LOSS_TARGET_FAILED] = "target failed",
  [CSP_LOSS_TARGET_ERROR] = "target's own error",
  [CSP_LOSS_TARGET_REFUSED] = "target refused",
  [CSP_LOSS_REFUSED_ON_ARRIVAL] = "refused on arrival",
  [CSP_LOSS_WAITED_IN_VAIN] = "waited in vain",
  [CSP_LOSS_NO_TARGET] = "no target",
  [CSP_LOSS_CORDONED] = "cordoned",
  [CSP_LOSS_BACKED_OFF] = "targets asked for a wait",
  [CSP_LOSS_QUARANTINED] = "quarantined",
  [CSP_LOSS_HOST_STOPPING] = "host stopping",
  [CSP_LOSS_TIME_OVER] = "time over",
  [CSP_LOSS_CALLER_LEFT] = "caller left",
  [CSP_LOSS_OTHER] = "other",
};

const char *
csp_loss_name (csp_loss_t loss)
{
  return loss_names[loss];
}

/* What is known of a request before its end, or of a target's notice.  */
typedef struct
{
  csp_index_node_t node;
  bool copied;
  bool refused;
  bool silent;
} note_t;

typedef struct
{
  char name[NAME_BYTES];
  uint64_t requests[CSP_LOSS_COUNT];
  uint64_t tokens[CSP_LOSS_COUNT];
} route_row_t;

typedef struct
{
  int64_t at_ms;
  csp_loss_t loss;
} end_t;

struct csp_losses
{
  csp_index_t notes;
  size_t note_count;
  size_t note_room;
  note_t **all_notes;
  size_t route_count;
  route_row_t routes[ROUTES_MAX]; /* those beyond share the last */
  size_t end_count;
  size_t end_room;
  end_t *ends;
};

csp_losses_t *
csp_create_losses (void)
{
  csp_losses_t *losses = calloc (1, sizeof *losses);

  if (losses != NULL && csp_open_index (&losses->notes, FIRST_ROOM) != 0)
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
  for (i = 0; i < losses->note_count; i++)
    free (losses->all_notes[i]);
  free (losses->all_notes);
  free (losses->ends);
  csp_close_index (&losses->notes);
  free (losses);
}

static const char *
text_of (json_object *line, const char *name)
{
  json_object *value = NULL;

  return json_object_object_get_ex (line, name, &value)
                 && json_object_is_type (value, json_type_string)
             ? json_object_get_string (value)
             : "";
}

static int64_t
number_of (json_object *line, const char *name)
{
  json_object *value = NULL;

  return json_object_object_get_ex (line, name, &value)
             ? json_object_get_int64 (value)
             : 0;
}

static note_t *
find_note (csp_losses_t *losses, const char *first, const char *second)
{
  csp_index_node_t *node
      = csp_find_in_index (&losses->notes, csp_hash_pair (first, second));

  return node == NULL ? NULL : CSP_INDEXED (node, note_t, node);
}

/* The note, made where there is none; NULL when memory fails, and what it
   would say is lost.  */
static note_t *
take_note (csp_losses_t *losses, const char *first, const char *second)
{
  note_t *note = find_note (losses, first, second);

  if (note != NULL)
    return note;
  if (losses->note_count == losses->note_room)
    {
      size_t room
          = losses->note_room == 0 ? FIRST_ROOM : losses->note_room * 2;
      note_t **grown = realloc (losses->all_notes, room * sizeof (note_t *));

      if (grown == NULL)
        return NULL;
      losses->all_notes = grown;
      losses->note_room = room;
    }
  note = calloc (1, sizeof *note);
  if (note == NULL)
    return NULL;
  losses->all_notes[losses->note_count++] = note;
  csp_add_to_index (&losses->notes, &note->node,
                    csp_hash_pair (first, second));
  return note;
}

static void
take_step (csp_losses_t *losses, json_object *line)
{
  note_t *note = take_note (losses, "request", text_of (line, "request_id"));
  const char *step = text_of (line, "step");

  if (note == NULL)
    return;
  /* A run that goes on elsewhere begins anew with its next target.  */
  if (strcmp (step, "arrived") == 0)
    note->copied = note->refused = note->silent = false;
  note->copied |= strcmp (step, "copy") == 0;
  note->refused |= strcmp (step, "copy-refused") == 0;
  note->silent |= strcmp (step, "silent") == 0;
}

/* Why a stream ended with its target, which closed the connection.  */
static csp_loss_t
loss_of_ended_target (csp_losses_t *losses, json_object *line,
                      const note_t *note)
{
  if (find_note (losses, text_of (line, "host"), text_of (line, "target"))
      == NULL)
    return CSP_LOSS_NOTICE_UNSEEN;
  if (note == NULL || !note->copied)
    return CSP_LOSS_NO_ROOM;
  return note->refused ? CSP_LOSS_COPY_REFUSED : CSP_LOSS_COPY_LATE;
}

static csp_loss_t
loss_of_failure (csp_losses_t *losses, json_object *line, const note_t *note)
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
    { "all targets of its service want a wait", CSP_LOSS_BACKED_OFF },
    { "targets ended under this request", CSP_LOSS_QUARANTINED },
    { "the host is stopping", CSP_LOSS_HOST_STOPPING },
    { "the time is over", CSP_LOSS_TIME_OVER },
    { "the target failed", CSP_LOSS_TARGET_FAILED },
    { "the target closed the connection", CSP_LOSS_TARGET_FAILED },
    { "the target sent what is no answer", CSP_LOSS_TARGET_FAILED },
    { "the answer is not the target's", CSP_LOSS_TARGET_FAILED },
    { "the answer is to another request", CSP_LOSS_TARGET_FAILED },
  };
  const char *detail = text_of (line, "detail");
  size_t i;

  if (number_of (line, "event") == CSP_EVENT_STREAM_LOST
      && strcmp (detail, "the target closed the connection") == 0)
    return loss_of_ended_target (losses, line, note);
  if (strcmp (detail, "the engines are full") == 0)
    return number_of (line, "took_ms") < ARRIVAL_MS
               ? CSP_LOSS_REFUSED_ON_ARRIVAL
               : CSP_LOSS_WAITED_IN_VAIN;
  for (i = 0; i < sizeof rows / sizeof rows[0]; i++)
    if (strcmp (detail, rows[i].detail) == 0)
      return rows[i].loss;
  return CSP_LOSS_OTHER;
}

static csp_loss_t
loss_of_end (csp_losses_t *losses, json_object *line)
{
  const note_t *note
      = find_note (losses, "request", text_of (line, "request_id"));

  switch (number_of (line, "event"))
    {
    case CSP_EVENT_FORWARD_ENDED:
      return number_of (line, "status") >= STATUS_SERVER_ERROR
                 ? CSP_LOSS_TARGET_ERROR
                 : CSP_LOSS_NONE;
    case CSP_EVENT_FORWARD_ABANDONED:
      return note != NULL && note->silent ? CSP_LOSS_LINK_SILENT
                                          : CSP_LOSS_CALLER_LEFT;
    default:
      return loss_of_failure (losses, line, note);
    }
}

static route_row_t *
take_route (csp_losses_t *losses, const char *name)
{
  size_t i;

  for (i = 0; i < losses->route_count; i++)
    if (strcmp (losses->routes[i].name, name) == 0)
      return &losses->routes[i];
  if (losses->route_count == ROUTES_MAX)
    return &losses->routes[ROUTES_MAX - 1];
  csp_copy_text (losses->routes[i].name, NAME_BYTES, name);
  losses->route_count++;
  return &losses->routes[i];
}

/* Without memory the end counts, and isn't shown over time.  */
static void
keep_end (csp_losses_t *losses, int64_t at_ms, csp_loss_t loss)
{
  if (losses->end_count == losses->end_room)
    {
      size_t room = losses->end_room == 0 ? FIRST_ROOM : losses->end_room * 2;
      end_t *grown = realloc (losses->ends, room * sizeof *grown);

      if (grown == NULL)
        return;
      losses->ends = grown;
      losses->end_room = room;
    }
  losses->ends[losses->end_count++] = (end_t){ .at_ms = at_ms, .loss = loss };
}

static void
take_end (csp_losses_t *losses, json_object *line)
{
  csp_loss_t loss = loss_of_end (losses, line);
  route_row_t *route = take_route (losses, text_of (line, "route"));

  route->requests[loss]++;
  route->tokens[loss] += (uint64_t)number_of (line, "tokens");
  keep_end (losses, number_of (line, "at_ms"), loss);
}

static void
take_line (csp_losses_t *losses, json_object *line)
{
  switch (number_of (line, "event"))
    {
    case CSP_EVENT_TARGET_LEAVING:
      take_note (losses, text_of (line, "host"), text_of (line, "target"));
      break;
    case CSP_EVENT_STREAM_MOVED:
      take_step (losses, line);
      break;
    case CSP_EVENT_FORWARD_ENDED:
    case CSP_EVENT_FORWARD_REFUSED:
    case CSP_EVENT_FORWARD_ABANDONED:
    case CSP_EVENT_STREAM_LOST:
      take_end (losses, line);
      break;
    default:
      break;
    }
}

bool
csp_read_loss_line (csp_losses_t *losses, const char *line)
{
  const char *brace = strchr (line, '{');
  json_object *object = brace == NULL ? NULL : json_tokener_parse (brace);
  bool good = json_object_is_type (object, json_type_object)
              && json_object_object_get_ex (object, "event", NULL);

  if (good)
    take_line (losses, object);
  json_object_put (object);
  return good;
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

static void
print_routes (const csp_losses_t *losses, FILE *stream)
{
  size_t i;
  size_t loss;

  fprintf (stream, "%-24s %-20s %9s %12s\n", "route", "end", "requests",
           "tokens");
  for (i = 0; i < losses->route_count; i++)
    for (loss = 0; loss < CSP_LOSS_COUNT; loss++)
      if (losses->routes[i].requests[loss] > 0)
        fprintf (stream, "%-24s %-20s %9llu %12llu\n", losses->routes[i].name,
                 loss_names[loss],
                 (unsigned long long)losses->routes[i].requests[loss],
                 (unsigned long long)losses->routes[i].tokens[loss]);
}

static void
find_span (const csp_losses_t *losses, int64_t *first_ms, int64_t *last_ms)
{
  size_t i;

  *first_ms = *last_ms = losses->ends[0].at_ms;
  for (i = 1; i < losses->end_count; i++)
    {
      if (losses->ends[i].at_ms < *first_ms)
        *first_ms = losses->ends[i].at_ms;
      if (losses->ends[i].at_ms > *last_ms)
        *last_ms = losses->ends[i].at_ms;
    }
}

static void
print_parts (const csp_losses_t *losses, FILE *stream)
{
  static const double ms_per_s = 1000.0;
  uint64_t counts[PARTS][CSP_LOSS_COUNT] = { { 0 } };
  int64_t first_ms;
  int64_t last_ms;
  int64_t part_ms;
  size_t part;
  size_t loss;
  size_t i;

  if (losses->end_count == 0)
    return;
  find_span (losses, &first_ms, &last_ms);
  part_ms = (last_ms - first_ms) / PARTS + 1;
  for (i = 0; i < losses->end_count; i++)
    counts[(losses->ends[i].at_ms - first_ms) / part_ms]
          [losses->ends[i].loss]++;
  fprintf (stream, "\n%-10s %s\n", "from s", "lost, by cause");
  for (part = 0; part < PARTS; part++)
    {
      fprintf (stream, "%-10.1f",
               (double)((int64_t)part * part_ms) / ms_per_s);
      for (loss = CSP_LOSS_NONE + 1; loss < CSP_LOSS_COUNT; loss++)
        if (counts[part][loss] > 0)
          fprintf (stream, " %s %llu;", loss_names[loss],
                   (unsigned long long)counts[part][loss]);
      fputc ('\n', stream);
    }
}

void
csp_print_losses (const csp_losses_t *losses, FILE *stream)
{
  print_routes (losses, stream);
  print_parts (losses, stream);
}
