#include "cowslipspoke/mirror.h"

#include "mirror/mirror-imp.h"

#include <stdlib.h>

const char csp_mirror_path[] = "/mirror?";

enum
{
  /* How often the source is chosen anew.  */
  CHOOSE_INTERVAL_MS = 100,
  /* A host that failed as upstream isn't followed for this long, doubled with
     each further failure.  A dead host is tried a few times, for 0.7 s each,
     until it is no longer listed as live; one that failed once is soon
     followed again.  */
  FAILED_BACKOFF_MS = 500,
  FAILED_DOUBLINGS = 3,
  /* Items of this age aren't current: the store answers each 0.6 s without
     changes, and up to three hosts pass the answer on.  */
  OLD_DATA_MS = 1500,
  /* An upstream without current items for this long is cut off in a way that
     its followers aren't.  A shorter gap is mostly due to the store, which may
     be silent for a second or two; hundreds of hosts would then look for
     another upstream at once and find none.  */
  UPSTREAM_STALE_MS = 3000,
  /* The first host of a data centre tries another reader sooner: such hosts
     are few, and the other hosts of the data centre depend on them.  */
  READER_UPSTREAM_STALE_MS = 1500,
  /* A host that starts learns of the others within a second; until then it
     follows any host it can.  */
  STARTUP_MS = 2500,
  /* How long after the store's return removals may still be due to its outage:
     its entries come back within about two seconds.  */
  LAPSING_MS = 2500,
  /* How long the store counts as unreachable for a host that no longer reads
     it; after that the host may be chosen as a reader again.  */
  UNREACHABLE_EXPIRY_MS = 5000,
  /* A host that the store answered this recently counts as reading it: the
     store answers each 0.6 s without changes.  */
  STORE_READ_RECENT_MS = 1200,
  /* How long an upstream may hold a request, and how much later its answer
     counts as lost.  A notice that is lost with the upstream comes 0.7 s late,
     of the two or three seconds that are allowed.  */
  HOST_WAIT_MS = 400,
  HOST_GRACE_MS = 300,
  HOST_MAX_BACKOFF_MS = 400,
  HOSTS_MAX = 64,
  /* Redirects that are followed in a row; then the first upstream is asked
     again.  */
  REDIRECTS_MAX = 8,
  /* No status says that history is gone: the answer then holds all items.  */
  NO_COMPACTED_STATUS = 0
};

typedef struct
{
  csp_peer_address_t host;
  uint32_t failures; /* in a row */
  uint64_t skip_until_ms;
} failed_upstream_t;

struct csp_mirror_feed
{
  uv_loop_t *loop;
  csp_mirror_feed_settings_t settings;
  csp_mirror_t *mirror;
  csp_log_t *log;
  csp_mirror_server_t *server;
  csp_follower_t *store_follower;
  csp_follower_t *host_follower;
  csp_peer_address_t upstream;       /* followed now */
  csp_peer_address_t first_upstream; /* before any redirect */
  uint32_t redirects;                /* since first_upstream */
  uint64_t followed_since_ms;
  uv_timer_t timer;
  csp_mirror_role_t role;
  bool confirmed;
  bool startup_read; /* the store is read only for the start */
  bool store_unreachable;
  bool reported_store_read;
  uint64_t store_current_at_ms;
  bool outage;
  uint64_t unreachable_until_ms;
  uint64_t lapsing_until_ms;
  uint64_t started_ms;
  uint64_t current_at_ms;
  uint64_t host_current_at_ms;
  size_t failed_next;
  failed_upstream_t failed[CSP_UPSTREAMS_FAILED_MAX];
  csp_random_t random;
  double random_share;
};

static void choose_source (csp_mirror_feed_t *feed);
static void stop_following (csp_mirror_feed_t *feed);
static void follow_host (csp_mirror_feed_t *feed, csp_peer_address_t host);

static uint64_t
loop_now_ms (const csp_mirror_feed_t *feed)
{
  return uv_now (feed->loop);
}

static void
update_server (csp_mirror_feed_t *feed)
{
  csp_update_mirror_server (
      feed->server, feed->confirmed && csp_mirror_revision (feed->mirror) > 0,
      feed->store_unreachable || loop_now_ms (feed) < feed->lapsing_until_ms,
      feed->current_at_ms);
}

static void
stop_store_reads (csp_mirror_feed_t *feed)
{
  csp_close_follower (feed->store_follower);
  feed->store_follower = NULL;
}

/* Record that the known items were current that long ago, as confirmed by the
   store or by a host.  */
static void
note_current (csp_mirror_feed_t *feed, uint32_t age_ms)
{
  uint64_t current_at_ms = loop_now_ms (feed) - age_ms;

  if (current_at_ms > feed->current_at_ms)
    feed->current_at_ms = current_at_ms;
  if (!feed->confirmed)
    {
      feed->confirmed = true;
      choose_source (feed);
    }
  if (feed->settings.confirmed_current != NULL)
    feed->settings.confirmed_current (feed->settings.hosts_state, age_ms);
}

