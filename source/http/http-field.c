#include "cowslipspoke/http.h"

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
csp_is_hop_field (const csp_http_head_t *head, const char *name)
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
csp_http_status_words (uint16_t status)
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
