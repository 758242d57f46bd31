#ifndef COWSLIPSPOKE_DECLARATION_TOOLS_H
#define COWSLIPSPOKE_DECLARATION_TOOLS_H

#include "cowslipspoke/declaration.h"

#include <stdio.h>

/* Commands of cowslipctl for declarations that are kept in version control.
 */

/* The keyed values read from the files of a directory.  */
typedef struct csp_declaration_directory csp_declaration_directory_t;

/* Read NAME.json in DIR/organisations, routes, services, rules and pools, and
   DIR/rule-order.json.  Files whose names start with "." and DIR/README.md are
   ignored; any other file is a fault.  Never returns NULL.  */
csp_declaration_directory_t *
csp_read_declaration_directory (const char *path, csp_faults_t *faults);
void
csp_destroy_declaration_directory (csp_declaration_directory_t *directory);

/* The values, which belong to the directory; where is the value's file.  */
const csp_declared_value_t *
csp_get_directory_values (const csp_declaration_directory_t *directory,
                          size_t *count);

/* A request that an operator describes in a file to find out which rule
   decides it.  facts points into names.  */
typedef struct
{
  csp_request_facts_t facts;
  struct
  {
    char organisation[CSP_NAME_BYTES];
    char route[CSP_NAME_BYTES];
    char service[CSP_NAME_BYTES];
    char class_name[CSP_NAME_BYTES];
    char data_centre[CSP_NAME_BYTES];
  } names;
} csp_described_request_t;

/* Read a described request.  Class and priority default to the route's or
   service's.  Returns false and adds faults if the text is invalid or refers
   to names that the declaration does not have.  */
bool csp_read_described_request (const csp_declaration_t *declaration,
                                 const char *where, const char *text,
                                 size_t size_bytes,
                                 csp_described_request_t *request,
                                 csp_faults_t *faults);

/* Print each rule before the one that decides, with the condition that fails,
   then the rule that decides and the decision.  */
void csp_print_explanation (const csp_declaration_t *declaration,
                            const csp_request_facts_t *facts, FILE *stream);

/* Print the differences, one line for each value or member.  Returns the
   number of values that differ.  Comments and layout are ignored.  */
size_t csp_print_difference (const csp_declaration_t *before,
                             const csp_declaration_t *after, FILE *stream);

/* Print {"values": {KEY: VALUE, ...}}, sorted by key, as the platform
   publishes it.  */
void csp_print_bundle (const csp_declaration_t *declaration, FILE *stream);

#endif
