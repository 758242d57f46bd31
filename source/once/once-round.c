#include "once/once-round-imp.h"

#include <string.h>

enum
{
  MAX_OUTCOME_SENDS = 3,
  RETRY_SOON_MS = 1000
};

/* Addresses the outcome to the hosts that were asked and have not yet
   acknowledged it.  */
static void
fill_outcome (csp_once_round_t *round, csp_once_action_t *action)
{
  size_t i;

  for (i = 0; i < round->count; i++)
    if (round->hosts[i].was_asked && !round->hosts[i].acked)
      round->list[action->host_count++] = round->hosts[i].name;
  action->hosts = round->list;
  action->report.key = round->key;
  action->report.claim = round->claim;
  action->report.outcome = round->outcome;
}

static void
end_round (csp_once_round_t *round, csp_once_outcome_t outcome, int64_t now_ms,
           csp_once_action_t *action)
{
  round->outcome = outcome;
  round->state = ROUND_SENDING_OUTCOME;
  round->outcome_sends = 1;
  round->resend_ms = now_ms + round->settings.answer_timeout_ms;
  fill_outcome (round, action);
  if (action->host_count == 0)
    round->state = ROUND_OVER;
  action->kind = CSP_ONCE_SEND_OUTCOME;
}

/* Ends the round without a run.  Only a granted claim excludes that another
   claim runs, so only it closes the key and allows the answer `not run`.  */
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
  action->kind = CSP_ONCE_SEND_CLAIM;
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
      csp_set_once_host_status (round, host, HOST_ASKED);
      host->was_asked = true;
      round->list[action->host_count++] = host->name;
    }
  round->resend_ms = now_ms + round->settings.resend_ms;
  fill_ask (round, action);
}

/* Every host has answered or timed out.  An earlier claim may have proceeded
   without allowed_silent of its hosts, so more witnesses than that are needed
   for one of them to remember it.  A host that started after the key was
   created is no witness: its previous incarnation may have granted the key,
   or another host may have claimed the key without asking it.  If it were
   counted, a key could run twice once the other hosts had been replaced.  */
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
advance_round (csp_once_round_t *round, int64_t now_ms,
               csp_once_action_t *action)
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
      round->state = ROUND_ASKING_REST;
      round->wait_started_ms = now_ms;
      ask_hosts (round, HOST_UNASKED, round->count, now_ms, action);
      return;
    }
  finish_asking (round, now_ms, action);
}

/* After a long pause a host's list is stale: the host would not ask newer
   hosts that have granted the key since, and would run it again.  A key with
   host scope needs no list, since one host decides alone.  */
static bool
is_view_current (const csp_once_round_t *round, int64_t now_ms)
{
  if (round->key.scope == CSP_ONCE_SCOPE_HOST)
    return true;
  return round->view_complete
         && now_ms - round->view_confirmed_ms <= round->settings.view_lease_ms;
}

/* Concurrent claims of one key all ask the first host in rendezvous order
   first, and that host records only one of them.  If they asked hosts in
   different orders, each could block the other and none would run.  */
void
csp_start_once_round (csp_once_round_t *round, int64_t now_ms, int64_t wall_ms,
                      csp_once_action_t *action)
{
  memset (action, 0, sizeof *action);
  round->grant_expires_ms = now_ms + round->settings.grant_lease_ms;
  if (round->grant_expires_ms > round->deadline_ms)
    round->grant_expires_ms = round->deadline_ms;
  round->wait_started_ms = now_ms;
  if (!is_view_current (round, now_ms))
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
    return csp_is_same_incarnation (&answer->from, &round->key.home);
  return answer->witness_since_ms + 2 * round->settings.clock_skew_ms
         <= round->key.date_ms;
}

