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
  END_NONE, /* no answer at all */
  END_DONE, /* [DONE], or a whole answer with status 200 */
  END_ERROR,
  END_CUT,
  END_HUNG_UP
} answer_end_t;

/* What came back for one request and what is wrong with it.  Tokens of the
   stand-in engine read "w17.MARK ", where MARK names the generation, so a
   doubled, missing or foreign token shows in the text alone.  */
typedef struct
{
  int64_t status;
  answer_end_t end;
  char verdict[ANSWER_NAME_BYTES];
  char reason[ANSWER_NAME_BYTES];
  char request_id[ANSWER_NAME_BYTES];
  char finish[ANSWER_NAME_BYTES];
  int64_t retry_after_s;  /* the header; -1 without */
  int64_t retry_after_ms; /* of the error's JSON */
  int64_t tokens;
  int64_t duplicates;
  int64_t gaps;
  int64_t generations;
  int64_t next_index;
  char mark[ANSWER_NAME_BYTES];
  char *text; /* all text or, without tokens, the whole body */
  size_t text_bytes;
  char *line; /* an unfinished line of the stream */
  size_t line_bytes;
  bool error_event;
  bool done;
  int64_t start_us;
  int64_t first_us; /* from the start to the first token; -1 without */
  int64_t last_us;
  int64_t *gaps_us; /* between tokens */
  size_t gap_count;
  size_t gap_room;
} answer_t;

void answer_init (answer_t *answer);
void answer_free (answer_t *answer);

/* Take the next bytes of an event stream.  */
void answer_read_stream (answer_t *answer, const char *data,
                         size_t size_bytes);

/* Take the next bytes of a body that is no event stream.  */
void answer_read_body (answer_t *answer, const char *data, size_t size_bytes);

/* Look at a body that is whole: an error's JSON or a whole answer.  */
void answer_finish_body (answer_t *answer, bool count_tokens);

/* True when all tokens came once, in order, from one generation, and the
   answer has its clean end.  */
bool answer_is_complete (const answer_t *answer);

#endif
