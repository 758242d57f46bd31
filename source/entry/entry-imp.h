#ifndef COWSLIPSPOKE_ENTRY_IMP_H
#define COWSLIPSPOKE_ENTRY_IMP_H

#include <civetweb.h>
#include <pthread.h>
#include <stdatomic.h>
#include <sys/queue.h>

#include "cowslipspoke/control.h"
#include "cowslipspoke/entry.h"
#include "cowslipspoke/request.h"

struct csp_entry
{
  const csp_context_t *context;
  csp_control_t *control;
  struct mg_context *server;
  uint16_t port;
  atomic_uint_fast64_t next_request;
  atomic_int open_requests;
  atomic_bool announced; /* readiness fails */
  atomic_bool draining;  /* new requests are refused */
  atomic_bool stopping;  /* open ones are ended */
  pthread_t watch;
  pthread_mutex_t reading_lock;
  pthread_cond_t reading_began;
  bool watch_stops;                     /* under reading_lock */
  LIST_HEAD (, csp_exchange_s) reading; /* under reading_lock */
};

/* One request of a caller on its way through a traffic thread.  */
typedef struct csp_exchange_s
{
  csp_entry_t *entry;
  struct mg_connection *connection;
  const struct mg_request_info *info;
  char id[CSP_REQUEST_ID_BYTES];
  int64_t arrived_ms;
  int64_t deadline_ms;
  csp_marks_t marks;
  csp_view_t *view;
  csp_labels_t labels;
  const csp_organisation_t *organisation;
  char *body;
  size_t body_bytes;
  uint64_t claim; /* of a call that must not run twice; 0 without one */
  int socket;     /* of the caller; -1 when it was not found */
  LIST_ENTRY (csp_exchange_s) reading;
  int64_t read_until_ms;
  bool late;      /* the body was; under reading_lock */
  bool body_read; /* to its end or to its fault */
} csp_exchange_t;

/* Give the exchange the id that its log lines and its answer carry.  */
void csp_name_exchange (csp_exchange_t *exchange);

/* Answer with an error before any byte of an answer was sent, and log it.  */
void csp_answer_error (csp_exchange_t *exchange, const csp_error_t *error);

/* Answer a request that the HTTP library refused before any handler saw it;
   its http_error callback.  Returns 0: answered.  */
int csp_answer_malformed (struct mg_connection *connection, int status,
                          const char *message);

/* Answer with a JSON text.  */
void csp_answer_json (csp_exchange_t *exchange, uint16_t status,
                      const char *json);

/* The JSON of an error as callers read it; to be freed.  */
char *csp_render_error (const char *request_id, const csp_error_t *error);

/* Begin a stream of events.  0, or -1 when the caller is gone.  */
int csp_begin_events (csp_exchange_t *exchange);

/* Send one event; name may be NULL.  0, or -1 when the caller is gone.  */
int csp_send_event (csp_exchange_t *exchange, const char *name,
                    const char *data);

/* Send a comment, which callers pass over; tells whether they are there.  */
int csp_send_keep_alive (csp_exchange_t *exchange);

/* End a stream of events.  */
void csp_end_events (csp_exchange_t *exchange);

/* Read the body, bounded by the settings.  0, or -1 with an error.  */
int csp_read_body (csp_exchange_t *exchange, csp_error_t *error);

/* A thread that bounds the time of each reading.  0, or -1.  */
int csp_start_watch (csp_entry_t *entry);
void csp_stop_watch (csp_entry_t *entry);

/* From begin on the caller has limit_ms to send what is read; then its reading
   ends as if it had sent no more.  csp_end_reading is false where that
   happened.  */
void csp_begin_reading (csp_exchange_t *exchange, uint32_t limit_ms);
bool csp_end_reading (csp_exchange_t *exchange);

/* Read no more from the caller; what is still to come is dropped.  */
void csp_drop_rest (csp_exchange_t *exchange);

/* Find the organisation by the bearer key.  0, or -1 with an error.  */
int csp_identify_caller (csp_exchange_t *exchange, csp_error_t *error);

/* The descriptor of a caller's socket at our port; -1 when there is none.  */
int csp_find_caller_socket (const struct mg_request_info *info, uint16_t port);

/* Let the kernel keep connections at our port until their first byte came, and
   bound what it keeps for callers that don't read.  */
void csp_bound_callers (uint16_t port);

/* Whether the caller of an exchange hung up, or shut its side down, which is
   taken for the same.  */
bool csp_caller_is_gone (void *state);

/* Claim the key of a call that must not run twice.  0 when it may run, with a
   claim if it has a key; -1 with an error.  */
int csp_begin_claim (csp_exchange_t *exchange, csp_error_t *error);

/* Say what became of a claimed call; to be called before the caller is
   answered, so that a repeat never overtakes the outcome.  */
void csp_finish_claim (csp_exchange_t *exchange, int result,
                       const csp_error_t *error);

/* Serve a generation.  */
void csp_serve_generation (csp_exchange_t *exchange, csp_api_t api);

/* Serve a call of a plain service; rest is the path behind its prefix.  */
void csp_serve_call (csp_exchange_t *exchange, const csp_service_t *service,
                     const char *rest);

/* Apply the rules to a request.  0 with the terms of the request, or -1 with
   the error of a rule that turns it away.  */
int csp_apply_rules (csp_exchange_t *exchange, csp_request_facts_t *facts,
                     csp_admission_ask_t *ask, csp_error_t *error);

#endif
