#include "cowslipspoke/generation.h"

#include <json-c/json.h>

/* csp_chunk_t is the parsed JSON document; the token points to strings in
   it.  */

static json_object *
get_member (json_object *object, const char *name, json_type type)
{
  json_object *member = NULL;

  if (object == NULL || !json_object_is_type (object, json_type_object))
    return NULL;
  if (!json_object_object_get_ex (object, name, &member))
    return NULL;
  return json_object_is_type (member, type) ? member : NULL;
}

static const char *
get_text (json_object *object, const char *name)
{
  json_object *member = get_member (object, name, json_type_string);

  return member == NULL ? NULL : json_object_get_string (member);
}

csp_chunk_t *
csp_parse_chunk (const char *json, csp_token_t *token)
{
  json_object *document = json_tokener_parse (json);
  json_object *token_object = get_member (document, "token", json_type_object);
  json_object *index = get_member (token_object, "index", json_type_int);
  json_object *choices = get_member (document, "choices", json_type_array);
  json_object *choice;

  token->generation = get_text (token_object, "generation");
  if (token->generation == NULL || index == NULL || choices == NULL
      || json_object_array_length (choices) == 0
      || json_object_get_int64 (index) < 0)
    {
      json_object_put (document);
      return NULL;
    }
  choice = json_object_array_get_idx (choices, 0);
  token->index = (uint64_t)json_object_get_int64 (index);
  token->finish_reason = get_text (choice, "finish_reason");
  token->text = get_text (choice, "text");
  if (token->text == NULL)
    token->text
        = get_text (get_member (choice, "delta", json_type_object), "content");
  if (token->text == NULL)
    token->text = "";
  return (csp_chunk_t *)document;
}

void
csp_destroy_chunk (csp_chunk_t *chunk)
{
  json_object_put ((json_object *)chunk);
}
