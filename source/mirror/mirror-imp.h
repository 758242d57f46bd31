#ifndef CSP_MIRROR_IMP_H
#define CSP_MIRROR_IMP_H

#include "cowslipspoke/mirror.h"

enum
{
  /* Hosts that one host serves at most, beside first hosts of other data
     centres.  */
  CSP_MIRROR_FOLLOWERS_MAX = 256,
  /* Followers that are named to one that can't be served.  */
  CSP_MIRROR_NAMED_MAX = 16
};

/* How many hosts one host serves, by what its link carries and by what one
   follower costs.  Each step between a host and the store costs a notice some
   ten milliseconds, and texts that leave a target need each of them: with five
   followers each, notices came 52 ms later to the last hundredth of 295 hosts
   than to the first, 15 ms with all at one, and 2 in 100 texts more came late.
   So a host serves all it can in a tenth of its link.  */
size_t csp_limit_followers (uint64_t link_bytes_per_s,
                            uint64_t follower_bytes_per_s);

/* What one follower costs, in bytes a second, where it isn't counted yet.  */
void csp_note_follower_cost (csp_mirror_server_t *server,
                             uint64_t bytes_per_s);

/* What one host asks another for its mirror, up to the numbers.  */
extern const char csp_mirror_path[];

/* Whether a host could not be followed a moment ago.  */
bool csp_is_failed_upstream (const csp_failed_upstreams_t *failed,
                             csp_peer_address_t host);

/* Hosts that follow this one, as they last asked.  */
typedef struct
{
  size_t count;
  struct
  {
    uint64_t host; /* see csp_pack_peer */
    uint64_t asked_ms;
  } hosts[CSP_MIRROR_FOLLOWERS_MAX];
} csp_mirror_followers_t;

/* Whether a host may follow where so many may, and note that it asked; one
   that doesn't ask any more gives its place free.  */
bool csp_admit_follower (csp_mirror_followers_t *followers, uint64_t host,
                         size_t most, uint64_t now_ms);

/* Name some of the followers to a host that may not.  */
void csp_write_elsewhere (const csp_mirror_followers_t *followers,
                          csp_buffer_t *text);

#endif
