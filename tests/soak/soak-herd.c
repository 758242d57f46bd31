#include "soak/soak.h"

#include <signal.h>
#include <stdlib.h>

/* Most new connections go to one of the hosts in rotation, to another one once
   that one is out, and callers open new ones more often.  That host has a
   quarter of a core, unless its link is narrow.  */

enum
{
  FIRST_MS = 6000,
  LASTS_MS = 8000,
  PAUSE_MS = 6000,
  /* Requests count from this long after the herd began, and for this long
     before.  */
  NOTICED_MS = 3000,
  BEFORE_MS = 4000,
  HERD_PER_CENT = 85,
  KEEP_ALIVE_PER_CENT = 30,
  PER_CENT = 100,
  /* The process stands still for the rest of each tenth of a second.  */
  ALLOTMENT_MS = 100,
  STANDS_STILL_MS = 75,
  JUDGED = 20
};

typedef enum
{
  PHASE_BEFORE,
  PHASE_HERD,
  PHASE_BESIDE, /* at the other hosts meanwhile */
  PHASES
} phase_t;

struct herd
{
  csp_random_t random;
  uint64_t begins_ms;
  size_t first; /* the host, unless it is out of rotation */
  host_t *squeezed;
  uv_timer_t stop;
  uv_timer_t go_on;
  uint32_t sent[PHASES]; /* first tries */
  uint32_t served[PHASES];
};

static bool
is_now (const soak_t *soak)
{
  uint64_t now_ms = soak_now_ms (soak);

  return now_ms >= soak->herd->begins_ms
         && now_ms < soak->herd->begins_ms + LASTS_MS;
}

static void
go_on (uv_timer_t *timer)
{
  soak_t *soak = timer->data;
  host_t *host = soak->herd->squeezed;

  if (host != NULL && host->pid != 0 && !host->paused)
    kill (host->pid, SIGCONT);
  soak->herd->squeezed = NULL;
}

static void
stop (uv_timer_t *timer)
{
  soak_t *soak = timer->data;
  herd_t *herd = soak->herd;
  host_t *host = &soak->hosts[herd_choose_host (soak, herd->first)];

  if (!is_now (soak) || herd->squeezed != NULL || host->pid == 0
      || host->paused)
    return;
  herd->squeezed = host;
  kill (host->pid, SIGSTOP);
  uv_timer_start (&herd->go_on, go_on, STANDS_STILL_MS, 0);
}

void
herd_open (soak_t *soak)
{
  herd_t *herd = calloc (1, sizeof *herd);

  if (herd == NULL)
    abort ();
  soak->herd = herd;
  csp_seed_random (&herd->random, soak->seed ^ 0x4e2d);
  herd->begins_ms = soak->began_ms + FIRST_MS;
  herd->first = csp_random_below (&herd->random, (uint32_t)soak->host_count);
  uv_timer_init (&soak->loop, &herd->stop);
  uv_timer_init (&soak->loop, &herd->go_on);
  herd->stop.data = soak;
  herd->go_on.data = soak;
  uv_timer_start (&herd->stop, stop, ALLOTMENT_MS, ALLOTMENT_MS);
}

void
herd_tick (soak_t *soak)
{
  herd_t *herd = soak->herd;

  /* With narrow links one herd fills the soak, and streams that it has refused
     come back behind it.  */
  if (herd == NULL || soak->narrow_enabled
      || soak_now_ms (soak) < herd->begins_ms + LASTS_MS + PAUSE_MS)
    return;
  herd->begins_ms = soak_now_ms (soak);
  herd->first = csp_random_below (&herd->random, (uint32_t)soak->host_count);
}

size_t
herd_choose_host (soak_t *soak, size_t first)
{
  herd_t *herd = soak->herd;
  size_t i;

  if (herd != NULL && is_now (soak)
      && csp_random_below (&herd->random, PER_CENT) < HERD_PER_CENT)
    first = herd->first;
  for (i = 0; i < soak->host_count; i++)
    if (soak->hosts[(first + i) % soak->host_count].in_rotation)
      return (first + i) % soak->host_count;
  return first;
}

uint32_t
herd_keep_alive_per_cent (const soak_t *soak, uint32_t usual)
{
  return soak->herd != NULL && is_now (soak) ? KEEP_ALIVE_PER_CENT : usual;
}

/* read: the host has read the request; one that is closed unread isn't
   counted.  Nor is one that all hosts refuse.  */
void
herd_count_request (soak_t *soak, const request_t *request, bool read,
                    bool served)
{
  herd_t *herd = soak->herd;
  phase_t phase = PHASE_BEFORE;

  if (herd == NULL || !read || request->poison_series != 0
      || request->hung_up_ms != 0 || zone_refuses (soak, request)
      || !host_is_undisturbed (soak, &soak->hosts[request->host]))
    return;
  if (request->sent_ms >= herd->begins_ms + NOTICED_MS
      && request->sent_ms < herd->begins_ms + LASTS_MS)
    phase = request->host == herd->first ? PHASE_HERD : PHASE_BESIDE;
  else if (request->sent_ms >= herd->begins_ms
           || request->sent_ms + BEFORE_MS < herd->begins_ms)
    return;
  herd->sent[phase]++;
  herd->served[phase] += served;
}

/* Whether first tries in the herd were served less than three quarters as
   often.  */
static bool
is_worse_than (const herd_t *herd, phase_t phase)
{
  return herd->sent[phase] >= JUDGED
         && (uint64_t)4 * herd->served[PHASE_HERD] * herd->sent[phase]
                < (uint64_t)3 * herd->served[phase] * herd->sent[PHASE_HERD];
}

/* Other faults that begin with the herd, such as an evacuation of all zones,
   hit all hosts alike.  */
void
herd_check_final (soak_t *soak)
{
  const herd_t *herd = soak->herd;

  if (herd == NULL)
    return;
  soak_log_event (soak,
                  "first tries served: %u of %u before, %u of %u in a herd, "
                  "%u of %u beside it",
                  herd->served[PHASE_BEFORE], herd->sent[PHASE_BEFORE],
                  herd->served[PHASE_HERD], herd->sent[PHASE_HERD],
                  herd->served[PHASE_BESIDE], herd->sent[PHASE_BESIDE]);
  if (herd->sent[PHASE_HERD] >= JUDGED && is_worse_than (herd, PHASE_BEFORE)
      && is_worse_than (herd, PHASE_BESIDE))
    soak_report_violation (
        soak, "RECOVER",
        "in a herd %u of %u first tries were served, before %u of %u, beside "
        "it %u of %u",
        herd->served[PHASE_HERD], herd->sent[PHASE_HERD],
        herd->served[PHASE_BEFORE], herd->sent[PHASE_BEFORE],
        herd->served[PHASE_BESIDE], herd->sent[PHASE_BESIDE]);
}
