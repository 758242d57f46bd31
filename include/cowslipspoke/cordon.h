#ifndef COWSLIPSPOKE_CORDON_H
#define COWSLIPSPOKE_CORDON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Data centres that operators have cordoned.  No new requests are sent to
   their targets until the cordon is lifted; running requests finish there.

   Failure: operators drain a data centre before work on its power supply.  A
   host that hasn't received the cordon keeps sending requests there, which
   are lost when the power goes off: seconds after the drain, answers of some
   hosts break off together.  So cordons are distributed along with the list of
   targets and are as fresh as the list, and they are checked again just before
   a request is sent.  */

enum
{
  CSP_CORDON_NAME_BYTES = 64
};

typedef struct
{
  char data_centre[CSP_CORDON_NAME_BYTES];
  int64_t since_ms; /* when this host received it */
} csp_cordon_t;

typedef enum
{
  CSP_CORDON_CHANGED,
  CSP_CORDON_UNCHANGED,
  CSP_CORDON_INVALID_NAME, /* empty or too long for a data centre's name */
  CSP_CORDON_NO_MEMORY
} csp_cordon_result_t;

typedef struct csp_cordons csp_cordons_t;

csp_cordons_t *csp_create_cordons (void);
void csp_destroy_cordons (csp_cordons_t *cordons);

/* Cordons a data centre, or lifts its cordon.  */
csp_cordon_result_t csp_set_cordon (csp_cordons_t *cordons,
                                    const char *data_centre, bool cordoned,
                                    int64_t now_ms);

/* Returns the cordon of a data centre; NULL if it isn't cordoned.  */
const csp_cordon_t *csp_find_cordon (const csp_cordons_t *cordons,
                                     const char *data_centre);

size_t csp_count_cordons (const csp_cordons_t *cordons);
const csp_cordon_t *csp_cordon_at (const csp_cordons_t *cordons, size_t index);

#endif
