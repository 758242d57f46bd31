#include "cowslipspoke/log.h"

#include <json-c/json.h>
#include <log4c.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* The rate limit of lines below a warning, and its burst.  A host of the
     planned size finishes 27 requests a second and logs a line or two for
     each.  Without a limit, logging a flood of refusals would use up a small
     host's processor.  Warnings and errors are few and not limited.  */
  LINES_PER_S = 200,
  LINES_BURST = 1000,
  MS_PER_S = 1000
};

struct csp_log
{
  log4c_category_t *category;
  csp_clock_t clock;
  csp_level_t min_level;
  FILE *stream;
  pthread_mutex_t lock; /* guards the members below, except host */
  int64_t available_lines;
  int64_t refilled_ms;
  int64_t dropped_lines;
  char host[64];
};

/* Writes each line by one call, so that lines of several threads don't mix; a
   line that the stream can't accept is dropped instead of blocking the
   caller.  */
static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  csp_log_t *log = log4c_appender_get_udata (appender);

  return fprintf (log->stream, "%s\n", event->evt_rendered_msg) < 0 ? -1 : 0;
}

static const char *
render_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void)layout;
  return event->evt_msg;
}

static const log4c_appender_type_t line_appender
    = { "cowslipspoke-stderr", NULL, append_line, NULL };
static const log4c_layout_type_t line_layout
    = { "cowslipspoke-line", render_line };

static const int priorities[] = { LOG4C_PRIORITY_DEBUG, LOG4C_PRIORITY_INFO,
                                  LOG4C_PRIORITY_WARN, LOG4C_PRIORITY_ERROR };

csp_log_t *
csp_create_log (const char *host, csp_level_t min_level,
                const csp_clock_t *clock)
{
  csp_log_t *log = calloc (1, sizeof *log);
  log4c_appender_t *appender;
  log4c_layout_t *layout;

  if (log == NULL)
    return NULL;
  log4c_init ();
  log->clock = *clock;
  log->min_level = min_level;
  log->stream = stderr;
  pthread_mutex_init (&log->lock, NULL);
  log->available_lines = LINES_BURST;
  log->refilled_ms = csp_now_ms (clock);
  snprintf (log->host, sizeof log->host, "%s", host);
  log->category = log4c_category_get ("cowslipspoke");
  appender = log4c_appender_get ("cowslipspoke");
  layout = log4c_layout_get ("cowslipspoke");
  if (log->category == NULL || appender == NULL || layout == NULL)
    goto fail;
  log4c_appender_type_set (&line_appender);
  log4c_layout_type_set (&line_layout);
  log4c_layout_set_type (layout, &line_layout);
  log4c_appender_set_type (appender, &line_appender);
  log4c_appender_set_udata (appender, log);
  log4c_appender_set_layout (appender, layout);
  log4c_category_set_appender (log->category, appender);
  log4c_category_set_additivity (log->category, 0);
  log4c_category_set_priority (log->category, priorities[min_level]);
  return log;

fail:
  free (log);
  return NULL;
}

void
csp_set_log_stream (csp_log_t *log, FILE *stream)
{
  setvbuf (stream, NULL, _IOLBF, BUFSIZ);
  log->stream = stream;
}

void
csp_destroy_log (csp_log_t *log)
{
  if (log == NULL)
    return;
  log4c_fini ();
  pthread_mutex_destroy (&log->lock);
  free (log);
}

csp_log_field_t
csp_text (const char *name, const char *text)
{
  csp_log_field_t field = { CSP_LOG_FIELD_TEXT, name, { .text = text } };

  return field;
}

csp_log_field_t
csp_number (const char *name, int64_t number)
{
  csp_log_field_t field = { CSP_LOG_FIELD_NUMBER, name, { .number = number } };

  return field;
}

static json_object *
create_json_value (const csp_log_field_t *field)
{
  switch (field->kind)
    {
    case CSP_LOG_FIELD_TEXT:
      return field->value.text == NULL
                 ? NULL
                 : json_object_new_string (field->value.text);
    case CSP_LOG_FIELD_NUMBER:
      return json_object_new_int64 (field->value.number);
    case CSP_LOG_FIELD_END:
      break;
    }
  return NULL;
}

/* Applies the rate limit: returns whether a line may be written now.  *dropped
   is the number of lines dropped since the last limited line was written; it
   is 0 for warnings and errors.  */
static bool
may_log_line (csp_log_t *log, csp_level_t level, int64_t *dropped)
{
  bool allowed = true;
  int64_t now_ms = csp_now_ms (&log->clock);
  int64_t refill;

  *dropped = 0;
  if (level >= CSP_LEVEL_WARNING)
    return true;
  pthread_mutex_lock (&log->lock);
  refill = (now_ms - log->refilled_ms) * LINES_PER_S / MS_PER_S;
  if (refill > 0)
    {
      log->available_lines += refill;
      log->refilled_ms = now_ms;
    }
  if (log->available_lines > LINES_BURST)
    log->available_lines = LINES_BURST;
  if (log->available_lines > 0)
    {
      log->available_lines--;
      *dropped = log->dropped_lines;
      log->dropped_lines = 0;
    }
  else
    {
      log->dropped_lines++;
      allowed = false;
    }
  pthread_mutex_unlock (&log->lock);
  return allowed;
}

static void
write_fields (csp_log_t *log, const csp_event_row_t *row,
              const char *request_id, const csp_log_field_t *fields)
{
  json_object *line;

  line = json_object_new_object ();
  json_object_object_add (line, "at_ms",
                          json_object_new_int64 (csp_wall_ms (&log->clock)));
  json_object_object_add (line, "event", json_object_new_int (row->event));
  json_object_object_add (line, "name", json_object_new_string (row->name));
  json_object_object_add (line, "host", json_object_new_string (log->host));
  if (request_id != NULL)
    json_object_object_add (line, "request_id",
                            json_object_new_string (request_id));
  for (; fields->kind != CSP_LOG_FIELD_END; fields++)
    json_object_object_add (line, fields->name, create_json_value (fields));
  log4c_category_log (
      log->category, priorities[row->level], "%s",
      json_object_to_json_string_ext (line, JSON_C_TO_STRING_PLAIN));
  json_object_put (line);
}

void
csp_log_fields (csp_log_t *log, csp_event_t event, const char *request_id,
                const csp_log_field_t *fields)
{
  const csp_event_row_t *row = csp_find_event (event);
  int64_t dropped;

  if (log == NULL || row == NULL || row->level < log->min_level
      || !may_log_line (log, row->level, &dropped))
    return;
  if (dropped > 0)
    {
      const csp_log_field_t dropped_fields[]
          = { csp_number ("lines", dropped), { CSP_LOG_FIELD_END } };

      write_fields (log, csp_find_event (CSP_EVENT_LINES_DROPPED), NULL,
                    dropped_fields);
    }
  write_fields (log, row, request_id, fields);
}
