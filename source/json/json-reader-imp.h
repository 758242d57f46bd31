#ifndef CSP_JSON_READER_IMP_H
#define CSP_JSON_READER_IMP_H

#include "cowslipspoke/json-reader.h"

/* As csp_read_json, but the value is also returned where duplicate keys were
   found, so that one run also finds the other faults of the text.  */
struct json_object *csp_read_json_with_duplicates (const char *where,
                                                   const char *text,
                                                   size_t size_bytes,
                                                   csp_faults_t *faults);

#endif
