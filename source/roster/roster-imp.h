#ifndef CSP_ROSTER_IMP_H
#define CSP_ROSTER_IMP_H

#include "cowslipspoke/roster.h"

/* Parts of the roster:

     roster.c        the table: hearing hosts, letting go of silent ones, loads
     roster-greet.c  whom to greet, and which hosts to name to it
     roster-rank.c   which host does what for the others  */

typedef struct
{
  csp_peer_address_t address;
  uint64_t boot;
  uint64_t sequence;
  bool live;    /* heard of lately, by whatever way */
  bool current; /* so lately that it may do something for others */
  bool leaving;
  bool blind;
  bool sighted;
  uint32_t data_centre;
  uint32_t capacity;
  int64_t started_ms;
  int64_t heard_ms;       /* its own last datagram; 0: none */
  int64_t seen_ms;        /* its last word, by whatever way; 0: none */
  int64_t greeted_ms;     /* 0: never */
  uint32_t unanswered;    /* greetings in a row */
  int64_t avoid_until_ms; /* it doesn't decide before */
  bool asks_here;         /* for places, when it last said whom it asks */
  int64_t loads_ms;       /* when it last told loads */
  size_t load_count;
  size_t load_room;
  csp_peer_load_t *loads;
} csp_roster_peer_t;

struct csp_roster
{
  csp_peer_address_t self;
  uint64_t boot;
  uint32_t data_centre;
  uint32_t capacity;
  int64_t started_ms;
  bool leaving;
  bool blind;
  bool sighted;
  int64_t now_ms; /* of the last call that said so */
  int64_t greet_near_at_ms;
  int64_t greet_far_at_ms;
  csp_random_t random;
  size_t count;
  size_t room;
  csp_roster_peer_t *peers;
};

/* NULL where it isn't known.  */
csp_roster_peer_t *csp_find_roster_peer (const csp_roster_t *roster,
                                         csp_peer_address_t address);

/* A time since a start as hosts tell it.  */
uint32_t csp_told_up_ms (int64_t up_ms);

/* What orders of hosts look at, of this host and of others.  */
typedef struct
{
  csp_peer_address_t address;
  uint32_t data_centre;
  uint32_t capacity;
  int64_t up_ms;
  bool blind;
  bool sighted;
  bool avoided;
} csp_candidate_t;

/* Candidate number index of those who may do something for others: 0 is this
   host, the rest are peers.  False where there is none of that number, or
   where it can't.  */
bool csp_get_candidate (const csp_roster_t *roster, size_t index,
                        csp_candidate_t *candidate);

/* The ones that rank first for a duty, best first.  */
typedef enum
{
  CSP_DUTY_DECIDE,
  CSP_DUTY_READ, /* the store, for all */
  CSP_DUTY_RELAY /* what another host has read, to a data centre */
} csp_duty_t;

enum
{
  CSP_RANKED_MAX = 4
};

/* near: of this data centre alone.  Returns how many were written.  */
size_t csp_rank_hosts (const csp_roster_t *roster, csp_duty_t duty, bool near,
                       csp_candidate_t *ranked, size_t room);

#endif
