#include "gateway/gateway-damping-imp.h"
#include "gateway/gateway-host-imp.h"
#include "gateway/gateway-target-imp.h"

#include "cowslipspoke/hash.h"

#include <stdlib.h>
#include <string.h>

/* Exchanging hello datagrams with other hosts.  */

enum
{
  /* Hellos are due about once a second and are checked this often.  */
  HELLO_TICK_MS = 200,
  BOOT_RANDOM_BITS = 16
};

static void
count_load (void *state, csp_peer_address_t peer, const csp_peer_load_t *load)
{
  (void)peer;
  csp_add_peer_load (state, load);
}

static void
uncount_load (void *state, csp_peer_address_t peer,
              const csp_peer_load_t *load)
{
  (void)peer;
  csp_subtract_peer_load (state, load);
}

/* Recount the loads that all other hosts have reported.  */
static void
recount_peer_loads (csp_gateway_t *gateway)
{
  csp_clear_peer_loads (gateway->fleet);
  csp_visit_peer_loads (gateway->roster, count_load, gateway->fleet);
}

/* A new target whose already reported loads are being counted.  */
typedef struct
{
  csp_fleet_t *fleet;
  uint64_t target; /* hash of its id */
} new_target_t;

static void
count_load_of_new_target (void *state, csp_peer_address_t peer,
                          const csp_peer_load_t *load)
{
  const new_target_t *new_target = state;

  (void)peer;
  if (load->target == new_target->target)
    csp_add_peer_load (new_target->fleet, load);
}

void
csp_count_reported_loads (csp_gateway_t *gateway, const char *id)
{
  const csp_fleet_target_t *target
      = csp_find_fleet_target (gateway->fleet, id);
  new_target_t new_target = { .fleet = gateway->fleet };

  if (target == NULL)
    return;
  new_target.target = target->hash;
  csp_visit_peer_loads (gateway->roster, count_load_of_new_target,
                        &new_target);
}

/* A host's new loads replace its previous ones.  Recounting all hosts for each
   datagram took more than a host's processor at 300 hosts and 3,000
   targets.  */
static bool
record_peer_hello (csp_gateway_t *gateway, csp_peer_address_t peer,
                   const csp_hello_t *hello)
{
  csp_remembered_loads_t before;
  bool taken;

  csp_remember_loads (gateway, peer, &before);
  csp_visit_loads_of_peer (gateway->roster, peer, uncount_load,
                           gateway->fleet);
  taken = csp_receive_hello (gateway->roster, peer, hello,
                             csp_gateway_now_ms (gateway));
  csp_visit_loads_of_peer (gateway->roster, peer, count_load, gateway->fleet);
  if (!taken)
    return false;
  /* Only what has just come: recorded loads are visited many times.  */
  csp_merge_reported_speeds (gateway, hello);
  csp_apply_reported_losses (gateway, peer, hello, &before);
  return true;
}

/* Send now or drop: a delayed hello would be out of date.  */
void
csp_send_hello (csp_gateway_t *gateway, csp_hello_t *hello,
                const csp_peer_address_t *peers, size_t peer_count)
{
  csp_buffer_t bytes = { 0 };
  size_t i;

  csp_fill_own_hello (gateway->roster, hello, csp_gateway_now_ms (gateway));
  hello->sequence = ++gateway->hello_sequence;
  if (csp_encode_hello (hello, &bytes))
    for (i = 0; i < peer_count; i++)
      {
        struct sockaddr_in to = csp_sockaddr_from_peer (peers[i]);
        uv_buf_t buffer = uv_buf_init (bytes.data, (unsigned)bytes.size_bytes);

        uv_udp_try_send (&gateway->peer_socket, &buffer, 1,
                         (const struct sockaddr *)&to);
      }
  csp_clear_buffer (&bytes);
}

void
csp_broadcast_hello (csp_gateway_t *gateway, csp_hello_t *hello)
{
  csp_send_hello (gateway, hello, gateway->peer_scratch,
                  csp_list_live_peers (gateway->roster, gateway->peer_scratch,
                                       CSP_ROSTER_MAX));
}

