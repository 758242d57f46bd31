#include "soak/soak.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* Gateways as processes: started, signalled by their numbers, and asked
   whether they are ready as a balancer does.  */

enum
{
  RESTART_MS = 200,
  ASK_MS = 1000,
  MISSES_OUT = 2,
  SEEDS = 3,
  SETTINGS_BYTES = 1024,
  PATH_BYTES = 300
};

bool
host_in_touch (const soak_t *soak, const host_t *host)
{
  return host->pid != 0 && !host->stopped
         && soak_now_ms (soak) >= host->disturbed_until_ms;
}

void
host_disturb (soak_t *soak, host_t *host, uint64_t for_ms)
{
  uint64_t until_ms = soak_now_ms (soak) + for_ms + SOAK_CONTACT_MS;

  if (until_ms > host->disturbed_until_ms)
    host->disturbed_until_ms = until_ms;
}

static void
write_settings (soak_t *soak, const host_t *host, const char *path)
{
  char addresses[4][32];
  char seeds[SEEDS][32];
  FILE *file = fopen (path, "w");
  size_t i;

  if (file == NULL)
    abort ();
  soak_print_address (&host->front, addresses[0]);
  soak_print_address (&host->ready, addresses[1]);
  soak_print_address (&host->peers, addresses[2]);
  soak_print_address (&host->store, addresses[3]);
  for (i = 0; i < SEEDS; i++)
    soak_print_address (&soak->hosts[i % soak->host_count].peers, seeds[i]);
  fprintf (
      file,
      "{\"host\":\"%s\",\"data_centre\":\"%s\",\"callers\":\"%s\","
      "\"readiness\":\"%s\",\"metrics\":\"127.0.0.1:0\","
      "\"peers\":\"%s\",\"seeds\":[\"%s\",\"%s\",\"%s\"],\"store\":\"%s\","
      "\"stop_limit_s\":%d,\"retry_share\":0.2,\"retry_extra\":58,"
      "\"cold_overage\":1.5,\"cold_tolerance\":3}\n",
      host->name, zone_name (soak, 0), addresses[0], addresses[1],
      addresses[2], seeds[0], seeds[1], seeds[2], addresses[3],
      SOAK_GRACE_MS / 1000);
  fclose (file);
}

/* In the child: standard output goes to the host's log.  */
static void
become_host (const soak_t *soak, const host_t *host, const char *settings)
{
  char log[PATH_BYTES];
  int descriptor;

  snprintf (log, sizeof log, "%s/%s.log", soak->work, host->name);
  descriptor = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2 (descriptor, STDOUT_FILENO);
  dup2 (descriptor, STDERR_FILENO);
  execl (soak->program, soak->program, "--settings", settings, (char *)NULL);
  _exit (127);
}

void
host_start (soak_t *soak, host_t *host)
{
  char settings[PATH_BYTES];

  snprintf (settings, sizeof settings, "%s/%s.json", soak->work, host->name);
  write_settings (soak, host, settings);
  host->boot++;
  host->flips_seen = 0;
  host->stopped = false;
  host->terminating = false;
  host->started_ms = soak_now_ms (soak);
  host_disturb (soak, host, 0);
  host->pid = fork ();
  if (host->pid == 0)
    become_host (soak, host, settings);
  if (host->pid < 0)
    abort ();
}

void
host_signal (soak_t *soak, host_t *host, int number)
{
  if (host->pid == 0)
    return;
  kill (host->pid, number);
  switch (number)
    {
    case SIGSTOP:
      host->stopped = true;
      host->frozen_ms = soak_now_ms (soak);
      host_disturb (soak, host, 0);
      break;
    case SIGCONT:
      host->stopped = false;
      host->frozen_ms = soak_now_ms (soak);
      host_disturb (soak, host, 0);
      break;
    case SIGTERM:
      host->terminating = true;
      host->terminated_ms = soak_now_ms (soak);
      break;
    case SIGKILL:
      host_disturb (soak, host, 0);
      break;
    default:
      break;
    }
}

