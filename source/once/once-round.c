#include "once/once-round-imp.h"

#include <string.h>

enum
{
  MAX_TELLS = 3,
  RETRY_SOON_MS = 1000
};

/* Tell those that were asked and have not yet acknowledged.  */
static void
list_untold (csp_once_round_t *round, csp_once_action_t *action)
{
  size_t i;

  for (i = 0; i < round->count; i++)
    if (round->hosts[i].touched && !round->hosts[i].told)
      round->list[action->host_count++] = round->hosts[i].name;
  action->hosts = round->list;
  action->tell.key = round->key;
  action->tell.claim = round->claim;
  action->tell.outcome = round->outcome;
}

static void
end_round (csp_once_round_t *round, csp_once_outcome_t outcome, int64_t now_ms,
           csp_once_action_t *action)
{
  round->outcome = outcome;
  round->state = ROUND_TELLING;
  round->tells = 1;
  round->resend_ms = now_ms + round->settings.answer_timeout_ms;
  list_untold (round, action);
  if (action->host_count == 0)
    round->state = ROUND_OVER;
  action->kind = CSP_ONCE_TELL;
}

/* End without a run.  Only a claim that was granted knows that no other was,
   so only it closes the key and promises `not run`.  */
static void
give_up (csp_once_round_t *round, csp_verdict_t verdict, csp_reason_t reason,
         uint32_t retry_after_ms, const char *detail, int64_t now_ms,
         csp_once_action_t *action)
{
  bool granted = round->state == ROUND_GRANTED || round->state == ROUND_SENT;

  end_round (round, granted ? CSP_ONCE_CLOSED : CSP_ONCE_NOT_RUN, now_ms,
             action);
  action->kind = CSP_ONCE_GIVE_UP;
  csp_set_error (&action->error, verdict, reason, retry_after_ms, "%s",
                 detail);
}

static void
give_up_undecided (csp_once_round_t *round, uint32_t retry_after_ms,
                   const char *detail, int64_t now_ms,
                   csp_once_action_t *action)
{
  give_up (round, CSP_VERDICT_MAY_HAVE_RUN, CSP_REASON_UNDECIDED,
           retry_after_ms, detail, now_ms, action);
}

static void
fill_ask (const csp_once_round_t *round, csp_once_action_t *action)
{
  action->kind = CSP_ONCE_ASK;
  action->hosts = round->list;
  action->ask.key = round->key;
  action->ask.claim = round->claim;
}

static void
ask_hosts (csp_once_round_t *round, host_status_t status, size_t limit,
           int64_t now_ms, csp_once_action_t *action)
{
  host_t *host;

  for (host = round->hosts;
       host < round->hosts + round->count && action->host_count < limit;
       host++)
    {
      if (host->status != status)
        continue;
      csp_mark_once_host (round, host, HOST_ASKED);
      host->touched = true;
      round->list[action->host_count++] = host->name;
    }
  round->resend_ms = now_ms + round->settings.resend_ms;
  fill_ask (round, action);
}

/* Every host has answered or is taken for silent.  Two claims of one key have
   to meet at a host that remembers: an earlier claim may have gone without
   allowed_silent of the hosts that it saw, so more witnesses than that are
   needed.  A host that started after the key was made is none: its earlier
   life may have granted the key, or an asker may not have had it in its list.
   Were it counted, a key would run twice once the hosts around it had been
   replaced; a buyer would see a second quote.  */
static void
finish_asking (csp_once_round_t *round, int64_t now_ms,
               csp_once_action_t *action)
{
  if (round->witnesses < round->settings.needed_witnesses)
    {
      give_up_undecided (round, 0,
                         "too few hosts are older than the key to know "
                         "whether it ran",
                         now_ms, action);
      return;
    }
  round->state = ROUND_GRANTED;
  action->kind = CSP_ONCE_RUN;
}

static void
go_on (csp_once_round_t *round, int64_t now_ms, csp_once_action_t *action)
{
  if (round->by_status[HOST_SILENT] > round->settings.allowed_silent)
    {
      give_up_undecided (round, RETRY_SOON_MS,
                         "a host that may have run the key is silent", now_ms,
                         action);
      return;
    }
  if (round->by_status[HOST_ASKED] > 0)
    return;
  if (round->by_status[HOST_UNASKED] > 0)
    {
      round->state = ROUND_REST;
      round->asked_ms = now_ms;
      ask_hosts (round, HOST_UNASKED, round->count, now_ms, action);
      return;
    }
  finish_asking (round, now_ms, action);
}

/* A host paused for long has an old list.  It would ask only hosts that it
   knew, miss those that granted since, and run the key again.  A key of one
   host needs no list: its home decides alone.  */
static bool
view_is_good (const csp_once_round_t *round, int64_t now_ms)
{
  if (round->key.scope == CSP_ONCE_SCOPE_HOST)
    return true;
  return round->view_complete
         && now_ms - round->view_ms <= round->settings.view_lease_ms;
}

