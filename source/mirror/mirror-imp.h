#ifndef CSP_MIRROR_IMP_H
#define CSP_MIRROR_IMP_H

#include "cowslipspoke/mirror.h"

enum
{
  /* Followers that one host serves at most, besides the first hosts of other
     data centres.  */
  CSP_MIRROR_FOLLOWERS_MAX = 256,
  /* Hosts named in a redirect.  */
  CSP_MIRROR_REDIRECT_HOSTS_MAX = 16
};

/* The number of followers that a host may serve: as many as fit into a tenth
   of its link.  Each hop between a host and the store delays a notice by some
   ten milliseconds, which generations that must move off a leaving target
   need: with five followers per host, the slowest hundredth of 295 hosts got
   notices 52 ms after the first host (15 ms when all followed one host), and
   2 in 100 more generations were late.  */
size_t csp_compute_follower_limit (uint64_t link_bytes_per_s,
                                   uint64_t follower_bytes_per_s);

/* Set what one follower costs until it has been measured.  */
void csp_set_follower_cost (csp_mirror_server_t *server, uint64_t bytes_per_s);

/* Path and start of the query by which a host requests another's mirror.  */
extern const char csp_mirror_path[];

/* Whether a host is among those that recently failed as upstream.  */
bool csp_is_failed_upstream (const csp_failed_upstreams_t *failed,
                             csp_peer_address_t host);

/* Hosts that follow this one, with the time of their last request.  */
typedef struct
{
  size_t count;
  struct
  {
    uint64_t host; /* see csp_pack_peer */
    uint64_t last_asked_ms;
  } hosts[CSP_MIRROR_FOLLOWERS_MAX];
} csp_mirror_followers_t;

/* Whether a host may follow this one, given the maximum; records its request.
   A follower that stops asking is dropped after a while.  */
bool csp_admit_follower (csp_mirror_followers_t *followers, uint64_t host,
                         size_t max_followers, uint64_t now_ms);

/* Write a redirect that names some of the followers.  */
void csp_encode_redirect (const csp_mirror_followers_t *followers,
                          csp_buffer_t *text);

#endif
