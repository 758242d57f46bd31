#ifndef COWSLIPSPOKE_LOG_H
#define COWSLIPSPOKE_LOG_H

#include <stdint.h>
#include <stdio.h>

#include "cowslipspoke/clock.h"

/* Numbered events.  A released number is never reused for another event.
   docs/EVENTS.md is the catalogue; a test compares it with the table in
   source/log/event-table.c.  */
typedef enum
{
  CSP_EVENT_STARTED = 100,
  CSP_EVENT_READY = 101,
  CSP_EVENT_DRAINING = 102,
  CSP_EVENT_STOPPED = 103,
  CSP_EVENT_START_FAILED = 104,
  CSP_EVENT_DRAIN_LIMIT = 105,
  CSP_EVENT_SETTINGS_READ = 106,
  CSP_EVENT_SETTINGS_BAD = 107,
  CSP_EVENT_LINES_DROPPED = 108,
  CSP_EVENT_REQUEST_ENDED = 200,
  CSP_EVENT_REQUEST_REFUSED = 201,
  CSP_EVENT_REQUEST_RETRIED = 202,
  CSP_EVENT_STREAM_RESUMED = 203,
  CSP_EVENT_STREAM_BROKEN = 204,
  CSP_EVENT_CALLER_GONE = 205,
  CSP_EVENT_FORWARD_ENDED = 210,
  CSP_EVENT_FORWARD_REFUSED = 211,
  CSP_EVENT_FORWARD_RETRIED = 212,
  CSP_EVENT_FORWARD_TURNED_AWAY = 213,
  CSP_EVENT_FORWARD_ABANDONED = 214,
  CSP_EVENT_STREAM_MOVED = 215,
  CSP_EVENT_STREAM_LOST = 216,
  CSP_EVENT_RETRIES_LENT = 217,
  CSP_EVENT_ATTEMPT_LOST = 218,
  CSP_EVENT_REQUEST_QUARANTINED = 219,
  CSP_EVENT_QUARANTINE_LIFTED = 220,
  CSP_EVENT_PART_HELD = 221,
  CSP_EVENT_PART_RELEASED = 222,
  CSP_EVENT_PART_ON_TRIAL = 223,
  CSP_EVENT_RUN_LEFT = 224,
  CSP_EVENT_LEFT_RUN_STOPPED = 225,
  CSP_EVENT_PLACEMENT_REFUSED = 226,
  CSP_EVENT_CONFIGURATION_TAKEN = 300,
  CSP_EVENT_CONFIGURATION_STALE = 301,
  CSP_EVENT_CONFIGURATION_BAD = 302,
  CSP_EVENT_PLATFORM_AWAY = 303,
  CSP_EVENT_PLATFORM_BACK = 304,
  CSP_EVENT_HOST_LIST_TAKEN = 305,
  CSP_EVENT_HOST_LIST_BAD = 306,
  CSP_EVENT_CONFIGURATION_DIVERGED = 307,
  CSP_EVENT_READER_LOST = 308,
  CSP_EVENT_STORE_READ = 309,
  CSP_EVENT_CORDONED = 310,
  CSP_EVENT_CORDON_LIFTED = 311,
  CSP_EVENT_PEER_ALIVE = 400,
  CSP_EVENT_PEER_SILENT = 401,
  CSP_EVENT_PEER_REFUSED = 402,
  CSP_EVENT_PEER_MESSAGE_BAD = 403,
  CSP_EVENT_OWNERSHIP_MOVED = 404,
  CSP_EVENT_WOKE_LATE = 405,
  CSP_EVENT_DECIDER_CHOSEN = 406,
  CSP_EVENT_HOSTS_FULL = 407,
  CSP_EVENT_TARGET_LEAVING = 500,
  CSP_EVENT_TARGET_LOST = 501,
  CSP_EVENT_DATA_CENTRE_CUT = 502,
  CSP_EVENT_DATA_CENTRE_REACHED = 503,
  CSP_EVENT_TARGET_BACKED_OFF = 504,
  CSP_EVENT_BACKOFF_BAD = 505,
  CSP_EVENT_RATE_LIMITED = 506,
  CSP_EVENT_RATE_LIMIT_ENDED = 507,
  CSP_EVENT_RATE_LIMIT_BAD = 508,
  CSP_EVENT_RATE_GRANT_REFUSED = 509,
  CSP_EVENT_TARGET_SLOW = 520,
  CSP_EVENT_TARGET_SPEED_USUAL = 521,
  CSP_EVENT_TARGET_DAMPED = 522,
  CSP_EVENT_TARGET_ON_PROBATION = 523,
  CSP_EVENT_TARGET_TRUSTED = 524,
  CSP_EVENT_SERVICE_UNREACHED = 525,
  CSP_EVENT_SERVICE_REACHED = 526,
  CSP_EVENT_RELAY_OFFER_FAILED = 527,
  CSP_EVENT_HOST_LATE = 530,
  CSP_EVENT_HOST_IN_TIME = 531,
  CSP_EVENT_LINK_FULL = 532,
  CSP_EVENT_LINK_HAS_ROOM = 533,
  CSP_EVENT_KEY_REFUSED = 600,
  CSP_EVENT_ORDER_SENT = 700,
  CSP_EVENT_ORDER_DONE = 701,
  CSP_EVENT_ORDER_FENCED = 702,
  CSP_EVENT_ORDER_FAILED = 703,
  CSP_EVENT_ORDER_GIVEN_UP = 704,
  CSP_EVENT_ORDER_HELD_BACK = 705,
  CSP_EVENT_ORDER_UNDONE = 706,
  CSP_EVENT_ENGINE_RESTARTED = 707
} csp_event_t;

