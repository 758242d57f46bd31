#ifndef COWSLIPSPOKE_PEER_CODEC_IMP_H
#define COWSLIPSPOKE_PEER_CODEC_IMP_H

#include "cowslipspoke/peer.h"
#include "peer/peer.pb-c.h"

/* The heartbeat's part of the codec.  The arrays of a frame being encoded
   live in a scratch that the encoder owns.  */
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

/* Copy a text of the wire into a field; false when it does not fit.  */
bool csp_read_wire_text (char *field, size_t room_bytes, const char *text);

#endif
