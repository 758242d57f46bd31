#include "cowslipspoke/mirror.h"

#include "mirror/mirror-imp.h"

#include <stdlib.h>

const char csp_mirror_path[] = "/mirror?";

enum
{
  /* How often the choice of the source is looked at.  */
  CHOOSE_MS = 100,
  /* A host that could not be followed is left alone for that long, and twice
     as long for each further time, up to the last.  One that is gone is tried
     some times until hosts have forgotten it, each time for 0.7 s; one that
     was in doubt for a moment is followed again soon.  */
  FAILED_FIRST_MS = 500,
  FAILED_DOUBLINGS = 3,
  /* Word that old isn't current: the store is heard each 0.6 s without news,
     and three hosts may pass it on.  */
  OLD_WORD_MS = 1500,
  /* A host that is followed and has had no current word for that long is cut
     off in some way that its followers aren't.  Sooner it is mostly the store
     that says nothing, for a second or two, and hundreds of hosts would look
     for another all at once, in vain.  */
  STALE_AFTER_MS = 3000,
  /* The first host of a data centre tries another reader sooner: there are few
     of them, and all of theirs wait for them.  */
  STALE_NEAR_AFTER_MS = 1500,
  /* A host that starts hears of the others within a second; until then it
     follows whom it can.  */
  STARTS_FOR_MS = 2500,
  /* How long the store must have been back before removals are believed: its
     own rows come back within about two seconds.  */
  LAPSING_MS = 2500,
  /* A host that the store turned away and that doesn't read it now is tried
     again behind that, should its turn come.  */
  BLIND_MS = 5000,
  /* A host that the store answered so lately reads it: without news it does
     each 0.6 s.  */
  SIGHTED_MS = 1200,
  /* A host says something that often, and is missed that much later: a notice
     that is lost with it comes 0.7 s late, of the two or three seconds that
     the users allow.  */
  HOST_WAIT_MS = 400,
  HOST_SLACK_MS = 300,
  HOST_PAUSE_MS = 400,
  HOSTS_MAX = 64,
  /* Hosts that may send this one further, one after another; then it asks the
     first again.  */
  STEPS_MAX = 8,
  /* No status says that history is gone: the answer is then whole.  */
  NO_STATUS = 0
};

typedef struct
{
  csp_peer_address_t host;
  uint32_t times; /* in a row */
  uint64_t until_ms;
} failed_t;

struct csp_mirror_feed
{
  uv_loop_t *loop;
  csp_mirror_feed_settings_t settings;
  csp_mirror_t *mirror;
  csp_log_t *log;
  csp_mirror_server_t *server;
  csp_follower_t *store;
  csp_follower_t *host;
  csp_peer_address_t host_address; /* that is followed */
  csp_peer_address_t root_address; /* that was asked first */
  uint32_t steps;                  /* from there */
  uint64_t host_since_ms;
  uv_timer_t timer;
  csp_mirror_role_t role;
  bool confirmed;
  bool starting; /* what reads the store does so for the start alone */
  bool store_away;
  bool sighted; /* as told */
  uint64_t store_fed_ms;
  bool outage;
  uint64_t blind_until_ms;
  uint64_t lapsing_until_ms;
  uint64_t started_ms;
  uint64_t fed_ms;
  uint64_t host_fed_ms;
  size_t failed_next;
  failed_t failed[CSP_UPSTREAMS_FAILED_MAX];
  csp_random_t random;
  double lot;
};

static void choose_source (csp_mirror_feed_t *feed);
static void stop_host (csp_mirror_feed_t *feed);
static void follow_host (csp_mirror_feed_t *feed, csp_peer_address_t host);

static uint64_t
now_of (const csp_mirror_feed_t *feed)
{
  return uv_now (feed->loop);
}

static void
tell_server (csp_mirror_feed_t *feed)
{
  csp_tell_mirror_server (
      feed->server, feed->confirmed && csp_mirror_revision (feed->mirror) > 0,
      feed->store_away || now_of (feed) < feed->lapsing_until_ms,
      feed->fed_ms);
}

