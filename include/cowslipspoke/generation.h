#ifndef COWSLIPSPOKE_GENERATION_H
#define COWSLIPSPOKE_GENERATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Restricts an answer to one generation, with every token once and in order.

   Links to an engine stall, are cut and are opened again.  A resumed link may
   repeat tokens, an old link may still deliver after a new one was opened, and
   an engine that lost its state may start again with other tokens.  Callers
   would then see tokens twice, miss some or get two answers mixed.  Every
   event carries the generation's id and the token's index, so only the next
   index of the same generation is accepted.  */

enum
{
  CSP_GENERATION_ID_BYTES = 64
};

typedef struct
{
  char id[CSP_GENERATION_ID_BYTES];
  uint64_t next_index;
  uint64_t duplicates;
  bool finish_seen;
  bool complete;
} csp_generation_t;

/* What to do with a token.  */
typedef enum
{
  CSP_TOKEN_DELIVER,
  CSP_TOKEN_DUPLICATE, /* already delivered: ignore it */
  CSP_TOKEN_GAP,       /* tokens are missing: resume at next_index */
  CSP_TOKEN_FOREIGN,   /* of another generation: never deliver it */
  CSP_TOKEN_AFTER_END  /* after the last token: the engine is faulty */
} csp_token_action_t;

/* One event of an engine.  Its strings belong to the chunk.  */
typedef struct
{
  const char *generation;
  uint64_t index;
  const char *text;
  const char *finish_reason; /* NULL except at the last token */
} csp_token_t;

/* A parsed event; owns the strings of its token.  */
typedef struct csp_chunk csp_chunk_t;

/* Starts to track a generation of which nothing was delivered.  */
void csp_start_generation (csp_generation_t *generation, const char *id);

/* Decides what to do with a token and counts it if it is to be delivered.  */
csp_token_action_t csp_accept_token (csp_generation_t *generation,
                                     const csp_token_t *token);

/* Handles the engine's end mark.  Returns true when the answer is complete; an
   end mark without a finish reason before it means that the answer was
   truncated.  */
bool csp_accept_end_mark (csp_generation_t *generation);

/* Parses an event of the completions or chat API.  Returns NULL when the JSON
   isn't one.  */
csp_chunk_t *csp_parse_chunk (const char *json, csp_token_t *token);

/* Frees a parsed event; NULL is allowed.  */
void csp_destroy_chunk (csp_chunk_t *chunk);

#endif
