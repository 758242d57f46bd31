#ifndef COWSLIPSPOKE_LINK_IMP_H
#define COWSLIPSPOKE_LINK_IMP_H

#include "cowslipspoke/link.h"

/* Counts a link that was opened.  */
void csp_count_connect (const uv_loop_t *loop, uint64_t took_ms);

#endif
