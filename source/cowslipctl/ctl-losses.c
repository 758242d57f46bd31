#include "cowslipctl-imp.h"
#include "cowslipspoke/losses.h"

#include <json-c/json.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Commands that read hosts' logs: which requests were lost and why, and all
   log lines of one request.  */

/* Called for each line of each file.  */
typedef void (*handle_log_line_t) (void *state, const char *line);

/* Read files line by line; returns false if any can't be read.  */
static bool
read_logs (char **paths, handle_log_line_t handle_line, void *state)
{
  char *line = NULL;
  size_t capacity = 0;
  bool success = true;

  for (; *paths != NULL; paths++)
    {
      FILE *file = fopen (*paths, "r");

      if (file == NULL)
        {
          perror (*paths);
          success = false;
          continue;
        }
      while (getline (&line, &capacity, file) >= 0)
        handle_line (state, line);
      fclose (file);
    }
  free (line);
  return success;
}

static void
handle_loss_line (void *state, const char *line)
{
  /* A log may contain lines of other programs; these are ignored.  */
  csp_process_loss_line (state, line);
}

int
ctl_losses (char **arguments)
{
  csp_losses_t *losses = csp_create_losses ();
  bool success;

  if (losses == NULL)
    {
      fputs ("out of memory\n", stderr);
      return CTL_EXIT_FAULTS;
    }
  success = read_logs (arguments, handle_loss_line, losses);
  csp_print_losses (losses, stdout);
  csp_destroy_losses (losses);
  return success ? CTL_EXIT_SUCCESS : CTL_EXIT_FAULTS;
}

/* A log line of the traced request, kept until all lines are sorted.  order is
   its position in the files, for lines of the same time.  */
typedef struct
{
  int64_t at_ms;
  size_t order;
  char *text;
} traced_line_t;

typedef struct
{
  const char *id;
  size_t count;
  size_t capacity;
  traced_line_t *lines;
  bool incomplete; /* out of memory */
} trace_t;

static bool
has_request_id (json_object *line, const char *id)
{
  json_object *value = NULL;
  const char *text = NULL;

  if (json_object_object_get_ex (line, "request_id", &value))
    text = json_object_get_string (value);
  return text != NULL && strcmp (text, id) == 0;
}

static void
append_line (trace_t *trace, const char *text, int64_t at_ms)
{
  traced_line_t copy
      = { .at_ms = at_ms, .order = trace->count, .text = strdup (text) };

  trace->incomplete |= copy.text == NULL;
  if (copy.text == NULL)
    return;
  if (trace->count == trace->capacity)
    {
      size_t capacity = trace->capacity == 0 ? 16 : trace->capacity * 2;
      traced_line_t *grown = realloc (trace->lines, capacity * sizeof *grown);

      trace->incomplete |= grown == NULL;
      if (grown == NULL)
        {
          free (copy.text);
          return;
        }
      trace->lines = grown;
      trace->capacity = capacity;
    }
  trace->lines[trace->count++] = copy;
}

static void
handle_traced_line (void *state, const char *line)
{
  trace_t *trace = state;
  const char *brace = strchr (line, '{');
  json_object *object;
  json_object *time_value = NULL;

  /* Search for the id before parsing: most lines belong to other requests, and
     parsing is far slower than a text search.  */
  if (brace == NULL || strstr (brace, trace->id) == NULL)
    return;
  object = json_tokener_parse (brace);
  if (has_request_id (object, trace->id)
      && json_object_object_get_ex (object, "at_ms", &time_value))
    append_line (trace, brace, json_object_get_int64 (time_value));
  json_object_put (object);
}

static int
compare_traced_lines (const void *a, const void *b)
{
  const traced_line_t *first = a;
  const traced_line_t *second = b;

  if (first->at_ms != second->at_ms)
    return first->at_ms < second->at_ms ? -1 : 1;
  return first->order < second->order ? -1 : first->order > second->order;
}

int
ctl_trace (char **arguments)
{
  trace_t trace = { .id = arguments[0] };
  bool success = read_logs (arguments + 1, handle_traced_line, &trace);
  size_t i;

  if (trace.count > 0)
    qsort (trace.lines, trace.count, sizeof *trace.lines,
           compare_traced_lines);
  for (i = 0; i < trace.count; i++)
    {
      fputs (trace.lines[i].text, stdout);
      if (strchr (trace.lines[i].text, '\n') == NULL)
        fputc ('\n', stdout);
      free (trace.lines[i].text);
    }
  free (trace.lines);
  if (trace.count == 0)
    fprintf (stderr, "no line of request %s\n", trace.id);
  if (trace.incomplete)
    fputs ("out of memory: lines are missing\n", stderr);
  return success && !trace.incomplete && trace.count > 0 ? CTL_EXIT_SUCCESS
                                                         : CTL_EXIT_FAULTS;
}
