#ifndef COWSLIPSPOKE_JSON_READER_H
#define COWSLIPSPOKE_JSON_READER_H

#include "cowslipspoke/faults.h"

#include <json-c/json.h>

/* Strict reading of JSON that people wrote: comments are allowed, keys that
   stand twice, bad UTF-8, deep nesting and anything that is no JSON are
   faults with their line.  */

enum
{
  CSP_JSON_DEPTH_MAX = 32
};

/* Read one value.  where names the text in faults.  Returns NULL where any
   fault was found; the caller puts the value back with json_object_put.  */
struct json_object *csp_read_json (const char *where, const char *text,
                                   size_t size_bytes, csp_faults_t *faults);

/* The line on which a value of csp_read_json ended; 0 for null.  */
int csp_json_line (struct json_object *value);

/* Read a whole file of at most size_max bytes; the caller frees it.  Returns
   NULL with a fault where it can't be read.  */
char *csp_read_text_file (const char *path, size_t size_max,
                          size_t *size_bytes, csp_faults_t *faults);

#endif
