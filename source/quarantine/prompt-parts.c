#include "cowslipspoke/prompt-parts.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HEXADECIMAL = 16,
  SERVICE_SHIFT = 32
};

/* IDs have 32 bits; longer ones are folded.  */
static uint64_t
make_part (uint32_t service, uint64_t id)
{
  return (uint64_t)service << SERVICE_SHIFT
         | (uint32_t)(id ^ (id >> SERVICE_SHIFT));
}

void
csp_read_prompt_parts (const char *text, uint32_t service,
                       csp_prompt_parts_t *parts)
{
  const char *entry = text;

  parts->count = 0;
  while (entry != NULL && parts->count < CSP_PROMPT_PARTS_MAX)
    {
      const char *next = strchr (entry, ',');
      char *end = NULL;
      uint64_t id = strtoull (entry, &end, HEXADECIMAL);

      if (next == NULL)
        return;
      if (end != entry)
        parts->parts[parts->count++] = make_part (service, id);
      entry = next + 1;
    }
}

uint32_t
csp_service_of_part (uint64_t part)
{
  return (uint32_t)(part >> SERVICE_SHIFT);
}

void
csp_format_prompt_parts (const csp_prompt_parts_t *parts,
                         char text[CSP_PROMPT_PARTS_TEXT_BYTES])
{
  size_t used = 0;
  size_t i;

  text[0] = '\0';
  for (i = 0; i < parts->count; i++)
    {
      char name[sizeof ",ffffffff"];
      size_t bytes
          = (size_t)snprintf (name, sizeof name, "%s%08" PRIx32,
                              i == 0 ? "" : ",", (uint32_t)parts->parts[i]);

      if (used + bytes >= CSP_PROMPT_PARTS_TEXT_BYTES)
        return;
      memcpy (text + used, name, bytes + 1);
      used += bytes;
    }
}
