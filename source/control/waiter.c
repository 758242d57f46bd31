#include "control/control-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  GONE_POLL_MS = 200,
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

/* Wait for a while, then look whether the caller is still there.  One that
   hung up would otherwise keep its turn in the queue, and an engine would
   work for nobody.  Called and returns with the lock held.  */
static void
await_decision (csp_control_t *control, csp_waiter_t *waiter, bool *abandoned)
{
  csp_control_command_t *command;
  struct timespec until;

  if (*abandoned || waiter->ask == NULL || waiter->ask->is_gone == NULL)
    {
      pthread_cond_wait (&waiter->decided, &waiter->lock);
      return;
    }
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_nsec += (long)GONE_POLL_MS * NS_PER_MS;
  until.tv_sec += until.tv_nsec / NS_PER_S;
  until.tv_nsec %= NS_PER_S;
  if (pthread_cond_timedwait (&waiter->decided, &waiter->lock, &until) == 0
      || !waiter->ask->is_gone (waiter->ask->gone_state))
    return;
  command = csp_new_command (CSP_COMMAND_ABANDON);
  if (command == NULL)
    return;
  command->id = waiter->number;
  csp_post_command (control, command);
  *abandoned = true;
}

static int
await_answer (csp_control_t *control, csp_waiter_t *waiter,
              csp_control_command_kind_t kind)
{
  csp_control_command_t *command = csp_new_command (kind);
  bool abandoned = false;

  if (command == NULL)
    return -1;
  pthread_mutex_init (&waiter->lock, NULL);
  pthread_cond_init (&waiter->decided, NULL);
  command->waiter = waiter;
  waiter->number = atomic_fetch_add (&control->next_waiter, 1);
  csp_post_command (control, command);
  pthread_mutex_lock (&waiter->lock);
  while (!waiter->is_decided)
    await_decision (control, waiter, &abandoned);
  pthread_mutex_unlock (&waiter->lock);
  pthread_cond_destroy (&waiter->decided);
  pthread_mutex_destroy (&waiter->lock);
  return waiter->result;
}

int
csp_ask_admission (csp_control_t *control, const csp_admission_ask_t *ask,
                   csp_grant_t *grant, csp_error_t *error)
{
  csp_waiter_t waiter = { .held = *ask, .grant = grant, .error = error };

  csp_set_error (error, CSP_VERDICT_NOT_RUN, CSP_REASON_INTERNAL, 0,
                 "out of memory");
  memset (grant, 0, sizeof *grant);
  waiter.ask = &waiter.held;
  return await_answer (control, &waiter, CSP_COMMAND_ADMIT);
}

bool
csp_confirm_grant (csp_control_t *control, const csp_grant_t *grant,
                   uint64_t claim)
{
  csp_waiter_t waiter = { .grant = (csp_grant_t *)grant, .once_id = claim };

  return await_answer (control, &waiter, CSP_COMMAND_CONFIRM) == 0;
}

int
csp_claim_run (csp_control_t *control, const csp_once_ask_t *ask,
               uint64_t *claim, csp_error_t *error)
{
  csp_waiter_t waiter = { .once_ask = ask, .error = error };
  int result;

  csp_set_error (error, CSP_VERDICT_MAY_HAVE_RUN, CSP_REASON_INTERNAL, 0,
                 "out of memory");
  result = await_answer (control, &waiter, CSP_COMMAND_CLAIM);
  *claim = waiter.once_id;
  return result;
}

void
csp_end_claim (csp_control_t *control, uint64_t claim,
               csp_once_outcome_t outcome)
{
  csp_control_command_t *command = csp_new_command (CSP_COMMAND_END_CLAIM);

  /* Without memory the claim stays open, which nobody takes for not run.  */
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

  await_answer (control, &waiter, CSP_COMMAND_DESCRIBE);
  return waiter.text;
}

void
csp_note_progress (csp_control_t *control, const csp_grant_t *grant,
                   uint64_t tokens, int64_t blocked_ms)
{
  csp_control_command_t *command = csp_new_command (CSP_COMMAND_PROGRESS);

  if (command == NULL)
    return;
  command->place = grant->place;
  command->tokens = tokens;
  command->blocked_ms = blocked_ms;
  csp_post_command (control, command);
}

void
csp_release_grant (csp_control_t *control, const csp_grant_t *grant,
                   const csp_place_outcome_t *outcome)
{
  csp_control_command_t *command = csp_new_command (CSP_COMMAND_RELEASE);

  /* Without memory the place would be lost for good; better to stop.  */
  if (command == NULL)
    abort ();
  command->place = grant->place;
  command->outcome = *outcome;
  csp_post_command (control, command);
  csp_drop_recall (grant->recall);
}
