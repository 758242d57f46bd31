#include "control/control-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  HANG_UP_POLL_MS = 200,
  NS_PER_MS = 1000000,
  NS_PER_S = 1000000000
};

void
csp_answer_waiter (csp_waiter_t *waiter, int result)
{
  pthread_mutex_lock (&waiter->lock);
  waiter->result = result;
  waiter->is_decided = true;
  pthread_cond_signal (&waiter->decided);
  pthread_mutex_unlock (&waiter->lock);
}

/* Wait for the decision for a limited time, then check whether the caller has
   hung up.  Its request would otherwise stay queued, and an engine would work
   on an answer without a reader.  The caller holds waiter->lock.  */
static void
wait_for_decision (csp_control_t *control, csp_waiter_t *waiter,
                   bool *abandoned)
{
  csp_control_command_t *command;
  struct timespec until;

  if (*abandoned || waiter->ask == NULL || waiter->ask->is_gone == NULL)
    {
      pthread_cond_wait (&waiter->decided, &waiter->lock);
      return;
    }
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_nsec += (long)HANG_UP_POLL_MS * NS_PER_MS;
  until.tv_sec += until.tv_nsec / NS_PER_S;
  until.tv_nsec %= NS_PER_S;
  if (pthread_cond_timedwait (&waiter->decided, &waiter->lock, &until) == 0
      || !waiter->ask->is_gone (waiter->ask->gone_state))
    return;
  command = csp_create_command (CSP_COMMAND_ABANDON);
  if (command == NULL)
    return;
  command->id = waiter->number;
  csp_post_command (control, command);
  *abandoned = true;
}

static int
post_and_wait (csp_control_t *control, csp_waiter_t *waiter,
               csp_control_command_kind_t kind)
{
  csp_control_command_t *command = csp_create_command (kind);
  bool abandoned = false;

  if (command == NULL)
    return -1;
  pthread_mutex_init (&waiter->lock, NULL);
  pthread_cond_init (&waiter->decided, NULL);
  command->waiter = waiter;
  waiter->number = atomic_fetch_add (&control->next_waiter_number, 1);
  csp_post_command (control, command);
  pthread_mutex_lock (&waiter->lock);
  while (!waiter->is_decided)
    wait_for_decision (control, waiter, &abandoned);
  pthread_mutex_unlock (&waiter->lock);
  pthread_cond_destroy (&waiter->decided);
  pthread_mutex_destroy (&waiter->lock);
  return waiter->result;
}

int
csp_request_admission (csp_control_t *control, const csp_admission_ask_t *ask,
                       csp_grant_t *grant, csp_error_t *error)
{
  csp_waiter_t waiter
      = { .current_ask = *ask, .grant = grant, .error = error };

  csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_INTERNAL, 0,
                 "out of memory");
  memset (grant, 0, sizeof *grant);
  waiter.ask = &waiter.current_ask;
  return post_and_wait (control, &waiter, CSP_COMMAND_ADMIT);
}

bool
csp_confirm_grant (csp_control_t *control, const csp_grant_t *grant,
                   uint64_t claim)
{
  csp_waiter_t waiter = { .grant = (csp_grant_t *)grant, .claim_id = claim };

  return post_and_wait (control, &waiter, CSP_COMMAND_CONFIRM) == 0;
}

int
csp_claim_run (csp_control_t *control, const csp_once_ask_t *ask,
               uint64_t *claim, csp_error_t *error)
{
  csp_waiter_t waiter = { .once_ask = ask, .error = error };
  int result;

  csp_set_error (error, CSP_VERDICT_MAY_HAVE_RUN, CSP_REASON_INTERNAL, 0,
                 "out of memory");
  result = post_and_wait (control, &waiter, CSP_COMMAND_CLAIM);
  *claim = waiter.claim_id;
  return result;
}

void
csp_end_claim (csp_control_t *control, uint64_t claim,
               csp_once_outcome_t outcome)
{
  csp_control_command_t *command = csp_create_command (CSP_COMMAND_END_CLAIM);

  /* Without memory the claim stays open; no host takes an open claim as not
     run.  */
  if (command == NULL)
    return;
  command->id = claim;
  command->once_outcome = outcome;
  csp_post_command (control, command);
}

char *
csp_describe_control (csp_control_t *control)
{
  csp_waiter_t waiter = { 0 };

  post_and_wait (control, &waiter, CSP_COMMAND_DESCRIBE);
  return waiter.status_json;
}

void
csp_report_progress (csp_control_t *control, const csp_grant_t *grant,
                     uint64_t tokens, int64_t blocked_ms)
{
  csp_control_command_t *command = csp_create_command (CSP_COMMAND_PROGRESS);

  if (command == NULL)
    return;
  command->tracking_id = grant->tracking_id;
  command->tokens = tokens;
  command->blocked_ms = blocked_ms;
  csp_post_command (control, command);
}

void
csp_release_grant (csp_control_t *control, const csp_grant_t *grant,
                   const csp_grant_outcome_t *outcome)
{
  csp_control_command_t *command = csp_create_command (CSP_COMMAND_RELEASE);

  /* Without the command the grant would never be released, so stop the
     process.  */
  if (command == NULL)
    abort ();
  command->tracking_id = grant->tracking_id;
  command->outcome = *outcome;
  csp_post_command (control, command);
  csp_unref_recall (grant->recall);
}
