#include "cowslipspoke/mirror.h"

#include "base/array-imp.h"
#include "cowslipspoke/pack.h"
#include "cowslipspoke/page.h"
#include "mirror/mirror-imp.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* A held request is answered without changes once the items have been
     confirmed this much later than at the time of the request.  Without this
     minimum, hosts that follow each other would answer each other endlessly,
     as ages are rounded at each hop.  */
  RECONFIRMED_MIN_MS = 50,
  RATE_PERIOD_MS = 1000,
  /* How often held requests are checked for the end of their wait.  */
  HOLD_TICK_MS = 50,
  /* All items are encoded once for the followers that ask for them within this
     time: hundreds do after a power failure, and encoding thousands of items
     takes tens of milliseconds.  Followers then ask for the changes since.  */
  WHOLE_ANSWER_VALID_MS = 500,
  /* Until the cost of a follower is measured, all items count as the changes
     of this many seconds.  With a tenth of the link for followers, half of it
     may carry lists in the first second.  */
  WHOLE_ANSWER_SECONDS = 5,
  /* Shorter texts are sent uncompressed: they fit into one packet with their
     header.  */
  PACKED_MIN_BYTES = 1000,
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  DECIMAL = 10
};

/* An encoded answer, reused for requests after the same revision: followers
   that are up to date all wait for changes after the same one.  */
typedef struct
{
  int64_t after;
  csp_buffer_t text;
  csp_buffer_t packed; /* empty if the text is short or memory failed */
} answer_t;

typedef struct
{
  csp_page_connection_t *page;
  bool accepts_packed; /* compressed answers */
  int64_t after;
  uint64_t until_ms;
  uint64_t current_at_ms; /* of the mirror, when the request came */
} held_request_t;

struct csp_mirror_server
{
  uv_loop_t *loop;
  const csp_mirror_t *mirror;
  csp_page_server_t *pages;
  uv_timer_t timer;
  bool settled;
  bool lapsing;
  uint64_t current_at_ms;
  uint64_t link_bytes_per_s;
  csp_mirror_followers_t followers;
  uint64_t sent_bytes; /* since count_start_ms */
  uint64_t count_start_ms;
  uint64_t follower_bytes_per_s;
  answer_t whole_answer;
  int64_t whole_revision;
  uint64_t whole_encoded_ms;
  size_t held_count;
  size_t held_capacity;
  held_request_t *held_requests;
};

static void
clear_answer (answer_t *answer)
{
  csp_clear_buffer (&answer->text);
  csp_clear_buffer (&answer->packed);
}

/* sent_within_ms: how much later the answer may still be sent, which counts as
   its age.  */
static void
encode_answer (const csp_mirror_server_t *server, int64_t after,
               uint32_t sent_within_ms, answer_t *answer)
{
  csp_mirror_status_t status
      = { .settled = server->settled,
          .lapsing = server->lapsing,
          .age_ms = (uint32_t)(uv_now (server->loop) - server->current_at_ms)
                    + sent_within_ms };

  clear_answer (answer);
  answer->after = after;
  csp_encode_mirror (server->mirror, after, &status, &answer->text);
  if (answer->text.size_bytes >= PACKED_MIN_BYTES
      && !csp_compress_bytes (answer->text.data, answer->text.size_bytes,
                              &answer->packed))
    csp_clear_buffer (&answer->packed);
}

/* Whether the answer with all items may be sent again to a host that knows all
   changes up to a revision.  A host that gets an older list, or one that is
   older than the removals that are kept, asks for the list again.  */
static bool
is_whole_answer_valid (const csp_mirror_server_t *server, int64_t after)
{
  return server->whole_answer.text.size_bytes > 0
         && uv_now (server->loop)
                < server->whole_encoded_ms + WHOLE_ANSWER_VALID_MS
         && after <= server->whole_revision
         && !csp_needs_whole_mirror (server->mirror, server->whole_revision);
}

/* The answer with all items for a host that knows all changes up to a
   revision.  */
