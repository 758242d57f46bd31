#ifndef STANDIN_CALLER_OPTIONS_H
#define STANDIN_CALLER_OPTIONS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  CALLER_MAX_PORTS = 16,
  CALLER_MAX_HEADERS = 8,
  CALLER_MAX_CALLERS = 2000
};

/* What a caller asks for.  */
typedef struct
{
  int64_t ports[CALLER_MAX_PORTS]; /* a repeat goes to the next one */
  int64_t port_count;
  const char *key;
  const char *model;
  const char *prompt;
  int64_t tokens;     /* adds "[tokens=N]" to the prompt; 0: not */
  int64_t max_tokens; /* 0: not asked */
  bool chat;
  bool whole;
  bool direct;               /* to an engine itself, as a host would ask */
  const char *generation_id; /* with direct; else one of its own */
  const char *service;       /* NAME/PATH: a call of a plain service */
  const char *path;          /* any path, such as /v1/models */
  const char *method;
  const char *body;   /* sent instead of the usual body */
  int64_t body_bytes; /* a body of that many letters */
  const char *headers[CALLER_MAX_HEADERS];
  int64_t header_count;
  const char *idempotency_key;
  bool non_idempotent;
  const char *class_name;
  int64_t deadline_ms;
  int64_t attempt;
  int64_t tries; /* comes back this often after "not run" */
  bool balanced; /* asks /ready first and passes by who isn't */
  int64_t hang_up_after;
  int64_t slow_ms; /* waits this long at each piece it reads */
  int64_t limit_ms;
  bool text; /* print the text of the answer */
  bool show_body;
  int64_t repeat;     /* callers side by side */
  int64_t stagger_ms; /* between their starts */
} caller_options_t;

/* Read the command line; exits 2 on a fault.  */
void caller_read_options (caller_options_t *options, int argc, char **argv);

#endif
