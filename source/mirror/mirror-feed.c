#include "cowslipspoke/mirror.h"

#include "mirror/mirror-imp.h"

#include <stdlib.h>

const char csp_mirror_path[] = "/mirror?";

enum
{
  /* How often the choice of the source is looked at.  */
  CHOOSE_MS = 100,
  /* A reader that failed is left alone for that long.  One that is gone is
     tried some times until hosts agree on another, each time for 0.7 s without
     news; one that was in doubt for a moment is followed again soon, since
     meanwhile each host of its data centre is a call for each change.  */
  READER_PAUSE_MS = 1000,
  /* Calls at a store that is away are priced too.  The reader of a data centre
     sees its return within half a second, and tells the others.  */
  STORE_PAUSE_MS = 400,
  STORE_PAUSE_OTHERS_MS = 1500,
  /* How long the store must have been back before removals are passed on: its
     own rows come back within about two seconds.  */
  SETTLED_AFTER_MS = 2500,
  /* A reader says something that often, and is missed that much later: a
     notice that is lost with it comes 0.7 s late, of the two or three seconds
     that the users allow.  */
  HOST_WAIT_MS = 400,
  HOST_SLACK_MS = 300,
  HOSTS_MAX = 64,
  /* No status says that history is gone: the answer is then whole.  */
  NO_STATUS = 0
};

struct csp_mirror_feed
{
  uv_loop_t *loop;
  csp_mirror_feed_settings_t settings;
  csp_mirror_t *mirror;
  csp_log_t *log;
  csp_mirror_server_t *server;
  csp_follower_t *store;
  csp_follower_t *host;
  csp_peer_address_t host_address;
  uv_timer_t timer;
  csp_mirror_source_t source;
  bool store_away;
  bool doubted;
  bool reader_failed;
  uint64_t reader_failed_ms;
  uint64_t unsettled_until_ms;
  csp_random_t random;
};

csp_mirror_source_t
csp_choose_mirror_source (const csp_mirror_facts_t *facts)
{
  if (facts->store_away)
    return CSP_SOURCE_ANY_HOST;
  if (!facts->known || !facts->reader_is_other)
    return CSP_SOURCE_STORE;
  if (facts->reader_failed && facts->reader_failed_ms_ago < READER_PAUSE_MS)
    return CSP_SOURCE_STORE;
  return CSP_SOURCE_READER;
}

static void
update_settled (csp_mirror_feed_t *feed)
{
  csp_settle_mirror_server (
      feed->server, csp_mirror_revision (feed->mirror) > 0 && !feed->doubted
                        && !feed->store_away
                        && uv_now (feed->loop) >= feed->unsettled_until_ms);
}

static void
write_call (void *state, const csp_watch_call_t *call, csp_buffer_t *request)
{
  const csp_mirror_feed_t *feed = state;

  csp_print_buffer (
      request, "GET %safter=%lld&wait_ms=%u HTTP/1.1\r\nHost: h\r\n\r\n",
      csp_mirror_path, (long long)csp_mirror_revision (feed->mirror),
      call->wait_ms);
}

static bool
take_answer (void *state, const csp_watch_call_t *call, const char *body,
             csp_watch_t *watch)
{
  csp_mirror_feed_t *feed = state;
  int64_t as_of = 0;

  if (!csp_decode_mirror (feed->mirror, body, &as_of))
    return false;
  if (call->kind == CSP_WATCH_LIST)
    csp_note_watch_page (watch, as_of, false, "");
  else
    csp_note_watch_changes (watch, as_of);
  csp_note_mirror_fed (feed);
  return true;
}

static void choose_source (csp_mirror_feed_t *feed);

/* What the followed host says can't be relied on: read elsewhere at once.  */
static void
on_host_doubted (void *state)
{
  csp_mirror_feed_t *feed = state;

  csp_close_follower (feed->host);
  feed->host = NULL;
  if (feed->source == CSP_SOURCE_READER)
    {
      feed->doubted = true;
      feed->reader_failed = true;
      feed->reader_failed_ms = uv_now (feed->loop);
      CSP_LOG (feed->log, CSP_EVENT_READER_LOST, NULL,
               csp_number ("revision", csp_mirror_revision (feed->mirror)));
    }
  choose_source (feed);
}

static const csp_follow_source_t host_source
    = { .write_call = write_call,
        .take_answer = take_answer,
        .doubted = on_host_doubted,
        .compacted_status = NO_STATUS,
        .policy = { .wait_ms = HOST_WAIT_MS,
                    .slack_ms = HOST_SLACK_MS,
                    .pause_last_ms = STORE_PAUSE_MS } };

