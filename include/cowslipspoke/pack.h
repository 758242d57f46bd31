#ifndef COWSLIPSPOKE_PACK_H
#define COWSLIPSPOKE_PACK_H

#include "cowslipspoke/buffer.h"

#include <stdbool.h>
#include <stddef.h>

/* Compression of lists that are sent to many hosts.

   Load pattern: each host holds the list of all 3,000 targets, which start
   and stop often.  A row is 250 bytes, nine tenths of which are the same in
   every row. Uncompressed, the first host of a data centre sends 2.7 MB of
   changes a second to the others there, and a host that starts on a link of 10
   Mbit/s waits 1.2 s for the list before it can send requests.  The symptom is
   hosts whose other work is late whenever many targets change.  */

/* The content type of compressed data.  */
extern const char csp_compressed_content_type[];

/* Compress bytes and append the result to packed.  False when out of
   memory.  */
bool csp_compress_bytes (const void *bytes, size_t size_bytes,
                         csp_buffer_t *packed);

/* Decompress packed and append the result to bytes.  False if the input is
   invalid, the result exceeds max_bytes, or memory runs out.  */
bool csp_decompress_bytes (const void *packed, size_t size_bytes,
                           size_t max_bytes, csp_buffer_t *bytes);

#endif
