#include "engine-http.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BYTES_PER_TOKEN = 4,
  DEFAULT_MAX_TOKENS = 100000,
  MIN_ANSWER_TOKENS = 8,
  ANSWER_TOKENS_RANGE = 32
};

static bool
is_valid_name (const char *text)
{
  if (*text == '\0' || strlen (text) >= ENGINE_ID_BYTES)
    return false;
  for (; *text != '\0'; text++)
    if (!isalnum ((unsigned char)*text) && strchr ("._:-", *text) == NULL)
      return false;
  return true;
}

/* The prompt or the content of the last message; null without either.
   size_bytes is the size of the prompt or of all messages together.  */
static const char *
find_prompt (json_object *body, size_t *size_bytes)
{
  const char *prompt = standin_json_string (body, "prompt", NULL);
  json_object *messages;
  size_t i;

  *size_bytes = 0;
  if (prompt == NULL && json_object_object_get_ex (body, "messages", &messages)
      && json_object_is_type (messages, json_type_array))
    for (i = 0; i < json_object_array_length (messages); i++)
      {
        prompt = standin_json_string (json_object_array_get_idx (messages, i),
                                      "content", "");
        *size_bytes += strlen (prompt);
      }
  else if (prompt != NULL)
    *size_bytes = strlen (prompt);
  return prompt;
}

/* The answer's length in tokens: 40 for a prompt with "[tokens=40]", else
   derived from a hash of the prompt, so that a repeated request gets an answer
   of the same length.  */
static int64_t
choose_answer_length (const char *prompt)
{
  static const char hint[] = "[tokens=";
  const char *found = strstr (prompt, hint);
  unsigned sum = 0;

  if (found != NULL)
    return strtoll (found + strlen (hint), NULL, 10);
  for (; *prompt != '\0'; prompt++)
    sum = sum * 31 + (unsigned char)*prompt;
  return MIN_ANSWER_TOKENS + sum % ANSWER_TOKENS_RANGE;
}

int
engine_read_request (engine_t *engine, struct mg_connection *conn,
                     json_object *body, generation_t *generation)
{
  const char *id = standin_header (conn, "X-Generation-Id");
  const char *model = standin_json_string (body, "model", "");
  int64_t max_tokens
      = standin_json_number (body, "max_tokens", DEFAULT_MAX_TOKENS);
  size_t prompt_bytes;
  const char *prompt = find_prompt (body, &prompt_bytes);
  json_object *stream;

  if (!is_valid_name (id) || prompt == NULL || max_tokens < 1
      || !json_object_object_get_ex (body, "stream", &stream)
      || !json_object_get_boolean (stream))
    return 400;
  if (!is_valid_name (model) || !engine_has_model (&engine->orders, model))
    return 404;
  snprintf (generation->id, sizeof generation->id, "%s", id);
  snprintf (generation->model, sizeof generation->model, "%s", model);
  snprintf (generation->prompt, sizeof generation->prompt, "%s", prompt);
  snprintf (generation->request_id, sizeof generation->request_id, "%s",
            standin_header (conn, "X-Request-Id"));
  generation->priority = atoll (standin_header (conn, "X-Priority"));
  generation->prompt_tokens
      = (int64_t)(prompt_bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
  generation->length = choose_answer_length (prompt);
  generation->truncated = generation->length > max_tokens;
  if (generation->truncated)
    generation->length = max_tokens;
  generation->chat = json_object_object_get_ex (body, "messages", NULL);
  if (generation->prompt_tokens >= engine->batch.options.memory_tokens)
    return 413;
  return 0;
}