static void
send_periodic_hello (csp_gateway_t *gateway, csp_peer_address_t peer)
{
  csp_hello_t hello = { .reply_requested = true };

  hello.known_count = csp_choose_known_hosts (
      gateway->roster, peer, hello.known_hosts, CSP_HELLO_KNOWN_MAX,
      csp_gateway_now_ms (gateway));
  csp_add_relay_to_hello (gateway, &hello);
  csp_add_suspects_to_hello (gateway, &hello);
  csp_add_held_parts_to_hello (gateway, &hello);
  csp_add_rates_to_hello (gateway, &hello);
  csp_send_hello (gateway, &hello, &peer, 1);
}

static void
answer_hello (csp_gateway_t *gateway, csp_peer_address_t peer,
              const csp_hello_t *hello)
{
  csp_hello_t reply = { .reply_requested = false };

  reply.known_count = csp_choose_reply_hosts (gateway->roster, peer, hello,
                                              reply.known_hosts,
                                              csp_gateway_now_ms (gateway));
  csp_add_relay_to_hello (gateway, &reply);
  csp_add_suspects_to_hello (gateway, &reply);
  csp_add_held_parts_to_hello (gateway, &reply);
  csp_add_rates_to_hello (gateway, &reply);
  csp_send_hello (gateway, &reply, &peer, 1);
}

/* Logs once that hosts are ignored; again after none was for a tick.  */
static void
log_refused_hosts (csp_gateway_t *gateway)
{
  uint64_t refused = csp_count_refused_hosts (gateway->roster);
  bool full = refused > gateway->hosts_refused;

  if (full && !gateway->hosts_full)
    CSP_LOG (gateway->log, CSP_EVENT_HOSTS_FULL, NULL,
             csp_number ("refused", (int64_t)refused));
  gateway->hosts_refused = refused;
  gateway->hosts_full = full;
}

static void
on_hello_timer (uv_timer_t *timer)
{
  csp_gateway_t *gateway = timer->data;
  csp_peer_address_t *peers = gateway->peer_scratch;
  int64_t now_ms = csp_gateway_now_ms (gateway);
  size_t count;
  size_t i;

  if (csp_expire_peers (gateway->roster, now_ms))
    recount_peer_loads (gateway);
  log_refused_hosts (gateway);
  pthread_mutex_lock (&gateway->live_lock);
  gateway->live_peer_count = csp_sample_live_peers (
      gateway->roster, gateway->live_peers, CSP_LIVE_PEERS_MAX);
  csp_rank_readers (gateway->roster, &gateway->readers);
  pthread_mutex_unlock (&gateway->live_lock);
  csp_note_hello_period (
      gateway->reach,
      csp_extend_timeout_ms (gateway,
                             csp_remote_hello_period_ms (gateway->roster)));
  count = csp_choose_hello_targets (gateway->roster, now_ms, peers,
                                    CSP_ROSTER_MAX);
  for (i = 0; i < count; i++)
    send_periodic_hello (gateway, peers[i]);
  csp_choose_deciders (gateway);
  csp_log_speed_changes (gateway);
}

static void
on_datagram (uv_udp_t *handle, ssize_t size_bytes, const uv_buf_t *buffer,
             const struct sockaddr *from, unsigned flags)
{
  csp_gateway_t *gateway = handle->data;
  csp_peer_address_t peer;
  csp_hello_t hello;

  if (size_bytes <= 0 || from == NULL || (flags & UV_UDP_PARTIAL) != 0
      || !csp_decode_hello (buffer->base, (size_t)size_bytes, &hello))
    return;
  peer = csp_peer_from_sockaddr ((const struct sockaddr_in *)from);
  csp_note_host_message_from (gateway->reach, hello.data_centre,
                              csp_gateway_now_ms (gateway));
  if (record_peer_hello (gateway, peer, &hello)
      && (hello.is_full_report || hello.load_count > 0)
      && csp_count_waiting_asks (gateway->dispatch) > 0)
    csp_schedule_placements (gateway);
  if (hello.reply_requested)
    answer_hello (gateway, peer, &hello);
  csp_handle_leaving_notices (gateway, &hello);
  csp_handle_suspects (gateway, peer, &hello);
  csp_handle_part_hello (gateway, peer, &hello);
  csp_handle_rates (gateway, peer, &hello);
  csp_handle_grant_hello (gateway, peer, &hello);
  csp_handle_lease_hello (gateway, peer, &hello);
  csp_handle_dispatch_hello (gateway, peer, &hello);
}

