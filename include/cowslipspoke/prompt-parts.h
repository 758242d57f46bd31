#ifndef COWSLIPSPOKE_PROMPT_PARTS_H
#define COWSLIPSPOKE_PROMPT_PARTS_H

#include <stddef.h>
#include <stdint.h>

/* The parts of a prompt that requests share, as a caller states them in order.
   The last part belongs to the request itself or to its session, so it isn't
   among them.  */

enum
{
  /* Further parts of a prompt are ignored.  */
  CSP_PROMPT_PARTS_MAX = 16,
  /* Formatted parts, cut off where there are more.  */
  CSP_PROMPT_PARTS_TEXT_BYTES = 96
};

typedef struct
{
  size_t count;
  uint64_t parts[CSP_PROMPT_PARTS_MAX]; /* service in the upper half, the
                                           caller's name of the part in the
                                           lower one */
} csp_prompt_parts_t;

/* Reads "ID:TOKENS,...", IDs in hexadecimal.  Entries without an ID are passed
   over.  text may be NULL: no parts.  service: hash of the service's name;
   parts of prompts for different services never are the same.  */
void csp_read_prompt_parts (const char *text, uint32_t service,
                            csp_prompt_parts_t *parts);

/* Hash of the name of the service that the part belongs to.  */
uint32_t csp_service_of_part (uint64_t part);

/* Formats the callers' names of parts for logs, separated by commas.  */
void csp_format_prompt_parts (const csp_prompt_parts_t *parts,
                              char text[CSP_PROMPT_PARTS_TEXT_BYTES]);

#endif