static const answer_t *
find_whole_answer (csp_mirror_server_t *server, int64_t after)
{
  answer_t *answer = &server->whole_answer;

  if (is_whole_answer_valid (server, after))
    return answer;
  encode_answer (server, 0, WHOLE_ANSWER_VALID_MS, answer);
  server->whole_encoded_ms = uv_now (server->loop);
  server->whole_revision = csp_mirror_revision (server->mirror);
  if (server->follower_bytes_per_s == 0)
    server->follower_bytes_per_s
        = (answer->packed.size_bytes > 0 ? answer->packed.size_bytes
                                         : answer->text.size_bytes)
          / WHOLE_ANSWER_SECONDS;
  return answer;
}

/* Measure each second what the changes for one follower cost.  The value falls
   by half at most, since a quiet second may be followed by a busy one.  */
static void
count_sent (csp_mirror_server_t *server, size_t size_bytes)
{
  uint64_t passed_ms = uv_now (server->loop) - server->count_start_ms;
  uint64_t followers = server->followers.count;
  uint64_t rate;

  server->sent_bytes += size_bytes;
  if (passed_ms < RATE_PERIOD_MS)
    return;
  rate = server->sent_bytes * RATE_PERIOD_MS / passed_ms
         / (followers == 0 ? 1 : followers);
  if (rate < server->follower_bytes_per_s / 2)
    rate = server->follower_bytes_per_s / 2;
  server->follower_bytes_per_s = rate;
  server->sent_bytes = 0;
  server->count_start_ms = uv_now (server->loop);
}

void
csp_set_follower_cost (csp_mirror_server_t *server, uint64_t bytes_per_s)
{
  server->follower_bytes_per_s = bytes_per_s;
}

static void
send_text (csp_mirror_server_t *server, csp_page_connection_t *page,
           const csp_buffer_t *text)
{
  count_sent (server, text->size_bytes);
  csp_answer_page_request (page, STATUS_OK, "application/json", text->data,
                           text->size_bytes);
}

/* Returns the size.  A host of an older version doesn't ask for compressed
   answers.  */
static size_t
send_answer (const held_request_t *request, const answer_t *answer)
{
  bool packed = request->accepts_packed && answer->packed.size_bytes > 0;
  const csp_buffer_t *body = packed ? &answer->packed : &answer->text;

  csp_answer_page_request (request->page, STATUS_OK,
                           packed ? csp_compressed_content_type
                                  : "application/json",
                           body->data, body->size_bytes);
  return body->size_bytes;
}

static void
answer_at_once (csp_mirror_server_t *server, const held_request_t *request)
{
  answer_t answer = { .after = request->after };

  if (server->settled
      && csp_needs_whole_mirror (server->mirror, request->after))
    {
      /* Not counted as a cost of followers: it is sent once.  */
      send_answer (request, find_whole_answer (server, request->after));
      return;
    }
  encode_answer (server, request->after, 0, &answer);
  count_sent (server, send_answer (request, &answer));
  clear_answer (&answer);
}

static bool
must_hold (const csp_mirror_server_t *server, const held_request_t *request)
{
  return server->settled && uv_now (server->loop) < request->until_ms
         && csp_mirror_revision (server->mirror) <= request->after
         && server->current_at_ms
                < request->current_at_ms + RECONFIRMED_MIN_MS;
}

/* Answer held requests for which there are changes or whose wait is over.  */
static void
answer_held (csp_mirror_server_t *server)
{
  answer_t answer = { 0 };
  size_t i = 0;

  while (i < server->held_count)
    {
      held_request_t request = server->held_requests[i];

      if (must_hold (server, &request))
        {
          i++;
          continue;
        }
      server->held_requests[i] = server->held_requests[--server->held_count];
      if (csp_needs_whole_mirror (server->mirror, request.after))
        {
          answer_at_once (server, &request);
          continue;
        }
      if (answer.text.size_bytes == 0 || answer.after != request.after)
        encode_answer (server, request.after, 0, &answer);
      count_sent (server, send_answer (&request, &answer));
    }
  clear_answer (&answer);
}

static void
on_tick (uv_timer_t *timer)
{
  csp_mirror_server_t *server = timer->data;

  answer_held (server);
  if (server->held_count == 0)
    uv_timer_stop (timer);
}

static int64_t
parse_query_number (const char *target, const char *name)
{
  const char *at = strstr (target, name);

  return at == NULL ? 0 : strtoll (at + strlen (name), NULL, DECIMAL);
}

/* Redirect a host that would exceed the maximum of followers; false if it is
   to be served.  A host of an older version sends no address and is always
   served.  */
