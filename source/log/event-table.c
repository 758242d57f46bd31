#include "cowslipspoke/log.h"

#include <stddef.h>
#include <string.h>

static const csp_event_row_t event_table[] = {
  { CSP_EVENT_STARTED, CSP_LEVEL_INFO, "started" },
  { CSP_EVENT_READY, CSP_LEVEL_INFO, "ready" },
  { CSP_EVENT_DRAINING, CSP_LEVEL_INFO, "draining" },
  { CSP_EVENT_STOPPED, CSP_LEVEL_INFO, "stopped" },
  { CSP_EVENT_START_FAILED, CSP_LEVEL_ERROR, "start-failed" },
  { CSP_EVENT_DRAIN_LIMIT, CSP_LEVEL_WARNING, "drain-limit" },
  { CSP_EVENT_SETTINGS_READ, CSP_LEVEL_INFO, "settings-read" },
  { CSP_EVENT_SETTINGS_BAD, CSP_LEVEL_ERROR, "settings-bad" },
  { CSP_EVENT_LINES_DROPPED, CSP_LEVEL_WARNING, "lines-dropped" },
  { CSP_EVENT_REQUEST_ENDED, CSP_LEVEL_INFO, "request-ended" },
  { CSP_EVENT_REQUEST_REFUSED, CSP_LEVEL_INFO, "request-refused" },
  { CSP_EVENT_REQUEST_RETRIED, CSP_LEVEL_INFO, "request-retried" },
  { CSP_EVENT_STREAM_RESUMED, CSP_LEVEL_INFO, "stream-resumed" },
  { CSP_EVENT_STREAM_BROKEN, CSP_LEVEL_WARNING, "stream-broken" },
  { CSP_EVENT_CALLER_GONE, CSP_LEVEL_INFO, "caller-gone" },
  { CSP_EVENT_FORWARD_ENDED, CSP_LEVEL_INFO, "forward-ended" },
  { CSP_EVENT_FORWARD_REFUSED, CSP_LEVEL_INFO, "forward-refused" },
  { CSP_EVENT_FORWARD_RETRIED, CSP_LEVEL_INFO, "forward-retried" },
  { CSP_EVENT_FORWARD_TURNED_AWAY, CSP_LEVEL_INFO, "forward-turned-away" },
  { CSP_EVENT_FORWARD_ABANDONED, CSP_LEVEL_INFO, "forward-abandoned" },
  { CSP_EVENT_STREAM_MOVED, CSP_LEVEL_INFO, "stream-moved" },
  { CSP_EVENT_STREAM_LOST, CSP_LEVEL_WARNING, "stream-lost" },
  { CSP_EVENT_RETRIES_LENT, CSP_LEVEL_INFO, "retries-lent" },
  { CSP_EVENT_ATTEMPT_LOST, CSP_LEVEL_INFO, "attempt-lost" },
  { CSP_EVENT_REQUEST_QUARANTINED, CSP_LEVEL_WARNING, "request-quarantined" },
  { CSP_EVENT_QUARANTINE_LIFTED, CSP_LEVEL_INFO, "quarantine-lifted" },
  { CSP_EVENT_PART_HELD, CSP_LEVEL_WARNING, "part-held" },
  { CSP_EVENT_PART_RELEASED, CSP_LEVEL_INFO, "part-released" },
  { CSP_EVENT_PART_ON_TRIAL, CSP_LEVEL_WARNING, "part-on-trial" },
  { CSP_EVENT_RUN_LEFT, CSP_LEVEL_INFO, "run-left" },
  { CSP_EVENT_LEFT_RUN_STOPPED, CSP_LEVEL_INFO, "left-run-stopped" },
  { CSP_EVENT_PLACEMENT_REFUSED, CSP_LEVEL_INFO, "placement-refused" },
  { CSP_EVENT_CONFIGURATION_TAKEN, CSP_LEVEL_INFO, "configuration-taken" },
  { CSP_EVENT_CONFIGURATION_STALE, CSP_LEVEL_WARNING, "configuration-stale" },
  { CSP_EVENT_CONFIGURATION_BAD, CSP_LEVEL_ERROR, "configuration-bad" },
  { CSP_EVENT_PLATFORM_AWAY, CSP_LEVEL_WARNING, "platform-away" },
  { CSP_EVENT_PLATFORM_BACK, CSP_LEVEL_INFO, "platform-back" },
  { CSP_EVENT_HOST_LIST_TAKEN, CSP_LEVEL_INFO, "host-list-taken" },
  { CSP_EVENT_HOST_LIST_BAD, CSP_LEVEL_ERROR, "host-list-bad" },
  { CSP_EVENT_CONFIGURATION_DIVERGED, CSP_LEVEL_ERROR,
    "configuration-diverged" },
  { CSP_EVENT_READER_LOST, CSP_LEVEL_WARNING, "reader-lost" },
  { CSP_EVENT_STORE_READ, CSP_LEVEL_INFO, "store-read" },
  { CSP_EVENT_CORDONED, CSP_LEVEL_WARNING, "cordoned" },
  { CSP_EVENT_CORDON_LIFTED, CSP_LEVEL_INFO, "cordon-lifted" },
  { CSP_EVENT_PEER_ALIVE, CSP_LEVEL_INFO, "peer-alive" },
  { CSP_EVENT_PEER_SILENT, CSP_LEVEL_WARNING, "peer-silent" },
  { CSP_EVENT_PEER_REFUSED, CSP_LEVEL_WARNING, "peer-refused" },
  { CSP_EVENT_PEER_MESSAGE_BAD, CSP_LEVEL_WARNING, "peer-message-bad" },
  { CSP_EVENT_OWNERSHIP_MOVED, CSP_LEVEL_INFO, "ownership-moved" },
  { CSP_EVENT_WOKE_LATE, CSP_LEVEL_WARNING, "woke-late" },
  { CSP_EVENT_DECIDER_CHOSEN, CSP_LEVEL_INFO, "decider-chosen" },
  { CSP_EVENT_HOSTS_FULL, CSP_LEVEL_WARNING, "hosts-full" },
  { CSP_EVENT_TARGET_LEAVING, CSP_LEVEL_INFO, "target-leaving" },
  { CSP_EVENT_TARGET_LOST, CSP_LEVEL_WARNING, "target-lost" },
  { CSP_EVENT_DATA_CENTRE_CUT, CSP_LEVEL_WARNING, "data-centre-cut" },
  { CSP_EVENT_DATA_CENTRE_REACHED, CSP_LEVEL_INFO, "data-centre-reached" },
  { CSP_EVENT_TARGET_BACKED_OFF, CSP_LEVEL_INFO, "target-backed-off" },
  { CSP_EVENT_BACKOFF_BAD, CSP_LEVEL_WARNING, "backoff-bad" },
  { CSP_EVENT_RATE_LIMITED, CSP_LEVEL_WARNING, "rate-limited" },
  { CSP_EVENT_RATE_LIMIT_ENDED, CSP_LEVEL_INFO, "rate-limit-ended" },
  { CSP_EVENT_RATE_LIMIT_BAD, CSP_LEVEL_WARNING, "rate-limit-bad" },
  { CSP_EVENT_RATE_GRANT_REFUSED, CSP_LEVEL_INFO, "rate-grant-refused" },
  { CSP_EVENT_TARGET_SLOW, CSP_LEVEL_INFO, "target-slow" },
  { CSP_EVENT_TARGET_SPEED_USUAL, CSP_LEVEL_INFO, "target-speed-usual" },
  { CSP_EVENT_TARGET_DAMPED, CSP_LEVEL_WARNING, "target-damped" },
  { CSP_EVENT_TARGET_ON_PROBATION, CSP_LEVEL_INFO, "target-on-probation" },
  { CSP_EVENT_TARGET_TRUSTED, CSP_LEVEL_INFO, "target-trusted" },
  { CSP_EVENT_SERVICE_UNREACHED, CSP_LEVEL_WARNING, "service-unreached" },
  { CSP_EVENT_SERVICE_REACHED, CSP_LEVEL_INFO, "service-reached" },
  { CSP_EVENT_RELAY_OFFER_FAILED, CSP_LEVEL_INFO, "relay-offer-failed" },
  { CSP_EVENT_HOST_LATE, CSP_LEVEL_WARNING, "host-late" },
  { CSP_EVENT_HOST_IN_TIME, CSP_LEVEL_INFO, "host-in-time" },
  { CSP_EVENT_LINK_FULL, CSP_LEVEL_WARNING, "link-full" },
  { CSP_EVENT_LINK_HAS_ROOM, CSP_LEVEL_INFO, "link-has-room" },
  { CSP_EVENT_KEY_REFUSED, CSP_LEVEL_INFO, "key-refused" },
  { CSP_EVENT_ORDER_SENT, CSP_LEVEL_INFO, "order-sent" },
  { CSP_EVENT_ORDER_DONE, CSP_LEVEL_INFO, "order-done" },
  { CSP_EVENT_ORDER_FENCED, CSP_LEVEL_WARNING, "order-fenced" },
  { CSP_EVENT_ORDER_FAILED, CSP_LEVEL_WARNING, "order-failed" },
  { CSP_EVENT_ORDER_GIVEN_UP, CSP_LEVEL_ERROR, "order-given-up" },
  { CSP_EVENT_ORDER_HELD_BACK, CSP_LEVEL_WARNING, "order-held-back" },
  { CSP_EVENT_ORDER_UNDONE, CSP_LEVEL_WARNING, "order-undone" },
  { CSP_EVENT_ENGINE_RESTARTED, CSP_LEVEL_WARNING, "engine-restarted" },
};

enum
{
  EVENT_COUNT = sizeof event_table / sizeof event_table[0]
};

static const char *const level_names[]
    = { "debug", "info", "warning", "error" };

const csp_event_row_t *
csp_find_event (csp_event_t event)
{
  size_t i;

  for (i = 0; i < EVENT_COUNT; i++)
    if (event_table[i].event == event)
      return &event_table[i];
  return NULL;
}

const csp_event_row_t *
csp_list_events (uint32_t *count)
{
  *count = EVENT_COUNT;
  return event_table;
}

int
csp_parse_level (const char *name, csp_level_t *level)
{
  int i;

  for (i = 0; i <= (int)CSP_LEVEL_ERROR; i++)
    if (strcmp (name, level_names[i]) == 0)
      {
        *level = (csp_level_t)i;
        return 0;
      }
  return -1;
}
