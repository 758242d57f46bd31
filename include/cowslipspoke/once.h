#ifndef COWSLIPSPOKE_ONCE_H
#define COWSLIPSPOKE_ONCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cowslipspoke/host-ref.h"
#include "cowslipspoke/random.h"
#include "cowslipspoke/verdict.h"

/* Runs a non-idempotent call at most once for each key, across all hosts and
   without persistent storage.  Every host keeps the keys claimed at it in
   memory for retention_ms.  A key names its scope: the hosts that are asked
   before the call may run.  Any two claims of one key share at least one host
   that remembers the first; where that can't be shown, the call is not run
   and the caller gets `may have run`.  See docs/AT-MOST-ONCE.md.

   Load pattern: callers, their libraries and load balancers resend a call
   through another host while the first attempt is lost, late or still
   running.  Without this the call runs twice.  */

enum
{
  CSP_ORGANISATION_NAME_BYTES = 64,
  CSP_ONCE_KEY_MAX_BYTES = 256,
  CSP_ONCE_DIGEST_BYTES = 16,
  CSP_ONCE_TOKEN_BYTES = 192,
  CSP_ONCE_MAX_HOSTS = 1024
};

/* Which hosts are asked before a call with the key may run.  */
typedef enum
{
  CSP_ONCE_SCOPE_HOST,        /* one incarnation of one host */
  CSP_ONCE_SCOPE_DATA_CENTRE, /* the hosts of one data centre */
  CSP_ONCE_SCOPE_ALL          /* every host */
} csp_once_scope_t;

/* A parsed key.  The digest covers the organisation and the caller's whole key
   text, so equal texts of two organisations are different keys.  date_ms is
   wall-clock time; the key was not created earlier.  */
typedef struct
{
  char organisation[CSP_ORGANISATION_NAME_BYTES];
  uint8_t digest[CSP_ONCE_DIGEST_BYTES];
  csp_once_scope_t scope;
  csp_host_ref_t home;                          /* scope host */
  char data_centre[CSP_DATA_CENTRE_NAME_BYTES]; /* scope data centre */
  int64_t date_ms;
} csp_once_key_t;

/* Parses a caller's Idempotency-Key:

     h:HOST:INCARNATION:DATE~UNIQUE  scope host (token of that host)
     d:DATA_CENTRE:DATE~UNIQUE       scope data centre
     a UUID of version 7             scope all, dated by its first 48 bits

   with INCARNATION in hex and DATE in decimal milliseconds since 1970.
   Returns false with an error (bad request, not run) for anything else: a key
   without a date can't be distinguished from one that has expired from
   memory.  */
bool csp_parse_once_key (const char *organisation, const char *text,
                         csp_once_key_t *key, csp_error_t *error);

/* Like csp_parse_once_key, but accepts any other text as well, since callers
   of the usual API choose their own keys.  Such a key has the scope all and is
   dated CSP_UNDATED_KEY_AGE_MS before now.  If every host was replaced since
   the first attempt, a repeat that arrives later than that runs again.  */
enum
{
  /* Libraries repeat within seconds and people within a minute.  A longer age
     makes a fleet whose hosts all start at once refuse such keys for
     longer.  */
  CSP_UNDATED_KEY_AGE_MS = 30000
};

bool csp_parse_any_once_key (const char *organisation, const char *text,
                             int64_t wall_ms, csp_once_key_t *key,
                             csp_error_t *error);

/* Format the tokens that `GET /v1/idempotency-home` returns.  A caller appends
   "~" and a unique text to make a key.  A token is valid for retention_ms.  */
void csp_format_host_token (const csp_host_ref_t *self, int64_t wall_ms,
                            char token[CSP_ONCE_TOKEN_BYTES]);
void csp_format_data_centre_token (const char *data_centre, int64_t wall_ms,
                                   char token[CSP_ONCE_TOKEN_BYTES]);

/* Identifies one claim.  Random, so that no two claims share an id.  */
typedef struct
{
  uint64_t high;
  uint64_t low;
} csp_claim_id_t;

/* The outcome of a claim.  NOT_RUN lets the key be claimed again, so its
   caller gets only `may have run` with a retry time.  CLOSED is for a claim
   that was granted, certainly did not run and whose caller gets `not run`:
   later claims are refused too, since a copy of the request that is still in
   flight would otherwise run after that answer.  */
