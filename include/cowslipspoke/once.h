#ifndef COWSLIPSPOKE_ONCE_H
#define COWSLIPSPOKE_ONCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cowslipspoke/host-ref.h"
#include "cowslipspoke/random.h"
#include "cowslipspoke/verdict.h"

/* At most one run for each key of a non-idempotent call, over all hosts and
   with nothing stored.  Every host remembers for a while, in memory, which
   keys it was asked for.  A key names its scope: the hosts that are asked
   before each run.  Two claims of one key always meet at a host that
   remembers the first; where that can't be shown, the claim is not run and
   the caller gets `may have run`.  See docs/AT-MOST-ONCE.md.

   Load pattern: callers, their libraries and balancers send a call again,
   through another host, while the first is lost, late or still running.
   Without it a buyer gets two quotes.  */

enum
{
  CSP_ORGANISATION_NAME_BYTES = 64,
  CSP_ONCE_KEY_MAX_BYTES = 256,
  CSP_ONCE_DIGEST_BYTES = 16,
  CSP_ONCE_TOKEN_BYTES = 192,
  CSP_ONCE_MAX_HOSTS = 1024
};

/* Which hosts have to agree before a key may run.  */
typedef enum
{
  CSP_ONCE_SCOPE_HOST,        /* one incarnation of one host */
  CSP_ONCE_SCOPE_DATA_CENTRE, /* the hosts of one data centre */
  CSP_ONCE_SCOPE_ALL          /* every host */
} csp_once_scope_t;

/* A key as all hosts understand it.  The digest covers organisation and the
   whole key as the caller wrote it, so organisations are separate.  date_ms is
   calendar time; the key is known not to be older.  */
typedef struct
{
  char organisation[CSP_ORGANISATION_NAME_BYTES];
  uint8_t digest[CSP_ONCE_DIGEST_BYTES];
  csp_once_scope_t scope;
  csp_host_ref_t home;                          /* scope host */
  char data_centre[CSP_DATA_CENTRE_NAME_BYTES]; /* scope data centre */
  int64_t date_ms;
} csp_once_key_t;

/* Understand a caller's Idempotency-Key:

     h:HOST:INCARNATION:DATE~UNIQUE  scope host (token of that host)
     d:DATA_CENTRE:DATE~UNIQUE       scope data centre
     a UUID of version 7             scope all, dated by its first 48 bits

   with INCARNATION in hex and DATE in decimal milliseconds since 1970.  False
   with an error (bad request, not run) for anything else: a key without a
   date can't be told from one that has been forgotten.  */
bool csp_parse_once_key (const char *organisation, const char *text,
                         csp_once_key_t *key, csp_error_t *error);

/* The same, and any other text too, as callers of the usual API choose their
   keys: it has the scope all and is dated CSP_UNDATED_AGE_MS before now.  Its
   caller has to know that a repeat which comes later than that is run again
   when every host was replaced since the first attempt.  */
enum
{
  /* Libraries repeat within seconds and people within a minute.  The longer,
     the longer a fleet that starts as a whole has to refuse such keys.  */
  CSP_UNDATED_AGE_MS = 30000
};

bool csp_read_once_key (const char *organisation, const char *text,
                        int64_t wall_ms, csp_once_key_t *key,
                        csp_error_t *error);

/* The tokens that `GET /v1/idempotency-home` hands out; a caller puts "~" and
   something unique behind one.  They serve for retention_ms.  */
void csp_format_host_token (const csp_host_ref_t *self, int64_t wall_ms,
                            char token[CSP_ONCE_TOKEN_BYTES]);
void csp_format_data_centre_token (const char *data_centre, int64_t wall_ms,
                                   char token[CSP_ONCE_TOKEN_BYTES]);

/* Names one claim: random, so that no host gives it twice.  */
typedef struct
{
  uint64_t high;
  uint64_t low;
} csp_claim_id_t;

/* What became of a claim.  NOT_RUN lets the key be claimed again, so the
   caller may only be told `may have run` with a time to come back.  CLOSED is
   for a claim that was granted, surely did not run and whose caller is told
   `not run`: no later claim is granted either, or a copy of the request that
   is still under way would run behind that answer.  */
typedef enum
{
  CSP_ONCE_OPEN,         /* not yet told */
  CSP_ONCE_RAN,          /* the target answered */
  CSP_ONCE_NOT_RUN,      /* not run; may be claimed again */
  CSP_ONCE_MAY_HAVE_RUN, /* cut after bytes had left */
  CSP_ONCE_CLOSED        /* not run, and never will be */
} csp_once_outcome_t;

/* Messages.  */

typedef struct
{
  csp_once_key_t key;
  csp_claim_id_t claim;
} csp_claim_ask_t;

typedef enum
{
  CSP_CLAIM_RECORDED,   /* not seen before; now kept for this claim */
  CSP_CLAIM_SEEN,       /* another claim has it; see outcome */
  CSP_CLAIM_FORGOTTEN,  /* so old that it may have been forgotten */
  CSP_CLAIM_WRONG_DATE, /* dated in the future */
  CSP_CLAIM_WRONG_HOST, /* not the incarnation that the key names */
  CSP_CLAIM_FULL        /* no room to keep it */
} csp_claim_result_t;

/* witness_since_ms is calendar time: since then every asker has had this life
   of the host among those that it asks.  */
typedef struct
{
  csp_claim_id_t claim;
  csp_host_ref_t from;
  csp_claim_result_t result;
  csp_once_outcome_t outcome;
  int64_t witness_since_ms;
} csp_claim_answer_t;