/* Concurrent claims all start at one host, the first in rendezvous order, and
   all but one end there.  Asked in any order, each would stop the other.  */
void
csp_start_once_round (csp_once_round_t *round, int64_t now_ms, int64_t wall_ms,
                      csp_once_action_t *action)
{
  memset (action, 0, sizeof *action);
  round->run_until_ms = now_ms + round->settings.grant_lease_ms;
  if (round->run_until_ms > round->deadline_ms)
    round->run_until_ms = round->deadline_ms;
  round->asked_ms = now_ms;
  if (!view_is_good (round, now_ms))
    give_up_undecided (round, RETRY_SOON_MS,
                       "this host's list of hosts is not up to date", now_ms,
                       action);
  else if (round->count == 0)
    give_up_undecided (round, RETRY_SOON_MS,
                       "the hosts that know the key are not in the list",
                       now_ms, action);
  else if (round->key.date_ms > wall_ms + round->settings.clock_skew_ms)
    give_up_undecided (round, RETRY_SOON_MS, "the key is dated in the future",
                       now_ms, action);
  else
    ask_hosts (round, HOST_UNASKED, 1, now_ms, action);
}

static bool
is_witness (const csp_once_round_t *round, const csp_claim_answer_t *answer)
{
  if (round->key.scope == CSP_ONCE_SCOPE_HOST)
    return csp_same_host (&answer->from, &round->key.home);
  return answer->witness_since_ms + 2 * round->settings.clock_skew_ms
         <= round->key.date_ms;
}

static void
take_seen (csp_once_round_t *round, csp_once_outcome_t outcome, int64_t now_ms,
           csp_once_action_t *action)
{
  switch (outcome)
    {
    case CSP_ONCE_OPEN:
    case CSP_ONCE_NOT_RUN:
      give_up_undecided (round, RETRY_SOON_MS,
                         "another attempt with this key is under way", now_ms,
                         action);
      return;
    case CSP_ONCE_RAN:
      give_up (round, CSP_VERDICT_RAN, CSP_REASON_REPEATED, 0,
               "an earlier attempt with this key ran", now_ms, action);
      return;
    case CSP_ONCE_MAY_HAVE_RUN:
      give_up (round, CSP_VERDICT_MAY_HAVE_RUN, CSP_REASON_REPEATED, 0,
               "an earlier attempt with this key was cut", now_ms, action);
      return;
    case CSP_ONCE_CLOSED:
      give_up (round, CSP_VERDICT_NOT_RUN, CSP_REASON_REPEATED, 0,
               "this key is closed and never ran; take a new one", now_ms,
               action);
      return;
    }
}

static void
take_result (csp_once_round_t *round, host_t *host,
             const csp_claim_answer_t *answer, int64_t now_ms,
             csp_once_action_t *action)
{
  switch (answer->result)
    {
    case CSP_CLAIM_RECORDED:
      csp_mark_once_host (round, host, HOST_RECORDED);
      if (is_witness (round, answer))
        round->witnesses++;
      go_on (round, now_ms, action);
      return;
    case CSP_CLAIM_SEEN:
      take_seen (round, answer->outcome, now_ms, action);
      return;
    case CSP_CLAIM_FORGOTTEN:
      give_up_undecided (round, 0, "the key is too old to be remembered",
                         now_ms, action);
      return;
    case CSP_CLAIM_WRONG_DATE:
      give_up_undecided (round, RETRY_SOON_MS,
                         "the key is dated in the future", now_ms, action);
      return;
    case CSP_CLAIM_WRONG_HOST:
      give_up_undecided (round, 0, "the host that knew the key is gone",
                         now_ms, action);
      return;
    case CSP_CLAIM_FULL:
      give_up (round, CSP_VERDICT_MAY_HAVE_RUN, CSP_REASON_LIMIT,
               RETRY_SOON_MS, "a host has no room for more keys", now_ms,
               action);
      return;
    }
}

static bool
is_asking (const csp_once_round_t *round)
{
  return round->state == ROUND_FIRST || round->state == ROUND_REST;
}

static void
take_answer (csp_once_round_t *round, const csp_claim_answer_t *answer,
             int64_t now_ms, csp_once_action_t *action)
{
  host_t *host = csp_find_once_host (round, answer->from.name);

  if (!is_asking (round) || host == NULL || host->status != HOST_ASKED
      || answer->claim.high != round->claim.high
      || answer->claim.low != round->claim.low)
    return;
  take_result (round, host, answer, now_ms, action);
}

static void
take_loss (csp_once_round_t *round, const char *name, int64_t now_ms,
           csp_once_action_t *action)
{
  host_t *host = csp_find_once_host (round, name);

  if (!is_asking (round) || host == NULL || host->status != HOST_ASKED)
    return;
  csp_mark_once_host (round, host, HOST_SILENT);
  go_on (round, now_ms, action);
}