typedef enum
{
  CSP_ONCE_OPEN,         /* no outcome reported yet */
  CSP_ONCE_RAN,          /* the target answered */
  CSP_ONCE_NOT_RUN,      /* not run; may be claimed again */
  CSP_ONCE_MAY_HAVE_RUN, /* cut after bytes were sent */
  CSP_ONCE_CLOSED        /* not run; may not be claimed again */
} csp_once_outcome_t;

/* Messages.  */

typedef struct
{
  csp_once_key_t key;
  csp_claim_id_t claim;
} csp_claim_ask_t;

typedef enum
{
  CSP_CLAIM_RECORDED,   /* new key, now recorded for this claim */
  CSP_CLAIM_SEEN,       /* another claim holds the key; see outcome */
  CSP_CLAIM_EXPIRED,    /* so old that it may have expired here */
  CSP_CLAIM_WRONG_DATE, /* dated in the future */
  CSP_CLAIM_WRONG_HOST, /* not the incarnation that the key names */
  CSP_CLAIM_FULL        /* the key store is at its capacity */
} csp_claim_result_t;

/* witness_since_ms is wall-clock time: since then every host that claims keys
   has had this incarnation of the answering host in its list of hosts to
   ask.  */
typedef struct
{
  csp_claim_id_t claim;
  csp_host_ref_t from;
  csp_claim_result_t result;
  csp_once_outcome_t outcome;
  int64_t witness_since_ms;
} csp_claim_answer_t;

/* Reports a claim's outcome to every host that was asked.  Resent a few times
   to hosts that have not acknowledged it.  */
typedef struct
{
  csp_once_key_t key;
  csp_claim_id_t claim;
  csp_once_outcome_t outcome;
} csp_outcome_report_t;

/* Settings, the same on all hosts.

   retention_ms: minimum time for which a key is kept, and the validity of
   tokens.
   clock_skew_ms: maximum difference between the wall clocks of two hosts.
   witness_delay_ms: time after a host's start until every other host is
   certain to ask it (the lag of the host list plus view_lease_ms).
   view_lease_ms: maximum age of the list of hosts that a claim uses.
   grant_lease_ms: how long after its first ask a claim may still start a run.
   answer_timeout_ms, resend_ms: the timeout for a host's answer; the interval
   after which an unanswered ask is resent.
   allowed_silent, needed_witnesses: how many hosts may fail to answer, and how
   many answers of hosts older than the key a claim needs.  needed_witnesses
   must be greater than allowed_silent.
   capacity, organisation_capacity: maximum number of keys kept, in total and
   for one organisation.  */
typedef struct
{
  int64_t retention_ms;
  int64_t clock_skew_ms;
  int64_t witness_delay_ms;
  int64_t view_lease_ms;
  int64_t grant_lease_ms;
  int64_t answer_timeout_ms;
  int64_t resend_ms;
  uint32_t allowed_silent;
  uint32_t needed_witnesses;
  uint32_t capacity;
  uint32_t organisation_capacity;
} csp_once_settings_t;

/* 30 min, 2 s, 20 s, 5 s, 10 s, 500 ms, 150 ms, 0, 1, 500,000, 125,000.  */
csp_once_settings_t csp_default_once_settings (void);

/* The keys that a host remembers.  Not thread-safe.  */
typedef struct csp_once_key_store_s csp_once_key_store_t;

/* now_ms is the time on the host's monotonic clock at which this incarnation
   started.  */
csp_once_key_store_t *
csp_create_once_key_store (const csp_once_settings_t *settings,
                           const csp_host_ref_t *self, int64_t now_ms);
void csp_destroy_once_key_store (csp_once_key_store_t *store);

/* Restarts the delay after which this host counts as a witness.  To be called
   while heartbeat answers show that some live host of this data centre does
   not know this incarnation yet: that host may claim keys without asking this
   one.  */
void csp_restart_witness_delay (csp_once_key_store_t *store, int64_t now_ms);

/* Records a claim, this host's own included, and fills in the answer.  */
void csp_claim_key (csp_once_key_store_t *store, const csp_claim_ask_t *ask,
                    int64_t now_ms, int64_t wall_ms,
                    csp_claim_answer_t *answer);

