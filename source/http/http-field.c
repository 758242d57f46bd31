#include "cowslipspoke/http.h"

#include <ctype.h>
#include <http_parser.h>
#include <string.h>
#include <strings.h>

const char *
csp_find_http_field (const csp_http_head_t *head, const char *name)
{
  size_t i;

  for (i = 0; i < head->field_count; i++)
    if (strcasecmp (head->fields[i].name, name) == 0)
      return head->fields[i].value;
  return NULL;
}

enum
{
  DECIMAL = 10,
  MS_PER_S = 1000
};

bool
csp_parse_http_seconds (const char *value, uint32_t *time_ms)
{
  uint64_t total_ms = 0;
  uint32_t digit_ms = MS_PER_S / DECIMAL;
  const char *at = value;

  if (*at < '0' || *at > '9')
    return false;
  for (; *at >= '0' && *at <= '9'; at++)
    if (total_ms <= UINT32_MAX)
      total_ms = total_ms * DECIMAL + (uint64_t)(*at - '0') * MS_PER_S;
  if (*at == '.')
    for (at++; *at >= '0' && *at <= '9'; at++, digit_ms /= DECIMAL)
      total_ms += (uint64_t)(*at - '0') * digit_ms;
  if (at[strspn (at, " \t")] != '\0')
    return false;
  *time_ms = total_ms < UINT32_MAX ? (uint32_t)total_ms : UINT32_MAX;
  return true;
}

static const char *const hop_fields[]
    = { "Connection",     "Keep-Alive",         "Proxy-Connection", "TE",
        "Trailer",        "Transfer-Encoding",  "Upgrade",          "Expect",
        "Content-Length", "Proxy-Authorization" };

/* Whether a comma-separated list holds a name.  */
static bool
list_has_name (const char *list, const char *name)
{
  size_t name_bytes = strlen (name);

  while (*list != '\0')
    {
      size_t size_bytes;

      list += strspn (list, " \t,");
      size_bytes = strcspn (list, " \t,");
      if (size_bytes == name_bytes
          && strncasecmp (list, name, name_bytes) == 0)
        return true;
      list += size_bytes;
    }
  return false;
}

bool
csp_is_hop_by_hop_field (const csp_http_head_t *head, const char *name)
{
  size_t i;

  for (i = 0; i < sizeof hop_fields / sizeof hop_fields[0]; i++)
    if (strcasecmp (hop_fields[i], name) == 0)
      return true;
  for (i = 0; i < head->field_count; i++)
    if (strcasecmp (head->fields[i].name, "Connection") == 0
        && list_has_name (head->fields[i].value, name))
      return true;
  return false;
}

const char *
csp_http_reason_phrase (uint16_t status)
{
  switch (status)
    {
#define XX(number, name, text)                                                \
  case number:                                                                \
    return #text;
      HTTP_STATUS_MAP (XX)
#undef XX
    default:
      return "Unknown";
    }
}

bool
csp_append_query_value (csp_buffer_t *buffer, const char *value)
{
  static const char plain[] = "-._~/:";
  bool appended = true;

  for (; *value != '\0'; value++)
    {
      unsigned char byte = (unsigned char)*value;

      if (isascii (byte) && (isalnum (byte) || strchr (plain, byte) != NULL))
        appended = csp_append_buffer (buffer, value, 1) && appended;
      else
        appended = csp_print_buffer (buffer, "%%%02X", byte) && appended;
    }
  return appended;
}
