#ifndef COWSLIPSPOKE_WATCH_H
#define COWSLIPSPOKE_WATCH_H

#include "cowslipspoke/random.h"

#include <stdbool.h>
#include <stdint.h>

/* Following a key prefix of a store that can be listed by pages and watched
   from a revision: which call comes next, and when, after each outcome.  No
   input or output of its own; an adapter makes the calls and hands over what
   they bring.

   Load pattern: all hosts of a fleet start at once, and each lists the store.
   Lists that may be some seconds old cost a store next to nothing, so the
   first list is such a one, and a watch that doesn't wait tells at once what
   has changed since.  */

/*
   Failures it answers: a store that is away, slow or refuses some hosts (the
   hosts must not ask all at once when it is back), history that is gone
   (list anew), and a watch whose connection went silent (nothing tells, so
   every watch is short enough to be missed in time).  */

enum
{
  CSP_WATCH_KEY_BYTES = 201
};

/* How long a source may hold a watch, and how much later its answer must be
   here.  Their sum is how long a silent connection goes unseen.  The last
   pause is how long the source's return may go unseen.  */
typedef struct
{
  uint32_t wait_ms;
  uint32_t slack_ms;
  uint32_t pause_last_ms; /* between calls that fail one after another */
  uint32_t gap_ms;        /* between watches that are answered */
} csp_watch_policy_t;

typedef enum
{
  CSP_WATCH_LIST,  /* a page of what is there */
  CSP_WATCH_FOLLOW /* what changed behind a revision; waits for a change */
} csp_watch_kind_t;

/* The next call.  */
typedef struct
{
  csp_watch_kind_t kind;
  bool first_page;
  bool stale_ok;                       /* a list of some seconds ago will do */
  char after_key[CSP_WATCH_KEY_BYTES]; /* "" on the first page */
  int64_t after_revision;
  uint32_t wait_ms;    /* how long the store may hold a watch */
  uint32_t timeout_ms; /* after which the call counts as lost */
  uint32_t pause_ms;   /* to let pass before it */
} csp_watch_call_t;

typedef enum
{
  CSP_WATCH_UNANSWERED, /* unreachable, closed, reset, silent or malformed */
  CSP_WATCH_REFUSED,    /* answered with an error */
  CSP_WATCH_COMPACTED   /* the history behind the revision is gone */
} csp_watch_failure_t;

typedef struct
{
  csp_watch_kind_t kind;
  bool first_page;
  bool stale_ok;
  bool confirms; /* the next watch tells whether a stale list is current */
  char after_key[CSP_WATCH_KEY_BYTES];
  csp_watch_policy_t policy;
  int64_t revision;
  uint32_t failures; /* in a row */
  csp_random_t random;
} csp_watch_t;

/* after: all up to this revision is known already; 0: nothing is.  */
void csp_open_watch (csp_watch_t *watch, const csp_watch_policy_t *policy,
                     int64_t after, uint64_t seed);

/* The call to make next.  */
csp_watch_call_t csp_next_watch_call (csp_watch_t *watch);

/* A page came; the list was current as of a revision.  last_key is that of
   its last item.  */
void csp_note_watch_page (csp_watch_t *watch, int64_t as_of, bool has_more,
                          const char *last_key);

/* A watch was answered.  */
void csp_note_watch_changes (csp_watch_t *watch, int64_t as_of);
void csp_note_watch_failure (csp_watch_t *watch, csp_watch_failure_t failure);

/* Whether the store counts as away: calls fail one after another.  */
bool csp_watch_is_away (const csp_watch_t *watch);

#endif
