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
  free (answer->line);
  free (answer->gaps_us);
}

static void
append (char **text, size_t *used, const char *data, size_t size_bytes)
{
  char *longer = realloc (*text, *used + size_bytes + 1);

  if (longer == NULL)
    abort ();
  memcpy (longer + *used, data, size_bytes);
  *used += size_bytes;
  longer[*used] = '\0';
  *text = longer;
}

static void
set_name (char name[ANSWER_NAME_BYTES], const char *value)
{
  snprintf (name, ANSWER_NAME_BYTES, "%s", value);
}

/* Compare one token with the one that must follow.  */
static void
count_token (answer_t *answer, const char *token)
{
  char mark[ANSWER_NAME_BYTES];
  long long index;

  answer->tokens++;
  if (sscanf (token, "w%lld.%159s", &index, mark) != 2)
    return;
  if (strcmp (mark, answer->mark) != 0)
    answer->generations++;
  set_name (answer->mark, mark);
  if (index < answer->next_index)
    answer->duplicates++;
  else if (index > answer->next_index)
    answer->gaps++;
  answer->next_index = index + 1;
}

static void
count_tokens_of (answer_t *answer, const char *text)
{
  char *copy = strdup (text);
  char *rest = NULL;
  char *token;

  for (token = strtok_r (copy, " ", &rest); token != NULL;
       token = strtok_r (NULL, " ", &rest))
    count_token (answer, token);
  free (copy);
}

static void
note_time (answer_t *answer)
{
  int64_t now_us = standin_now_us ();

  if (answer->first_us < 0)
    answer->first_us = now_us - answer->start_us;
  else
    {
      if (answer->gap_count == answer->gap_room)
        {
          answer->gap_room = answer->gap_room == 0 ? 64 : 2 * answer->gap_room;
          answer->gaps_us = realloc (
              answer->gaps_us, answer->gap_room * sizeof *answer->gaps_us);
          if (answer->gaps_us == NULL)
            abort ();
        }
      answer->gaps_us[answer->gap_count++] = now_us - answer->last_us;
    }
  answer->last_us = now_us;
}

/* The text of a choice: of a completion, a chat message or a chat delta.  */
static const char *
text_of_choice (json_object *choice)
{
  json_object *part;

  if (json_object_object_get_ex (choice, "delta", &part)
      || json_object_object_get_ex (choice, "message", &part))
    return standin_json_string (part, "content", "");
  return standin_json_string (choice, "text", "");
}

static json_object *
first_choice (json_object *json)
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
  /* An engine says it in a header alone, which was read before.  */
  set_name (answer->verdict,
            standin_json_string (error, "verdict", answer->verdict));
  set_name (answer->reason, standin_json_string (error, "code", ""));
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
  choice = json == NULL ? NULL : first_choice (json);
  text = choice == NULL ? "" : text_of_choice (choice);
  if (choice != NULL)
    set_name (answer->finish,
              standin_json_string (choice, "finish_reason", ""));
  if (*text != '\0')
    {
      note_time (answer);
      count_tokens_of (answer, text);
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

  append (&answer->line, &answer->line_bytes, data, size_bytes);
  while ((end = memchr (answer->line, '\n', answer->line_bytes)) != NULL)
    {
      *end = '\0';
      read_line (answer, answer->line);
      answer->line_bytes -= (size_t)(end + 1 - answer->line);
      memmove (answer->line, end + 1, answer->line_bytes + 1);
    }
}

void
answer_read_body (answer_t *answer, const char *data, size_t size_bytes)
{
  append (&answer->text, &answer->text_bytes, data, size_bytes);
}

void
answer_finish_body (answer_t *answer, bool count_tokens)
{
  json_object *json
      = answer->text == NULL ? NULL : json_tokener_parse (answer->text);
  json_object *choice = json == NULL ? NULL : first_choice (json);

  if (json != NULL && answer->status >= 400)
    read_error (answer, json);
  if (choice != NULL && count_tokens)
    {
      char *text = strdup (text_of_choice (choice));

      set_name (answer->finish,
                standin_json_string (choice, "finish_reason", ""));
      note_time (answer);
      count_tokens_of (answer, text);
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