static void
follow_host (csp_mirror_feed_t *feed, csp_peer_address_t host)
{
  struct sockaddr_in address = csp_socket_of_peer (host);

  feed->host_address = host;
  feed->host = csp_open_follower (feed->loop, &address, &host_source,
                                  csp_mirror_revision (feed->mirror), feed);
}

static void
stop_host (csp_mirror_feed_t *feed)
{
  csp_close_follower (feed->host);
  feed->host = NULL;
}

static void
follow_store (csp_mirror_feed_t *feed, bool reads_for_others)
{
  if (feed->store == NULL)
    feed->store = csp_open_follower (
        feed->loop, &feed->settings.store, feed->settings.store_source,
        csp_mirror_revision (feed->mirror), feed->settings.store_state);
  if (feed->store != NULL)
    csp_set_follower_pause (feed->store, reads_for_others
                                             ? STORE_PAUSE_MS
                                             : STORE_PAUSE_OTHERS_MS);
}

static void
follow_any_host (csp_mirror_feed_t *feed)
{
  csp_peer_address_t hosts[HOSTS_MAX];
  size_t count;

  if (feed->host != NULL)
    return;
  count = feed->settings.list_hosts (feed->settings.hosts_state, hosts,
                                     HOSTS_MAX);
  if (count > 0)
    follow_host (feed,
                 hosts[csp_random_below (&feed->random, (uint32_t)count)]);
}

static void
follow_reader (csp_mirror_feed_t *feed, csp_peer_address_t reader)
{
  if (feed->host != NULL && !csp_is_same_peer (feed->host_address, reader))
    stop_host (feed);
  if (feed->host == NULL)
    follow_host (feed, reader);
}

static void
choose_source (csp_mirror_feed_t *feed)
{
  csp_peer_address_t reader = { 0 };
  csp_mirror_facts_t facts
      = { .known = csp_mirror_revision (feed->mirror) > 0,
          .store_away = feed->store_away,
          .reader_is_other
          = feed->settings.find_reader (feed->settings.hosts_state, &reader),
          .reader_failed = feed->reader_failed,
          .reader_failed_ms_ago
          = (int64_t)(uv_now (feed->loop) - feed->reader_failed_ms) };

  feed->source = csp_choose_mirror_source (&facts);
  switch (feed->source)
    {
    case CSP_SOURCE_STORE:
      stop_host (feed);
      follow_store (feed, !facts.reader_is_other);
      break;
    case CSP_SOURCE_READER:
      csp_close_follower (feed->store);
      feed->store = NULL;
      follow_reader (feed, reader);
      break;
    case CSP_SOURCE_ANY_HOST:
      follow_store (feed, !facts.reader_is_other);
      follow_any_host (feed);
      break;
    }
  update_settled (feed);
}

static void
on_tick (uv_timer_t *timer)
{
  choose_source (timer->data);
}

csp_mirror_feed_t *
csp_open_mirror_feed (uv_loop_t *loop,
                      const csp_mirror_feed_settings_t *settings,
                      csp_mirror_t *mirror, csp_log_t *log)
{
  csp_mirror_feed_t *feed = calloc (1, sizeof *feed);

  if (feed == NULL)
    return NULL;
  feed->loop = loop;
  feed->settings = *settings;
  feed->mirror = mirror;
  feed->log = log;
  csp_seed_random (&feed->random, csp_random_seed ());
  if (settings->serve.sin_port != 0)
    {
      feed->server = csp_open_mirror_server (loop, &settings->serve, mirror);
      if (feed->server == NULL)
        {
          free (feed);
          return NULL;
        }
    }
  uv_timer_init (loop, &feed->timer);
  feed->timer.data = feed;
  uv_timer_start (&feed->timer, on_tick, 0, CHOOSE_MS);
  return feed;
}

static void
free_closed (uv_handle_t *handle)
{
  free (handle->data);
}

void
csp_close_mirror_feed (csp_mirror_feed_t *feed)
{
  if (feed == NULL)
    return;
  stop_host (feed);
  csp_close_follower (feed->store);
  feed->store = NULL;
  csp_close_mirror_server (feed->server);
  feed->server = NULL;
  uv_close ((uv_handle_t *)&feed->timer, free_closed);
}

void
csp_note_mirror_fed (csp_mirror_feed_t *feed)
{
  feed->doubted = false;
  update_settled (feed);
  csp_tell_mirror_server (feed->server);
  if (feed->settings.heard != NULL)
    feed->settings.heard (feed->settings.hosts_state);
}

void
csp_note_store_reach (csp_mirror_feed_t *feed, bool away)
{
  if (feed->store_away && !away)
    feed->unsettled_until_ms = uv_now (feed->loop) + SETTLED_AFTER_MS;
  feed->store_away = away;
  choose_source (feed);
}

void
csp_note_store_doubt (csp_mirror_feed_t *feed)
{
  feed->doubted = true;
  update_settled (feed);
}