void
host_exited (soak_t *soak, pid_t pid, int status)
{
  size_t i;

  for (i = 0; i < soak->host_count; i++)
    {
      host_t *host = &soak->hosts[i];

      if (host->pid != pid)
        continue;
      /* SIGTERM ends a process by itself where it has only just begun.  */
      if (WIFSIGNALED (status) && WTERMSIG (status) != SIGKILL
              ? WTERMSIG (status) != SIGTERM
              : !WIFSIGNALED (status)
                    && (!host->terminating || WEXITSTATUS (status) != 0))
        soak_violation (soak, "FAULT", "%s ended by itself: status %d",
                        host->name, status);
      host->pid = 0;
      host->in_rotation = false;
      host->restart_at_ms = soak_now_ms (soak) + RESTART_MS;
      host_disturb (soak, host, RESTART_MS);
    }
}

typedef struct
{
  soak_t *soak;
  host_t *host;
  uv_timer_t timer;
  wire_t *wire;
  bool answered;
} question_t;

static void
free_question (uv_handle_t *handle)
{
  free (handle->data);
}

static void
end_question (question_t *question, bool ready)
{
  host_t *host = question->host;

  if (question->wire != NULL)
    wire_close (question->wire);
  question->wire = NULL;
  host->misses = ready ? 0 : (uint8_t)(host->misses + 1);
  if (ready)
    host->in_rotation = true;
  else if (host->misses >= MISSES_OUT)
    host->in_rotation = false;
  uv_close ((uv_handle_t *)&question->timer, free_question);
}

static void
on_ready_answered (wire_t *wire, const wire_message_t *head)
{
  question_t *question = wire_owner (wire);

  question->answered = true;
  end_question (question, head->status == 200);
}

static void
on_ready_closed (wire_t *wire)
{
  question_t *question = wire_owner (wire);

  question->wire = NULL;
  if (!question->answered)
    end_question (question, false);
}

static void
on_ready_late (uv_timer_t *timer)
{
  end_question (timer->data, false);
}

static void
on_ready_end (wire_t *wire)
{
  (void)wire;
}

static const wire_events_t ready_events = { .answered = on_ready_answered,
                                            .ended = on_ready_end,
                                            .closed = on_ready_closed };

static void
ask_ready (soak_t *soak, host_t *host)
{
  question_t *question = calloc (1, sizeof *question);

  if (question == NULL)
    abort ();
  question->soak = soak;
  question->host = host;
  uv_timer_init (&soak->loop, &question->timer);
  question->timer.data = question;
  uv_timer_start (&question->timer, on_ready_late, ASK_MS, 0);
  question->wire
      = wire_connect (&soak->loop, &host->ready, &ready_events, question);
  wire_print (question->wire, "GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n");
}

void
host_tick (soak_t *soak, host_t *host)
{
  uint64_t now_ms = soak_now_ms (soak);

  if (host->pid == 0 && now_ms >= host->restart_at_ms)
    host_start (soak, host);
  if (host->stopped && now_ms >= host->continue_at_ms)
    host_signal (soak, host, SIGCONT);
  if (host->terminating && host->pid != 0
      && now_ms >= host->terminated_ms + SOAK_GRACE_MS)
    {
      soak_note (soak, "%s is killed behind its grace", host->name);
      host_signal (soak, host, SIGKILL);
    }
  if (proxy_mode (host->store_proxy) != PROXY_PASS
      && now_ms >= host->store_heals_ms)
    {
      proxy_set_mode (host->store_proxy, PROXY_PASS, 0);
      host_disturb (soak, host, 0);
    }
  if (now_ms / ASK_MS != (now_ms - 100) / ASK_MS)
    ask_ready (soak, host);
}

void
host_end_all (soak_t *soak)
{
  size_t i;

  for (i = 0; i < soak->host_count; i++)
    if (soak->hosts[i].pid != 0)
      {
        kill (soak->hosts[i].pid, SIGKILL);
        waitpid (soak->hosts[i].pid, NULL, 0);
        soak->hosts[i].pid = 0;
      }
}
