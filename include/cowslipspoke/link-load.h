#ifndef COWSLIPSPOKE_LINK_LOAD_H
#define COWSLIPSPOKE_LINK_LOAD_H

#include "cowslipspoke/link.h"

#include <stdint.h>

/* How much of this host's network link its connections use, each way.  */

typedef struct csp_link_load csp_link_load_t;

/* NULL when out of memory.  */
csp_link_load_t *csp_create_link_load (void);
void csp_destroy_link_load (csp_link_load_t *load);

/* Records what all connections have carried so far.  Call it some times a
   second.  */
void csp_sample_link_load (csp_link_load_t *load,
                           const csp_stream_counts_t *counts, int64_t now_ms);

/* Bytes a second of the last second, with the headers of packets.  */
uint64_t csp_get_sent_rate (const csp_link_load_t *load);
uint64_t csp_get_received_rate (const csp_link_load_t *load);

#endif
