#ifndef COWSLIPSPOKE_DECLARATION_TOOLS_H
#define COWSLIPSPOKE_DECLARATION_TOOLS_H

#include "cowslipspoke/declaration.h"

#include <stdio.h>

/* What cowslipctl does with declarations kept in version control.  */

/* The files of a directory as keyed values.  */
typedef struct csp_directory csp_directory_t;

/* Read DIR/organisations/NAME.json, routes, services, rules and pools the same
   way, and DIR/rule-order.json.  Files whose names start with "." and
   DIR/README.md are passed over; any other is a fault.  Never NULL.  */
csp_directory_t *csp_read_directory (const char *path, csp_faults_t *faults);
void csp_destroy_directory (csp_directory_t *directory);

/* The values, which belong to the directory; where is the file.  */
const csp_declared_value_t *
csp_get_directory_values (const csp_directory_t *directory, size_t *count);

/* A request that an operator describes in a file, to ask which rule decides.
   facts points into names.  */
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

/* Read a described request; class and priority come from the route where the
   text gives none.  False with faults where it is wrong or names what the
   declaration does not have.  */
bool csp_read_described_request (const csp_declaration_t *declaration,
                                 const char *where, const char *text,
                                 size_t size_bytes,
                                 csp_described_request_t *request,
                                 csp_faults_t *faults);

/* Print each rule down to the one that decides with the reason why it does
   not hold, and the decision.  */
void csp_print_explanation (const csp_declaration_t *declaration,
                            const csp_request_facts_t *facts, FILE *stream);

/* Print what differs, one line a value or member; returns the number of
   values that differ.  Comments and layout do not count.  */
size_t csp_print_difference (const csp_declaration_t *before,
                             const csp_declaration_t *after, FILE *stream);

/* Print {"values": {KEY: VALUE, ...}}, sorted by key, for the platform.  */
void csp_print_bundle (const csp_declaration_t *declaration, FILE *stream);

#endif