static bool
redirect_follower (csp_mirror_server_t *server, csp_page_connection_t *page,
                   const char *target)
{
  uint64_t host = (uint64_t)parse_query_number (target, "host=");
  size_t max_followers = csp_compute_follower_limit (
      server->link_bytes_per_s, server->follower_bytes_per_s);
  csp_buffer_t text = { 0 };

  if (host == 0 || parse_query_number (target, "first=") != 0
      || csp_admit_follower (&server->followers, host, max_followers,
                             uv_now (server->loop)))
    return false;
  csp_encode_redirect (&server->followers, &text);
  send_text (server, page, &text);
  csp_clear_buffer (&text);
  return true;
}

/* Hold a request until there is an answer.  False when memory fails.  */
static bool
hold_request (csp_mirror_server_t *server, const held_request_t *request)
{
  held_request_t *requests
      = csp_grow_array (server->held_requests, server->held_count,
                        &server->held_capacity, sizeof *requests);

  if (requests == NULL)
    return false;
  server->held_requests = requests;
  server->held_requests[server->held_count++] = *request;
  return true;
}

static void
on_request (void *state, csp_page_connection_t *page,
            const csp_http_head_t *head)
{
  csp_mirror_server_t *server = state;
  int64_t after = parse_query_number (head->target, "after=");
  int64_t wait_ms = parse_query_number (head->target, "wait_ms=");
  held_request_t request
      = { .page = page,
          .accepts_packed = parse_query_number (head->target, "packed=") != 0,
          .after = after,
          .until_ms = uv_now (server->loop) + (uint64_t)wait_ms,
          .current_at_ms = server->current_at_ms };

  if (strncmp (head->target, csp_mirror_path, strlen (csp_mirror_path)) != 0)
    {
      csp_answer_page_request (page, STATUS_NOT_FOUND, "text/plain", "", 0);
      return;
    }
  if (redirect_follower (server, page, head->target))
    return;
  if (wait_ms <= 0 || after <= 0 || !server->settled
      || csp_mirror_revision (server->mirror) > after
      || !hold_request (server, &request))
    {
      answer_at_once (server, &request);
      return;
    }
  if (!uv_is_active ((uv_handle_t *)&server->timer))
    uv_timer_start (&server->timer, on_tick, HOLD_TICK_MS, HOLD_TICK_MS);
}

static void
on_requester_gone (void *state, csp_page_connection_t *page)
{
  csp_mirror_server_t *server = state;
  size_t i;

  for (i = 0; i < server->held_count; i++)
    if (server->held_requests[i].page == page)
      {
        server->held_requests[i] = server->held_requests[--server->held_count];
        return;
      }
}

csp_mirror_server_t *
csp_open_mirror_server (uv_loop_t *loop, const struct sockaddr_in *address,
                        uint64_t link_bytes_per_s, const csp_mirror_t *mirror)
{
  static const csp_page_events_t events
      = { .on_request = on_request, .on_disconnect = on_requester_gone };
  csp_mirror_server_t *server = calloc (1, sizeof *server);
  int fault = 0;

  if (server == NULL)
    return NULL;
  server->loop = loop;
  server->mirror = mirror;
  server->link_bytes_per_s = link_bytes_per_s;
  server->count_start_ms = uv_now (loop);
  server->pages
      = csp_open_page_server (loop, address, &events, server, &fault);
  if (server->pages == NULL)
    {
      free (server);
      return NULL;
    }
  uv_timer_init (loop, &server->timer);
  server->timer.data = server;
  return server;
}

static void
free_closed (uv_handle_t *handle)
{
  csp_mirror_server_t *server = handle->data;

  clear_answer (&server->whole_answer);
  free (server->held_requests);
  free (server);
}

void
csp_close_mirror_server (csp_mirror_server_t *server)
{
  if (server == NULL)
    return;
  csp_close_page_server (server->pages);
  uv_close ((uv_handle_t *)&server->timer, free_closed);
}

void
csp_update_mirror_server (csp_mirror_server_t *server, bool settled,
                          bool lapsing, uint64_t current_at_ms)
{
  if (server == NULL)
    return;
  if (settled != server->settled || lapsing != server->lapsing)
    clear_answer (&server->whole_answer);
  server->settled = settled;
  server->lapsing = lapsing;
  server->current_at_ms = current_at_ms;
  answer_held (server);
}
