#include "soak/soak.h"

#include <stdlib.h>

/* Hosts that lose their paths to all servers, while callers, the store and the
   other hosts still reach them.  These faults use a random generator of their
   own, so that they don't change the other faults of a seed.  */

enum
{
  FIRST_MS = 4000,
  FIRST_SPREAD_MS = 2000,
  LASTS_MS = 7000,
  LASTS_SPREAD_MS = 3000,
  /* Requests count from this long after the cut began.  */
  NOTICED_MS = 3000,
  /* Of the hosts so many in a hundred are cut off at most.  */
  CUT_PER_CENT = 65,
  PER_CENT = 100,
  FAILURES_ALLOWED = 10,
  FAILURES_DIVISOR = 50
};

void
cut_open (soak_t *soak)
{
  csp_seed_random (&soak->cut_random, soak->seed ^ 0x5c07);
  soak->cut_begins_ms
      = soak->began_ms + FIRST_MS
        + csp_random_below (&soak->cut_random, FIRST_SPREAD_MS);
  soak->cut_ends_ms = soak->cut_begins_ms + LASTS_MS
                      + csp_random_below (&soak->cut_random, LASTS_SPREAD_MS);
  /* Open connections are reset as the cut begins, or live on.  */
  soak->cut_resets = csp_random_below (&soak->cut_random, 2) == 0;
}

static bool
is_cut_now (const soak_t *soak)
{
  return soak_now_ms (soak) >= soak->cut_begins_ms
         && soak_now_ms (soak) < soak->cut_ends_ms;
}

bool
cut_refuses (void *context, const struct sockaddr_in *client)
{
  soak_t *soak = context;
  const host_t *host = host_at_address (soak, client);

  return host != NULL && host->is_cut && is_cut_now (soak);
}

static void
begin_cut (soak_t *soak)
{
  uint32_t most = (uint32_t)soak->host_count * CUT_PER_CENT / PER_CENT;
  uint32_t count = 1 + csp_random_below (&soak->cut_random, most);
  size_t first
      = csp_random_below (&soak->cut_random, (uint32_t)soak->host_count);
  size_t i;

  for (i = 0; i < count; i++)
    soak->hosts[(first + i) % soak->host_count].is_cut = true;
  soak_log_event (soak,
                  "%u hosts from %s on lose their paths to all servers for "
                  "%llu ms; open connections %s",
                  count, soak->hosts[first].name,
                  (unsigned long long)(soak->cut_ends_ms - soak_now_ms (soak)),
                  soak->cut_resets ? "are reset" : "live on");
  for (i = 0; i < soak->server_count && soak->cut_resets; i++)
    {
      if (server_state (soak->servers[i]) == SERVER_GONE)
        continue;
      server_mark_disturbed (soak->servers[i], soak_now_ms (soak));
      proxy_reset_refused (server_proxy (soak->servers[i]));
    }
}

void
cut_tick (soak_t *soak)
{
  if (!soak->cuts_enabled || soak->cut_begun || !is_cut_now (soak))
    return;
  soak->cut_begun = true;
  begin_cut (soak);
}

bool
cut_may_relay (const soak_t *soak, const request_t *request)
{
  return soak->cut_begun && soak->hosts[request->host].is_cut
         && soak_now_ms (soak) >= soak->cut_begins_ms
         && request->sent_ms < soak->cut_ends_ms + NOTICED_MS;
}

void
cut_count_request (soak_t *soak, const request_t *request, bool served)
{
  const host_t *host = &soak->hosts[request->host];

  if (!soak->cut_begun || request->hung_up_ms != 0
      || request->poison_series != 0 || request->kind == KIND_STREAM
      || request->refusable || request->host_incarnation != host->incarnation
      || request->sent_ms < host->disturbed_until_ms
      || request->sent_ms < soak->cut_begins_ms + NOTICED_MS
      || request->sent_ms >= soak->cut_ends_ms)
    return;
  soak->cut_sent[host->is_cut]++;
  soak->cut_served[host->is_cut] += served;
}

void
cut_check_final (soak_t *soak)
{
  uint32_t sent = soak->cut_sent[0] + soak->cut_sent[1];
  uint32_t served = soak->cut_served[0] + soak->cut_served[1];

  if (!soak->cut_begun)
    return;
  soak_log_event (soak,
                  "hosts without paths served %u of %u first tries, the "
                  "others %u of %u",
                  soak->cut_served[1], soak->cut_sent[1], soak->cut_served[0],
                  soak->cut_sent[0]);
  /* Where the other hosts refuse most requests too, as all zones are evacuated
     or all servers are at their limits, chance decides.  */
  if (2 * soak->cut_served[0] < soak->cut_sent[0])
    return;
  if (soak->cut_sent[0] > 0 && soak->cut_sent[1] > 0
      && sent - served > FAILURES_ALLOWED + sent / FAILURES_DIVISOR
      && (uint64_t)3 * soak->cut_served[1] * soak->cut_sent[0]
             < (uint64_t)2 * soak->cut_served[0] * soak->cut_sent[1])
    soak_report_violation (soak, "RECOVER",
                           "hosts without paths to servers served %u of %u "
                           "first tries, the others %u of %u",
                           soak->cut_served[1], soak->cut_sent[1],
                           soak->cut_served[0], soak->cut_sent[0]);
}
