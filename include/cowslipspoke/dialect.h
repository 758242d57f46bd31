#ifndef COWSLIPSPOKE_DIALECT_H
#define COWSLIPSPOKE_DIALECT_H

#include "cowslipspoke/buffer.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How the callers and targets of a deployment name what the forwarder has to
   read and write.  An adapter gives the names; the forwarder knows only what
   each means.  */

typedef enum
{
  /* Set by callers.  */
  CSP_NAME_REQUEST_ID,  /* of one attempt of the caller; targets echo it */
  CSP_NAME_TIME_LEFT,   /* how long the caller waits, in ms */
  CSP_NAME_KEY,         /* the caller's key, by itself */
  CSP_NAME_TOKENS,      /* "PROMPT,OUTPUT_MAX" */
  CSP_NAME_OUTPUT_HINT, /* the caller's guess of the output's tokens */
  CSP_NAME_LAST_EVENT,  /* id behind which a stream goes on */
  /* Set by the forwarder, whatever the caller sent.  */
  CSP_NAME_ORGANISATION, /* the key's */
  CSP_NAME_TARGET_ID,    /* of the start that the request is meant for */
  CSP_NAME_URGENCY,      /* 0 to 9, 0 first */
  CSP_NAME_BACKUP,       /* ADDRESS:PORT that the run's memory is copied to */
  CSP_NAME_GO_ON_FROM,   /* copy that a stream goes on from */
  /* Set by targets.  */
  CSP_NAME_SIGNATURE, /* shows that the answer is a target's */
  CSP_NAME_NOT_RUN,   /* the target did not run the request */
  CSP_NAME_LEAVING,   /* the target leaves; whatever it says */
  CSP_NAME_COUNT
} csp_name_t;

/* What a target answers to a request to copy a run's memory elsewhere.  */
typedef struct
{
  char handle[64]; /* "" where there is none */
  uint64_t events; /* that the run has made */
} csp_move_answer_t;

/* What a target says of itself.  */
typedef struct
{
  bool leaving;
  int64_t born_ms; /* when it started; 0: it doesn't say */
} csp_target_report_t;

typedef struct
{
  const char *names[CSP_NAME_COUNT];
  /* Fields that callers may not set, beside those above; ends with NULL.  */
  const char *const *never_from_callers;
  /* A whole request that asks target, "ADDRESS:PORT", to copy a run's memory
     to another; last: stop the run first.  False when memory fails.  */
  bool (*write_move) (const char *target, const char *request_id,
                      const char *to, bool last, csp_buffer_t *request);
  bool (*read_move) (const char *body, size_t size_bytes,
                     csp_move_answer_t *answer);
  /* A whole request that asks target how it is.  False when memory fails.  */
  bool (*write_report) (const char *target, csp_buffer_t *request);
  bool (*read_report) (const char *body, size_t size_bytes,
                       csp_target_report_t *report);
  /* What CSP_NAME_GO_ON_FROM says of a copy.  */
  void (*write_copy) (const char *address, const char *handle, char *text,
                      size_t room_bytes);
} csp_dialect_t;

#endif