static void
close_store (csp_mirror_feed_t *feed)
{
  csp_close_follower (feed->store);
  feed->store = NULL;
}

/* What is known was current so long ago, by the word of the store or of a
   host.  */
static void
note_current (csp_mirror_feed_t *feed, uint32_t age_ms)
{
  uint64_t at_ms = now_of (feed) - age_ms;

  if (at_ms > feed->fed_ms)
    feed->fed_ms = at_ms;
  if (!feed->confirmed)
    {
      feed->confirmed = true;
      choose_source (feed);
    }
  if (feed->settings.heard != NULL)
    feed->settings.heard (feed->settings.hosts_state, age_ms);
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
          csp_peer_of_socket (&feed->settings.serve)),
      feed->role == CSP_MIRROR_READS_FOR_NEAR);
  csp_print_buffer (request, "Host: h\r\n\r\n");
}

static failed_t *
find_failed (csp_mirror_feed_t *feed, csp_peer_address_t host)
{
  size_t i;

  for (i = 0; i < CSP_UPSTREAMS_FAILED_MAX; i++)
    if (csp_is_same_peer (feed->failed[i].host, host))
      return &feed->failed[i];
  return NULL;
}

/* Word that is older than what is known already comes from a host that follows
   this one, or from one that is as badly off.  */
static void
take_word (csp_mirror_feed_t *feed, const csp_mirror_word_t *word)
{
  uint64_t now_ms = now_of (feed);
  uint64_t at_ms = word->age_ms < now_ms ? now_ms - word->age_ms : 0;
  failed_t *failed = find_failed (feed, feed->host_address);

  if (word->lapsing)
    feed->lapsing_until_ms = now_ms + LAPSING_MS;
  if (at_ms > feed->host_fed_ms)
    feed->host_fed_ms = at_ms;
  if (word->age_ms >= OLD_WORD_MS)
    return;
  if (failed != NULL)
    failed->times = 0;
  note_current (feed, word->age_ms);
}

/* The host serves as many as it may, and names those.  */
static bool
goes_elsewhere (csp_mirror_feed_t *feed, const char *body)
{
  csp_peer_address_t hosts[CSP_MIRROR_NAMED_MAX];
  csp_peer_address_t root = feed->root_address;
  uint32_t steps = feed->steps + 1;
  size_t count = csp_read_elsewhere (body, hosts, CSP_MIRROR_NAMED_MAX);

  if (count == 0)
    return false;
  stop_host (feed);
  if (steps > STEPS_MAX)
    return true;
  follow_host (feed, hosts[csp_random_below (&feed->random, (uint32_t)count)]);
  feed->root_address = root;
  feed->steps = steps;
  return true;
}

static bool
take_answer (void *state, const csp_watch_call_t *call, const char *body,
             csp_watch_t *watch)
{
  csp_mirror_feed_t *feed = state;
  csp_mirror_word_t word = { .age_ms = 0 };
  int64_t as_of = 0;

  if (goes_elsewhere (feed, body))
    return true;
  if (!csp_decode_mirror (feed->mirror, body, &word, &as_of))
    return false;
  if (call->kind == CSP_WATCH_LIST)
    csp_note_watch_page (watch, as_of, false, "");
  else
    csp_note_watch_changes (watch, as_of);
  take_word (feed, &word);
  tell_server (feed);
  return true;
}

static void
note_failed (csp_mirror_feed_t *feed, csp_peer_address_t host)
{
  failed_t *failed = find_failed (feed, host);
  uint32_t doublings;

  if (failed == NULL)
    {
      failed = &feed->failed[feed->failed_next];
      feed->failed_next = (feed->failed_next + 1) % CSP_UPSTREAMS_FAILED_MAX;
      *failed = (failed_t){ .host = host };
    }
  doublings
      = failed->times < FAILED_DOUBLINGS ? failed->times : FAILED_DOUBLINGS;
  failed->times++;
  failed->until_ms = now_of (feed) + ((uint64_t)FAILED_FIRST_MS << doublings);
}

static void
stop_host (csp_mirror_feed_t *feed)
{
  csp_close_follower (feed->host);
  feed->host = NULL;
}

