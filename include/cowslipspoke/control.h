#ifndef COWSLIPSPOKE_CONTROL_H
#define COWSLIPSPOKE_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include "cowslipspoke/context.h"
#include "cowslipspoke/declaration.h"
#include "cowslipspoke/engine.h"
#include "cowslipspoke/once.h"
#include "cowslipspoke/verdict.h"

/* The control thread owns the state that decisions depend on: which hosts are
   alive, which configuration is in force, which requests wait and which
   streams run on which target.  Traffic threads send it commands and read
   snapshots, without taking locks on that state.  */
typedef struct csp_control csp_control_t;

enum
{
  CSP_REQUEST_ID_BYTES = 40,
  CSP_TRIED_MAX = 4
};

/* A snapshot of the configuration for traffic threads.  It is
   reference-counted and freed when the last thread releases it, so that a long
   request keeps the view that it began with.  */
typedef struct csp_view csp_view_t;

/* The view in force, with a reference that csp_release_view releases; NULL
   while there is none.  */
csp_view_t *csp_acquire_view (csp_control_t *control);

/* Release a reference to a view; NULL is allowed.  */
void csp_release_view (csp_view_t *view);

/* The declaration of a view; NULL while there is no configuration.  */
const csp_declaration_t *csp_view_declaration (const csp_view_t *view);

/* Targets that an earlier attempt of the request has already failed on.  */
typedef struct
{
  char names[CSP_TRIED_MAX][CSP_NAME_BYTES];
  uint32_t count;
} csp_tried_targets_t;

/* A request for admission to a target.  Strings belong to the caller and must
   stay valid until the call returns.  */
typedef struct
{
  const char *request_id;
  const char *organisation;
  const char *model;
  const char *class_name;
  csp_pool_kind_t pool_kind;
  csp_terms_t terms; /* set by the rule: pool, priority, weight, limits */
  csp_request_facts_t facts; /* the input of the rules */
  const char *rule;          /* the rule that matched; NULL for none */
  const csp_declaration_t *declaration; /* to which the rules belong */
  double lend_below;    /* admit only below this pool load; 0: not lent */
  const char *spill_to; /* data centre to hand off to; NULL for none */
  uint32_t prompt_tokens;
  uint32_t max_tokens; /* 0: no bound */
  int64_t deadline_ms; /* steady clock */
  uint64_t prefix;     /* hash of the prompt's beginning; 0: none */
  uint32_t prefix_tokens;
  bool repeatable; /* idempotent */
  bool is_retry;   /* not the first attempt: uses the retry budget */
  csp_verdict_t last_verdict; /* of the attempt before a retry */
  csp_tried_targets_t tried;
  bool (*is_gone) (void *state); /* whether the caller hung up, or NULL */
  void *gone_state;
} csp_admission_ask_t;

/* A flag that the control thread sets when a traffic thread is to withdraw its
   request from the target, if no token has come yet.  Reference-counted, since
   either thread may finish with it first.  */
typedef struct csp_recall csp_recall_t;

csp_recall_t *csp_create_recall (void);
csp_recall_t *csp_ref_recall (csp_recall_t *recall);
void csp_unref_recall (csp_recall_t *recall);
void csp_set_recalled (csp_recall_t *recall);
bool csp_is_recalled (const csp_recall_t *recall);

/* Permission to send one request to a target.  recall may be NULL;
   csp_release_grant releases it.  */
typedef struct
{
  char target[CSP_NAME_BYTES];
  csp_endpoint_t endpoint;
  uint64_t tracking_id; /* of the request in the control thread's table */
  char owner[CSP_NAME_BYTES]; /* host that granted a slot; empty: this one */
  int64_t wait_ms;            /* spent waiting for admission */
  uint8_t priority;           /* to send to the target */
  csp_recall_t *recall;
} csp_grant_t;

