#ifndef COWSLIPSPOKE_LINK_IMP_H
#define COWSLIPSPOKE_LINK_IMP_H

#include "cowslipspoke/link.h"

/* The time by the clock of the loop's counts; 0 without them.  */
int64_t csp_stream_now_ms (const uv_loop_t *loop);

/* Counts a link that was opened.  */
void csp_count_connect (const uv_loop_t *loop, int64_t took_ms);

#endif
