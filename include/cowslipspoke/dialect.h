#ifndef COWSLIPSPOKE_DIALECT_H
#define COWSLIPSPOKE_DIALECT_H

#include "cowslipspoke/buffer.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The header names and message formats that the callers and targets of a
   deployment use.  An adapter supplies them; the forwarder knows only what
   each of them means.  */

typedef enum
{
  /* Set by callers.  */
  CSP_HEADER_REQUEST_ID,     /* one attempt of the caller; targets echo it */
  CSP_HEADER_REMAINING_TIME, /* the request's remaining time in ms */
  CSP_HEADER_KEY,            /* the caller's API key as the whole value */
  CSP_HEADER_TOKENS,         /* "PROMPT,OUTPUT_MAX" */
  CSP_HEADER_PROMPT_PARTS,   /* see prompt-parts.h */
  CSP_HEADER_OUTPUT_HINT,    /* the caller's estimate of the output tokens */
  CSP_HEADER_LAST_EVENT, /* id of the last event received; the stream continues
                          after it */
  /* Set by the forwarder; it overwrites what the caller sent.  */
  CSP_HEADER_ORGANISATION, /* organisation of the key */
  CSP_HEADER_TARGET_ID,    /* target instance that the request is meant for */
  CSP_HEADER_URGENCY,      /* 0 to 9, 0 is the most urgent */
  CSP_HEADER_BACKUP, /* ADDRESS:PORT to which the run's memory is copied */
  CSP_HEADER_CONTINUE_FROM, /* copy from which a stream continues */
  /* Set by targets.  */
  CSP_HEADER_SIGNATURE,  /* marks the answer as a target's */
  CSP_HEADER_NOT_RUN,    /* the target did not run the request */
  CSP_HEADER_LEAVING,    /* set, with any value, by a target that leaves */
  CSP_HEADER_RATE_LIMIT, /* requests per second that the target takes from all
                            hosts together */
  CSP_HEADER_REFUSAL_LIMIT, /* refusals per second for lack of capacity beyond
                               which the target fails */
  CSP_HEADER_COUNT
} csp_header_t;

/* A target's answer to a request to copy a run's memory to another target.  */
typedef struct
{
  char handle[64]; /* "" if there is none */
  uint64_t events; /* number of events that the run has generated */
} csp_move_answer_t;

/* A target's report of its state.  */
typedef struct
{
  const char *request_id; /* in: a request asked about; NULL: none */
  bool lists_runs;        /* it names the runs of the target */
  bool lists_request;     /* that request's among them */
  bool leaving;
  int64_t born_ms; /* when the target started; 0: not reported */
} csp_target_report_t;

typedef struct
{
  const char *names[CSP_HEADER_COUNT];
  /* Further header fields that callers may not set, besides those above; ends
     with NULL.  */
  const char *const *never_from_callers;
  /* Writes a complete request to target, "ADDRESS:PORT", to copy a run's
     memory to another target; last: the run must be stopped first.  Returns
     false when out of memory.  */
  bool (*write_move) (const char *target, const char *request_id,
                      const char *to, bool last, csp_buffer_t *request);
  bool (*read_move) (const char *body, size_t size_bytes,
                     csp_move_answer_t *answer);
  /* Writes a complete request to target to release the copies of a stopped
     run, its own and the one at the other target.  Returns false when out of
     memory.  */
  bool (*write_release) (const char *target, const char *handle,
                         csp_buffer_t *request);
  /* Writes a complete request for the report of target.  Returns false when
     out of memory.  */
  bool (*write_report) (const char *target, csp_buffer_t *request);
  bool (*read_report) (const char *body, size_t size_bytes,
                       csp_target_report_t *report);
  /* Writes the value of CSP_HEADER_CONTINUE_FROM for a copy.  */
  void (*format_copy_source) (const char *address, const char *handle,
                              char *text, size_t text_bytes);
} csp_dialect_t;

#endif
