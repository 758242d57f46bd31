#ifndef CSP_JSON_READER_IMP_H
#define CSP_JSON_READER_IMP_H

#include "cowslipspoke/json-reader.h"

/* As csp_read_json, but keys that stand twice only add their faults, so that
   the other faults of the same text show in the same run.  */
struct json_object *csp_read_json_tree (const char *where, const char *text,
                                        size_t size_bytes,
                                        csp_faults_t *faults);

#endif
