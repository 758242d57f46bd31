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
  atomic_bool readiness_failing;
  atomic_bool refusing_new;
  atomic_bool aborting_open;
  pthread_t watchdog;
  pthread_mutex_t timed_reads_lock;
  pthread_cond_t timed_read_began;
  bool watchdog_stops;                            /* under timed_reads_lock */
  LIST_HEAD (, csp_entry_exchange_s) timed_reads; /* under timed_reads_lock */
};

/* One request of a caller while a traffic thread serves it.  */
typedef struct csp_entry_exchange_s
{
  csp_entry_t *entry;
  struct mg_connection *connection;
  const struct mg_request_info *info;
  char id[CSP_REQUEST_ID_BYTES];
  int64_t arrived_ms;
  int64_t deadline_ms;
  csp_request_options_t options;
  csp_view_t *view;
  csp_labels_t labels;
  const csp_organisation_t *organisation;
  char *body;
  size_t body_bytes;
  uint64_t claim; /* on the key of an at-most-once call; 0 for none */
  int socket;     /* the caller's; -1 when it was not found */
  LIST_ENTRY (csp_entry_exchange_s) timed_reads_link;
  int64_t read_deadline_ms;
  bool read_timed_out; /* under timed_reads_lock */
  bool body_read;      /* completely, or up to a failure */
} csp_entry_exchange_t;

/* Assigns the request id that appears in log lines and in the answer.  */
void csp_assign_request_id (csp_entry_exchange_t *exchange);

/* Answers with an error and logs it.  No byte of an answer may have been sent
   before.  */
void csp_answer_error (csp_entry_exchange_t *exchange,
                       const csp_error_t *error);

/* The http_error callback of the HTTP library: answers a request that the
   library refused before any handler was called.  Returns 0, which tells the
   library that the request is answered.  */
int csp_answer_malformed (struct mg_connection *connection, int status,
                          const char *message);

/* Answers with a JSON text.  */
void csp_answer_json (csp_entry_exchange_t *exchange, uint16_t status,
                      const char *json);

/* Renders an error as the JSON that callers get; the caller of the function
   frees it.  */
char *csp_render_error (const char *request_id, const csp_error_t *error);

/* Begins an event stream.  Returns 0, or -1 when the caller is gone.  */
int csp_begin_events (csp_entry_exchange_t *exchange);

/* Sends one event; name may be NULL.  Returns 0, or -1 when the caller is
   gone.  */
int csp_send_event (csp_entry_exchange_t *exchange, const char *name,
                    const char *data);

/* Sends an event stream comment, which callers ignore.  Returns 0, or -1 when
   the caller is gone.  */
int csp_send_keep_alive (csp_entry_exchange_t *exchange);

/* Ends an event stream.  */
void csp_end_events (csp_entry_exchange_t *exchange);

/* Reads the body within the size and time limits of the settings.  Returns 0,
   or -1 with an error.  */
int csp_read_body (csp_entry_exchange_t *exchange, csp_error_t *error);

/* Starts or stops the watchdog thread, which limits the time for reading a
   body.  Starting returns 0, or -1 when there is no thread.  */
int csp_start_read_watchdog (csp_entry_t *entry);
void csp_stop_read_watchdog (csp_entry_t *entry);

/* Between these two calls the caller has limit_ms to send its data.  After
   that the receiving side of the socket is shut down, so that reads end as if
   the caller had sent no more; csp_end_timed_read then returns false.  */
void csp_begin_timed_read (csp_entry_exchange_t *exchange, uint32_t limit_ms);
bool csp_end_timed_read (csp_entry_exchange_t *exchange);

/* Discards what the caller still sends and shuts down the receiving side of
   its socket.  */
void csp_discard_unread_input (csp_entry_exchange_t *exchange);

/* Finds the organisation by the bearer key.  Returns 0, or -1 with an
   error.  */
int csp_identify_caller (csp_entry_exchange_t *exchange, csp_error_t *error);

/* Finds the descriptor of a caller's socket at the listener's port; -1 when
   there is none.  */
int csp_find_caller_socket (const struct mg_request_info *info, uint16_t port);

/* Sets the socket options of the listener: a connection is accepted only once
   it has sent data, and the send buffer of each caller is limited.  */
void csp_limit_caller_sockets (uint16_t port);

/* Whether the caller of an exchange has closed its connection.  A half-closed
   connection counts as closed.  */
bool csp_caller_is_gone (void *state);

/* Claims the idempotency key of an at-most-once call.  Returns 0 when the call
   may run, with a claim if it has a key; -1 with an error.  */
int csp_begin_claim (csp_entry_exchange_t *exchange, csp_error_t *error);

/* Records the outcome of a claimed call.  Must be called before the caller is
   answered, so that no retry arrives before the outcome is recorded.  */
void csp_finish_claim (csp_entry_exchange_t *exchange, int result,
                       const csp_error_t *error);

/* Serves a generation request.  */
void csp_serve_generation (csp_entry_exchange_t *exchange, csp_api_t api);

/* Serves a call of a plain service; rest is the path after its prefix.  */
void csp_serve_service_call (csp_entry_exchange_t *exchange,
                             const csp_service_t *service, const char *rest);

/* Applies the declared rules to a request.  Returns 0 with the request's terms
   in ask, or -1 with the error of a rule that rejects it.  */
int csp_apply_rules (csp_entry_exchange_t *exchange,
                     csp_request_facts_t *facts, csp_admission_ask_t *ask,
                     csp_error_t *error);

#endif