/* What a traffic thread reports of a target when it releases its grant.  */
typedef struct
{
  csp_link_end_t end;
  bool stop_confirmed; /* the target has confirmed that it stopped the request
                        */
  uint64_t tokens;
  uint32_t worst_gap_ms;
} csp_grant_outcome_t;

/* Start the control thread, the connections to peers and the threads that
   read the platform's configuration and host list.  NULL with a message on
   failure.  */
csp_control_t *csp_create_control (const csp_context_t *context, char *message,
                                   size_t message_bytes);

/* Announce to peers that this host is leaving, so that they take over its
   targets.  */
void csp_set_control_leaving (csp_control_t *control);

/* The number of keyed calls whose outcome some host has not acknowledged yet.
   If this host exits before that, repeats of them can't be decided.  */
uint32_t csp_count_open_claims (csp_control_t *control);

/* The port on which this host listens for peers.  */
uint16_t csp_control_peer_port (const csp_control_t *control);

/* Stop the threads and free everything.  No traffic thread may still use the
   control.  NULL is allowed.  */
void csp_destroy_control (csp_control_t *control);

/* Whether a configuration and a host list have been received.  */
bool csp_is_control_ready (csp_control_t *control);

/* Copy the terms that a rule decided into an admission request.  Not for a
   rule that turns the request away.  */
void csp_apply_rule_terms (csp_admission_ask_t *ask,
                           const csp_rule_outcome_t *outcome);

/* A pool's load as this host sees it, 1.0 when full: the share of memory used
   on the engines that this host owns, and at least 1.0 while requests wait
   here.  0 for a pool without such targets.  Any thread.  */
double csp_find_pool_load (csp_control_t *control, const char *pool);

/* Whether a pool has a target that is listed as live and isn't avoided after
   failed connections.  True for an unknown pool.  Any thread.  */
bool csp_is_pool_live (csp_control_t *control, const char *pool);

/* Request admission and block until it is decided.  0 with a grant, or -1 with
   an error whose verdict is CSP_VERDICT_NOT_RUN.  */
int csp_request_admission (csp_control_t *control,
                           const csp_admission_ask_t *ask, csp_grant_t *grant,
                           csp_error_t *error);

/* Check that a grant is still valid, immediately before the first byte is
   sent.  While this thread or host was paused, the owner may have given the
   capacity to another request.  claim is that of a keyed call, 0 without one.
   False: release the grant and request admission again.  */
bool csp_confirm_grant (csp_control_t *control, const csp_grant_t *grant,
                        uint64_t claim);

/* A call with an idempotency key, which must run at most once.  */
typedef struct
{
  csp_once_key_t key;
  int64_t deadline_ms; /* steady clock */
} csp_once_ask_t;

/* Claim a key and block until the hosts that could have run it have agreed.  0
   with the claim, which csp_end_claim ends; or -1 with an error, whose verdict
   is that of an earlier attempt if one is known.  */
int csp_claim_run (csp_control_t *control, const csp_once_ask_t *ask,
                   uint64_t *claim, csp_error_t *error);

/* Report the outcome of a claimed call.  */
void csp_end_claim (csp_control_t *control, uint64_t claim,
                    csp_once_outcome_t outcome);

/* Report how many tokens a stream has generated so far.  blocked_ms is the
   part of the time since the last report that was spent waiting for the
   caller.  */
void csp_report_progress (csp_control_t *control, const csp_grant_t *grant,
                          uint64_t tokens, int64_t blocked_ms);

/* Release a grant when its request has ended.  */
void csp_release_grant (csp_control_t *control, const csp_grant_t *grant,
                        const csp_grant_outcome_t *outcome);

/* The host's state as JSON, for operators.  The caller frees it.  */
char *csp_describe_control (csp_control_t *control);

/* The incarnation of this host's process.  It differs from that of every
   earlier process at the same address.  */
uint64_t csp_control_incarnation (const csp_control_t *control);

#endif