/* What the followed host says can't be relied on: another is followed.  */
static void
leave_host (csp_mirror_feed_t *feed)
{
  char address[CSP_PEER_TEXT_BYTES];

  csp_print_peer (feed->host_address, address);
  note_failed (feed, feed->host_address);
  stop_host (feed);
  if (!feed->confirmed)
    return;
  CSP_LOG (feed->log, CSP_EVENT_READER_LOST, NULL, csp_text ("host", address),
           csp_number ("revision", csp_mirror_revision (feed->mirror)),
           csp_number ("unfed_ms", (int64_t)(now_of (feed) - feed->fed_ms)));
}

static void
on_host_doubted (void *state)
{
  csp_mirror_feed_t *feed = state;

  leave_host (feed);
  choose_source (feed);
}

static const csp_follow_source_t host_source
    = { .write_call = write_call,
        .take_answer = take_answer,
        .doubted = on_host_doubted,
        .compacted_status = NO_STATUS,
        .policy = { .wait_ms = HOST_WAIT_MS,
                    .slack_ms = HOST_SLACK_MS,
                    .pause_last_ms = HOST_PAUSE_MS } };

static void
follow_host (csp_mirror_feed_t *feed, csp_peer_address_t host)
{
  struct sockaddr_in address = csp_socket_of_peer (host);

  feed->host_address = host;
  feed->root_address = host;
  feed->steps = 0;
  feed->host_since_ms = now_of (feed);
  feed->host = csp_open_follower (feed->loop, &address, &host_source,
                                  csp_mirror_revision (feed->mirror), feed);
}

static void
list_failed (const csp_mirror_feed_t *feed, csp_failed_upstreams_t *failed)
{
  size_t i;

  failed->count = 0;
  for (i = 0; i < CSP_UPSTREAMS_FAILED_MAX; i++)
    if (now_of (feed) < feed->failed[i].until_ms)
      failed->hosts[failed->count++] = feed->failed[i].host;
}

static void
follow_any_host (csp_mirror_feed_t *feed, const csp_failed_upstreams_t *failed)
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

/* Where several hosts are turned away none of them has current word, and one
   is as good as another.  */
static bool
is_stale (const csp_mirror_feed_t *feed)
{
  uint64_t now_ms = now_of (feed);
  uint64_t after_ms = feed->role == CSP_MIRROR_READS_FOR_NEAR
                          ? STALE_NEAR_AFTER_MS
                          : STALE_AFTER_MS;

  return !feed->outage && feed->confirmed
         && now_ms - feed->host_since_ms >= after_ms
         && now_ms - feed->host_fed_ms >= after_ms;
}

static void
choose_host (csp_mirror_feed_t *feed, csp_peer_address_t upstream)
{
  csp_failed_upstreams_t failed;

  if (feed->host != NULL && is_stale (feed))
    leave_host (feed);
  if (feed->host != NULL && upstream.port != 0
      && !csp_is_same_peer (feed->root_address, upstream))
    stop_host (feed);
  if (feed->host != NULL)
    return;
  list_failed (feed, &failed);
  if (upstream.port != 0 && !csp_is_failed_upstream (&failed, upstream))
    follow_host (feed, upstream);
  else
    follow_any_host (feed, &failed);
}

static void
choose_store (csp_mirror_feed_t *feed, const csp_mirror_choice_t *choice)
{
  if (!choice->store)
    {
      if (feed->store != NULL && feed->store_away)
        feed->blind_until_ms = now_of (feed) + BLIND_MS;
      close_store (feed);
      return;
    }
  if (feed->store == NULL)
    {
      feed->store = csp_open_follower (
          feed->loop, &feed->settings.store, feed->settings.store_source,
          csp_mirror_revision (feed->mirror), feed->settings.store_state);
      if (feed->store != NULL && feed->store_away)
        csp_set_follower_away (feed->store);
      if (feed->confirmed)
        CSP_LOG (
            feed->log, CSP_EVENT_STORE_READ, NULL,
            csp_number ("role", feed->role),
            csp_number ("unfed_ms", (int64_t)(now_of (feed) - feed->fed_ms)));
    }
  if (feed->store != NULL)
    csp_set_follower_pace (feed->store, choice->store_pause_ms,
                           choice->store_gap_ms);
}