size_t
csp_list_gateway_peers (csp_gateway_t *gateway, csp_peer_address_t *addresses,
                        size_t max_count)
{
  size_t count;

  pthread_mutex_lock (&gateway->live_lock);
  count = gateway->live_peer_count < max_count ? gateway->live_peer_count
                                               : max_count;
  memcpy (addresses, gateway->live_peers, count * sizeof *addresses);
  pthread_mutex_unlock (&gateway->live_lock);
  return count;
}

void
csp_rank_gateway_readers (csp_gateway_t *gateway, csp_reader_ranks_t *ranks)
{
  pthread_mutex_lock (&gateway->live_lock);
  *ranks = gateway->readers;
  pthread_mutex_unlock (&gateway->live_lock);
}

bool
csp_open_gateway_peers (csp_gateway_t *gateway)
{
  const csp_gateway_settings_t *settings = &gateway->settings;
  uint64_t random = csp_random_seed ();
  size_t i;

  pthread_mutex_init (&gateway->live_lock, NULL);
  gateway->self = csp_peer_from_sockaddr (&settings->datagram_address);
  gateway->data_centre
      = (uint32_t)csp_hash_pair ("data_centre", settings->data_centre);
  gateway->boot = ((uint64_t)csp_wall_ms (&gateway->clock) << BOOT_RANDOM_BITS)
                  | (random & ((1U << BOOT_RANDOM_BITS) - 1));
  /* Ids of this process's asks must differ from those of an earlier process,
     whose answers the decider may still remember.  */
  gateway->next_ask_id = gateway->boot;
  gateway->roster = csp_create_roster (gateway->self, gateway->boot,
                                       gateway->data_centre, random);
  gateway->reach = csp_create_reach (gateway->data_centre);
  gateway->service_reach = csp_create_service_reach ();
  gateway->peer_scratch
      = calloc (CSP_ROSTER_MAX, sizeof *gateway->peer_scratch);
  if (gateway->roster == NULL || gateway->reach == NULL
      || gateway->service_reach == NULL || gateway->peer_scratch == NULL)
    return false;
  csp_set_roster_local_info (gateway->roster, settings->capacity,
                             csp_gateway_now_ms (gateway));
  csp_rank_readers (gateway->roster, &gateway->readers);
  csp_open_load_reports (gateway);
  uv_timer_init (&gateway->loop, &gateway->hello_timer);
  gateway->hello_timer.data = gateway;
  uv_udp_init (&gateway->loop, &gateway->peer_socket);
  gateway->peer_socket.data = gateway;
  if (settings->datagram_address.sin_port == 0)
    return true;
  if (uv_udp_bind (&gateway->peer_socket,
                   (const struct sockaddr *)&settings->datagram_address, 0)
          != 0
      || uv_udp_recv_start (&gateway->peer_socket, csp_share_read_buffer,
                            on_datagram)
             != 0)
    return false;
  for (i = 0; i < settings->seed_count; i++)
    csp_add_peer_address (gateway->roster,
                          csp_peer_from_sockaddr (&settings->seeds[i]));
  uv_timer_start (&gateway->hello_timer, on_hello_timer, 0, HELLO_TICK_MS);
  return true;
}

void
csp_stop_gateway_peers (csp_gateway_t *gateway)
{
  if (uv_handle_get_type ((uv_handle_t *)&gateway->peer_socket) != UV_UDP)
    return;
  uv_udp_recv_stop (&gateway->peer_socket);
  uv_timer_stop (&gateway->load_report_timer);
  uv_timer_stop (&gateway->hello_timer);
}

void
csp_close_gateway_peers (csp_gateway_t *gateway)
{
  pthread_mutex_destroy (&gateway->live_lock);
  csp_destroy_roster (gateway->roster);
  csp_destroy_reach (gateway->reach);
  csp_destroy_service_reach (gateway->service_reach);
  free (gateway->peer_scratch);
}
