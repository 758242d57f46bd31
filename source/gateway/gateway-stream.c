#include "gateway/gateway-run-imp.h"

#include "cowslipspoke/text.h"

#include <stdlib.h>
#include <string.h>

/* Streams are sent to the caller in whole events.  A target that fails may
   break off in the middle of an event; had the caller part of it, the event
   could neither be taken back nor sent again from another target.  */

enum
{
  DECIMAL = 10,
  US_PER_MS = 1000,
  /* The longest end of an event: two line feeds, with a carriage return.  */
  EVENT_END_BYTES = 3
};

/* Length of the first complete event including its empty line; 0 if there is
   none yet.  searched_bytes: how far it was searched for its end.  */
static size_t
whole_event_bytes (const char *data, size_t size_bytes, size_t searched_bytes)
{
  const char *end = data + size_bytes;
  const char *at = data
                   + (searched_bytes < EVENT_END_BYTES
                          ? 0
                          : searched_bytes - EVENT_END_BYTES);

  while (at < end)
    {
      const char *newline = memchr (at, '\n', (size_t)(end - at));

      if (newline == NULL)
        return 0;
      at = newline + 1;
      if (at < end && *at == '\n')
        return (size_t)(at + 1 - data);
      if (at + 1 < end && at[0] == '\r' && at[1] == '\n')
        return (size_t)(at + 2 - data);
    }
  return 0;
}

/* The event's id, or "" where it has none.  */
static void
read_event_id (const char *event, size_t size_bytes,
               char id[CSP_EVENT_ID_BYTES])
{
  static const char prefix[] = "id:";
  const size_t prefix_bytes = sizeof prefix - 1;
  const char *end = event + size_bytes;
  const char *line = event;

  id[0] = '\0';
  while (line < end)
    {
      const char *newline = memchr (line, '\n', (size_t)(end - line));

      if (newline == NULL)
        return;
      if ((size_t)(newline - line) > prefix_bytes
          && memcmp (line, prefix, prefix_bytes) == 0)
        {
          const char *value = line + prefix_bytes;
          size_t value_bytes;

          while (value < newline && *value == ' ')
            value++;
          value_bytes = (size_t)(newline - value);
          if (value_bytes > 0 && value[value_bytes - 1] == '\r')
            value_bytes--;
          if (value_bytes >= CSP_EVENT_ID_BYTES)
            value_bytes = CSP_EVENT_ID_BYTES - 1;
          memcpy (id, value, value_bytes);
          id[value_bytes] = '\0';
          return;
        }
      line = newline + 1;
    }
}

/* Whether the block has data.  Others, such as comments and reconnection
   times, are no events.  */
static bool
has_event_data (const char *block, size_t size_bytes)
{
  static const char name[] = "data";
  const size_t name_bytes = sizeof name - 1;
  const char *end = block + size_bytes;
  const char *line = block;

  while (line < end)
    {
      const char *newline = memchr (line, '\n', (size_t)(end - line));

      if (newline == NULL)
        return false;
      if ((size_t)(newline - line) >= name_bytes
          && memcmp (line, name, name_bytes) == 0
          && strchr (":\r\n", line[name_bytes]) != NULL)
        return true;
      line = newline + 1;
    }
  return false;
}

/* Whether the id can be compared with others, so that an event that comes
   again is recognised.  */
static bool
is_event_number (const char *id)
{
  return id[0] != '\0' && id[strspn (id, "0123456789")] == '\0';
}

/* Ids increase; an event whose id doesn't was sent before the run resumed at
   this target.  */
static bool
was_sent (const csp_exchange_t *exchange, const char *id)
{
  return id[0] != '\0' && exchange->last_event[0] != '\0'
         && strtoull (id, NULL, DECIMAL)
                <= strtoull (exchange->last_event, NULL, DECIMAL);
}

/* Only data shows that the run goes on: a target may send comments, or an
   event without an end, for ever.  */
static void
note_block (csp_exchange_t *exchange, size_t size_bytes, bool has_data)
{
  if (!has_data)
    {
      exchange->dataless_bytes += size_bytes;
      return;
    }
  exchange->dataless_bytes = 0;
  exchange->data_events++;
  exchange->last_data_ms = csp_gateway_now_ms (exchange->gateway);
}

/* Count the complete events at the front of the buffer and drop those that
   were already sent.  Blocks without data are dropped until the first event of
   a resumed run, since they don't show that it runs.  Returns how many bytes
   to send to the caller.  */
