#include "cowslipctl-imp.h"
#include "cowslipspoke/losses.h"

#include <json-c/json.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* What hosts' logs tell: which requests were lost and why, and all that was
   decided about one of them.  */

/* Called for each line of each file; path is the file's.  */
typedef void (*take_log_line_t) (void *state, const char *line);

/* Read files line by line; false where one can't be read.  */
static bool
read_logs (char **paths, take_log_line_t take, void *state)
{
  char *line = NULL;
  size_t room = 0;
  bool good = true;

  for (; *paths != NULL; paths++)
    {
      FILE *file = fopen (*paths, "r");

      if (file == NULL)
        {
          perror (*paths);
          good = false;
          continue;
        }
      while (getline (&line, &room, file) >= 0)
        take (state, line);
      fclose (file);
    }
  free (line);
  return good;
}

static void
take_loss_line (void *state, const char *line)
{
  /* A log may have lines of other programs in it.  */
  csp_process_loss_line (state, line);
}

int
ctl_losses (char **arguments)
{
  csp_losses_t *losses = csp_create_losses ();
  bool good;

  if (losses == NULL)
    {
      fputs ("out of memory\n", stderr);
      return CTL_EXIT_FAULTS;
    }
  good = read_logs (arguments, take_loss_line, losses);
  csp_print_losses (losses, stdout);
  csp_destroy_losses (losses);
  return good ? CTL_EXIT_GOOD : CTL_EXIT_FAULTS;
}

/* One line of a request, kept until all are in order.  */
typedef struct
{
  int64_t at_ms;
  size_t order;
  char *text;
} traced_t;

typedef struct
{
  const char *id;
  size_t count;
  size_t room;
  traced_t *lines;
  bool incomplete; /* memory failed */
} trace_t;

static bool
is_of_request (json_object *line, const char *id)
{
  json_object *value = NULL;
  const char *text = NULL;

  if (json_object_object_get_ex (line, "request_id", &value))
    text = json_object_get_string (value);
  return text != NULL && strcmp (text, id) == 0;
}

static void
keep_line (trace_t *trace, const char *text, int64_t at_ms)
{
  traced_t kept
      = { .at_ms = at_ms, .order = trace->count, .text = strdup (text) };

  trace->incomplete |= kept.text == NULL;
  if (kept.text == NULL)
    return;
  if (trace->count == trace->room)
    {
      size_t room = trace->room == 0 ? 16 : trace->room * 2;
      traced_t *grown = realloc (trace->lines, room * sizeof *grown);

      trace->incomplete |= grown == NULL;
      if (grown == NULL)
        {
          free (kept.text);
          return;
        }
      trace->lines = grown;
      trace->room = room;
    }
  trace->lines[trace->count++] = kept;
}

static void
take_traced_line (void *state, const char *line)
{
  trace_t *trace = state;
  const char *brace = strchr (line, '{');
  json_object *object;
  json_object *at = NULL;

  /* Most lines are of other requests; parsing each takes far longer.  */
  if (brace == NULL || strstr (brace, trace->id) == NULL)
    return;
  object = json_tokener_parse (brace);
  if (is_of_request (object, trace->id)
      && json_object_object_get_ex (object, "at_ms", &at))
    keep_line (trace, brace, json_object_get_int64 (at));
  json_object_put (object);
}

static int
compare_traced (const void *a, const void *b)
{
  const traced_t *first = a;
  const traced_t *second = b;

  if (first->at_ms != second->at_ms)
    return first->at_ms < second->at_ms ? -1 : 1;
  return first->order < second->order ? -1 : first->order > second->order;
}

int
ctl_trace (char **arguments)
{
  trace_t trace = { .id = arguments[0] };
  bool good = read_logs (arguments + 1, take_traced_line, &trace);
  size_t i;

  if (trace.count > 0)
    qsort (trace.lines, trace.count, sizeof *trace.lines, compare_traced);
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
  return good && !trace.incomplete && trace.count > 0 ? CTL_EXIT_GOOD
                                                      : CTL_EXIT_FAULTS;
}