static void
handle_seen_key (csp_once_round_t *round, csp_once_outcome_t outcome,
                 int64_t now_ms, csp_once_action_t *action)
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
handle_claim_result (csp_once_round_t *round, host_t *host,
                     const csp_claim_answer_t *answer, int64_t now_ms,
                     csp_once_action_t *action)
{
  switch (answer->result)
    {
    case CSP_CLAIM_RECORDED:
      csp_set_once_host_status (round, host, HOST_RECORDED);
      if (is_witness (round, answer))
        round->witnesses++;
      advance_round (round, now_ms, action);
      return;
    case CSP_CLAIM_SEEN:
      handle_seen_key (round, answer->outcome, now_ms, action);
      return;
    case CSP_CLAIM_EXPIRED:
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
  return round->state == ROUND_ASKING_FIRST
         || round->state == ROUND_ASKING_REST;
}

static void
handle_answer (csp_once_round_t *round, const csp_claim_answer_t *answer,
               int64_t now_ms, csp_once_action_t *action)
{
  host_t *host = csp_find_once_host (round, answer->from.name);

  if (!is_asking (round) || host == NULL || host->status != HOST_ASKED
      || answer->claim.high != round->claim.high
      || answer->claim.low != round->claim.low)
    return;
  handle_claim_result (round, host, answer, now_ms, action);
}

static void
handle_host_lost (csp_once_round_t *round, const char *name, int64_t now_ms,
                  csp_once_action_t *action)
{
  host_t *host = csp_find_once_host (round, name);

  if (!is_asking (round) || host == NULL || host->status != HOST_ASKED)
    return;
  csp_set_once_host_status (round, host, HOST_SILENT);
  advance_round (round, now_ms, action);
}

/* A host that was paused after its claim was granted could run a request that
   its caller has long given up, when other hosts may no longer remember the
   key.  So the grant has a lease that starts before the first ask and is
   checked immediately before bytes are sent.  */
static void
permit_send (csp_once_round_t *round, int64_t now_ms,
             csp_once_action_t *action)
{
  if (round->state != ROUND_GRANTED && round->state != ROUND_SENT)
    return;
  if (now_ms >= round->grant_expires_ms)
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
  if (now_ms - round->wait_started_ms < round->settings.answer_timeout_ms)
    {
      ask_hosts (round, HOST_ASKED, round->count, now_ms, action);
      return;
    }
  for (i = 0; i < round->count; i++)
    if (round->hosts[i].status == HOST_ASKED)
      csp_set_once_host_status (round, &round->hosts[i], HOST_SILENT);
  advance_round (round, now_ms, action);
}

static void
tick_sending_outcome (csp_once_round_t *round, int64_t now_ms,
                      csp_once_action_t *action)
{
  if (round->outcome_sends == MAX_OUTCOME_SENDS)
    {
      round->state = ROUND_OVER;
      return;
    }
  round->outcome_sends++;
  round->resend_ms = now_ms + round->settings.answer_timeout_ms;
  fill_outcome (round, action);
  action->kind = CSP_ONCE_SEND_OUTCOME;
}

static void
handle_tick (csp_once_round_t *round, int64_t now_ms,
             csp_once_action_t *action)
{
  if (now_ms < csp_next_once_tick (round))
    return;
  switch (round->state)
    {
    case ROUND_ASKING_FIRST:
    case ROUND_ASKING_REST:
      tick_asking (round, now_ms, action);
      return;
    case ROUND_GRANTED:
      give_up (round, CSP_VERDICT_NOT_RUN, CSP_REASON_DEADLINE, 0,
               "too late to send after the key was granted", now_ms, action);
      return;
    case ROUND_SENDING_OUTCOME:
      tick_sending_outcome (round, now_ms, action);
      return;
    case ROUND_SENT:
    case ROUND_OVER:
      return;
    }
}

static void
handle_outcome_ack (csp_once_round_t *round, const char *name)
{
  host_t *host = csp_find_once_host (round, name);
  size_t i;

  if (round->state != ROUND_SENDING_OUTCOME || host == NULL)
    return;
  host->acked = true;
  for (i = 0; i < round->count; i++)
    if (round->hosts[i].was_asked && !round->hosts[i].acked)
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
      handle_tick (round, now_ms, action);
      return;
    case CSP_ONCE_ANSWER:
      handle_answer (round, &event->u.answer, now_ms, action);
      return;
    case CSP_ONCE_HOST_LOST:
      handle_host_lost (round, event->host, now_ms, action);
      return;
    case CSP_ONCE_BEFORE_SEND:
      permit_send (round, now_ms, action);
      return;
    case CSP_ONCE_RUN_ENDED:
      if (round->state == ROUND_GRANTED || round->state == ROUND_SENT)
        end_round (round, event->u.outcome, now_ms, action);
      return;
    case CSP_ONCE_CALLER_GONE:
      if (is_asking (round) || round->state == ROUND_GRANTED)
        end_round (round, CSP_ONCE_NOT_RUN, now_ms, action);
      return;
    case CSP_ONCE_OUTCOME_ACKED:
      handle_outcome_ack (round, event->host);
      return;
    }
}

int64_t
csp_next_once_tick (const csp_once_round_t *round)
{
  switch (round->state)
    {
    case ROUND_ASKING_FIRST:
    case ROUND_ASKING_REST:
      return round->resend_ms < round->deadline_ms ? round->resend_ms
                                                   : round->deadline_ms;
    case ROUND_GRANTED:
      return round->grant_expires_ms;
    case ROUND_SENDING_OUTCOME:
      return round->resend_ms;
    case ROUND_SENT:
    case ROUND_OVER:
      break;
    }
  return INT64_MAX;
}

bool
csp_is_once_round_over (const csp_once_round_t *round)
{
  return round->state == ROUND_OVER;
}
