#ifndef COWSLIPSPOKE_PEER_CODEC_IMP_H
#define COWSLIPSPOKE_PEER_CODEC_IMP_H

#include "cowslipspoke/peer.h"
#include "peer/peer.pb-c.h"

/* Codec of heartbeats.  The scratch holds the arrays that a heartbeat points
   to while it is encoded; the encoder owns it.  */
typedef struct
{
  CspWire__Heartbeat heartbeat;
  CspWire__Suspect suspects[CSP_MAX_SUSPECTS];
  CspWire__Suspect *suspect_list[CSP_MAX_SUSPECTS];
  CspWire__Summary summaries[CSP_MAX_SUMMARIES];
  CspWire__Summary *summary_list[CSP_MAX_SUMMARIES];
  CspWire__BestHost best[CSP_MAX_SUMMARIES][CSP_SUMMARY_HOSTS];
  CspWire__BestHost *best_list[CSP_MAX_SUMMARIES][CSP_SUMMARY_HOSTS];
} csp_heartbeat_scratch_t;

void csp_pack_heartbeat (const csp_heartbeat_t *heartbeat,
                         csp_heartbeat_scratch_t *scratch);
bool csp_unpack_heartbeat (const CspWire__Heartbeat *wire,
                           csp_heartbeat_t *heartbeat);

/* Copy a received string into a field of fixed size; false if it doesn't
   fit.  */
bool csp_copy_wire_text (char *field, size_t field_bytes, const char *text);

#endif