/* Sent to every host asked, again until told_by each (an acknowledgement that
   carries claim and from).  */
typedef struct
{
  csp_once_key_t key;
  csp_claim_id_t claim;
  csp_once_outcome_t outcome;
} csp_outcome_tell_t;

/* Settings, the same on all hosts.

   retention_ms: how long a key is remembered, at least, and for how long
   tokens serve.
   clock_skew_ms: how far the calendar clocks of two hosts may be apart.
   witness_delay_ms: how long after its start every asker is sure to have a
   host among those that it asks (the host list's lag and view_lease_ms).
   view_lease_ms: how old an asker's list of hosts may be.
   grant_lease_ms: how long after its asks a claim may still start to run.
   answer_timeout_ms, resend_ms: waiting for a host; repeating an ask.
   allowed_silent, needed_witnesses: a claim may go without so many hosts, and
   needs so many that are older than the key; the second must be greater.
   capacity, organisation_capacity: keys kept, in all and for one
   organisation.  */
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

/* A host's memory of keys.  One thread at a time.  */
typedef struct csp_once_s csp_once_t;

/* now_ms is the start of this incarnation on its steady clock.  */
csp_once_t *csp_create_once (const csp_once_settings_t *settings,
                             const csp_host_ref_t *self, int64_t now_ms);
void csp_destroy_once (csp_once_t *once);

/* Some live host of this data centre does not know this life of the host yet
   (membership tells by what heartbeats answer).  It may ask others and leave
   this host out, so this host counts as a witness only witness_delay_ms after
   the last such call.  */
void csp_delay_witness (csp_once_t *once, int64_t now_ms);

/* Answer a claim, a host's own included.  */
void csp_claim_key (csp_once_t *once, const csp_claim_ask_t *ask,
                    int64_t now_ms, int64_t wall_ms,
                    csp_claim_answer_t *answer);

/* Keep what became of a claim; tells of other claims are ignored.  */
void csp_settle_claim (csp_once_t *once, const csp_outcome_tell_t *tell,
                       int64_t now_ms, int64_t wall_ms);

/* Forget what is older than retention_ms; the number forgotten.  Claims do a
   little of this by themselves.  */
size_t csp_expire_keys (csp_once_t *once, int64_t now_ms);

size_t csp_count_keys (const csp_once_t *once);
size_t csp_measure_once_bytes (const csp_once_t *once);

/* A host as an asker sees it.  */
typedef struct
{
  csp_host_ref_t ref;
  char data_centre[CSP_DATA_CENTRE_NAME_BYTES];
} csp_once_peer_t;

/* The asker's list of hosts, live and leaving ones, itself included.
   confirmed_ms: steady time at which it was last known to be up to date: when
   the last heartbeat that a peer answered, or the last read of the platform's
   list that was answered, was sent.  The time at which an answer is read would
   not do; a paused host reads old ones.
   complete: this host has read a list since it started.  */
typedef struct
{
  const csp_once_peer_t *hosts;
  size_t count;
  int64_t confirmed_ms;
  bool complete;
} csp_once_view_t;

typedef enum
{
  CSP_ONCE_TICK,
  CSP_ONCE_ANSWER,
  CSP_ONCE_HOST_LOST,   /* host is known to be unreachable */
  CSP_ONCE_BEFORE_SEND, /* may the first byte leave?  Again for the next
                           target, once one said that it started nothing.  */
  CSP_ONCE_ENDED,       /* the run ended; u.outcome says how */
  CSP_ONCE_HUNG_UP,     /* the caller has gone, before a byte left */
  CSP_ONCE_TOLD         /* host has acknowledged the outcome */
} csp_once_event_kind_t;

/* host is the name of the host that an event is about.  */
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
  CSP_ONCE_ASK,     /* send u.ask to the hosts listed */
  CSP_ONCE_RUN,     /* granted; ask with BEFORE_SEND when bytes can leave */
  CSP_ONCE_SEND,    /* let the first byte leave now */
  CSP_ONCE_GIVE_UP, /* error is the caller's answer; tell as well */
  CSP_ONCE_TELL     /* send the outcome to the hosts listed */
} csp_once_action_kind_t;

/* hosts points into the round: names of whom to ask or tell, valid until the
   next step.  With GIVE_UP and TELL, tell goes to them.  */
typedef struct
{
  csp_once_action_kind_t kind;
  const char *const *hosts;
  size_t host_count;
  csp_claim_ask_t ask;
  csp_outcome_tell_t tell;
  csp_error_t error;
} csp_once_action_t;

/* One request with a key at the host that the caller asked.  */
typedef struct csp_once_round_s csp_once_round_t;

/* Copies what it needs of the view.  random gives the claim's id.  */
csp_once_round_t *csp_create_once_round (const csp_once_settings_t *settings,
                                         const csp_once_key_t *key,
                                         const csp_once_view_t *view,
                                         csp_random_t *random,
                                         int64_t deadline_ms);
void csp_destroy_once_round (csp_once_round_t *round);

/* The first action.  The round ends at once where view or key are too old. */
void csp_start_once_round (csp_once_round_t *round, int64_t now_ms,
                           int64_t wall_ms, csp_once_action_t *action);

/* What an event leads to.  */
void csp_step_once_round (csp_once_round_t *round,
                          const csp_once_event_t *event, int64_t now_ms,
                          csp_once_action_t *action);

/* When to call with a tick; INT64_MAX for never.  */
int64_t csp_next_once_tick (const csp_once_round_t *round);

/* Whether all is told, or given up, and the round can be destroyed.  */
bool csp_once_round_over (const csp_once_round_t *round);

#endif
