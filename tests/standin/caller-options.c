#include "caller-options.h"
#include "server.h"

#include <getopt.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef enum
{
  TAKES_NUMBER,
  TAKES_TEXT,
  TAKES_FLAG
} takes_t;

typedef struct
{
  const char *name;
  takes_t takes;
  size_t offset;
} row_t;

#define ROW(name, takes, member)                                              \
  {                                                                           \
    name, takes, offsetof (caller_options_t, member)                          \
  }

static const row_t rows[] = {
  ROW ("key", TAKES_TEXT, key),
  ROW ("model", TAKES_TEXT, model),
  ROW ("prompt", TAKES_TEXT, prompt),
  ROW ("tokens", TAKES_NUMBER, tokens),
  ROW ("max-tokens", TAKES_NUMBER, max_tokens),
  ROW ("chat", TAKES_FLAG, chat),
  ROW ("whole", TAKES_FLAG, whole),
  ROW ("direct", TAKES_FLAG, direct),
  ROW ("generation-id", TAKES_TEXT, generation_id),
  ROW ("service", TAKES_TEXT, service),
  ROW ("path", TAKES_TEXT, path),
  ROW ("method", TAKES_TEXT, method),
  ROW ("body", TAKES_TEXT, body),
  ROW ("body-bytes", TAKES_NUMBER, body_bytes),
  ROW ("idempotency-key", TAKES_TEXT, idempotency_key),
  ROW ("non-idempotent", TAKES_FLAG, non_idempotent),
  ROW ("class", TAKES_TEXT, class_name),
  ROW ("deadline-ms", TAKES_NUMBER, deadline_ms),
  ROW ("attempt", TAKES_NUMBER, attempt),
  ROW ("tries", TAKES_NUMBER, tries),
  ROW ("balanced", TAKES_FLAG, balanced),
  ROW ("hang-up-after", TAKES_NUMBER, hang_up_after),
  ROW ("slow-ms", TAKES_NUMBER, slow_ms),
  ROW ("limit-ms", TAKES_NUMBER, limit_ms),
  ROW ("text", TAKES_FLAG, text),
  ROW ("show-body", TAKES_FLAG, show_body),
  ROW ("repeat", TAKES_NUMBER, repeat),
  ROW ("stagger-ms", TAKES_NUMBER, stagger_ms),
};

enum
{
  ROW_COUNT = sizeof rows / sizeof *rows,
  OPTION_PORT = 1000,
  OPTION_HEADER
};

static void
set_member (caller_options_t *options, const row_t *row, const char *value)
{
  void *member = (char *)options + row->offset;

  switch (row->takes)
    {
    case TAKES_NUMBER:
      *(int64_t *)member = standin_parse_number (value);
      break;
    case TAKES_TEXT:
      *(const char **)member = value;
      break;
    case TAKES_FLAG:
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
  struct option long_options[ROW_COUNT + 3] = { 0 };
  int option;
  int i;

  *options = (caller_options_t){ .model = "m-small",
                                 .prompt = "hello",
                                 .method = NULL,
                                 .tries = 1,
                                 .limit_ms = 15000,
                                 .repeat = 1 };
  for (i = 0; i < ROW_COUNT; i++)
    {
      long_options[i].name = rows[i].name;
      long_options[i].has_arg = rows[i].takes != TAKES_FLAG;
      long_options[i].val = i + 1;
    }
  long_options[ROW_COUNT]
      = (struct option){ "port", required_argument, NULL, OPTION_PORT };
  long_options[ROW_COUNT + 1]
      = (struct option){ "header", required_argument, NULL, OPTION_HEADER };
  while ((option = getopt_long (argc, argv, "", long_options, NULL)) != -1)
    if (option == OPTION_PORT)
      read_ports (options, optarg);
    else if (option == OPTION_HEADER
             && options->header_count < CALLER_MAX_HEADERS)
      options->headers[options->header_count++] = optarg;
    else if (option >= 1 && option <= ROW_COUNT)
      set_member (options, &rows[option - 1], optarg);
    else
      exit (2);
  if (options->port_count > 0 && options->repeat > 0
      && options->repeat <= CALLER_MAX_CALLERS)
    return;
  fprintf (stderr, "--port is needed, and --repeat from 1 to %d\n",
           CALLER_MAX_CALLERS);
  exit (2);
}