/* A host that was turned away and doesn't read now counts as able to again
   after a while; it would never be asked to otherwise.  */
static void
forget_blindness (csp_mirror_feed_t *feed)
{
  if (feed->store_away && feed->store == NULL
      && now_of (feed) >= feed->blind_until_ms)
    feed->settings.store_source->reach_changed (feed->settings.store_state,
                                                false);
}

/* How long nothing current was heard, though it could have been.  */
static uint64_t
unfed_ms (const csp_mirror_feed_t *feed)
{
  uint64_t since_ms = feed->started_ms + STARTS_FOR_MS;
  uint64_t now_ms = now_of (feed);

  if (feed->fed_ms > since_ms)
    since_ms = feed->fed_ms;
  return now_ms > since_ms ? now_ms - since_ms : 0;
}

static void
choose_source (csp_mirror_feed_t *feed)
{
  uint64_t now_ms = now_of (feed);
  csp_failed_upstreams_t failed;
  csp_reader_ranks_t ranks;
  csp_peer_address_t upstream;
  csp_mirror_facts_t facts;
  csp_mirror_choice_t choice;

  list_failed (feed, &failed);
  feed->settings.rank_readers (feed->settings.hosts_state, &ranks);
  feed->role = csp_choose_upstream (&ranks, &failed, &upstream);
  feed->outage = ranks.outage;
  facts = (csp_mirror_facts_t){ .role = feed->role,
                                .confirmed = feed->confirmed,
                                .reads_store
                                = feed->store != NULL && !feed->starting,
                                .up_ms = now_ms - feed->started_ms,
                                .unfed_ms = unfed_ms (feed),
                                .host_unfed_ms = now_ms - feed->host_fed_ms,
                                .hosts = ranks.hosts,
                                .outage = feed->outage,
                                .lot = feed->lot };
  choice = csp_choose_mirror_source (&facts);
  feed->starting = !feed->confirmed;
  choose_store (feed, &choice);
  if (choice.host)
    choose_host (feed, upstream);
  else
    stop_host (feed);
  forget_blindness (feed);
}

/* Others follow a host that reads the store and is answered before one that
   has not tried.  */
static void
tell_sight (csp_mirror_feed_t *feed)
{
  bool sighted = feed->store != NULL && feed->confirmed && !feed->starting
                 && now_of (feed) - feed->store_fed_ms < SIGHTED_MS;

  if (sighted == feed->sighted)
    return;
  feed->sighted = sighted;
  if (feed->settings.sighted != NULL)
    feed->settings.sighted (feed->settings.hosts_state, sighted);
}

static void
on_tick (uv_timer_t *timer)
{
  csp_mirror_feed_t *feed = timer->data;

  choose_source (feed);
  tell_sight (feed);
  tell_server (feed);
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
  feed->starting = true;
  csp_seed_random (&feed->random, csp_random_seed ());
  feed->lot = csp_random_unit (&feed->random);
  if (settings->serve.sin_port != 0)
    {
      feed->server = csp_open_mirror_server (
          loop, &settings->serve, settings->link_bytes_per_s, mirror);
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
  close_store (feed);
  csp_close_mirror_server (feed->server);
  feed->server = NULL;
  uv_close ((uv_handle_t *)&feed->timer, free_closed);
}

void
csp_note_mirror_fed (csp_mirror_feed_t *feed, bool current)
{
  if (current)
    {
      feed->store_fed_ms = now_of (feed);
      note_current (feed, 0);
    }
  tell_server (feed);
}

void
csp_note_store_reach (csp_mirror_feed_t *feed, bool away)
{
  if (feed->store_away && !away)
    feed->lapsing_until_ms = now_of (feed) + LAPSING_MS;
  feed->store_away = away;
  feed->blind_until_ms = now_of (feed) + BLIND_MS;
}
