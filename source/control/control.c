#include <urcu.h>

#include "control/control-imp.h"
#include "cowslipspoke/text.h"

#include <stdlib.h>
#include <string.h>

enum
{
  FETCHER_THREADS = 6,
  NS_PER_MS = 1000000,
  NS_PER_S = 1000000000
};

csp_control_command_t *
csp_create_command (csp_control_command_kind_t kind)
{
  csp_control_command_t *command = calloc (1, sizeof *command);

  if (command != NULL)
    command->kind = kind;
  return command;
}

void
csp_free_command (csp_control_command_t *command)
{
  if (command == NULL)
    return;
  free (command->body);
  free (command);
}

void
csp_post_command (csp_control_t *control, csp_control_command_t *command)
{
  pthread_mutex_lock (&control->inbox_lock);
  *control->inbox_last = command;
  control->inbox_last = &command->next;
  pthread_cond_signal (&control->inbox_wake);
  pthread_mutex_unlock (&control->inbox_lock);
}

static void
set_wake_time (struct timespec *until)
{
  clock_gettime (CLOCK_MONOTONIC, until);
  until->tv_nsec += (long)CSP_CONTROL_TICK_MS * NS_PER_MS;
  if (until->tv_nsec >= NS_PER_S)
    {
      until->tv_nsec -= NS_PER_S;
      until->tv_sec++;
    }
}

/* Remove all commands from the inbox; waits up to a tick for the first one. */
static csp_control_command_t *
drain_inbox (csp_control_t *control, bool *stopping)
{
  struct timespec until;
  csp_control_command_t *commands;
  int waited = 0;

  set_wake_time (&until);
  pthread_mutex_lock (&control->inbox_lock);
  while (control->inbox_first == NULL && !control->stopping && waited == 0)
    waited = pthread_cond_timedwait (&control->inbox_wake,
                                     &control->inbox_lock, &until);
  commands = control->inbox_first;
  control->inbox_first = NULL;
  control->inbox_last = &control->inbox_first;
  *stopping = control->stopping;
  pthread_mutex_unlock (&control->inbox_lock);
  return commands;
}

static void
answer_describe (csp_control_t *control, csp_control_command_t *command,
                 int64_t now_ms)
{
  command->waiter->status_json = csp_render_status (control, now_ms);
  csp_answer_waiter (command->waiter, 0);
}

static void
answer_confirm (csp_control_t *control, csp_waiter_t *waiter, int64_t now_ms)
{
  bool is_valid
      = csp_confirm_request (control, waiter->grant->tracking_id, now_ms);

  /* The claim is checked last: a call with a confirmed claim counts as
     sent.  */
  if (is_valid && waiter->claim_id != 0)
    is_valid = csp_confirm_once (control, waiter->claim_id, now_ms);

  csp_answer_waiter (waiter, is_valid ? 0 : -1);
}

static void
run_command (csp_control_t *control, csp_control_command_t *command,
             int64_t now_ms)
{
  switch (command->kind)
    {
    case CSP_COMMAND_ADMIT:
      csp_enqueue_waiter (control, command->waiter, now_ms);
      break;
    case CSP_COMMAND_CONFIRM:
      answer_confirm (control, command->waiter, now_ms);
      break;
    case CSP_COMMAND_ABANDON:
      csp_abandon_waiter (control, command->id, now_ms);
      break;
    case CSP_COMMAND_CLAIM:
      csp_start_claim (control, command->waiter, now_ms);
      break;
    case CSP_COMMAND_END_CLAIM:
      csp_end_once (control, command->id, command->once_outcome, now_ms);
      break;
    case CSP_COMMAND_PROGRESS:
      csp_handle_progress (control, command, now_ms);
      break;
    case CSP_COMMAND_RELEASE:
      csp_handle_release (control, command, now_ms);
      break;
    case CSP_COMMAND_CONFIG_READ:
      csp_handle_config_read (control, command, now_ms);
      break;
    case CSP_COMMAND_HOSTS_READ:
      csp_handle_hosts_read (control, command, now_ms);
      break;
    case CSP_COMMAND_LOAD_READ:
      csp_handle_load_read (control, command, now_ms);
      break;
    case CSP_COMMAND_ORDER_STATUS:
      csp_handle_order_status (control, command, now_ms);
      break;
    case CSP_COMMAND_PEER_ASK:
      csp_handle_peer_ask (control, command, now_ms);
      break;
    case CSP_COMMAND_PEER_ANSWER:
      csp_handle_peer_answer (control, command, now_ms);
      break;
    case CSP_COMMAND_DESCRIBE:
      answer_describe (control, command, now_ms);
      break;
    }
}

