#include "cowslipspoke/request.h"

#include "cowslipspoke/hash.h"
#include "cowslipspoke/text.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  /* Tokenizers differ between engines; four bytes per token is the usual
     estimate for text.  Admission corrects it by the engine's reports.  */
  BYTES_PER_TOKEN = 4,
  /* Shared prefixes are long documents or system prompts; 2 KB are enough to
     distinguish them.  */
  PREFIX_BYTES = 2048,
  MAX_DEADLINE_MS = 24 * 3600 * 1000,
  MAX_ATTEMPT = 1000,
  MAX_ANSWER_TOKENS = 10 * 1000 * 1000
};

struct csp_request
{
  json_object *body;
  csp_api_t api;
  const char *model;
  bool streams;
  uint32_t prompt_tokens;
  uint32_t max_tokens;
};

static int
read_number (const char *text, uint32_t max, uint32_t *number)
{
  char *end;
  unsigned long value;

  if (text == NULL)
    return 0;
  if (*text < '0' || *text > '9')
    return -1;
  errno = 0;
  value = strtoul (text, &end, 10);
  if (errno != 0 || *end != '\0' || value == 0 || value > max)
    return -1;
  *number = (uint32_t)value;
  return 0;
}

static int
read_flag (const char *text, bool *flag)
{
  if (text == NULL)
    return 0;
  *flag = strcasecmp (text, "true") == 0;
  return *flag || strcasecmp (text, "false") == 0 ? 0 : -1;
}

static int
read_name (const char *text, char *name, size_t capacity_bytes)
{
  if (text == NULL)
    return 0;
  if (*text == '\0' || strlen (text) >= capacity_bytes)
    return -1;
  memcpy (name, text, strlen (text) + 1);
  return 0;
}

/* The class name is quoted in error messages, which are JSON and so must be
   valid UTF-8.  */
static bool
is_visible_ascii (const char *text)
{
  for (; *text != '\0'; text++)
    if (*text <= ' ' || *text > '~')
      return false;
  return true;
}

static int
refuse_field (csp_error_t *error, const char *field, const char *allowed)
{
  csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_BAD_REQUEST, 0,
                 "%s: allowed is %s", field, allowed);
  return -1;
}

int
csp_parse_request_headers (const csp_request_header_fields_t *fields,
                           csp_request_options_t *options, csp_error_t *error)
{
  memset (options, 0, sizeof *options);
  if (read_name (fields->idempotency_key, options->idempotency_key,
                 sizeof options->idempotency_key)
      != 0)
    return refuse_field (error, "Idempotency-Key", "a text of 1 to 255 bytes");
  if (read_name (fields->class_name, options->class_name,
                 sizeof options->class_name)
          != 0
      || !is_visible_ascii (options->class_name))
    return refuse_field (error, "X-Class", "a name of 1 to 63 ASCII letters");
  if (read_flag (fields->non_idempotent, &options->non_idempotent) != 0)
    return refuse_field (error, "X-Non-Idempotent", "true or false");
  if (read_number (fields->attempt, MAX_ATTEMPT, &options->attempt) != 0)
    return refuse_field (error, "X-Attempt", "a number from 1 to 1000");
  if (read_number (fields->deadline_ms, MAX_DEADLINE_MS, &options->deadline_ms)
      != 0)
    return refuse_field (error, "X-Deadline-Ms",
                         "milliseconds, at most a day");
  return 0;
}

static json_object *
parse_body (const char *body, size_t size_bytes)
{
  json_tokener *tokener;
  json_object *document = NULL;

  /* json-c accepts overlong UTF-8 sequences, which an engine may decode to
     other characters than this host.  */
  if (!csp_is_utf8 (body, size_bytes))
    return NULL;
  tokener = json_tokener_new ();
  if (tokener == NULL)
    return NULL;
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT);
  document = json_tokener_parse_ex (tokener, body, (int)size_bytes);
  if (json_tokener_get_error (tokener) != json_tokener_success
      || json_tokener_get_parse_end (tokener) != size_bytes)
    {
      json_object_put (document);
      document = NULL;
    }
  json_tokener_free (tokener);
  return document;
}

static size_t
count_text_bytes (json_object *value)
{
  size_t bytes = 0;
  size_t i;

  switch (json_object_get_type (value))
    {
    case json_type_string:
      return (size_t)json_object_get_string_len (value);
    case json_type_array:
      for (i = 0; i < json_object_array_length (value); i++)
        bytes += count_text_bytes (json_object_array_get_idx (value, i));
      return bytes;
    case json_type_object:
      {
        json_object_object_foreach (value, key, member)
        {
          (void)key;
          bytes += count_text_bytes (member);
        }
      }
      return bytes;
    default:
      return 0;
    }
}

