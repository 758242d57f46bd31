#ifndef COWSLIPSPOKE_CONTROL_H
#define COWSLIPSPOKE_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "cowslipspoke/context.h"
#include "cowslipspoke/declaration.h"
#include "cowslipspoke/engine.h"
#include "cowslipspoke/once.h"
#include "cowslipspoke/verdict.h"

/* The control thread owns all state of the decisions: who is alive, which
   configuration is in force, who waits, what is in flight where.  Traffic
   threads send it commands and read snapshots; they never take its locks.  */
typedef struct csp_control csp_control_t;

enum
{
  CSP_REQUEST_ID_BYTES = 40,
  CSP_TRIED_MAX = 4
};

/* A snapshot of what traffic threads read.  It is counted: it lives until the
   last of them has put it back, however long its request runs.  */
typedef struct csp_view csp_view_t;

/* The view in force.  */
csp_view_t *csp_take_view (csp_control_t *control);

/* Give a view back; NULL is allowed.  */
void csp_put_view (csp_view_t *view);

/* The declaration of a view; NULL while there is no configuration.  */
const csp_declaration_t *csp_view_declaration (const csp_view_t *view);

/* Targets that have failed a request already.  */
typedef struct
{
  char names[CSP_TRIED_MAX][CSP_NAME_BYTES];
  uint32_t count;
} csp_tried_t;

/* What a request asks for when it wants a target.  Texts belong to the
   caller and must live until the call returns.  */
typedef struct
{
  const char *request_id;
  const char *organisation;
  const char *model;
  const char *class_name;
  csp_pool_kind_t kind;
  csp_terms_t terms; /* the rule's word: pool, priority, weight, limits */
  csp_request_facts_t facts;            /* that the rules were asked with */
  const char *rule;                     /* that decided; NULL for none */
  const csp_declaration_t *declaration; /* that the rules are of */
  double lend_below;    /* only while the pool's load is below; 0: not lent */
  const char *spill_to; /* data centre to hand over to; NULL for none */
  uint32_t prompt_tokens;
  uint32_t max_tokens; /* 0: no bound */
  int64_t deadline_ms; /* steady */
  uint64_t prefix;     /* hash of the prompt's beginning; 0: none */
  uint32_t prefix_tokens;
  bool repeatable;            /* running it twice does no harm */
  bool retry;                 /* not the first attempt: needs retry budget */
  csp_verdict_t last_verdict; /* of the attempt before a retry */
  csp_tried_t tried;
  bool (*is_gone) (void *state); /* whether the caller hung up; may be NULL */
  void *gone_state;
} csp_admission_ask_t;

/* A word of the control thread to a traffic thread: this request is taken back
   while it has made nothing.  Counted, since either may be done first.  */
typedef struct csp_recall csp_recall_t;

csp_recall_t *csp_create_recall (void);
csp_recall_t *csp_share_recall (csp_recall_t *recall);
void csp_drop_recall (csp_recall_t *recall);
void csp_set_recalled (csp_recall_t *recall);
bool csp_is_recalled (const csp_recall_t *recall);

/* A place on a target.  recall may be NULL and is dropped by
   csp_release_grant.  */
typedef struct
{
  char target[CSP_NAME_BYTES];
  csp_endpoint_t endpoint;
  uint64_t place; /* of the owner's table */
  char owner[CSP_NAME_BYTES];
  int64_t wait_ms;
  uint8_t priority; /* for the target */
  csp_recall_t *recall;
} csp_grant_t;

/* What a traffic thread says of a target when it gives its place back.  */
typedef struct
{
  csp_link_end_t end;
  bool stopped; /* the target has confirmed that it works on it no more */
  uint64_t tokens;
  uint32_t worst_gap_ms;
} csp_place_outcome_t;

/* Start the control thread, the links to peers and the threads that read the
   platform.  NULL with a message when that fails.  */
csp_control_t *csp_create_control (const csp_context_t *context, char *message,
                                   size_t message_bytes);

/* Say to peers that this host leaves, so that they take its targets over. */
void csp_leave_control (csp_control_t *control);

/* Keyed calls whose outcome some host has not acknowledged yet.  A host that
   exits before leaves repeats of them undecided.  */
uint32_t csp_open_claims (csp_control_t *control);

/* The port that peers reach this host at.  */
uint16_t csp_control_peer_port (const csp_control_t *control);

/* Stop the threads and free everything.  No traffic thread may use the
   control any more.  NULL is allowed.  */
void csp_destroy_control (csp_control_t *control);

/* Whether there is a configuration and a host list to serve on.  */
bool csp_control_ready (csp_control_t *control);

/* Put what a rule decided into an ask; not for one that turns away.  */
void csp_set_terms (csp_admission_ask_t *ask,
                    const csp_rule_outcome_t *outcome);

/* How full a pool is as far as this host can tell, 1.0 when full: the memory
   used of the engines that it owns, and full while requests wait here.  0 for
   a pool that it has nothing of.  Any thread.  */
double csp_find_pool_load (csp_control_t *control, const char *pool);

/* Whether a pool has a target that is listed as live and whose links don't
   fail.  True for a pool that this host doesn't know.  Any thread.  */
bool csp_is_pool_live (csp_control_t *control, const char *pool);

/* Ask for a place and wait for it.  0 with a grant, or -1 with an error; its
   verdict is CSP_VERDICT_NOT_RUN.  */
int csp_ask_admission (csp_control_t *control, const csp_admission_ask_t *ask,
                       csp_grant_t *grant, csp_error_t *error);

/* Ask, immediately before a byte leaves, whether a grant still holds.  A
   thread or host that was paused may believe in one that the owner has given
   to somebody else since.  claim is that of a keyed call, 0 without one.
   False: give the place back and ask anew.  */
bool csp_confirm_grant (csp_control_t *control, const csp_grant_t *grant,
                        uint64_t claim);

/* A call that must not run twice, by its key.  */
typedef struct
{
  csp_once_key_t key;
  int64_t deadline_ms; /* steady */
} csp_once_ask_t;

/* Claim a key and wait until the hosts that could have run it have agreed.  0
   with the claim, which csp_end_claim ends; or -1 with an error, whose verdict
   is that of an earlier attempt where one is known.  */
int csp_claim_run (csp_control_t *control, const csp_once_ask_t *ask,
                   uint64_t *claim, csp_error_t *error);

/* Say what became of a claimed call.  */
void csp_end_claim (csp_control_t *control, uint64_t claim,
                    csp_once_outcome_t outcome);

/* Say how many tokens a stream has made so far; blocked_ms of the time since
   the last word was spent waiting for the caller.  */
void csp_note_progress (csp_control_t *control, const csp_grant_t *grant,
                        uint64_t tokens, int64_t blocked_ms);

/* Give a place back.  */
void csp_release_grant (csp_control_t *control, const csp_grant_t *grant,
                        const csp_place_outcome_t *outcome);

/* The host's state as JSON, for operators.  To be freed by the caller.  */
char *csp_describe_control (csp_control_t *control);

/* This process of the host: its name and when it started, unlike any other
   that ran before at the same address.  */
uint64_t csp_control_incarnation (const csp_control_t *control);

#endif
