#ifndef STANDIN_CALLER_ANSWER_H
#define STANDIN_CALLER_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  ANSWER_NAME_BYTES = 160
};

typedef enum
{
  END_NONE,   /* no response */
  END_DONE,   /* [DONE], or a complete body with a status below 400 */
  END_ERROR,  /* an error status or event, or no connection */
  END_CUT,    /* the response broke off */
  END_HUNG_UP /* closed by the caller itself (--hang-up-after) */
} answer_end_t;

/* The response to one request and the faults found in it.  A token of the
   stand-in engine has the text "w17.MARK ", where 17 is its index and MARK
   identifies the generation, so that the text alone shows a duplicate, missing
   or foreign token.  */
typedef struct
{
  int64_t status;
  answer_end_t end;
  char verdict[ANSWER_NAME_BYTES];
  char reason[ANSWER_NAME_BYTES];
  char request_id[ANSWER_NAME_BYTES];
  char finish_reason[ANSWER_NAME_BYTES];
  int64_t retry_after_s;  /* of the header; -1 when absent */
  int64_t retry_after_ms; /* of the error's JSON */
  int64_t tokens;
  int64_t duplicates;
  int64_t gaps;        /* places where tokens are missing */
  int64_t generations; /* changes of the mark, the first one included */
  int64_t next_index;  /* expected of the next token */
  char mark[ANSWER_NAME_BYTES]; /* of the last token */
  char *text; /* of all tokens or, without tokens, the body */
  size_t text_bytes;
  char *partial_line; /* its end isn't received yet */
  size_t partial_line_bytes;
  bool error_event; /* "event: error" received */
  bool done;        /* [DONE] received */
  int64_t start_us;
  int64_t first_us;      /* from start_us to the first token; -1 without one */
  int64_t last_us;       /* when the last token was received */
  int64_t *intervals_us; /* times between tokens */
  size_t interval_count;
  size_t interval_capacity;
} answer_t;

void answer_init (answer_t *answer);
void answer_free (answer_t *answer);

/* Parse the next bytes of an event stream.  */
void answer_read_stream (answer_t *answer, const char *data,
                         size_t size_bytes);

/* Append the next bytes of a body that isn't an event stream.  */
void answer_read_body (answer_t *answer, const char *data, size_t size_bytes);

/* Parse a complete body that isn't an event stream: the JSON of an error or,
   with is_generation, of a generation's answer, whose tokens are checked.  */
void answer_finish_body (answer_t *answer, bool is_generation);

/* True when every token was received once, in order and from one generation,
   and the answer ended without an error.  */
bool answer_is_complete (const answer_t *answer);

#endif
