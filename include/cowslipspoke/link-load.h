#ifndef COWSLIPSPOKE_LINK_LOAD_H
#define COWSLIPSPOKE_LINK_LOAD_H

#include "cowslipspoke/link.h"

#include <stdbool.h>
#include <stdint.h>

/* How much of this host's network link its connections use, each way, and
   whether it carries another stream.

   Load pattern: most callers of a data centre come to one host.  The fleet has
   room for their streams, but the host's link doesn't: their events queue in
   front of it, and whatever the host sends or hears waits behind them.  Short
   answers need a small part of the link, and callers that are refused are
   served by other hosts, so long streams are bounded, and by what the streams
   under way leave of the link.  */

enum
{
  /* IP, TCP and its time stamps, Ethernet.  */
  CSP_PACKET_HEADER_BYTES = 66
};

typedef struct csp_link_load csp_link_load_t;

/* capacity_bytes_per_s: of the link, each way; 0: unknown, and streams
   aren't bounded.  NULL when out of memory.  */
csp_link_load_t *csp_create_link_load (uint64_t capacity_bytes_per_s);
void csp_destroy_link_load (csp_link_load_t *load);

/* Records what all connections have carried so far.  Call it some times a
   second.  */
void csp_sample_link_load (csp_link_load_t *load,
                           const csp_stream_counts_t *counts, int64_t now_ms);

/* Bytes a second of the last second, with the headers of packets.  */
uint64_t csp_get_sent_bytes_per_s (const csp_link_load_t *load);
uint64_t csp_get_received_bytes_per_s (const csp_link_load_t *load);

/* Whether the link is full: from 98 % in use until it is below 85 %, as of the
   last sample.  Other hosts should get the new callers then.  */
bool csp_is_link_full (const csp_link_load_t *load);

/* Records the mean rate of the long streams that are under way.  */
void csp_note_stream_rate (csp_link_load_t *load, uint64_t bytes_per_s);

/* Whether the link carries another long stream.  If so, its rate counts as
   used until it is released: when the stream shows in the rates above, or has
   ended.  */
bool csp_reserve_stream (csp_link_load_t *load);
void csp_release_stream (csp_link_load_t *load);

#endif