static void
write_call (void *state, const csp_watch_call_t *call, csp_buffer_t *request)
{
  const csp_mirror_feed_t *feed = state;

  csp_print_buffer (
      request,
      "GET %safter=%lld&wait_ms=%u&host=%llu&first=%d&packed=1 HTTP/1.1\r\n",
      csp_mirror_path, (long long)csp_mirror_revision (feed->mirror),
      call->wait_ms,
      (unsigned long long)csp_pack_peer (
          csp_peer_from_sockaddr (&feed->settings.serve_address)),
      feed->role == CSP_MIRROR_DATA_CENTRE_READER);
  csp_print_buffer (request, "Host: h\r\n\r\n");
}

static failed_upstream_t *
find_failed (csp_mirror_feed_t *feed, csp_peer_address_t host)
{
  size_t i;

  for (i = 0; i < CSP_UPSTREAMS_FAILED_MAX; i++)
    if (csp_is_same_peer (feed->failed[i].host, host))
      return &feed->failed[i];
  return NULL;
}

/* Items older than the known ones come from a host that follows this one or
   that is cut off as well.  */
static void
apply_status (csp_mirror_feed_t *feed, const csp_mirror_status_t *status)
{
  uint64_t now_ms = loop_now_ms (feed);
  uint64_t current_at_ms
      = status->age_ms < now_ms ? now_ms - status->age_ms : 0;
  failed_upstream_t *failed = find_failed (feed, feed->upstream);

  if (status->lapsing)
    feed->lapsing_until_ms = now_ms + LAPSING_MS;
  if (current_at_ms > feed->host_current_at_ms)
    feed->host_current_at_ms = current_at_ms;
  if (status->age_ms >= OLD_DATA_MS)
    return;
  if (failed != NULL)
    failed->failures = 0;
  note_current (feed, status->age_ms);
}

/* If the upstream serves its maximum of followers and names those instead,
   follow one of them.  False if the body is no redirect.  */
static bool
follow_redirect (csp_mirror_feed_t *feed, const char *body)
{
  csp_peer_address_t hosts[CSP_MIRROR_REDIRECT_HOSTS_MAX];
  csp_peer_address_t first_upstream = feed->first_upstream;
  uint32_t redirects = feed->redirects + 1;
  size_t count
      = csp_decode_redirect (body, hosts, CSP_MIRROR_REDIRECT_HOSTS_MAX);

  if (count == 0)
    return false;
  stop_following (feed);
  if (redirects > REDIRECTS_MAX)
    return true;
  follow_host (feed, hosts[csp_random_below (&feed->random, (uint32_t)count)]);
  feed->first_upstream = first_upstream;
  feed->redirects = redirects;
  return true;
}

static bool
process_answer (void *state, const csp_watch_call_t *call, const char *body,
                csp_watch_t *watch)
{
  csp_mirror_feed_t *feed = state;
  csp_mirror_status_t status = { .age_ms = 0 };
  int64_t as_of = 0;

  if (follow_redirect (feed, body))
    return true;
  if (!csp_decode_mirror (feed->mirror, body, &status, &as_of))
    return false;
  if (call->kind == CSP_WATCH_LIST)
    csp_note_watch_page (watch, as_of, false, "");
  else
    csp_note_watch_changes (watch, as_of);
  apply_status (feed, &status);
  update_server (feed);
  return true;
}

static void
record_upstream_failure (csp_mirror_feed_t *feed, csp_peer_address_t host)
{
  failed_upstream_t *failed = find_failed (feed, host);
  uint32_t doublings;

  if (failed == NULL)
    {
      failed = &feed->failed[feed->failed_next];
      feed->failed_next = (feed->failed_next + 1) % CSP_UPSTREAMS_FAILED_MAX;
      *failed = (failed_upstream_t){ .host = host };
    }
  doublings = failed->failures < FAILED_DOUBLINGS ? failed->failures
                                                  : FAILED_DOUBLINGS;
  failed->failures++;
  failed->skip_until_ms
      = loop_now_ms (feed) + ((uint64_t)FAILED_BACKOFF_MS << doublings);
}

static void
stop_following (csp_mirror_feed_t *feed)
{
  csp_close_follower (feed->host_follower);
  feed->host_follower = NULL;
}

/* Stop following a host that failed or whose items are stale, and skip it for
   a while.  */