static void
run_commands (csp_control_t *control, csp_control_command_t *commands)
{
  csp_control_command_t *next;

  for (; commands != NULL; commands = next)
    {
      next = commands->next;
      run_command (control, commands, csp_now_ms (&control->context->clock));
      csp_free_command (commands);
    }
}

static void *
run_control (void *state)
{
  csp_control_t *control = state;
  int64_t next_tick_ms = 0;
  int64_t now_ms;
  bool stopping = false;

  rcu_register_thread ();
  while (!stopping)
    {
      run_commands (control, drain_inbox (control, &stopping));
      now_ms = csp_now_ms (&control->context->clock);
      if (now_ms >= next_tick_ms)
        {
          csp_tick_peers (control, now_ms);
          csp_tick_config (control, now_ms);
          csp_tick_targets (control, now_ms);
          csp_tick_orders (control, now_ms);
          csp_sync_ownership (control, now_ms);
          csp_tick_spills (control, now_ms);
          csp_tick_once (control, now_ms);
          csp_tick_target_health (control, now_ms);
          csp_tick_preemption (control, now_ms);
          csp_tick_rules (control, now_ms);
          csp_tick_admission (control, true, now_ms);
          next_tick_ms = now_ms + CSP_CONTROL_TICK_MS;
        }
      csp_tick_admission (control, false, now_ms);
    }
  rcu_unregister_thread ();
  return NULL;
}

static bool
open_inbox (csp_control_t *control)
{
  pthread_condattr_t attributes;

  control->inbox_last = &control->inbox_first;
  pthread_mutex_init (&control->inbox_lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&control->inbox_wake, &attributes);
  pthread_condattr_destroy (&attributes);
  return true;
}

csp_control_t *
csp_create_control (const csp_context_t *context, char *message,
                    size_t message_bytes)
{
  csp_control_t *control = calloc (1, sizeof *control);
  uint64_t seed = csp_random_seed ();

  snprintf (message, message_bytes, "can't start the control thread");
  if (control == NULL)
    return NULL;
  control->context = context;
  csp_seed_random (&control->random, seed);
  control->incarnation = csp_make_incarnation (
      csp_wall_ms (&context->clock), csp_random_u64 (&control->random));
  open_inbox (control);
  csp_copy_text (control->platform.address, sizeof control->platform.address,
                 context->settings.platform_address);
  control->platform.port = context->settings.platform_port;
  control->fetcher = csp_create_fetcher (FETCHER_THREADS);
  if (control->fetcher == NULL
      || !csp_open_peers (control, message, message_bytes)
      || !csp_init_admission (control) || !csp_init_slots (control)
      || !csp_init_once (control, csp_now_ms (&context->clock))
      || !csp_init_config (control, csp_now_ms (&context->clock)))
    goto fail;
  control->thread_started
      = pthread_create (&control->thread, NULL, run_control, control) == 0;
  if (!control->thread_started)
    goto fail;
  return control;

fail:
  csp_destroy_control (control);
  return NULL;
}

static void
stop_thread (csp_control_t *control)
{
  if (!control->thread_started)
    return;
  pthread_mutex_lock (&control->inbox_lock);
  control->stopping = true;
  pthread_cond_signal (&control->inbox_wake);
  pthread_mutex_unlock (&control->inbox_lock);
  pthread_join (control->thread, NULL);
}

void
csp_destroy_control (csp_control_t *control)
{
  csp_control_command_t *command;

  if (control == NULL)
    return;
  stop_thread (control);
  csp_destroy_fetcher (control->fetcher);
  csp_destroy_peers (control->peers);
  while ((command = control->inbox_first) != NULL)
    {
      control->inbox_first = command->next;
      csp_free_command (command);
    }
  csp_close_once (control);
  csp_close_targets (control);
  csp_close_admission (control);
  csp_destroy_slot_table (control->slots);
  csp_destroy_lengths (control->lengths);
  csp_publish_view (control, NULL);
  csp_close_config (control);
  pthread_cond_destroy (&control->inbox_wake);
  pthread_mutex_destroy (&control->inbox_lock);
  free (control);
}

bool
csp_is_control_ready (csp_control_t *control)
{
  return atomic_load (&control->ready);
}

void
csp_set_control_leaving (csp_control_t *control)
{
  atomic_store (&control->leaving, true);
}

uint32_t
csp_count_open_claims (csp_control_t *control)
{
  return atomic_load (&control->open_claims);
}

uint16_t
csp_control_peer_port (const csp_control_t *control)
{
  return csp_peers_port (control->peers);
}

uint64_t
csp_control_incarnation (const csp_control_t *control)
{
  return control->incarnation;
}
