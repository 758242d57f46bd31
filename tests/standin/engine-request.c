#include "engine-http.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BYTES_PER_TOKEN = 4,
  DEFAULT_MAX_TOKENS = 100000,
  SHORTEST_ANSWER = 8,
  ANSWER_SPREAD = 32
};

static bool
is_plain_name (const char *text)
{
  if (*text == '\0' || strlen (text) >= ENGINE_ID_BYTES)
    return false;
  for (; *text != '\0'; text++)
    if (!isalnum ((unsigned char)*text) && strchr ("._:-", *text) == NULL)
      return false;
  return true;
}

/* The text that the answer's length is made of: the prompt or the last
   message; adds up the bytes of all of it.  */
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

/* "[tokens=40]" in the prompt says how long the answer gets; else it is made
   of the prompt's own bytes, so that the same request gets the same.  */
static int64_t
length_of_answer (const char *prompt)
{
  static const char hint[] = "[tokens=";
  const char *found = strstr (prompt, hint);
  unsigned sum = 0;

  if (found != NULL)
    return strtoll (found + strlen (hint), NULL, 10);
  for (; *prompt != '\0'; prompt++)
    sum = sum * 31 + (unsigned char)*prompt;
  return SHORTEST_ANSWER + sum % ANSWER_SPREAD;
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

  if (!is_plain_name (id) || prompt == NULL || max_tokens < 1
      || !json_object_object_get_ex (body, "stream", &stream)
      || !json_object_get_boolean (stream))
    return 400;
  if (!is_plain_name (model) || !engine_has_model (&engine->orders, model))
    return 404;
  snprintf (generation->id, sizeof generation->id, "%s", id);
  snprintf (generation->model, sizeof generation->model, "%s", model);
  snprintf (generation->prompt, sizeof generation->prompt, "%s", prompt);
  snprintf (generation->request_id, sizeof generation->request_id, "%s",
            standin_header (conn, "X-Request-Id"));
  generation->priority = atoll (standin_header (conn, "X-Priority"));
  generation->prompt_tokens
      = (int64_t)(prompt_bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
  generation->length = length_of_answer (prompt);
  generation->shortened = generation->length > max_tokens;
  if (generation->shortened)
    generation->length = max_tokens;
  generation->chat = json_object_object_get_ex (body, "messages", NULL);
  if (generation->prompt_tokens >= engine->batch.options.memory_tokens)
    return 413;
  return 0;
}
