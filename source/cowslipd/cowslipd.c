#include <curl/curl.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "cowslipspoke/entry.h"

/* cowslipd: the process of an entry host.  Reads its settings, serves, and
   drains on SIGTERM or SIGINT.  A second signal or the drain limit ends open
   requests with explicit errors.  SIGHUP is ignored, because settings are read
   once and declarations come from the platform.  */

enum
{
  EXIT_START_FAILED = 1,
  MESSAGE_BYTES = 256,
  DRAIN_POLL_MS = 50,
  CLAIM_WAIT_MAX_MS = 1000,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000
};

/* Block the signals in every thread; the main thread waits for them with
   sigwaitinfo and sigtimedwait.  */
static void
block_signals (sigset_t *signals)
{
  signal (SIGPIPE, SIG_IGN);
  signal (SIGHUP, SIG_IGN);
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, signals, NULL);
}

/* Wait up to ms for SIGTERM or SIGINT; returns true if one arrived.  SIGSTOP
   and SIGCONT interrupt the call, and the wait begins anew.  */
static bool
wait_for_signal (const sigset_t *signals, int64_t ms)
{
  struct timespec timeout
      = { ms / MS_PER_S, (long)(ms % MS_PER_S) * NS_PER_MS };
  int signal_number;

  do
    signal_number = sigtimedwait (signals, NULL, &timeout);
  while (signal_number < 0 && errno == EINTR);
  return signal_number > 0;
}

/* The readiness check fails first, so that the load balancer stops sending
   while new requests are still served.  Then new requests are refused, and
   open requests run until they end or the drain limit passes.  */
static void
drain (csp_entry_t *entry, const csp_context_t *context,
       const sigset_t *signals)
{
  const csp_settings_t *settings = &context->settings;
  int64_t deadline_ms
      = csp_now_ms (&context->clock) + settings->drain_limit_ms;
  bool stop_requested;

  csp_fail_readiness (entry);
  CSP_LOG (context->log, CSP_EVENT_DRAINING, NULL,
           csp_number ("open_requests", csp_count_open_requests (entry)));
  stop_requested = wait_for_signal (signals, settings->drain_notice_ms);
  csp_refuse_new_requests (entry);
  while (!stop_requested && csp_count_open_requests (entry) > 0
         && csp_now_ms (&context->clock) < deadline_ms)
    stop_requested = wait_for_signal (signals, DRAIN_POLL_MS);
  if (csp_count_open_requests (entry) == 0)
    return;
  CSP_LOG (context->log, CSP_EVENT_DRAIN_LIMIT, NULL,
           csp_number ("open_requests", csp_count_open_requests (entry)));
  csp_abort_open_requests (entry);
  while (csp_count_open_requests (entry) > 0)
    wait_for_signal (signals, DRAIN_POLL_MS);
}

/* Outcomes of keyed calls are sent to the peers after the callers' responses;
   wait a short time until the peers have acknowledged them.  */
static void
wait_for_claims (csp_control_t *control, const csp_context_t *context,
                 const sigset_t *signals)
{
  int64_t deadline_ms = csp_now_ms (&context->clock) + CLAIM_WAIT_MAX_MS;

  while (csp_count_open_claims (control) > 0
         && csp_now_ms (&context->clock) < deadline_ms)
    if (wait_for_signal (signals, DRAIN_POLL_MS))
      break;
}

static int
serve_context (const csp_context_t *context, const sigset_t *signals)
{
  char message[MESSAGE_BYTES];
  csp_entry_t *entry = NULL;
  csp_control_t *control
      = csp_create_control (context, message, sizeof message);
  int result = EXIT_START_FAILED;

  if (control != NULL)
    entry = csp_create_entry (context, control, message, sizeof message);
  if (entry == NULL)
    {
      CSP_LOG (context->log, CSP_EVENT_START_FAILED, NULL,
               csp_text ("message", message));
      goto done;
    }
  CSP_LOG (context->log, CSP_EVENT_READY, NULL,
           csp_number ("http_port", csp_entry_port (entry)),
           csp_number ("peer_port", csp_control_peer_port (control)));
  printf ("ready http=%u peer=%u\n", csp_entry_port (entry),
          csp_control_peer_port (control));
  fflush (stdout);
  while (sigwaitinfo (signals, NULL) < 0 && errno == EINTR)
    ;
  csp_set_control_leaving (control);
  drain (entry, context, signals);
  wait_for_claims (control, context, signals);
  result = EXIT_SUCCESS;

done:
  csp_destroy_entry (entry);
  csp_destroy_control (control);
  CSP_LOG (context->log, CSP_EVENT_STOPPED, NULL, csp_number ("exit", result));
  return result;
}

static int
serve (const csp_settings_t *settings)
{
  csp_context_t context
      = { .settings = *settings, .clock = csp_system_clock () };
  csp_level_t level = CSP_LEVEL_INFO;
  sigset_t signals;
  int result = EXIT_START_FAILED;

  block_signals (&signals);
  csp_parse_level (settings->log_level, &level);
  context.log = csp_create_log (settings->host, level, &context.clock);
  context.metrics = csp_create_metrics (CSP_SERIES_MAX);
  CSP_LOG (context.log, CSP_EVENT_STARTED, NULL,
           csp_text ("version", csp_version ()));
  if (context.metrics != NULL)
    result = serve_context (&context, &signals);
  csp_destroy_metrics (context.metrics);
  csp_destroy_log (context.log);
  return result;
}

int
main (int argc, char **argv)
{
  csp_faults_t *faults = csp_create_faults ();
  csp_command_t command = CSP_COMMAND_RUN;
  csp_settings_t settings;
  int result = EXIT_SUCCESS;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (!csp_read_command_line (argc, argv, &command, &settings, faults))
    {
      csp_print_faults (faults, stderr);
      result = CSP_EXIT_BAD_SETTINGS;
      goto done;
    }
  switch (command)
    {
    case CSP_COMMAND_RUN:
      result = serve (&settings);
      break;
    case CSP_COMMAND_CHECK_SETTINGS:
      printf ("settings: no fault\n");
      break;
    case CSP_COMMAND_HELP:
      csp_print_settings_help (stdout);
      break;
    case CSP_COMMAND_VERSION:
      printf ("cowslipd %s\n", csp_version ());
      break;
    }

done:
  csp_destroy_faults (faults);
  curl_global_cleanup ();
  return result;
}