static int
read_prompt (csp_request_t *request, csp_error_t *error)
{
  bool chat = request->api == CSP_API_CHAT;
  json_object *prompt = NULL;
  json_type type = chat ? json_type_array : json_type_string;

  json_object_object_get_ex (request->body, chat ? "messages" : "prompt",
                             &prompt);
  if (!json_object_is_type (prompt, type))
    return chat ? refuse_field (error, "messages", "an array of messages")
                : refuse_field (error, "prompt", "a text");
  request->prompt_tokens
      = (uint32_t)(count_text_bytes (prompt) / BYTES_PER_TOKEN) + 1;
  return 0;
}

static int
read_members (csp_request_t *request, csp_error_t *error)
{
  json_object *member = NULL;
  int64_t bound;

  if (!json_object_object_get_ex (request->body, "model", &member)
      || !json_object_is_type (member, json_type_string))
    return refuse_field (error, "model", "the name of a model route");
  request->model = json_object_get_string (member);
  if (json_object_object_get_ex (request->body, "stream", &member))
    {
      if (!json_object_is_type (member, json_type_boolean))
        return refuse_field (error, "stream", "true or false");
      request->streams = json_object_get_boolean (member);
    }
  if (json_object_object_get_ex (request->body, "max_tokens", &member))
    {
      bound = json_object_get_int64 (member);
      if (!json_object_is_type (member, json_type_int) || bound < 1
          || bound > MAX_ANSWER_TOKENS)
        return refuse_field (error, "max_tokens", "a whole number from 1");
      request->max_tokens = (uint32_t)bound;
    }
  if (json_object_object_get_ex (request->body, "n", &member)
      && (!json_object_is_type (member, json_type_int)
          || json_object_get_int64 (member) != 1))
    return refuse_field (error, "n", "1: one answer to a request");
  return read_prompt (request, error);
}

csp_request_t *
csp_parse_request (csp_api_t api, const char *body, size_t size_bytes,
                   csp_error_t *error)
{
  csp_request_t *request = calloc (1, sizeof *request);

  if (request == NULL)
    {
      csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_INTERNAL, 0,
                     "out of memory");
      return NULL;
    }
  request->api = api;
  request->body = parse_body (body, size_bytes);
  if (!json_object_is_type (request->body, json_type_object))
    {
      refuse_field (error, "body", "one JSON object in UTF-8");
      goto fail;
    }
  if (read_members (request, error) != 0)
    goto fail;
  return request;

fail:
  csp_destroy_request (request);
  return NULL;
}

void
csp_destroy_request (csp_request_t *request)
{
  if (request == NULL)
    return;
  json_object_put (request->body);
  free (request);
}

csp_api_t
csp_request_api (const csp_request_t *request)
{
  return request->api;
}

const char *
csp_request_model (const csp_request_t *request)
{
  return request->model;
}

bool
csp_request_wants_stream (const csp_request_t *request)
{
  return request->streams;
}

uint32_t
csp_request_prompt_tokens (const csp_request_t *request)
{
  return request->prompt_tokens;
}

void
csp_hash_request_prefix (const csp_request_t *request, uint64_t *hash,
                         uint32_t *tokens)
{
  json_object *prompt = NULL;
  char prefix_text[PREFIX_BYTES];
  size_t size_bytes;

  *hash = 0;
  *tokens = 0;
  json_object_object_get_ex (
      request->body, request->api == CSP_API_CHAT ? "messages" : "prompt",
      &prompt);
  size_bytes = (size_t)snprintf (prefix_text, sizeof prefix_text, "%s",
                                 json_object_get_string (prompt));
  if (size_bytes < sizeof prefix_text)
    return;
  *hash = csp_hash_pair ("prefix", prefix_text) | 1;
  *tokens = PREFIX_BYTES / BYTES_PER_TOKEN;
}

uint32_t
csp_request_max_tokens (const csp_request_t *request)
{
  return request->max_tokens;
}

const char *
csp_build_engine_body (csp_request_t *request, const char *model,
                       uint32_t max_tokens)
{
  json_object *body = request->body;
  char *model_copy = strdup (model);

  /* model may be the string in body that the call below replaces and frees,
     so it is copied first.  */
  if (model_copy == NULL)
    return NULL;
  json_object_object_add (body, "model", json_object_new_string (model_copy));
  free (model_copy);
  json_object_object_get_ex (body, "model", &body);
  request->model = json_object_get_string (body);
  json_object_object_add (request->body, "stream",
                          json_object_new_boolean (1));
  if (max_tokens != 0)
    json_object_object_add (request->body, "max_tokens",
                            json_object_new_int64 (max_tokens));
  return json_object_to_json_string_ext (request->body,
                                         JSON_C_TO_STRING_PLAIN);
}