typedef enum
{
  CSP_LEVEL_DEBUG,
  CSP_LEVEL_INFO,
  CSP_LEVEL_WARNING,
  CSP_LEVEL_ERROR
} csp_level_t;

/* One row of the event table.  */
typedef struct
{
  csp_event_t event;
  csp_level_t level;
  const char *name;
} csp_event_row_t;

typedef enum
{
  CSP_LOG_FIELD_END,
  CSP_LOG_FIELD_TEXT,
  CSP_LOG_FIELD_NUMBER
} csp_log_field_kind_t;

/* One named value of an event.  */
typedef struct
{
  csp_log_field_kind_t kind;
  const char *name;
  union
  {
    const char *text;
    int64_t number;
  } value;
} csp_log_field_t;

typedef struct csp_log csp_log_t;

/* Create a log that writes one JSON object per line to standard error.  host
   is written in every line; events below min_level are dropped.  NULL when
   memory runs out or log4c fails.  */
csp_log_t *csp_create_log (const char *host, csp_level_t min_level,
                           const csp_clock_t *clock);

/* Write to a stream other than standard error, with line buffering.  */
void csp_set_log_stream (csp_log_t *log, FILE *stream);

/* Free a log; NULL is allowed.  */
void csp_destroy_log (csp_log_t *log);

/* A field with a string value; NULL is written as null.  */
csp_log_field_t csp_text (const char *name, const char *text);

/* A field with a whole number.  */
csp_log_field_t csp_number (const char *name, int64_t number);

/* Write one event.  Events below a warning are rate-limited: those beyond the
   limit are dropped and counted.  request_id may be NULL.  fields ends with a
   field of kind CSP_LOG_FIELD_END.  Any thread may call the function; the
   event is dropped where log is NULL.  */
void csp_log_fields (csp_log_t *log, csp_event_t event, const char *request_id,
                     const csp_log_field_t *fields);

/* Calls csp_log_fields with the fields given as arguments.  */
#define CSP_LOG(log, event, request_id, ...)                                  \
  csp_log_fields (                                                            \
      log, event, request_id,                                                 \
      (const csp_log_field_t[]){ __VA_ARGS__, { CSP_LOG_FIELD_END } })

/* The row of an event; NULL for an unknown event.  */
const csp_event_row_t *csp_find_event (csp_event_t event);

/* All rows, ordered by event number.  */
const csp_event_row_t *csp_list_events (uint32_t *count);

/* Parse the name of a level such as "info"; -1 for an unknown name.  */
int csp_parse_level (const char *name, csp_level_t *level);

#endif
