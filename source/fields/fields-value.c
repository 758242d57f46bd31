#include "fields/fields-imp.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NAME_LENGTH_MAX = 63,
  TEXT_LENGTH_MAX = 255,
  SHA256_LENGTH = 64
};

static const char lower_case_hex[] = "0123456789abcdef";
static const char upper_case_letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
static const char name_punctuation[] = "._-";

static bool
is_name (const char *text)
{
  size_t i;

  if (!isalnum ((unsigned char)text[0]))
    return false;
  for (i = 0; text[i] != '\0'; i++)
    if (!isalnum ((unsigned char)text[i])
        && strchr (name_punctuation, text[i]) == NULL)
      return false;
  return i <= NAME_LENGTH_MAX;
}

static bool
is_address (const char *text)
{
  struct in6_addr address;

  return inet_pton (AF_INET, text, &address) == 1
         || inet_pton (AF_INET6, text, &address) == 1;
}

static bool
is_printable (const char *text)
{
  size_t i;

  for (i = 0; text[i] != '\0'; i++)
    if (iscntrl ((unsigned char)text[i]))
      return false;
  return i <= TEXT_LENGTH_MAX;
}

static bool
is_path (const char *text)
{
  size_t length = strlen (text);

  return text[0] == '/' && length > 1 && text[length - 1] != '/'
         && is_printable (text) && strpbrk (text, " ?#") == NULL;
}

bool
csp_text_has_form (csp_form_t form, const char *text)
{
  size_t length = strlen (text);

  switch (form)
    {
    case CSP_FORM_TEXT:
      return is_printable (text);
    case CSP_FORM_NAME:
      return is_name (text);
    case CSP_FORM_ADDRESS:
      return is_address (text);
    case CSP_FORM_SHA256:
      return length == SHA256_LENGTH
             && strspn (text, lower_case_hex) == length;
    case CSP_FORM_PATH:
      return is_path (text);
    case CSP_FORM_METHOD:
      return length > 0 && length < 16
             && strspn (text, upper_case_letters) == length;
    }
  return false;
}

static const char *
describe_form (csp_form_t form)
{
  switch (form)
    {
    case CSP_FORM_TEXT:
      return "at most 255 bytes without control characters";
    case CSP_FORM_NAME:
      return "a name (1 to 63 letters, digits, \".\", \"_\", \"-\")";
    case CSP_FORM_ADDRESS:
      return "an IP number";
    case CSP_FORM_SHA256:
      return "64 lower-case hex digits";
    case CSP_FORM_PATH:
      return "a path that starts with \"/\" and does not end with one";
    case CSP_FORM_METHOD:
      return "an HTTP method in capital letters";
    }
  return "";
}

static void
describe_choices (const char *const *choices, char *text, size_t size_bytes)
{
  size_t used;
  size_t i;

  used = (size_t)snprintf (text, size_bytes, "one of ");
  for (i = 0; choices[i] != NULL && used < size_bytes; i++)
    used += (size_t)snprintf (text + used, size_bytes - used, "%s%s",
                              i == 0 ? "" : ", ", choices[i]);
}

static void
describe_string (const csp_field_t *field, char *text, size_t size_bytes)
{
  if (field->choices != NULL)
    describe_choices (field->choices, text, size_bytes);
  else if (field->type == CSP_FIELD_CHARS && field->form == CSP_FORM_TEXT)
    snprintf (text, size_bytes, "at most %zu bytes without control characters",
              field->size_bytes - 1);
  else
    snprintf (text, size_bytes, "%s", describe_form (field->form));
}

void
csp_describe_field (const csp_field_t *field,
                    char allowed[CSP_FIELD_ALLOWED_BYTES])
{
  char described_text[CSP_FIELD_ALLOWED_BYTES / 2];
  size_t size_bytes = CSP_FIELD_ALLOWED_BYTES;

  switch (field->type)
    {
    case CSP_FIELD_BOOL:
      snprintf (allowed, size_bytes, "true or false");
      break;
    case CSP_FIELD_U8:
    case CSP_FIELD_U16:
    case CSP_FIELD_U32:
      snprintf (allowed, size_bytes, "a whole number from %.0f to %.0f",
                field->min, field->max);
      break;
    case CSP_FIELD_DOUBLE:
      snprintf (allowed, size_bytes, "a number from %.10g to %.10g",
                field->min, field->max);
      break;
    case CSP_FIELD_CHOICE:
    case CSP_FIELD_CHARS:
    case CSP_FIELD_TEXT:
      describe_string (field, described_text, sizeof described_text);
      snprintf (allowed, size_bytes, "a string: %s", described_text);
      break;
    case CSP_FIELD_STRINGS:
      describe_string (field, described_text, sizeof described_text);
      snprintf (allowed, size_bytes,
                "a string or a list of %.0f to %.0f different strings: %s",
                field->min, field->max, described_text);
      break;
    case CSP_FIELD_OBJECT:
      snprintf (allowed, size_bytes, "an object");
      break;
    case CSP_FIELD_MAP:
      snprintf (allowed, size_bytes,
                "an object of %.0f to %.0f names with an object each",
                field->min, field->max);
      break;
    case CSP_FIELD_LIST:
      snprintf (allowed, size_bytes, "a list of %.0f to %.0f objects",
                field->min, field->max);
      break;
    }
}

