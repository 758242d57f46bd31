#include "caller-answer.h"
#include "server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
answer_init (answer_t *answer)
{
  memset (answer, 0, sizeof *answer);
  answer->retry_after_s = -1;
  answer->first_us = -1;
}

void
answer_free (answer_t *answer)
{
  free (answer->text);
  free (answer->partial_line);
  free (answer->intervals_us);
}

static void
append (char **text, size_t *used, const char *data, size_t size_bytes)
{
  char *grown = realloc (*text, *used + size_bytes + 1);

  if (grown == NULL)
    abort ();
  memcpy (grown + *used, data, size_bytes);
  *used += size_bytes;
  grown[*used] = '\0';
  *text = grown;
}

static void
copy_name (char name[ANSWER_NAME_BYTES], const char *value)
{
  snprintf (name, ANSWER_NAME_BYTES, "%s", value);
}

/* Compare a token with the expected next one and count what differs.  */
static void
check_token (answer_t *answer, const char *token)
{
  char mark[ANSWER_NAME_BYTES];
  long long index;

  answer->tokens++;
  if (sscanf (token, "w%lld.%159s", &index, mark) != 2)
    return;
  if (strcmp (mark, answer->mark) != 0)
    answer->generations++;
  copy_name (answer->mark, mark);
  if (index < answer->next_index)
    answer->duplicates++;
  else if (index > answer->next_index)
    answer->gaps++;
  answer->next_index = index + 1;
}

static void
check_tokens (answer_t *answer, const char *text)
{
  char *copy = strdup (text);
  char *rest = NULL;
  char *token;

  for (token = strtok_r (copy, " ", &rest); token != NULL;
       token = strtok_r (NULL, " ", &rest))
    check_token (answer, token);
  free (copy);
}

static void
record_token_time (answer_t *answer)
{
  int64_t now_us = standin_now_us ();

  if (answer->first_us < 0)
    answer->first_us = now_us - answer->start_us;
  else
    {
      if (answer->interval_count == answer->interval_capacity)
        {
          answer->interval_capacity = answer->interval_capacity == 0
                                          ? 64
                                          : 2 * answer->interval_capacity;
          answer->intervals_us = realloc (answer->intervals_us,
                                          answer->interval_capacity
                                              * sizeof *answer->intervals_us);
          if (answer->intervals_us == NULL)
            abort ();
        }
      answer->intervals_us[answer->interval_count++]
          = now_us - answer->last_us;
    }
  answer->last_us = now_us;
}

/* The text of a choice in a completion, a chat message or a chat delta.  */
static const char *
get_choice_text (json_object *choice)
{
  json_object *part;

  if (json_object_object_get_ex (choice, "delta", &part)
      || json_object_object_get_ex (choice, "message", &part))
    return standin_json_string (part, "content", "");
  return standin_json_string (choice, "text", "");
}

static json_object *
get_first_choice (json_object *json)
{
  json_object *choices;

  if (!json_object_object_get_ex (json, "choices", &choices)
      || !json_object_is_type (choices, json_type_array))
    return NULL;
  return json_object_array_get_idx (choices, 0);
}

static void
read_error (answer_t *answer, json_object *json)
{
  json_object *error;

  if (!json_object_object_get_ex (json, "error", &error)
      || !json_object_is_type (error, json_type_object))
    return;
  /* An engine sends its verdict only as a header, which was read before.  */
  copy_name (answer->verdict,
             standin_json_string (error, "verdict", answer->verdict));
  copy_name (answer->reason, standin_json_string (error, "code", ""));
  answer->retry_after_ms = standin_json_number (error, "retry_after_ms", 0);
  answer->end = END_ERROR;
}

static void
read_event (answer_t *answer, const char *data)
{
  json_object *json;
  json_object *choice;
  const char *text;

  if (strcmp (data, "[DONE]") == 0)
    {
      answer->done = true;
      return;
    }
  json = json_tokener_parse (data);
  if (answer->error_event)
    read_error (answer, json);
  choice = json == NULL ? NULL : get_first_choice (json);
  text = choice == NULL ? "" : get_choice_text (choice);
  if (choice != NULL)
    copy_name (answer->finish_reason,
               standin_json_string (choice, "finish_reason", ""));
  if (*text != '\0')
    {
      record_token_time (answer);
      check_tokens (answer, text);
      append (&answer->text, &answer->text_bytes, text, strlen (text));
    }
  json_object_put (json);
}

static void
read_line (answer_t *answer, char *line)
{
  size_t size = strlen (line);

  if (size > 0 && line[size - 1] == '\r')
    line[size - 1] = '\0';
  if (strcmp (line, "event: error") == 0)
    answer->error_event = true;
  else if (strncmp (line, "data: ", strlen ("data: ")) == 0)
    read_event (answer, line + strlen ("data: "));
}

void
answer_read_stream (answer_t *answer, const char *data, size_t size_bytes)
{
  char *end;

  append (&answer->partial_line, &answer->partial_line_bytes, data,
          size_bytes);
  while (
      (end = memchr (answer->partial_line, '\n', answer->partial_line_bytes))
      != NULL)
    {
      *end = '\0';
      read_line (answer, answer->partial_line);
      answer->partial_line_bytes -= (size_t)(end + 1 - answer->partial_line);
      memmove (answer->partial_line, end + 1, answer->partial_line_bytes + 1);
    }
}

void
answer_read_body (answer_t *answer, const char *data, size_t size_bytes)
{
  append (&answer->text, &answer->text_bytes, data, size_bytes);
}

void
answer_finish_body (answer_t *answer, bool is_generation)
{
  json_object *json
      = answer->text == NULL ? NULL : json_tokener_parse (answer->text);
  json_object *choice = json == NULL ? NULL : get_first_choice (json);

  if (json != NULL && answer->status >= 400)
    read_error (answer, json);
  if (choice != NULL && is_generation)
    {
      char *text = strdup (get_choice_text (choice));

      copy_name (answer->finish_reason,
                 standin_json_string (choice, "finish_reason", ""));
      record_token_time (answer);
      check_tokens (answer, text);
      free (answer->text);
      answer->text = text;
      answer->text_bytes = strlen (text);
    }
  json_object_put (json);
}

bool
answer_is_complete (const answer_t *answer)
{
  return answer->end == END_DONE && answer->duplicates == 0
         && answer->gaps == 0 && answer->generations <= 1;
}
