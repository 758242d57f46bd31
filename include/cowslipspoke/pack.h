#ifndef COWSLIPSPOKE_PACK_H
#define COWSLIPSPOKE_PACK_H

#include "cowslipspoke/buffer.h"

#include <stdbool.h>
#include <stddef.h>

/* Texts that go to many hosts, in fewer bytes.

   Load pattern: 3,000 targets that come and go, and hosts that each hold the
   list of all of them.  A row is 250 bytes, nine tenths of which stand in each
   other row too; the first host of a data centre sends its changes to all
   others there, 2.7 MB a second, and a host that starts on a link of 10 Mbit/s
   waits for 1.2 s until it knows whom it may send to.  One notices hosts that
   are late with everything else as soon as targets change in number.  */

/* The content type of what is packed.  */
extern const char csp_packed_type[];

/* Append what the bytes pack into; false when memory fails.  */
bool csp_pack_bytes (const void *bytes, size_t size_bytes,
                     csp_buffer_t *packed);

/* Append what was packed; false where the bytes are none that were, would
   exceed a bound, or memory fails.  */
bool csp_unpack_bytes (const void *packed, size_t size_bytes,
                       size_t most_bytes, csp_buffer_t *bytes);

#endif
