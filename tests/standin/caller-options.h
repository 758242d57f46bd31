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

/* The options of the command line: what to send and what to print.  */
typedef struct
{
  int64_t ports[CALLER_MAX_PORTS]; /* each retry uses the next one */
  int64_t port_count;
  const char *key;
  const char *model;
  const char *prompt;
  int64_t tokens;     /* adds "[tokens=N]" to the prompt, unless 0 */
  int64_t max_tokens; /* 0: not sent */
  bool chat;
  bool not_streamed; /* asks for one JSON body, no event stream */
  bool direct;       /* to an engine, with the headers that a host sends */
  const char *generation_id; /* X-Generation-Id; null: generated if direct */
  const char *service;       /* NAME/PATH: a call of a plain service */
  const char *path;          /* any path, such as /v1/models */
  const char *method;
  const char *body;   /* sent instead of the default body */
  int64_t body_bytes; /* a body of so many letters; 0: the default body */
  const char *headers[CALLER_MAX_HEADERS];
  int64_t header_count;
  const char *idempotency_key;
  bool non_idempotent;
  const char *class_name;
  int64_t deadline_ms;
  int64_t attempt;
  int64_t max_tries;     /* in total; only "not run" is retried */
  bool balanced;         /* skips hosts whose /ready isn't 200 */
  int64_t hang_up_after; /* closes after that many tokens; 0: never */
  int64_t read_delay_ms; /* waits before each piece that it reads */
  int64_t timeout_ms;    /* of the whole call */
  bool show_text;        /* print the text of the answer */
  bool show_body;
  int64_t concurrency; /* concurrent callers */
  int64_t stagger_ms;  /* between the starts of two callers */
} caller_options_t;

/* Parse the command line; exits with 2 when it is wrong.  */
void caller_read_options (caller_options_t *options, int argc, char **argv);

#endif
