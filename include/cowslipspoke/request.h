#ifndef COWSLIPSPOKE_REQUEST_H
#define COWSLIPSPOKE_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cowslipspoke/verdict.h"

/* A caller's request for a generation, parsed from the body of a completions
   or chat completions call.  */

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

/* The raw header fields of a request; NULL where a field is missing.  The
   strings belong to the caller.  */
typedef struct
{
  const char *idempotency_key;
  const char *non_idempotent;
  const char *attempt;
  const char *deadline_ms;
  const char *class_name;
} csp_request_header_fields_t;

/* The options from the header fields of a request, parsed and validated.  A
   missing field leaves an empty string, 0 or false.  */
typedef struct
{
  char idempotency_key[CSP_REQUEST_KEY_BYTES];
  char class_name[CSP_REQUEST_NAME_BYTES];
  bool non_idempotent;
  uint32_t attempt;
  uint32_t deadline_ms;
} csp_request_options_t;

/* Parses the header fields.  Returns 0, or -1 with an error that names the
   invalid field.  */
int csp_parse_request_headers (const csp_request_header_fields_t *fields,
                               csp_request_options_t *options,
                               csp_error_t *error);

/* Parses a request body.  Returns NULL with an error that says what is wrong
   with the body.  */
csp_request_t *csp_parse_request (csp_api_t api, const char *body,
                                  size_t size_bytes, csp_error_t *error);

/* Frees a request; NULL is allowed.  */
void csp_destroy_request (csp_request_t *request);

/* The API, the model and whether the caller wants a stream.  The model's name
   belongs to the request.  */
csp_api_t csp_request_api (const csp_request_t *request);
const char *csp_request_model (const csp_request_t *request);
bool csp_request_wants_stream (const csp_request_t *request);

/* Returns the number of prompt tokens, estimated from its size in bytes.  */
uint32_t csp_request_prompt_tokens (const csp_request_t *request);

/* Hashes the beginning of the prompt, for placement on an engine that has it
   in its prefix cache.  Returns a hash other than 0 and the prefix's
   approximate number of tokens; 0 and 0 where the prompt is too short.  */
void csp_hash_request_prefix (const csp_request_t *request, uint64_t *hash,
                              uint32_t *tokens);

/* Returns the caller's max_tokens; 0 where there is none.  */
uint32_t csp_request_max_tokens (const csp_request_t *request);

/* Builds the body for an engine from the caller's: with the given model name,
   streaming on, and max_tokens where it is not 0.  The text belongs to the
   request and is valid until the next call.  Returns NULL when out of
   memory.  */
const char *csp_build_engine_body (csp_request_t *request, const char *model,
                                   uint32_t max_tokens);

#endif
