#include "caller-options.h"
#include "server.h"

#include <getopt.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef enum
{
  VALUE_NUMBER,
  VALUE_TEXT,
  VALUE_NONE
} value_kind_t;

typedef struct
{
  const char *name;
  value_kind_t kind;
  size_t offset;
} option_row_t;

#define OPTION_ROW(name, kind, member)                                        \
  {                                                                           \
    name, kind, offsetof (caller_options_t, member)                           \
  }

static const option_row_t option_rows[] = {
  OPTION_ROW ("key", VALUE_TEXT, key),
  OPTION_ROW ("model", VALUE_TEXT, model),
  OPTION_ROW ("prompt", VALUE_TEXT, prompt),
  OPTION_ROW ("tokens", VALUE_NUMBER, tokens),
  OPTION_ROW ("max-tokens", VALUE_NUMBER, max_tokens),
  OPTION_ROW ("chat", VALUE_NONE, chat),
  OPTION_ROW ("whole", VALUE_NONE, not_streamed),
  OPTION_ROW ("direct", VALUE_NONE, direct),
  OPTION_ROW ("generation-id", VALUE_TEXT, generation_id),
  OPTION_ROW ("service", VALUE_TEXT, service),
  OPTION_ROW ("path", VALUE_TEXT, path),
  OPTION_ROW ("method", VALUE_TEXT, method),
  OPTION_ROW ("body", VALUE_TEXT, body),
  OPTION_ROW ("body-bytes", VALUE_NUMBER, body_bytes),
  OPTION_ROW ("idempotency-key", VALUE_TEXT, idempotency_key),
  OPTION_ROW ("non-idempotent", VALUE_NONE, non_idempotent),
  OPTION_ROW ("class", VALUE_TEXT, class_name),
  OPTION_ROW ("deadline-ms", VALUE_NUMBER, deadline_ms),
  OPTION_ROW ("attempt", VALUE_NUMBER, attempt),
  OPTION_ROW ("tries", VALUE_NUMBER, max_tries),
  OPTION_ROW ("balanced", VALUE_NONE, balanced),
  OPTION_ROW ("hang-up-after", VALUE_NUMBER, hang_up_after),
  OPTION_ROW ("slow-ms", VALUE_NUMBER, read_delay_ms),
  OPTION_ROW ("limit-ms", VALUE_NUMBER, timeout_ms),
  OPTION_ROW ("text", VALUE_NONE, show_text),
  OPTION_ROW ("show-body", VALUE_NONE, show_body),
  OPTION_ROW ("repeat", VALUE_NUMBER, concurrency),
  OPTION_ROW ("stagger-ms", VALUE_NUMBER, stagger_ms),
};

enum
{
  OPTION_ROW_COUNT = sizeof option_rows / sizeof *option_rows,
  OPTION_PORT = 1000,
  OPTION_HEADER
};

static void
set_member (caller_options_t *options, const option_row_t *row,
            const char *value)
{
  void *member = (char *)options + row->offset;

  switch (row->kind)
    {
    case VALUE_NUMBER:
      *(int64_t *)member = standin_parse_number (value);
      break;
    case VALUE_TEXT:
      *(const char **)member = value;
      break;
    case VALUE_NONE:
      *(bool *)member = true;
      break;
    }
}

/* "8080" or "8080,8081,8082".  */
static void
read_ports (caller_options_t *options, char *list)
{
  char *rest = NULL;
  char *port;

  for (port = strtok_r (list, ",", &rest);
       port != NULL && options->port_count < CALLER_MAX_PORTS;
       port = strtok_r (NULL, ",", &rest))
    options->ports[options->port_count++] = standin_parse_number (port);
}

void
caller_read_options (caller_options_t *options, int argc, char **argv)
{
  struct option long_options[OPTION_ROW_COUNT + 3] = { 0 };
  int option;
  int i;

  *options = (caller_options_t){ .model = "m-small",
                                 .prompt = "hello",
                                 .method = NULL,
                                 .max_tries = 1,
                                 .timeout_ms = 15000,
                                 .concurrency = 1 };
  for (i = 0; i < OPTION_ROW_COUNT; i++)
    {
      long_options[i].name = option_rows[i].name;
      long_options[i].has_arg = option_rows[i].kind != VALUE_NONE;
      long_options[i].val = i + 1;
    }
  long_options[OPTION_ROW_COUNT]
      = (struct option){ "port", required_argument, NULL, OPTION_PORT };
  long_options[OPTION_ROW_COUNT + 1]
      = (struct option){ "header", required_argument, NULL, OPTION_HEADER };
  while ((option = getopt_long (argc, argv, "", long_options, NULL)) != -1)
    if (option == OPTION_PORT)
      read_ports (options, optarg);
    else if (option == OPTION_HEADER
             && options->header_count < CALLER_MAX_HEADERS)
      options->headers[options->header_count++] = optarg;
    else if (option >= 1 && option <= OPTION_ROW_COUNT)
      set_member (options, &option_rows[option - 1], optarg);
    else
      exit (2);
  if (options->port_count > 0 && options->concurrency > 0
      && options->concurrency <= CALLER_MAX_CALLERS)
    return;
  fprintf (stderr, "--port is needed, and --repeat from 1 to %d\n",
           CALLER_MAX_CALLERS);
  exit (2);
}
