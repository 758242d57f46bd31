#ifndef COWSLIPSPOKE_RATE_LIMIT_H
#define COWSLIPSPOKE_RATE_LIMIT_H

#include "cowslipspoke/retry-lease.h"

#include <stdbool.h>
#include <stdint.h>

/* Rate limit that a target states in its answers: the requests per second that
   it takes from all hosts together, for as long as its answers say so.

   Load pattern: a target short of capacity takes 3.5 requests a second from
   all hosts, and nine hosts send it 10.  If each host kept the limit by
   itself, the target would get nine times as many; an even share of it is one
   request in 160 s at 584 hosts, of no use to a host that has one to send.

   So the decider grants single requests from a token bucket, and a host sends
   a request to a limited target only with a grant, which it uses at once or
   not at all.  A host that is refused is told when to ask again; until then
   its requests go to other targets, or are rejected if there are none.  During
   a partition there can be two deciders, and each grants only its part of the
   limit; a new decider starts with an empty bucket, after the grants of its
   predecessor have expired.

   Only the host that got an answer reads it, so hosts report limits to each
   other.  Reports may be lost, and an old one may arrive after a newer one.
   A successful answer that states no limit ends it, but only if its request
   was sent after the newest answer with a limit had arrived; otherwise the
   target may have written it first.  */

enum
{
  /* A grant may be used for this long after the host has asked for it.  A busy
     host or a congested link can take some tenths of a second; a host that was
     paused must not use it.  */
  CSP_RATE_GRANT_MS = 500,
  /* Any larger limit is as good as none, and is reduced to it.  */
  CSP_RATE_MAX_PER_S = 1000000
};

/* What one answer of a target says, as hosts report it to each other.  */
typedef struct
{
  bool ended;       /* the answer states no limit */
  double max_per_s; /* unless ended */
  /* Time since the answer arrived or, if ended, since its request was sent. */
  uint32_t age_ms;
} csp_rate_report_t;

/* What a host knows of a target's limit; a plain value, 0 at first.  */
typedef struct
{
  bool limited;
  bool bad_logged; /* an unreadable value was logged */
  double max_per_s;
  double logged_per_s;
  int64_t stated_ms;   /* when the newest answer with a limit arrived */
  int64_t ended_ms;    /* when the newest request was sent whose answer has no
                          limit */
  int64_t changed_ms;  /* when a limit last began or ended here; 0: never */
  int64_t next_ask_ms; /* this host doesn't ask for a grant before */
  /* The decider's token bucket.  Hosts that were told when to ask again wait
     in turn.  */
  double tokens;
  double waiting;
  int64_t filled_ms;
  int64_t decides_since_ms;
} csp_rate_limit_t;

typedef enum
{
  CSP_RATE_UNCHANGED,
  CSP_RATE_BEGAN,
  CSP_RATE_CHANGED, /* the limit has another value */
  CSP_RATE_ENDED
} csp_rate_change_t;

/* Reads a decimal number of requests per second.  Returns false if the value
   is anything else.  */
bool csp_parse_rate (const char *value, double *max_per_s);

/* Applies a report, of this host's own answer or of another host's.  */
csp_rate_change_t csp_note_rate_report (csp_rate_limit_t *limit,
                                        const csp_rate_report_t *report,
                                        int64_t now_ms);

/* Returns what this host knows, to be reported to another host.  */
csp_rate_report_t csp_make_rate_report (const csp_rate_limit_t *limit,
                                        int64_t now_ms);

/* Whether this host, as the decider, may grant a request now; true if there is
   no limit.  */
bool csp_has_rate_grant (csp_rate_limit_t *limit,
                         const csp_decider_role_t *role, int64_t now_ms);

/* Grants a request, or returns false and sets the time after which to ask
   again.  */
bool csp_take_rate_grant (csp_rate_limit_t *limit,
                          const csp_decider_role_t *role, int64_t now_ms,
                          uint32_t *wait_ms);

/* Counts a request that was sent without a grant.  */
void csp_charge_rate_limit (csp_rate_limit_t *limit,
                            const csp_decider_role_t *role, int64_t now_ms);

/* Whether this host may ask the decider for a grant, and that it was refused
   one.  */
bool csp_may_ask_rate_grant (const csp_rate_limit_t *limit, int64_t now_ms);
void csp_note_rate_refusal (csp_rate_limit_t *limit, uint32_t wait_ms,
                            int64_t now_ms);

/* Whether a grant that was asked for at asked_ms may still be used.  */
bool csp_is_rate_grant_valid (int64_t asked_ms, int64_t now_ms);

#endif
