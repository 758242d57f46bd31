#ifndef COWSLIPSPOKE_FAULTS_H
#define COWSLIPSPOKE_FAULTS_H

#include <stddef.h>
#include <stdio.h>

/* Faults found in what people wrote: settings and declarations.  A reader
   goes on after a fault, so that one run shows all of them.  */
typedef struct csp_faults csp_faults_t;

/* One fault.  where is the file or the key, path the path inside it such as
   "limits.max_waiting" ("" for the whole), line the line or 0, and text names
   the value found and what is allowed.  */
typedef struct
{
  char *where;
  char *path;
  char *text;
  int line;
} csp_fault_t;

enum
{
  /* More than this are counted and not kept.  */
  CSP_FAULTS_KEPT = 1000
};

/* An empty list.  */
csp_faults_t *csp_create_faults (void);
void csp_destroy_faults (csp_faults_t *faults);

/* Add a fault; text is a printf format.  faults may be NULL: then the fault
   is dropped.  */
void csp_add_fault (csp_faults_t *faults, const char *where, const char *path,
                    int line, const char *text, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Number of faults found, also of those that were not kept.  */
size_t csp_count_faults (const csp_faults_t *faults);

/* The fault at an index below the smaller of the count and CSP_FAULTS_KEPT.
   It belongs to the list.  */
const csp_fault_t *csp_get_fault (const csp_faults_t *faults, size_t index);

/* Print all faults, one a line: "WHERE:LINE: PATH: TEXT".  */
void csp_print_faults (const csp_faults_t *faults, FILE *stream);

#endif