static void
abandon_upstream (csp_mirror_feed_t *feed)
{
  char address[CSP_PEER_TEXT_BYTES];

  csp_format_peer (feed->upstream, address);
  record_upstream_failure (feed, feed->upstream);
  stop_following (feed);
  if (!feed->confirmed)
    return;
  CSP_LOG (feed->log, CSP_EVENT_READER_LOST, NULL, csp_text ("host", address),
           csp_number ("revision", csp_mirror_revision (feed->mirror)),
           csp_number ("unfed_ms",
                       (int64_t)(loop_now_ms (feed) - feed->current_at_ms)));
}

static void
on_upstream_failed (void *state)
{
  csp_mirror_feed_t *feed = state;

  abandon_upstream (feed);
  /* Until this host knows who has items, the next try is at the next tick: the
     others may all have just started as well, and answer at once that they
     have none.  */
  if (feed->confirmed)
    choose_source (feed);
}

static const csp_follow_source_t host_source
    = { .write_call = write_call,
        .process_answer = process_answer,
        .failures_began = on_upstream_failed,
        .compacted_status = NO_COMPACTED_STATUS,
        .policy = { .wait_ms = HOST_WAIT_MS,
                    .answer_grace_ms = HOST_GRACE_MS,
                    .max_backoff_ms = HOST_MAX_BACKOFF_MS } };

static void
follow_host (csp_mirror_feed_t *feed, csp_peer_address_t host)
{
  struct sockaddr_in address = csp_sockaddr_from_peer (host);

  feed->upstream = host;
  feed->first_upstream = host;
  feed->redirects = 0;
  feed->followed_since_ms = loop_now_ms (feed);
  feed->host_follower
      = csp_open_follower (feed->loop, &address, &host_source,
                           csp_mirror_revision (feed->mirror), feed);
}

static void
list_failed (const csp_mirror_feed_t *feed, csp_failed_upstreams_t *failed)
{
  size_t i;

  failed->count = 0;
  for (i = 0; i < CSP_UPSTREAMS_FAILED_MAX; i++)
    if (loop_now_ms (feed) < feed->failed[i].skip_until_ms)
      failed->hosts[failed->count++] = feed->failed[i].host;
}

static void
follow_any_upstream (csp_mirror_feed_t *feed,
                     const csp_failed_upstreams_t *failed)
{
  csp_peer_address_t hosts[HOSTS_MAX];
  size_t count = feed->settings.list_hosts (feed->settings.hosts_state, hosts,
                                            HOSTS_MAX);
  size_t first = csp_random_below (&feed->random, (uint32_t)count);
  size_t i;

  for (i = 0; i < count; i++)
    {
      csp_peer_address_t host = hosts[(first + i) % count];

      if (csp_is_failed_upstream (failed, host))
        continue;
      follow_host (feed, host);
      return;
    }
}

/* In an outage of the store no host has current items, and another upstream
   would be no better.  */
static bool
is_upstream_stale (const csp_mirror_feed_t *feed)
{
  uint64_t now_ms = loop_now_ms (feed);
  uint64_t after_ms = feed->role == CSP_MIRROR_DATA_CENTRE_READER
                          ? READER_UPSTREAM_STALE_MS
                          : UPSTREAM_STALE_MS;

  return !feed->outage && feed->confirmed
         && now_ms - feed->followed_since_ms >= after_ms
         && now_ms - feed->host_current_at_ms >= after_ms;
}

static void
choose_upstream (csp_mirror_feed_t *feed, csp_peer_address_t upstream)
{
  csp_failed_upstreams_t failed;

  if (feed->host_follower != NULL && is_upstream_stale (feed))
    abandon_upstream (feed);
  if (feed->host_follower != NULL && upstream.port != 0
      && !csp_is_same_peer (feed->first_upstream, upstream))
    stop_following (feed);
  if (feed->host_follower != NULL)
    return;
  list_failed (feed, &failed);
  if (upstream.port != 0 && !csp_is_failed_upstream (&failed, upstream))
    follow_host (feed, upstream);
  else
    follow_any_upstream (feed, &failed);
}

static void
choose_store (csp_mirror_feed_t *feed, const csp_mirror_choice_t *choice)
{
  if (!choice->read_store)
    {
      if (feed->store_follower != NULL && feed->store_unreachable)
        feed->unreachable_until_ms
            = loop_now_ms (feed) + UNREACHABLE_EXPIRY_MS;
      stop_store_reads (feed);
      return;
    }
  if (feed->store_follower == NULL)
    {
      feed->store_follower = csp_open_follower (
          feed->loop, &feed->settings.store_address,
          feed->settings.store_source, csp_mirror_revision (feed->mirror),
          feed->settings.store_state);
      if (feed->store_follower != NULL && feed->store_unreachable)
        csp_set_follower_unreachable (feed->store_follower);
      if (feed->confirmed)
        CSP_LOG (feed->log, CSP_EVENT_STORE_READ, NULL,
                 csp_number ("role", feed->role),
                 csp_number ("unfed_ms", (int64_t)(loop_now_ms (feed)
                                                   - feed->current_at_ms)));
    }
  if (feed->store_follower == NULL)
    return;
  csp_set_follower_pace (feed->store_follower, choice->store_max_backoff_ms,
                         choice->store_watch_gap_ms);
  csp_hold_follower_list (feed->store_follower, choice->hold_list);
}