/* A host that was paused after its claim was granted wakes up and would run
   what its caller has long given up; hosts forget the key meanwhile.  So the
   grant has a lease from before the asks, looked at immediately before bytes
   leave.  */
static void
permit_send (csp_once_round_t *round, int64_t now_ms,
             csp_once_action_t *action)
{
  if (round->state != ROUND_GRANTED && round->state != ROUND_SENT)
    return;
  if (now_ms >= round->run_until_ms)
    {
      give_up (round, CSP_VERDICT_NOT_RUN, CSP_REASON_DEADLINE, 0,
               "too late to send after the key was granted", now_ms, action);
      return;
    }
  round->state = ROUND_SENT;
  action->kind = CSP_ONCE_SEND;
}

static void
tick_asking (csp_once_round_t *round, int64_t now_ms,
             csp_once_action_t *action)
{
  size_t i;

  if (now_ms >= round->deadline_ms)
    {
      give_up (round, CSP_VERDICT_MAY_HAVE_RUN, CSP_REASON_DEADLINE, 0,
               "the deadline passed while hosts were asked", now_ms, action);
      return;
    }
  if (now_ms - round->asked_ms < round->settings.answer_timeout_ms)
    {
      ask_hosts (round, HOST_ASKED, round->count, now_ms, action);
      return;
    }
  for (i = 0; i < round->count; i++)
    if (round->hosts[i].status == HOST_ASKED)
      csp_mark_once_host (round, &round->hosts[i], HOST_SILENT);
  go_on (round, now_ms, action);
}

static void
tick_telling (csp_once_round_t *round, int64_t now_ms,
              csp_once_action_t *action)
{
  if (round->tells == MAX_TELLS)
    {
      round->state = ROUND_OVER;
      return;
    }
  round->tells++;
  round->resend_ms = now_ms + round->settings.answer_timeout_ms;
  list_untold (round, action);
  action->kind = CSP_ONCE_TELL;
}

static void
take_tick (csp_once_round_t *round, int64_t now_ms, csp_once_action_t *action)
{
  if (now_ms < csp_next_once_tick (round))
    return;
  switch (round->state)
    {
    case ROUND_FIRST:
    case ROUND_REST:
      tick_asking (round, now_ms, action);
      return;
    case ROUND_GRANTED:
      give_up (round, CSP_VERDICT_NOT_RUN, CSP_REASON_DEADLINE, 0,
               "too late to send after the key was granted", now_ms, action);
      return;
    case ROUND_TELLING:
      tick_telling (round, now_ms, action);
      return;
    case ROUND_SENT:
    case ROUND_OVER:
      return;
    }
}

static void
take_told (csp_once_round_t *round, const char *name)
{
  host_t *host = csp_find_once_host (round, name);
  size_t i;

  if (round->state != ROUND_TELLING || host == NULL)
    return;
  host->told = true;
  for (i = 0; i < round->count; i++)
    if (round->hosts[i].touched && !round->hosts[i].told)
      return;
  round->state = ROUND_OVER;
}

void
csp_step_once_round (csp_once_round_t *round, const csp_once_event_t *event,
                     int64_t now_ms, csp_once_action_t *action)
{
  memset (action, 0, sizeof *action);
  switch (event->kind)
    {
    case CSP_ONCE_TICK:
      take_tick (round, now_ms, action);
      return;
    case CSP_ONCE_ANSWER:
      take_answer (round, &event->u.answer, now_ms, action);
      return;
    case CSP_ONCE_HOST_LOST:
      take_loss (round, event->host, now_ms, action);
      return;
    case CSP_ONCE_BEFORE_SEND:
      permit_send (round, now_ms, action);
      return;
    case CSP_ONCE_ENDED:
      if (round->state == ROUND_GRANTED || round->state == ROUND_SENT)
        end_round (round, event->u.outcome, now_ms, action);
      return;
    case CSP_ONCE_HUNG_UP:
      if (is_asking (round) || round->state == ROUND_GRANTED)
        end_round (round, CSP_ONCE_NOT_RUN, now_ms, action);
      return;
    case CSP_ONCE_TOLD:
      take_told (round, event->host);
      return;
    }
}

int64_t
csp_next_once_tick (const csp_once_round_t *round)
{
  switch (round->state)
    {
    case ROUND_FIRST:
    case ROUND_REST:
      return round->resend_ms < round->deadline_ms ? round->resend_ms
                                                   : round->deadline_ms;
    case ROUND_GRANTED:
      return round->run_until_ms;
    case ROUND_TELLING:
      return round->resend_ms;
    case ROUND_SENT:
    case ROUND_OVER:
      break;
    }
  return INT64_MAX;
}

bool
csp_once_round_over (const csp_once_round_t *round)
{
  return round->state == ROUND_OVER;
}
