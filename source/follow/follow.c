#include "cowslipspoke/follow.h"

#include "cowslipspoke/link.h"
#include "cowslipspoke/pack.h"

#include <stdlib.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 500,
  /* How often a follower whose list is held checks whether it still is.  */
  HOLD_CHECK_MS = 50,
  /* Enough for a page of 1 MB, encoded, with some other fields.  */
  ANSWER_MAX_BYTES = 8 << 20,
  STATUS_OK = 200
};

struct csp_follower
{
  uv_loop_t *loop;
  struct sockaddr_in address;
  const csp_follow_source_t *source;
  void *state;
  csp_watch_t watch;
  csp_watch_call_t call;
  csp_link_t *link;
  uv_timer_t timer;
  uint16_t status;
  bool packed; /* the answer is compressed, see pack.h */
  csp_buffer_t answer;
  bool unreachable;
  bool holds_list; /* further pages wait */
  bool closed;
};

static void schedule_call (csp_follower_t *follower);

static void
update_reachability (csp_follower_t *follower)
{
  bool unreachable = csp_is_watch_unreachable (&follower->watch);

  if (unreachable == follower->unreachable)
    return;
  follower->unreachable = unreachable;
  if (follower->source->reach_changed != NULL)
    follower->source->reach_changed (follower->state, unreachable);
}

static void
fail_call (csp_follower_t *follower, csp_watch_failure_t failure)
{
  if (follower->link != NULL)
    csp_close_link (follower->link);
  follower->link = NULL;
  csp_note_watch_failure (&follower->watch, failure);
  if (follower->watch.failures == 1
      && follower->source->failures_began != NULL)
    follower->source->failures_began (follower->state);
  update_reachability (follower);
  if (!follower->closed)
    schedule_call (follower);
}

static void
on_answered (void *state, const csp_http_head_t *head)
{
  csp_follower_t *follower = state;
  const char *type = csp_find_http_field (head, "Content-Type");

  follower->status = head->status;
  follower->packed
      = type != NULL && strcmp (type, csp_compressed_content_type) == 0;
}

static void
on_body (void *state, const char *piece, size_t piece_bytes)
{
  csp_follower_t *follower = state;

  if (follower->answer.size_bytes + piece_bytes > ANSWER_MAX_BYTES
      || !csp_append_buffer (&follower->answer, piece, piece_bytes))
    fail_call (follower, CSP_WATCH_UNANSWERED);
}

/* Decompress the answer in place.  False if that fails.  */
static bool
unpack_answer (csp_follower_t *follower)
{
  csp_buffer_t text = { 0 };
  bool good = csp_decompress_bytes (follower->answer.data,
                                    follower->answer.size_bytes,
                                    ANSWER_MAX_BYTES, &text);

  csp_clear_buffer (&follower->answer);
  follower->answer = text;
  return good;
}

static bool
handle_body (csp_follower_t *follower)
{
  if (follower->packed && !unpack_answer (follower))
    return false;
  return csp_append_buffer (&follower->answer, "", 1)
         && follower->source->process_answer (follower->state, &follower->call,
                                              follower->answer.data,
                                              &follower->watch);
}

static void
on_ended (void *state)
{
  csp_follower_t *follower = state;
  bool accepted;

  if (follower->status != STATUS_OK)
    {
      fail_call (follower,
                 follower->status == follower->source->compacted_status
                     ? CSP_WATCH_COMPACTED
                     : CSP_WATCH_REFUSED);
      return;
    }
  if (csp_link_reusable_ms (follower->link) == 0)
    {
      csp_close_link (follower->link);
      follower->link = NULL;
    }
  follower->watch.failures = 0;
  update_reachability (follower);
  accepted = handle_body (follower);
  if (follower->closed)
    return;
  if (accepted)
    schedule_call (follower);
  else
    fail_call (follower, CSP_WATCH_UNANSWERED);
}

static void
on_failed (void *state, csp_link_failure_t why)
{
  (void)why;
  fail_call (state, CSP_WATCH_UNANSWERED);
}

static const csp_link_events_t call_events = { .answered = on_answered,
                                               .body = on_body,
                                               .ended = on_ended,
                                               .failed = on_failed };

static void
on_timeout (uv_timer_t *timer)
{
  fail_call (timer->data, CSP_WATCH_UNANSWERED);
}

static void
send_call (csp_follower_t *follower)
{
  csp_buffer_t request = { 0 };

  if (follower->link == NULL)
    follower->link = csp_open_link (follower->loop, &follower->address,
                                    CONNECT_TIMEOUT_MS);
  csp_clear_buffer (&follower->answer);
  follower->status = 0;
  follower->packed = false;
  uv_timer_start (&follower->timer, on_timeout, follower->call.timeout_ms, 0);
  if (follower->link == NULL)
    return;
  csp_start_link_request (follower->link, &call_events, follower, false);
  follower->source->write_call (follower->state, &follower->call, &request);
  csp_write_link (follower->link, request.data, request.size_bytes);
  csp_finish_link_request (follower->link);
  csp_clear_buffer (&request);
}

static void
on_delay_end (uv_timer_t *timer)
{
  send_call (timer->data);
}

static void
on_hold_check (uv_timer_t *timer)
{
  schedule_call (timer->data);
}

static void
schedule_call (csp_follower_t *follower)
{
  follower->call = csp_next_watch_call (&follower->watch);
  if (follower->holds_list && follower->call.kind == CSP_WATCH_LIST
      && !follower->call.first_page)
    uv_timer_start (&follower->timer, on_hold_check, HOLD_CHECK_MS, 0);
  else if (follower->call.delay_ms == 0)
    send_call (follower);
  else
    uv_timer_start (&follower->timer, on_delay_end, follower->call.delay_ms,
                    0);
}

csp_follower_t *
csp_open_follower (uv_loop_t *loop, const struct sockaddr_in *address,
                   const csp_follow_source_t *source, int64_t after,
                   void *state)
{
  csp_follower_t *follower = calloc (1, sizeof *follower);

  if (follower == NULL)
    return NULL;
  follower->loop = loop;
  follower->address = *address;
  follower->source = source;
  follower->state = state;
  csp_init_watch (&follower->watch, &source->policy, after,
                  csp_random_seed ());
  uv_timer_init (loop, &follower->timer);
  follower->timer.data = follower;
  schedule_call (follower);
  return follower;
}

static void
free_closed (uv_handle_t *handle)
{
  csp_follower_t *follower = handle->data;

  csp_clear_buffer (&follower->answer);
  free (follower);
}

void
csp_close_follower (csp_follower_t *follower)
{
  if (follower == NULL || follower->closed)
    return;
  follower->closed = true;
  if (follower->link != NULL)
    csp_close_link (follower->link);
  follower->link = NULL;
  uv_close ((uv_handle_t *)&follower->timer, free_closed);
}

void
csp_set_follower_pace (csp_follower_t *follower, uint32_t max_backoff_ms,
                       uint32_t gap_ms)
{
  follower->watch.policy.max_backoff_ms = max_backoff_ms;
  follower->watch.policy.gap_ms = gap_ms;
}

void
csp_hold_follower_list (csp_follower_t *follower, bool hold)
{
  follower->holds_list = hold;
}

void
csp_set_follower_unreachable (csp_follower_t *follower)
{
  follower->unreachable = true;
}