static size_t
collect_events (csp_exchange_t *exchange)
{
  csp_buffer_t *kept = &exchange->buffered;
  size_t done_bytes = 0;
  size_t event_bytes;

  while ((event_bytes = whole_event_bytes (kept->data + done_bytes,
                                           kept->size_bytes - done_bytes,
                                           exchange->searched_bytes))
         > 0)
    {
      char id[CSP_EVENT_ID_BYTES];
      bool has_data = has_event_data (kept->data + done_bytes, event_bytes);

      exchange->searched_bytes = 0;
      note_block (exchange, event_bytes, has_data);
      read_event_id (kept->data + done_bytes, event_bytes, id);
      if (was_sent (exchange, id)
          || (exchange->resume.pending && done_bytes == 0 && !has_data))
        {
          exchange->resume.repeats |= has_data;
          kept->size_bytes -= event_bytes;
          memmove (kept->data + done_bytes,
                   kept->data + done_bytes + event_bytes,
                   kept->size_bytes - done_bytes);
          continue;
        }
      exchange->resume.unnumbered
          |= (has_data || id[0] != '\0') && !is_event_number (id);
      if (id[0] != '\0')
        csp_copy_text (exchange->last_event, sizeof exchange->last_event, id);
      exchange->events++;
      done_bytes += event_bytes;
    }
  exchange->searched_bytes = kept->size_bytes - done_bytes;
  return done_bytes;
}

static void
note_gap (csp_exchange_t *exchange)
{
  int64_t now_ms = csp_gateway_now_ms (exchange->gateway);
  int64_t gap_ms = now_ms - exchange->last_event_ms;

  if (exchange->answer_begun)
    {
      int64_t gap_us = gap_ms * US_PER_MS;

      csp_observe_time (exchange->labels, CSP_TIME_BETWEEN_TOKENS, gap_us);
      exchange->stalled_us += csp_compute_stall_us (gap_us);
      if (gap_ms > exchange->worst_gap_ms)
        {
          exchange->worst_gap_ms = gap_ms;
          exchange->worst_gap_end_ms = now_ms;
        }
    }
  else
    csp_observe_time (exchange->labels, CSP_TIME_TO_FIRST_TOKEN,
                      (now_ms - exchange->began_ms) * US_PER_MS);
  exchange->last_event_ms = now_ms;
}

/* Measure the speed of the engine between two events of one run there.  */
static void
note_pace (csp_exchange_t *exchange)
{
  int64_t from_ms = exchange->paced_event_ms;

  exchange->paced_event_ms = exchange->last_event_ms;
  if (from_ms != 0 && exchange->target != NULL && exchange->target->is_engine)
    csp_note_target_interval (exchange->gateway, exchange->target,
                              exchange->last_event_ms - from_ms);
}

void
csp_hold_back_target (csp_exchange_t *exchange)
{
  if (exchange->link == NULL
      || csp_caller_backlog (exchange->caller) <= CSP_BACKLOG_BYTES)
    return;
  csp_pause_link (exchange->link, true);
  exchange->paced_event_ms = 0;
}

static void
send_events (csp_exchange_t *exchange, size_t size_bytes)
{
  csp_buffer_t out = { 0 };

  note_gap (exchange);
  if (!exchange->answer_begun)
    {
      exchange->first_event_ms = csp_gateway_now_ms (exchange->gateway);
      csp_begin_answer (exchange, -1);
      csp_append_buffer (&out, exchange->head.data, exchange->head.size_bytes);
      csp_clear_buffer (&exchange->head);
    }
  if (exchange->chunked)
    csp_append_chunk (&out, exchange->buffered.data, size_bytes);
  else
    csp_append_buffer (&out, exchange->buffered.data, size_bytes);
  exchange->stream_bytes += out.size_bytes + CSP_PACKET_HEADER_BYTES;
  csp_write_caller (exchange->caller, out.data, out.size_bytes);
  csp_clear_buffer (&out);
  csp_consume_buffer (&exchange->buffered, size_bytes);
}

/* Send whole events, and note that the run goes on.  */
static void
handle_events (csp_exchange_t *exchange, size_t ready_bytes)
{
  bool first = exchange->run_started_ms == 0;

  send_events (exchange, ready_bytes);
  note_pace (exchange);
  if (first)
    {
      exchange->run_started_ms = csp_gateway_now_ms (exchange->gateway);
      if (exchange->target != NULL)
        csp_note_prompt_read (exchange, exchange->target);
      csp_count_movable (exchange, true);
      csp_schedule_load_report (exchange->gateway);
      csp_complete_resume (exchange);
    }
  else
    csp_note_parts_run_on (exchange);
  if (exchange->move.state == CSP_MOVE_RESUMING)
    csp_complete_move (exchange);
  else if (first && exchange->move.wanted)
    csp_consider_move (exchange);
  csp_hold_back_target (exchange);
}

void
csp_handle_stream_bytes (csp_exchange_t *exchange, const char *piece,
                         size_t piece_bytes)
{
  size_t ready_bytes;

  if (exchange->target != NULL)
    csp_note_target_answered (exchange->gateway, exchange->target);
  if (!csp_append_buffer (&exchange->buffered, piece, piece_bytes))
    {
      csp_fail_exchange (exchange, CSP_REASON_INTERNAL, "out of memory");
      return;
    }
  ready_bytes = collect_events (exchange);
  if (ready_bytes > 0)
    handle_events (exchange, ready_bytes);
  if (exchange->buffered.size_bytes > CSP_EVENT_MAX_BYTES
      || exchange->dataless_bytes > CSP_EVENT_MAX_BYTES)
    csp_fail_attempt (exchange, "the stream has no events");
}
