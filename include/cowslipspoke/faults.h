#ifndef COWSLIPSPOKE_FAULTS_H
#define COWSLIPSPOKE_FAULTS_H

#include <stddef.h>
#include <stdio.h>

/* Errors found in settings and declarations.  Readers continue after an error,
   so that one run reports all of them.  */
typedef struct csp_faults csp_faults_t;

/* One fault.  where is the file or the key, path the path inside it such as
   "limits.max_waiting" ("" for the whole), line the line or 0, and text names
   the value found and the allowed values.  */
typedef struct
{
  char *where;
  char *path;
  char *text;
  int line;
} csp_fault_t;

enum
{
  /* Faults beyond this are counted but not stored.  */
  CSP_FAULTS_KEPT = 1000
};

/* Creates an empty list.  */
csp_faults_t *csp_create_faults (void);
void csp_destroy_faults (csp_faults_t *faults);

/* Adds a fault; text is a printf format.  If faults is NULL the fault is
   dropped.  */
void csp_add_fault (csp_faults_t *faults, const char *where, const char *path,
                    int line, const char *text, ...)
    __attribute__ ((format (printf, 5, 6)));

/* The number of faults, including those that weren't stored.  */
size_t csp_count_faults (const csp_faults_t *faults);

/* The fault at an index below the smaller of the count and CSP_FAULTS_KEPT.
   The list owns it.  */
const csp_fault_t *csp_get_fault (const csp_faults_t *faults, size_t index);

/* Prints the stored faults, one per line: "WHERE:LINE: PATH: TEXT".  */
void csp_print_faults (const csp_faults_t *faults, FILE *stream);

#endif
