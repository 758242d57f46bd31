#ifndef COWSLIPSPOKE_GENERATION_H
#define COWSLIPSPOKE_GENERATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Keeps an answer to one generation: every token once, in order.

   Links to an engine stall, are cut and opened again; a resumed link may
   repeat tokens, an old link may still deliver when a new one is open, and an
   engine that lost its state may start again with other words.  A caller
   would then read words twice, miss some, or read two answers spliced.  The
   reader notices it by the generation's id and the token's index, which every
   event carries, and lets only the next index of its own generation pass.  */

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
  CSP_TAKE_DELIVER,
  CSP_TAKE_DUPLICATE, /* drop it, the caller has it */
  CSP_TAKE_GAP,       /* tokens are missing: resume at next_index */
  CSP_TAKE_FOREIGN,   /* another generation: never pass it on */
  CSP_TAKE_AFTER_END  /* behind the last token: the engine is broken */
} csp_take_t;

/* One event of an engine.  The texts belong to the chunk.  */
typedef struct
{
  const char *generation;
  uint64_t index;
  const char *text;
  const char *finish_reason; /* NULL but at the last token */
} csp_token_t;

/* A parsed event, which owns the texts of its token.  */
typedef struct csp_chunk csp_chunk_t;

/* Begin with a generation of which nothing was delivered.  */
void csp_start_generation (csp_generation_t *generation, const char *id);

/* Judge a token and, when it is delivered, count it.  */
csp_take_t csp_take_token (csp_generation_t *generation,
                           const csp_token_t *token);

/* Judge the engine's end mark.  True when the answer is whole: an end mark
   without a finish reason before it is a cut answer.  */
bool csp_take_end (csp_generation_t *generation);

/* Parse an event of the completions or chat API.  NULL when it isn't one.  */
csp_chunk_t *csp_parse_chunk (const char *json, csp_token_t *token);

/* Free a parsed event; NULL is allowed.  */
void csp_destroy_chunk (csp_chunk_t *chunk);

#endif
