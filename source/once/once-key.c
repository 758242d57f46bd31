#include "cowslipspoke/once.h"

#include "cowslipspoke/hash.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  UUID_CHARS = 36,
  UUID_VERSION_AT = 14,
  UUID_VARIANT_AT = 19,
  UUID_DATE_BYTES = 6,
  HEX = 16,
  DECIMAL = 10,
  NUMBER_CHARS = 24
};

/* Copies the field before the separator and advances the text past it.  False
   if the field is empty, too long or has no separator.  */
static bool
parse_field (const char **text, char separator, char *field, size_t size_bytes)
{
  const char *end = strchr (*text, separator);
  size_t length;

  if (end == NULL || end == *text)
    return false;
  length = (size_t)(end - *text);
  if (length >= size_bytes)
    return false;
  memcpy (field, *text, length);
  field[length] = '\0';
  *text = end + 1;
  return true;
}

static bool
parse_number (const char **text, char separator, int base, uint64_t *number)
{
  char field[NUMBER_CHARS];
  char *end;

  if (!parse_field (text, separator, field, sizeof field)
      || !isxdigit ((unsigned char)field[0]))
    return false;
  errno = 0;
  *number = strtoull (field, &end, base);
  return *end == '\0' && errno == 0;
}

static bool
parse_date (const char **text, int64_t *date_ms)
{
  uint64_t number;

  if (!parse_number (text, '~', DECIMAL, &number) || number > INT64_MAX / 2)
    return false;
  *date_ms = (int64_t)number;
  return **text != '\0';
}

static bool
parse_host_key (const char *text, csp_once_key_t *key)
{
  key->scope = CSP_ONCE_SCOPE_HOST;
  return parse_field (&text, ':', key->home.name, sizeof key->home.name)
         && parse_number (&text, ':', HEX, &key->home.incarnation)
         && parse_date (&text, &key->date_ms);
}

static bool
parse_data_centre_key (const char *text, csp_once_key_t *key)
{
  key->scope = CSP_ONCE_SCOPE_DATA_CENTRE;
  return parse_field (&text, ':', key->data_centre, sizeof key->data_centre)
         && parse_date (&text, &key->date_ms);
}

static bool
is_uuid_7 (const char *text)
{
  size_t i;

  if (strlen (text) != UUID_CHARS)
    return false;
  for (i = 0; i < UUID_CHARS; i++)
    if (i == 8 || i == 13 || i == 18 || i == 23)
      {
        if (text[i] != '-')
          return false;
      }
    else if (!isxdigit ((unsigned char)text[i]))
      return false;
  return text[UUID_VERSION_AT] == '7'
         && strchr ("89abAB", text[UUID_VARIANT_AT]) != NULL;
}

static void
parse_uuid_key (const char *text, csp_once_key_t *key)
{
  char date[2 * UUID_DATE_BYTES + 1];

  memcpy (date, text, 8);
  memcpy (date + 8, text + 9, 4);
  date[sizeof date - 1] = '\0';
  key->scope = CSP_ONCE_SCOPE_ALL;
  key->date_ms = (int64_t)strtoull (date, NULL, HEX);
}

/* fold_case: UUIDs compare equal regardless of the case of their digits.  */
static void
digest_key (const char *organisation, const char *text, bool fold_case,
            uint8_t digest[CSP_ONCE_DIGEST_BYTES])
{
  char joined[CSP_ORGANISATION_NAME_BYTES + CSP_ONCE_KEY_MAX_BYTES];
  char hex[CSP_SHA256_HEX_BYTES];
  char byte[3] = { 0 };
  size_t first = strlen (organisation) + 1;
  size_t size_bytes = first + strlen (text);
  size_t i;

  memcpy (joined, organisation, first);
  memcpy (joined + first, text, size_bytes - first);
  for (i = first; fold_case && i < size_bytes; i++)
    joined[i] = (char)tolower ((unsigned char)joined[i]);
  csp_hash_sha256_hex (joined, size_bytes, hex);
  for (i = 0; i < CSP_ONCE_DIGEST_BYTES; i++)
    {
      memcpy (byte, hex + 2 * i, 2);
      digest[i] = (uint8_t)strtoul (byte, NULL, HEX);
    }
}

static bool
parse_scope (const char *text, csp_once_key_t *key)
{
  if (strncmp (text, "h:", 2) == 0)
    return parse_host_key (text + 2, key);
  if (strncmp (text, "d:", 2) == 0)
    return parse_data_centre_key (text + 2, key);
  if (!is_uuid_7 (text))
    return false;
  parse_uuid_key (text, key);
  return true;
}

bool
csp_parse_once_key (const char *organisation, const char *text,
                    csp_once_key_t *key, csp_error_t *error)
{
  memset (key, 0, sizeof *key);
  if (strlen (organisation) >= sizeof key->organisation
      || strlen (text) >= CSP_ONCE_KEY_MAX_BYTES || !parse_scope (text, key))
    {
      csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_BAD_REQUEST, 0,
                     "Idempotency-Key must be a version 7 UUID, or a token "
                     "from /v1/idempotency-home with ~ and a unique text");
      return false;
    }
  memcpy (key->organisation, organisation, strlen (organisation));
  digest_key (organisation, text, key->scope == CSP_ONCE_SCOPE_ALL,
              key->digest);
  return true;
}

bool
csp_parse_any_once_key (const char *organisation, const char *text,
                        int64_t wall_ms, csp_once_key_t *key,
                        csp_error_t *error)
{
  size_t size_bytes = strlen (text);

  if (csp_parse_once_key (organisation, text, key, error))
    return true;
  if (size_bytes == 0 || size_bytes >= CSP_ONCE_KEY_MAX_BYTES
      || strlen (organisation) >= sizeof key->organisation)
    return false;
  memset (key, 0, sizeof *key);
  key->scope = CSP_ONCE_SCOPE_ALL;
  key->date_ms = wall_ms - CSP_UNDATED_KEY_AGE_MS;
  memcpy (key->organisation, organisation, strlen (organisation));
  digest_key (organisation, text, false, key->digest);
  return true;
}

void
csp_format_host_token (const csp_host_ref_t *self, int64_t wall_ms,
                       char token[CSP_ONCE_TOKEN_BYTES])
{
  snprintf (token, CSP_ONCE_TOKEN_BYTES, "h:%s:%" PRIx64 ":%" PRId64,
            self->name, self->incarnation, wall_ms);
}

void
csp_format_data_centre_token (const char *data_centre, int64_t wall_ms,
                              char token[CSP_ONCE_TOKEN_BYTES])
{
  snprintf (token, CSP_ONCE_TOKEN_BYTES, "d:%s:%" PRId64, data_centre,
            wall_ms);
}
