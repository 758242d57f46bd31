#ifndef CSP_PLATFORM_JSON_IMP_H
#define CSP_PLATFORM_JSON_IMP_H

#include "cowslipspoke/platform.h"

#include <json-c/json.h>

/* Functions that read members of JSON objects.  On false they have set
   row->error to a text that names the row and member at fault.  */

/* The object that members are read from; section and index name it in error
   texts, such as "hosts" and 3.  */
typedef struct
{
  struct json_object *object;
  const char *section;
  size_t index;
  csp_error_t *error;
} csp_json_row_t;

/* Parse a text that holds exactly one JSON object.  On failure returns NULL
   and sets error.  */
struct json_object *csp_parse_json_object (const char *text, size_t size_bytes,
                                           csp_error_t *error);

/* Set row->error; always returns false.  */
bool csp_fail_row (const csp_json_row_t *row, const char *member,
                   const char *problem);
/* Read a non-empty string that fits size_bytes including its nul.  */
bool csp_read_string (const csp_json_row_t *row, const char *member,
                      char *value, size_t size_bytes);
bool csp_read_number (const csp_json_row_t *row, const char *member,
                      int64_t min, int64_t max, int64_t *value);
bool csp_read_bool (const csp_json_row_t *row, const char *member,
                    bool *value);
/* Read an array of at most max rows.  */
bool csp_read_array (const csp_json_row_t *row, const char *member, size_t max,
                     struct json_object **array);
/* Read a string that must be first or second; *is_second says which.  */
bool csp_read_choice (const csp_json_row_t *row, const char *member,
                      const char *first, const char *second, bool *is_second);

#endif
