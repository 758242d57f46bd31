#include "platform/platform-json-imp.h"

#include <string.h>

static struct json_object *
fail_text (csp_error_t *error, const char *problem)
{
  csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_BAD_REQUEST, 0,
                 "platform answer: %s", problem);
  return NULL;
}

struct json_object *
csp_parse_json_object (const char *text, size_t size_bytes, csp_error_t *error)
{
  struct json_tokener *tokener;
  struct json_object *object;
  enum json_tokener_error problem;
  size_t end;

  if (size_bytes > CSP_MAX_ANSWER_BYTES)
    return fail_text (error, "larger than 16 MB");
  tokener = json_tokener_new ();
  if (tokener == NULL)
    return fail_text (error, "out of memory");
  object = json_tokener_parse_ex (tokener, text, (int)size_bytes);
  problem = json_tokener_get_error (tokener);
  end = json_tokener_get_parse_end (tokener);
  json_tokener_free (tokener);
  if (problem != json_tokener_success)
    {
      json_object_put (object);
      return fail_text (error, problem == json_tokener_continue
                                   ? "cut short"
                                   : json_tokener_error_desc (problem));
    }
  while (end < size_bytes && strchr (" \t\r\n", text[end]) != NULL)
    end++;
  if (end == size_bytes && json_object_is_type (object, json_type_object))
    return object;
  json_object_put (object);
  return fail_text (error, "not one JSON object");
}

bool
csp_fail_row (const csp_json_row_t *row, const char *member,
              const char *problem)
{
  csp_set_error (row->error, CSP_VERDICT_NOT_RUN, CSP_REASON_BAD_REQUEST, 0,
                 "platform answer: %s[%zu].%s %s", row->section, row->index,
                 member, problem);
  return false;
}

static struct json_object *
find_member (const csp_json_row_t *row, const char *member, json_type type)
{
  struct json_object *value = NULL;

  if (!json_object_is_type (row->object, json_type_object)
      || !json_object_object_get_ex (row->object, member, &value)
      || !json_object_is_type (value, type))
    return NULL;
  return value;
}

bool
csp_read_string (const csp_json_row_t *row, const char *member, char *value,
                 size_t size_bytes)
{
  struct json_object *found = find_member (row, member, json_type_string);
  size_t length;

  if (found == NULL)
    return csp_fail_row (row, member, "is not a string");
  length = (size_t)json_object_get_string_len (found);
  if (length == 0 || length >= size_bytes
      || strlen (json_object_get_string (found)) != length)
    return csp_fail_row (row, member, "is empty, too long or has a nul");
  memcpy (value, json_object_get_string (found), length + 1);
  return true;
}

bool
csp_read_number (const csp_json_row_t *row, const char *member, int64_t min,
                 int64_t max, int64_t *value)
{
  struct json_object *found = find_member (row, member, json_type_int);

  if (found == NULL)
    return csp_fail_row (row, member, "is not a whole number");
  *value = json_object_get_int64 (found);
  if (*value < min || *value > max)
    return csp_fail_row (row, member, "is out of range");
  return true;
}

bool
csp_read_bool (const csp_json_row_t *row, const char *member, bool *value)
{
  struct json_object *found = find_member (row, member, json_type_boolean);

  if (found == NULL)
    return csp_fail_row (row, member, "is not true or false");
  *value = json_object_get_boolean (found);
  return true;
}

bool
csp_read_array (const csp_json_row_t *row, const char *member, size_t max,
                struct json_object **array)
{
  *array = find_member (row, member, json_type_array);
  if (*array == NULL)
    return csp_fail_row (row, member, "is not an array");
  if (json_object_array_length (*array) > max)
    return csp_fail_row (row, member, "has too many rows");
  return true;
}

bool
csp_read_choice (const csp_json_row_t *row, const char *member,
                 const char *first, const char *second, bool *is_second)
{
  struct json_object *found = find_member (row, member, json_type_string);
  const char *text = found == NULL ? "" : json_object_get_string (found);

  *is_second = strcmp (text, second) == 0;
  if (*is_second || strcmp (text, first) == 0)
    return true;
  return csp_fail_row (row, member, "is not one of the known words");
}