bool
csp_store_number (const csp_field_t *field, double value, void *out)
{
  char *member = (char *)out + field->offset;

  if (!(value >= field->min && value <= field->max))
    return false;
  if (field->type != CSP_FIELD_DOUBLE && value != floor (value))
    return false;
  switch (field->type)
    {
    case CSP_FIELD_U8:
      *(uint8_t *)member = (uint8_t)value;
      return true;
    case CSP_FIELD_U16:
      *(uint16_t *)member = (uint16_t)value;
      return true;
    case CSP_FIELD_U32:
      *(uint32_t *)member = (uint32_t)value;
      return true;
    case CSP_FIELD_DOUBLE:
      *(double *)member = value;
      return true;
    default:
      return false;
    }
}

static int
find_choice (const char *const *choices, const char *text)
{
  int i;

  for (i = 0; choices[i] != NULL; i++)
    if (strcmp (choices[i], text) == 0)
      return i;
  return -1;
}

bool
csp_store_text (const csp_field_t *field, const char *text, void *out)
{
  char *member = (char *)out + field->offset;
  int choice = 0;

  if (field->choices != NULL)
    {
      choice = find_choice (field->choices, text);
      if (choice < 0)
        return false;
    }
  else if (!csp_text_has_form (field->form, text))
    return false;
  switch (field->type)
    {
    case CSP_FIELD_CHOICE:
      *(int *)member = choice;
      return true;
    case CSP_FIELD_CHARS:
      if (strlen (text) >= field->size_bytes)
        return false;
      memset (member, 0, field->size_bytes);
      memcpy (member, text, strlen (text) + 1);
      return true;
    case CSP_FIELD_TEXT:
      *(const char **)member = text;
      return true;
    default:
      return false;
    }
}

static bool
store_number_text (const csp_field_t *field, const char *text, void *out)
{
  double value;
  char *end;

  if (text[0] == '\0' || strspn (text, "0123456789.") != strlen (text))
    return false;
  errno = 0;
  value = strtod (text, &end);
  return errno == 0 && *end == '\0' && csp_store_number (field, value, out);
}

static bool
store_text_as_type (const csp_field_t *field, const char *text, void *out)
{
  switch (field->type)
    {
    case CSP_FIELD_BOOL:
      *(bool *)((char *)out + field->offset) = strcmp (text, "true") == 0;
      return strcmp (text, "true") == 0 || strcmp (text, "false") == 0;
    case CSP_FIELD_U8:
    case CSP_FIELD_U16:
    case CSP_FIELD_U32:
    case CSP_FIELD_DOUBLE:
      return store_number_text (field, text, out);
    default:
      return csp_store_text (field, text, out);
    }
}

bool
csp_set_field_text (const csp_field_t *field, const char *text, void *out,
                    csp_json_position_t *position)
{
  char allowed[CSP_FIELD_ALLOWED_BYTES];

  if (store_text_as_type (field, text, out))
    return true;
  csp_describe_field (field, allowed);
  csp_add_fault_at (position, NULL, "\"%s\" is not allowed; allowed is %s",
                    text, allowed);
  return false;
}

/* A default may be out of bounds, so that "not set" differs from every value
   that can be declared; bounds are therefore not checked for defaults.  */
void
csp_set_default_fields (const csp_field_t *fields, void *out)
{
  const csp_field_t *field;
  csp_field_t unbounded;

  for (field = fields; field->name != NULL; field++)
    {
      if (field->type == CSP_FIELD_OBJECT)
        csp_set_default_fields (field->fields, (char *)out + field->offset);
      if (field->default_setting == NULL)
        continue;
      unbounded = *field;
      unbounded.min = -HUGE_VAL;
      unbounded.max = HUGE_VAL;
      if (!store_text_as_type (&unbounded, field->default_setting, out))
        abort ();
    }
}
