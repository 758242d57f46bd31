#ifndef CSP_PLATFORM_JSON_IMP_H
#define CSP_PLATFORM_JSON_IMP_H

#include "cowslipspoke/platform.h"

#include <json-c/json.h>

/* Readers of members that fill error with the row and member at fault.  */

/* Where a member is read from, for error texts: "hosts" and 3.  */
typedef struct
{
  struct json_object *object;
  const char *section;
  size_t index;
  csp_error_t *error;
} csp_json_row_t;

/* Parse a whole text to one object; NULL and error otherwise.  */
struct json_object *csp_parse_json_object (const char *text, size_t size_bytes,
                                           csp_error_t *error);

bool csp_fail_row (const csp_json_row_t *row, const char *member,
                   const char *problem);
/* A string that fits size_bytes with its nul and is not empty.  */
bool csp_read_string (const csp_json_row_t *row, const char *member,
                      char *value, size_t size_bytes);
bool csp_read_number (const csp_json_row_t *row, const char *member,
                      int64_t least, int64_t most, int64_t *value);
bool csp_read_bool (const csp_json_row_t *row, const char *member,
                    bool *value);
/* An array of at most most rows.  */
bool csp_read_array (const csp_json_row_t *row, const char *member,
                     size_t most, struct json_object **array);
/* One of two words; *second says whether it was the second.  */
bool csp_read_word (const csp_json_row_t *row, const char *member,
                    const char *first, const char *other, bool *second);

#endif