/* If this host no longer reads the store, report it as reachable again after a
   while; otherwise this host would never be chosen as a reader again.  */
static void
expire_store_unreachable (csp_mirror_feed_t *feed)
{
  if (feed->store_unreachable && feed->store_follower == NULL
      && loop_now_ms (feed) >= feed->unreachable_until_ms)
    feed->settings.store_source->reach_changed (feed->settings.store_state,
                                                false);
}

/* How long the known items haven't been current, the start not counted.  */
static uint64_t
stale_ms (const csp_mirror_feed_t *feed)
{
  uint64_t since_ms = feed->started_ms + STARTUP_MS;
  uint64_t now_ms = loop_now_ms (feed);

  if (feed->current_at_ms > since_ms)
    since_ms = feed->current_at_ms;
  return now_ms > since_ms ? now_ms - since_ms : 0;
}

static void
choose_source (csp_mirror_feed_t *feed)
{
  uint64_t now_ms = loop_now_ms (feed);
  csp_failed_upstreams_t failed;
  csp_reader_ranks_t ranks;
  csp_peer_address_t upstream;
  csp_mirror_facts_t facts;
  csp_mirror_choice_t choice;

  list_failed (feed, &failed);
  feed->settings.rank_readers (feed->settings.hosts_state, &ranks);
  feed->role = csp_choose_upstream (&ranks, &failed, &upstream);
  feed->outage = ranks.outage;
  facts = (csp_mirror_facts_t){
    .role = feed->role,
    .confirmed = feed->confirmed,
    .reads_store = feed->store_follower != NULL && !feed->startup_read,
    .up_ms = now_ms - feed->started_ms,
    .stale_ms = stale_ms (feed),
    .host_stale_ms = now_ms - feed->host_current_at_ms,
    .live_hosts = ranks.hosts,
    .store_outage = feed->outage,
    .random_share = feed->random_share
  };
  choice = csp_choose_mirror_source (&facts);
  feed->startup_read = !feed->confirmed;
  choose_store (feed, &choice);
  if (choice.follow_host)
    choose_upstream (feed, upstream);
  else
    stop_following (feed);
  expire_store_unreachable (feed);
}

/* Report whether this host gets answers from the store: other hosts prefer
   such an upstream to one that hasn't tried.  */
static void
report_store_read (csp_mirror_feed_t *feed)
{
  bool reads_store = feed->store_follower != NULL && feed->confirmed
                     && !feed->startup_read
                     && loop_now_ms (feed) - feed->store_current_at_ms
                            < STORE_READ_RECENT_MS;

  if (reads_store == feed->reported_store_read)
    return;
  feed->reported_store_read = reads_store;
  if (feed->settings.store_read_changed != NULL)
    feed->settings.store_read_changed (feed->settings.hosts_state,
                                       reads_store);
}

static void
on_tick (uv_timer_t *timer)
{
  csp_mirror_feed_t *feed = timer->data;

  choose_source (feed);
  report_store_read (feed);
  update_server (feed);
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
  feed->started_ms = uv_now (loop);
  feed->startup_read = true;
  csp_seed_random (&feed->random, csp_random_seed ());
  feed->random_share = csp_random_unit (&feed->random);
  if (settings->serve_address.sin_port != 0)
    {
      feed->server = csp_open_mirror_server (
          loop, &settings->serve_address, settings->link_bytes_per_s, mirror);
      if (feed->server == NULL)
        {
          free (feed);
          return NULL;
        }
    }
  uv_timer_init (loop, &feed->timer);
  feed->timer.data = feed;
  uv_timer_start (&feed->timer, on_tick, 0, CHOOSE_INTERVAL_MS);
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
  stop_following (feed);
  stop_store_reads (feed);
  csp_close_mirror_server (feed->server);
  feed->server = NULL;
  uv_close ((uv_handle_t *)&feed->timer, free_closed);
}

void
csp_note_store_answer (csp_mirror_feed_t *feed, bool current)
{
  if (current)
    {
      feed->store_current_at_ms = loop_now_ms (feed);
      note_current (feed, 0);
    }
  update_server (feed);
}

void
csp_set_store_unreachable (csp_mirror_feed_t *feed, bool unreachable)
{
  if (feed->store_unreachable && !unreachable)
    feed->lapsing_until_ms = loop_now_ms (feed) + LAPSING_MS;
  feed->store_unreachable = unreachable;
  feed->unreachable_until_ms = loop_now_ms (feed) + UNREACHABLE_EXPIRY_MS;
}
