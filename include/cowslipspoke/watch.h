#ifndef COWSLIPSPOKE_WATCH_H
#define COWSLIPSPOKE_WATCH_H

#include "cowslipspoke/random.h"

#include <stdbool.h>
#include <stdint.h>

/* Follows a key prefix of a store that can be listed in pages and watched from
   a revision: decides which call to make next, and when, after each outcome.
   Does no input or output; an adapter makes the calls and reports outcomes.

   Load pattern: all hosts of a fleet start at once, and each lists the store.
   Lists that may be some seconds old cost a store next to nothing, so the
   first list is such a stale one, and a watch that doesn't wait then returns
   what has changed since.  */

/* Failures handled: a store that is unreachable, slow or refuses some hosts
   (hosts must not all retry at once when it is back), compacted history (list
   anew), and a watch whose connection went silent (nothing reports that, so
   each watch is short and soon counts as lost).  */

enum
{
  CSP_WATCH_KEY_BYTES = 201
};

/* A silent connection goes unnoticed for the sum of the first two values, the
   store's return for at most the maximum backoff.  */
typedef struct
{
  uint32_t wait_ms;         /* how long the store may hold a watch */
  uint32_t answer_grace_ms; /* how much later its answer counts as lost */
  uint32_t max_backoff_ms;  /* maximum backoff between failed calls */
  uint32_t gap_ms;          /* between watches that are answered */
} csp_watch_policy_t;

typedef enum
{
  CSP_WATCH_LIST,  /* a page of the current items */
  CSP_WATCH_FOLLOW /* the changes after a revision; waits for one */
} csp_watch_kind_t;

/* The next call.  */
typedef struct
{
  csp_watch_kind_t kind;
  bool first_page;
  bool stale_ok;                       /* a list may be some seconds old */
  char after_key[CSP_WATCH_KEY_BYTES]; /* "" on the first page */
  int64_t after_revision;
  uint32_t wait_ms;    /* how long the store may hold a watch */
  uint32_t timeout_ms; /* after which the call counts as lost */
  uint32_t delay_ms;   /* before the call is made */
} csp_watch_call_t;

typedef enum
{
  CSP_WATCH_UNANSWERED, /* unreachable, closed, reset, silent or malformed */
  CSP_WATCH_REFUSED,    /* answered with an error */
  CSP_WATCH_COMPACTED   /* the history after the revision is gone */
} csp_watch_failure_t;

typedef struct
{
  csp_watch_kind_t kind;
  bool first_page;
  bool stale_ok;
  bool confirms_list; /* the next watch brings a stale list up to date */
  char after_key[CSP_WATCH_KEY_BYTES];
  csp_watch_policy_t policy;
  int64_t revision;
  uint32_t failures; /* in a row */
  csp_random_t random;
} csp_watch_t;

/* after: the revision up to which all changes are already known; 0: none.  */
void csp_init_watch (csp_watch_t *watch, const csp_watch_policy_t *policy,
                     int64_t after, uint64_t seed);

/* The call to make next.  */
csp_watch_call_t csp_next_watch_call (csp_watch_t *watch);

/* Record a page of a list that was current as of a revision.  last_key is the
   key of the page's last item.  */
void csp_note_watch_page (csp_watch_t *watch, int64_t as_of, bool has_more,
                          const char *last_key);

/* Record the answer to a watch, or the failure of a call.  */
void csp_note_watch_changes (csp_watch_t *watch, int64_t as_of);
void csp_note_watch_failure (csp_watch_t *watch, csp_watch_failure_t failure);

/* Whether the store counts as unreachable, as several calls failed in a row.
 */
bool csp_is_watch_unreachable (const csp_watch_t *watch);

#endif
