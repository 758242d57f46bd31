#ifndef COWSLIPSPOKE_REQUEST_H
#define COWSLIPSPOKE_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cowslipspoke/verdict.h"

/* A caller's request for a generation, read from the usual API.  */

enum
{
  CSP_REQUEST_NAME_BYTES = 64,
  CSP_REQUEST_KEY_BYTES = 256
};

typedef enum
{
  CSP_API_COMPLETIONS,
  CSP_API_CHAT
} csp_api_t;

typedef struct csp_request csp_request_t;

/* What the header fields of a request say; texts are NULL where the field is
   missing and belong to the caller.  */
typedef struct
{
  const char *idempotency_key;
  const char *non_idempotent;
  const char *attempt;
  const char *deadline_ms;
  const char *class_name;
} csp_request_marks_t;

/* The marks of a request, read and checked.  Texts are empty where the caller
   said nothing; deadline_ms is 0 and attempt is 0 then.  */
typedef struct
{
  char idempotency_key[CSP_REQUEST_KEY_BYTES];
  char class_name[CSP_REQUEST_NAME_BYTES];
  bool non_idempotent;
  uint32_t attempt;
  uint32_t deadline_ms;
} csp_marks_t;

/* Read the marks.  0, or -1 with an error that names the field.  */
int csp_read_marks (const csp_request_marks_t *fields, csp_marks_t *marks,
                    csp_error_t *error);

/* Read a body.  NULL with an error that says what is wrong with it.  */
csp_request_t *csp_parse_request (csp_api_t api, const char *body,
                                  size_t size_bytes, csp_error_t *error);

/* Free a request; NULL is allowed.  */
void csp_destroy_request (csp_request_t *request);

/* What the caller asked for.  The model's name belongs to the request.  */
csp_api_t csp_request_api (const csp_request_t *request);
const char *csp_request_model (const csp_request_t *request);
bool csp_request_streams (const csp_request_t *request);

/* Tokens of the prompt, guessed from its bytes.  */
uint32_t csp_request_prompt_tokens (const csp_request_t *request);

/* The beginning of the prompt, for engines that keep what they computed of
   it: a hash, never 0, and about how many tokens it has; 0 and 0 where the
   prompt is too short to matter.  */
void csp_request_prefix (const csp_request_t *request, uint64_t *hash,
                         uint32_t *tokens);

/* The caller's bound on the answer; 0 where there is none.  */
uint32_t csp_request_max_tokens (const csp_request_t *request);

/* The body for an engine: the caller's, streamed, with the engine's name for
   the model and a bound on the answer where max_tokens is not 0.  The text
   belongs to the request and lives until the next call.  */
const char *csp_request_engine_body (csp_request_t *request, const char *model,
                                     uint32_t max_tokens);

#endif