/* Records the outcome of a claim.  Ignored if another claim holds the key.  */
void csp_record_claim_outcome (csp_once_key_store_t *store,
                               const csp_outcome_report_t *report,
                               int64_t now_ms, int64_t wall_ms);

/* Removes keys older than retention_ms and returns how many.  Each claim also
   removes a few.  */
size_t csp_expire_keys (csp_once_key_store_t *store, int64_t now_ms);

size_t csp_count_keys (const csp_once_key_store_t *store);
size_t csp_measure_once_key_store_bytes (const csp_once_key_store_t *store);

/* A host in the list that a claim uses.  */
typedef struct
{
  csp_host_ref_t ref;
  char data_centre[CSP_DATA_CENTRE_NAME_BYTES];
} csp_once_peer_t;

/* The asking host's list of live and leaving hosts, itself included.
   confirmed_ms: monotonic time at which the list was last known to be up to
   date.  It is the time at which the last answered heartbeat, or the last
   answered read of the platform's host list, was sent.  The time at which the
   answer was read would be wrong: a host that was paused reads old answers. */
typedef struct
{
  const csp_once_peer_t *hosts;
  size_t count;
  int64_t confirmed_ms;
  bool list_read; /* this host has read a list since its start */
} csp_once_view_t;

typedef enum
{
  CSP_ONCE_TICK,
  CSP_ONCE_ANSWER,
  CSP_ONCE_HOST_LOST,    /* the host is unreachable */
  CSP_ONCE_BEFORE_SEND,  /* may the first byte be sent?  Asked again for the
                            next target if one refused before starting.  */
  CSP_ONCE_RUN_ENDED,    /* the run ended with u.outcome */
  CSP_ONCE_CALLER_GONE,  /* the caller disconnected before a byte was sent */
  CSP_ONCE_OUTCOME_ACKED /* the host acknowledged the outcome */
} csp_once_event_kind_t;

/* host: the name of the host that the event concerns.  */
typedef struct
{
  csp_once_event_kind_t kind;
  const char *host;
  union
  {
    csp_claim_answer_t answer;
    csp_once_outcome_t outcome;
  } u;
} csp_once_event_t;

typedef enum
{
  CSP_ONCE_WAIT,
  CSP_ONCE_SEND_CLAIM, /* send the claim to hosts */
  CSP_ONCE_RUN,        /* granted; step with BEFORE_SEND before sending */
  CSP_ONCE_SEND,       /* send the first byte now */
  CSP_ONCE_GIVE_UP,    /* answer the caller with error; send the outcome too */
  CSP_ONCE_SEND_OUTCOME /* send the outcome to hosts */
} csp_once_action_kind_t;

/* hosts: the names of the hosts to which the claim or its outcome is sent,
   owned by the round and valid until its next step.  The outcome is sent for
   CSP_ONCE_GIVE_UP and CSP_ONCE_SEND_OUTCOME.  */
typedef struct
{
  csp_once_action_kind_t kind;
  const char *const *hosts;
  size_t host_count;
  csp_claim_ask_t ask;
  csp_outcome_report_t report;
  csp_error_t error;
} csp_once_action_t;

/* The claim of one request's key, run at the host that accepted the request:
   asks the hosts in scope, permits the run and reports its outcome.  */
typedef struct csp_once_round_s csp_once_round_t;

/* Copies what it needs from the view.  random generates the claim's id.  */
csp_once_round_t *csp_create_once_round (const csp_once_settings_t *settings,
                                         const csp_once_key_t *key,
                                         const csp_once_view_t *view,
                                         csp_random_t *random,
                                         int64_t deadline_ms);
void csp_destroy_once_round (csp_once_round_t *round);

/* Fills in the first action.  Gives up at once if the view is too old, no
   host is in scope or the key is dated in the future.  */
void csp_start_once_round (csp_once_round_t *round, int64_t now_ms,
                           int64_t wall_ms, csp_once_action_t *action);

/* Handles an event and fills in the resulting action.  */
void csp_step_once_round (csp_once_round_t *round,
                          const csp_once_event_t *event, int64_t now_ms,
                          csp_once_action_t *action);

/* The time at which the next TICK event is due; INT64_MAX if none.  */
int64_t csp_next_once_tick (const csp_once_round_t *round);

/* Whether the outcome is acknowledged by all hosts or no longer resent, so
   that the round can be destroyed.  */
bool csp_is_once_round_over (const csp_once_round_t *round);

#endif
