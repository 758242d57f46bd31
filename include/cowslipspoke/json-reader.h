#ifndef COWSLIPSPOKE_JSON_READER_H
#define COWSLIPSPOKE_JSON_READER_H

#include "cowslipspoke/faults.h"

#include <json-c/json.h>

/* A strict reader for hand-written JSON.  Comments are allowed; duplicate
   keys, invalid UTF-8, deep nesting and invalid JSON are faults with their
   line.  */

enum
{
  CSP_JSON_DEPTH_MAX = 32
};

/* Reads one value.  where names the text in faults.  Returns NULL where any
   fault was found; the caller releases the value with json_object_put.  */
struct json_object *csp_read_json (const char *where, const char *text,
                                   size_t size_bytes, csp_faults_t *faults);

/* Returns the line of a value of csp_read_json: where a plain value ends or an
   object or array begins; 0 for null.  */
int csp_json_line (struct json_object *value);

/* Reads a whole file of at most size_max bytes; the caller frees the text.
   Returns NULL with a fault where the file can't be read.  */
char *csp_read_text_file (const char *path, size_t size_max,
                          size_t *size_bytes, csp_faults_t *faults);

#endif
