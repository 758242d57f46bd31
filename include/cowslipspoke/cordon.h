#ifndef COWSLIPSPOKE_CORDON_H
#define COWSLIPSPOKE_CORDON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Data centres that operators have cordoned: nothing new is sent to their
   targets until the cordon is lifted, and what runs there ends there.

   Failure: operators empty a data centre for work on its power.  A host that
   doesn't know goes on sending there, and each of its requests is lost when
   the power goes; one notices answers that break off together, on some hosts
   only, seconds after the data centre was to be empty.  So the operators' word
   comes with the list of targets, by the same way and with the same age, and
   is looked at once more where a request is sent.  */

enum
{
  CSP_CORDON_NAME_BYTES = 64
};

typedef struct
{
  char data_centre[CSP_CORDON_NAME_BYTES];
  int64_t since_ms; /* when this host heard of it */
} csp_cordon_t;

typedef enum
{
  CSP_CORDON_CHANGED,
  CSP_CORDON_AS_BEFORE,
  CSP_CORDON_NO_NAME, /* no data centre can have this name */
  CSP_CORDON_NO_MEMORY
} csp_cordon_result_t;

typedef struct csp_cordons csp_cordons_t;

csp_cordons_t *csp_create_cordons (void);
void csp_destroy_cordons (csp_cordons_t *cordons);

/* Cordon a data centre, or lift its cordon.  */
csp_cordon_result_t csp_set_cordon (csp_cordons_t *cordons,
                                    const char *data_centre, bool cordoned,
                                    int64_t now_ms);

/* The cordon of a data centre; NULL where there is none.  */
const csp_cordon_t *csp_find_cordon (const csp_cordons_t *cordons,
                                     const char *data_centre);

size_t csp_count_cordons (const csp_cordons_t *cordons);
const csp_cordon_t *csp_cordon_at (const csp_cordons_t *cordons, size_t index);

#endif
