#ifndef CSP_ROSTER_IMP_H
#define CSP_ROSTER_IMP_H

#include "cowslipspoke/roster.h"

/* Parts of the roster:

     roster.c        the table of hosts: received hellos, expiry, loads
     roster-greet.c  which hosts get a hello, and which are named in it
     roster-rank.c   which host performs which duty for the others
     roster-relay.c  which host serves requests that this one can't  */

typedef struct
{
  csp_peer_address_t address;
  uint64_t boot;
  uint64_t sequence;
  bool live;    /* reported lately, directly or through others */
  bool current; /* reported so lately that it may perform a duty */
  bool leaving;
  bool platform_unreachable;
  bool platform_read;
  uint32_t data_centre;
  uint32_t capacity;
  int64_t started_ms;
  int64_t last_hello_ms;  /* its last own datagram; 0: none */
  int64_t last_report_ms; /* the last report of it, direct or through others;
                             0: none */
  int64_t hello_sent_ms;  /* last hello sent to it; 0: never */
  uint32_t unanswered_hellos; /* consecutive hellos without an answer */
  int64_t avoid_until_ms;     /* not chosen as decider before */
  uint16_t relay_port;        /* 0: unknown */
  size_t unreached_count;
  uint32_t unreached[CSP_HELLO_UNREACHED_MAX];
  int64_t relay_avoided_until_ms;
  /* Services for which it refused offers, as it doesn't reach them.  */
  struct
  {
    uint32_t service;
    int64_t until_ms;
  } refused[CSP_HELLO_UNREACHED_MAX];
  uint32_t unanswered_offers; /* consecutive offers to relay */
  bool uses_this_decider;     /* its last hello that named a decider named this
                                 host */
  int64_t loads_reported_ms;  /* when it last reported loads */
  size_t load_count;
  size_t loads_allocated;
  csp_peer_load_t *loads;
} csp_roster_peer_t;

enum
{
  CSP_NAMED_MAX = 16
};

/* The hosts that rank first for some duty and are named in each hello.  */
typedef struct
{
  size_t count;
  csp_peer_address_t hosts[CSP_NAMED_MAX];
  int64_t valid_until_ms; /* then they are ranked anew */
} csp_named_hosts_t;

struct csp_roster
{
  csp_peer_address_t self;
  uint64_t boot;
  uint32_t data_centre;
  uint32_t capacity;
  int64_t started_ms;
  bool leaving;
  bool platform_unreachable;
  bool platform_read;
  int64_t now_ms; /* as of the last call with a time */
  int64_t next_local_hello_ms;
  int64_t next_remote_hello_ms;
  csp_random_t random;
  csp_named_hosts_t named;
  uint64_t refused; /* additions of hosts to the full table */
  size_t count;
  size_t peers_allocated;
  csp_roster_peer_t *peers;
};

/* Returns NULL if the address is unknown.  */
csp_roster_peer_t *csp_find_roster_peer (const csp_roster_t *roster,
                                         csp_peer_address_t address);

/* Clamps an uptime to the range that hosts report.  */
uint32_t csp_clamp_up_ms (int64_t up_ms);

/* The properties by which hosts are ranked, for this host and for peers.  */
typedef struct
{
  csp_peer_address_t address;
  uint32_t data_centre;
  uint32_t capacity;
  int64_t up_ms;
  bool platform_unreachable;
  bool platform_read;
  bool avoided;
} csp_rank_candidate_t;

/* Returns the host with this index as a candidate: 0 is this host, the rest
   are peers.  False if the host may perform no duty, as it is leaving or
   silent.  */
bool csp_get_rank_candidate (const csp_roster_t *roster, size_t index,
                             csp_rank_candidate_t *candidate);

/* Duties of hosts that rank first, best first.  */
typedef enum
{
  CSP_DUTY_DECIDE,
  CSP_DUTY_READ, /* read the store, for all hosts */
  CSP_DUTY_RELAY /* relay what another host has read, within a data centre */
} csp_duty_t;

enum
{
  CSP_RANKED_MAX = 4
};

/* Ranks the hosts for a duty.  local_only: only hosts of this data centre.
   Returns how many were written.  */
size_t csp_rank_hosts (const csp_roster_t *roster, csp_duty_t duty,
                       bool local_only, csp_rank_candidate_t *ranked,
                       size_t max_count);

#endif
