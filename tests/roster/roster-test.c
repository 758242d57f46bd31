#include "cowslipspoke/roster.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SELF_BOOT = 100,
  OTHER_BOOT = 200,
  THIS_DATA_CENTRE = 7,
  OTHER_DATA_CENTRE = 8,
  HELD_PARTS_IN_HELLO = 2 /* see gateway-part.c */
};

static const csp_peer_address_t self = { 1, 10 };
static const csp_peer_address_t other = { 2, 10 };
static const csp_peer_address_t third = { 3, 10 };

static csp_roster_t *roster;

static void
set_up (void)
{
  roster = csp_create_roster (self, SELF_BOOT, THIS_DATA_CENTRE, 1);
  ck_assert_ptr_nonnull (roster);
}

static void
tear_down (void)
{
  csp_destroy_roster (roster);
}

static csp_hello_t
hello_of (uint64_t boot, uint64_t sequence, bool whole, uint32_t requests)
{
  csp_hello_t hello
      = { .boot = boot, .sequence = sequence, .is_full_report = whole };

  if (requests > 0)
    {
      hello.load_count = 1;
      hello.loads[0].target = 9;
      hello.loads[0].requests = requests;
    }
  return hello;
}

static void
add_requests (void *state, csp_peer_address_t peer,
              const csp_peer_load_t *load)
{
  (void)peer;
  *(uint32_t *)state += load->requests;
}

static uint32_t
requests (void)
{
  uint32_t sum = 0;

  csp_visit_peer_loads (roster, add_requests, &sum);
  return sum;
}

/* Hellos received from one host, and the requests that are counted for it
   then.  */
static const struct
{
  const char *what;
  struct
  {
    uint64_t boot;
    uint64_t sequence;
    bool whole;
    uint32_t requests;
    bool accepted;
  } received[3];
  size_t count;
  uint32_t requests;
} cases[] = {
  { "one", { { OTHER_BOOT, 1, true, 4, true } }, 1, 4 },
  { "a change",
    { { OTHER_BOOT, 1, true, 4, true }, { OTHER_BOOT, 2, false, 7, true } },
    2,
    7 },
  { "one out of order",
    { { OTHER_BOOT, 2, true, 4, true }, { OTHER_BOOT, 1, true, 7, false } },
    2,
    4 },
  { "a full report without load",
    { { OTHER_BOOT, 1, true, 4, true }, { OTHER_BOOT, 2, true, 0, true } },
    2,
    0 },
  { "a hello without changes",
    { { OTHER_BOOT, 1, true, 4, true }, { OTHER_BOOT, 2, false, 0, true } },
    2,
    4 },
  { "a new boot starts without load",
    { { OTHER_BOOT, 9, true, 4, true },
      { OTHER_BOOT + 1, 1, false, 0, true } },
    2,
    0 },
  { "an older boot is ignored",
    { { OTHER_BOOT, 1, true, 4, true },
      { OTHER_BOOT - 1, 9, true, 7, false } },
    2,
    4 },
  { "this host's own, from another address",
    { { SELF_BOOT, 1, true, 4, false } },
    1,
    0 },
};

START_TEST (the_newest_hello_of_a_host_counts)
{
  size_t i;

  for (i = 0; i < cases[_i].count; i++)
    {
      csp_hello_t hello = hello_of (
          cases[_i].received[i].boot, cases[_i].received[i].sequence,
          cases[_i].received[i].whole, cases[_i].received[i].requests);

      ck_assert_msg (csp_receive_hello (roster, other, &hello, 1000)
                         == cases[_i].received[i].accepted,
                     "%s", cases[_i].what);
    }
  ck_assert_msg (requests () == cases[_i].requests, "%s: %u", cases[_i].what,
                 requests ());
}
END_TEST

/* Guards against a table of hosts that is full and says nothing.  */
START_TEST (hosts_beyond_the_table_are_counted)
{
  uint32_t i;

  for (i = 0; i < CSP_ROSTER_MAX; i++)
    csp_add_peer_address (roster, (csp_peer_address_t){ 1000 + i, 10 });
  ck_assert_uint_eq (csp_count_known_hosts (roster), 1 + CSP_ROSTER_MAX);
  ck_assert_uint_eq (csp_count_refused_hosts (roster), 0);
  csp_add_peer_address (roster, (csp_peer_address_t){ 1000 + i, 10 });
  ck_assert_uint_eq (csp_count_refused_hosts (roster), 1);
}
END_TEST

/* A host fails or is cut off: its requests end with it, or continue without
   being counted.  */
START_TEST (the_load_of_a_silent_host_expires)
{
  csp_hello_t hello = hello_of (OTHER_BOOT, 1, true, 4);

  csp_receive_hello (roster, other, &hello, 1000);
  ck_assert (!csp_expire_peers (roster, 3500));
  ck_assert_uint_eq (csp_count_live_peers (roster), 1);
  ck_assert (csp_expire_peers (roster, 4300));
  ck_assert_uint_eq (csp_count_live_peers (roster), 0);
  ck_assert_uint_eq (requests (), 0);
}
END_TEST

/* All seeds but one were stale: a host that is named by another is discovered
   through it, and gets a hello if it hasn't sent one itself yet.  */
START_TEST (hosts_are_discovered_through_others)
{
  csp_peer_address_t due[4];
  csp_hello_t hello = hello_of (OTHER_BOOT, 1, true, 0);

  csp_add_peer_address (roster, self);
  csp_add_peer_address (roster, other);
  ck_assert_uint_eq (csp_choose_hello_targets (roster, 10, due, 4), 1);
  ck_assert_uint_eq (csp_choose_hello_targets (roster, 1999, due, 4), 0);
  ck_assert_uint_eq (csp_choose_hello_targets (roster, 2010, due, 4), 1);
  ck_assert_uint_eq (due[0].ip, other.ip);
  hello.data_centre = THIS_DATA_CENTRE;
  hello.known_count = 2;
  hello.known_hosts[0] = (csp_known_host_t){ .address = third,
                                             .data_centre = OTHER_DATA_CENTRE,
                                             .age_ms = 100 };
  hello.known_hosts[1] = (csp_known_host_t){ .address = self };
  csp_receive_hello (roster, other, &hello, 2100);
  ck_assert_uint_eq (csp_list_live_peers (roster, due, 4), 2);
  ck_assert_uint_eq (csp_sample_live_peers (roster, due, 4), 2);
  ck_assert_uint_eq (csp_choose_hello_targets (roster, 4000, due, 4), 2);
  ck_assert_uint_eq (due[0].ip, third.ip);
  ck_assert_uint_eq (due[1].ip, other.ip);
}
END_TEST

/* Guards against a partition that is never detected to have ended: silent
   hosts still get hellos, but live ones are preferred.  */
START_TEST (silent_hosts_get_hellos_if_none_is_live)
{
  csp_peer_address_t due[4];
  csp_hello_t hello = hello_of (OTHER_BOOT, 1, true, 0);

  hello.data_centre = OTHER_DATA_CENTRE;
  csp_receive_hello (roster, other, &hello, 1000);
  csp_receive_hello (roster, third, &hello, 1000);
  csp_expire_peers (roster, 60000);
  ck_assert_uint_eq (csp_count_live_peers (roster), 0);
  ck_assert_uint_eq (csp_choose_hello_targets (roster, 60000, due, 4), 1);
  hello.sequence = 2;
  csp_receive_hello (roster, third, &hello, 60100);
  ck_assert_uint_eq (csp_choose_hello_targets (roster, 60600, due, 4), 1);
  ck_assert_uint_eq (due[0].ip, third.ip);
}
END_TEST

/* Guards against delayed gossip that overrides newer state: a failed host must
   not become live again, and a host that sent a hello a moment ago must not
   count as older.  */
START_TEST (outdated_gossip_is_ignored)
{
  csp_hello_t itself = hello_of (OTHER_BOOT, 1, true, 0);
  csp_hello_t hello = hello_of (OTHER_BOOT + 1, 1, false, 0);

  csp_receive_hello (roster, other, &itself, 1000);
  csp_expire_peers (roster, 6000);
  hello.known_count = 1;
  hello.known_hosts[0] = (csp_known_host_t){ .address = other,
                                             .age_ms = 5100,
                                             .platform_unreachable = true };
  csp_receive_hello (roster, third, &hello, 6000);
  ck_assert_uint_eq (csp_count_live_peers (roster), 1);
  itself.sequence = 2;
  csp_receive_hello (roster, other, &itself, 6100);
  hello.sequence = 2;
  hello.known_hosts[0].age_ms = 300;
  hello.known_hosts[0].leaving = true;
  csp_receive_hello (roster, third, &hello, 6200);
  csp_expire_peers (roster, 9300);
  ck_assert_uint_eq (csp_count_live_peers (roster), 2);
}
END_TEST

/* A host in a test of ranks.  */
typedef struct
{
  csp_peer_address_t address;
  uint32_t data_centre;
  uint32_t capacity;
  uint32_t up_ms;
  bool platform_unreachable;
  bool leaving;
} ranked_host_t;

static void
receive_hello_of (csp_roster_t *by, const ranked_host_t *host,
                  uint64_t sequence, int64_t now_ms)
{
  csp_hello_t hello = { .boot = OTHER_BOOT + host->address.ip,
                        .sequence = sequence,
                        .data_centre = host->data_centre,
                        .capacity = host->capacity,
                        .up_ms = host->up_ms,
                        .platform_unreachable = host->platform_unreachable,
                        .leaving = host->leaving };

  csp_receive_hello (by, host->address, &hello, now_ms);
}

/* The decider among this host, with 100 thousandths of a core and up for 60 s,
   and two others.  */
static const struct
{
  const char *what;
  ranked_host_t hosts[2];
  uint32_t decider_ip;
} decider_cases[] = {
  { "the one with the most capacity",
    { { { 2, 10 }, OTHER_DATA_CENTRE, 500, 10000, false, false },
      { { 3, 10 }, THIS_DATA_CENTRE, 200, 10000, false, false } },
    2 },
  { "one that has just started doesn't",
    { { { 2, 10 }, OTHER_DATA_CENTRE, 500, 900, false, false },
      { { 3, 10 }, THIS_DATA_CENTRE, 200, 10000, false, false } },
    3 },
  { "one that stops doesn't",
    { { { 2, 10 }, OTHER_DATA_CENTRE, 500, 10000, false, true },
      { { 3, 10 }, THIS_DATA_CENTRE, 200, 10000, false, true } },
    1 },
  { "one that can't reach the platform does",
    { { { 2, 10 }, OTHER_DATA_CENTRE, 500, 10000, true, false },
      { { 3, 10 }, THIS_DATA_CENTRE, 50, 10000, false, false } },
    2 },
};

START_TEST (the_host_with_most_capacity_decides)
{
  size_t i;

  csp_set_roster_local_info (roster, 100, -60000);
  for (i = 0; i < 2; i++)
    receive_hello_of (roster, &decider_cases[_i].hosts[i], 1, 1000);
  ck_assert_msg (csp_pick_decider (roster).ip == decider_cases[_i].decider_ip,
                 "%s: %u", decider_cases[_i].what,
                 csp_pick_decider (roster).ip);
}
END_TEST

/* After a power failure all hosts start at once, and none has been up for
   longer.  A decider must be chosen without delay.  */
START_TEST (hosts_that_all_just_started_have_a_decider)
{
  ranked_host_t large
      = { { 2, 10 }, OTHER_DATA_CENTRE, 500, 100, false, false };

  csp_set_roster_local_info (roster, 100, 0);
  receive_hello_of (roster, &large, 1, 300);
  ck_assert_uint_eq (csp_pick_decider (roster).ip, 2);
}
END_TEST

/* The decider is paused or cut off and doesn't answer.  The next host is
   asked, then the first of this data centre, and after a while the first one
   again.  All three get load reports.  */
START_TEST (an_unresponsive_decider_is_avoided_for_a_while)
{
  static const ranked_host_t hosts[]
      = { { { 2, 10 }, OTHER_DATA_CENTRE, 900, 10000, false, false },
          { { 3, 10 }, OTHER_DATA_CENTRE, 400, 10000, false, false },
          { { 4, 10 }, OTHER_DATA_CENTRE, 200, 10000, false, false },
          { { 5, 10 }, THIS_DATA_CENTRE, 100, 10000, false, false } };
  csp_peer_address_t load_receivers[CSP_DECIDERS_MAX];
  size_t i;

  csp_set_roster_local_info (roster, 10, -60000);
  for (i = 0; i < 4; i++)
    receive_hello_of (roster, &hosts[i], 1, 1000);
  ck_assert_uint_eq (csp_list_deciders (roster, load_receivers), 3);
  ck_assert_uint_eq (load_receivers[0].ip, 2);
  ck_assert_uint_eq (load_receivers[1].ip, 3);
  ck_assert_uint_eq (load_receivers[2].ip, 5);
  csp_avoid_decider (roster, hosts[0].address, 1100);
  ck_assert_uint_eq (csp_pick_decider (roster).ip, 3);
  csp_avoid_decider (roster, hosts[1].address, 1300);
  ck_assert_uint_eq (csp_pick_decider (roster).ip, 5);
  csp_expire_peers (roster, 3150);
  ck_assert_uint_eq (csp_pick_decider (roster).ip, 2);
}
END_TEST

static void
check_same_order (const csp_reader_ranks_t *a, const csp_reader_ranks_t *b)
{
  size_t i;

  ck_assert_uint_eq (a->local_reader_count, b->local_reader_count);
  ck_assert_uint_eq (a->fleet_reader_count, b->fleet_reader_count);
  for (i = 0; i < a->local_reader_count; i++)
    ck_assert (csp_is_same_peer (a->local_readers[i], b->local_readers[i]));
  for (i = 0; i < a->fleet_reader_count; i++)
    ck_assert (csp_is_same_peer (a->fleet_readers[i], b->fleet_readers[i]));
}

/* One host reads the platform for the others: hosts agree on the order, and a
   host that stops, fails or can't reach the platform isn't first.  */
START_TEST (hosts_agree_on_the_readers)
{
  ranked_host_t hosts[]
      = { { { 2, 10 }, THIS_DATA_CENTRE, 100, 10000, false, false },
          { { 3, 10 }, THIS_DATA_CENTRE, 100, 10000, false, false },
          { { 4, 10 }, THIS_DATA_CENTRE, 100, 10000, false, false },
          { { 5, 10 }, OTHER_DATA_CENTRE, 900, 10000, false, false } };
  ranked_host_t itself
      = { { 1, 10 }, THIS_DATA_CENTRE, 100, 10000, false, false };
  csp_reader_ranks_t ranks;
  csp_reader_ranks_t other_ranks;
  csp_roster_t *other_roster;
  size_t first = 0;
  size_t i;
  size_t j;

  csp_set_roster_local_info (roster, 100, -60000);
  csp_rank_readers (roster, &ranks);
  ck_assert_uint_eq (ranks.local_reader_count, 1);
  ck_assert_uint_eq (ranks.fleet_readers[0].ip, self.ip);
  for (i = 0; i < 4; i++)
    receive_hello_of (roster, &hosts[i], 1, 1000);
  csp_rank_readers (roster, &ranks);
  ck_assert_uint_eq (ranks.local_reader_count, 4);
  ck_assert_uint_eq (ranks.fleet_reader_count, 3);
  ck_assert_uint_eq (ranks.fleet_readers[0].ip, 5);
  ck_assert_uint_eq (ranks.hosts, 5);
  for (i = 0; i < 3; i++)
    {
      other_roster = csp_create_roster (hosts[i].address, OTHER_BOOT + 90 + i,
                                        THIS_DATA_CENTRE, 1);
      csp_set_roster_local_info (other_roster, 100, -60000);
      receive_hello_of (other_roster, &itself, 1, 1000);
      for (j = 0; j < 4; j++)
        if (j != i)
          receive_hello_of (other_roster, &hosts[j], 1, 1000);
      csp_rank_readers (other_roster, &other_ranks);
      check_same_order (&other_ranks, &ranks);
      csp_destroy_roster (other_roster);
      if (hosts[i].address.ip == ranks.local_readers[0].ip)
        first = i;
    }
  /* The store refuses the fleet's reader, which is elsewhere, and the first
     host of this data centre, which still relays what others read.  */
  hosts[3].platform_unreachable = true;
  hosts[first].platform_unreachable = true;
  receive_hello_of (roster, &hosts[3], 2, 1050);
  receive_hello_of (roster, &hosts[first], 2, 1050);
  csp_rank_readers (roster, &other_ranks);
  ck_assert_uint_ne (other_ranks.fleet_readers[0].ip, 5);
  ck_assert_uint_ne (other_ranks.fleet_readers[0].ip, hosts[first].address.ip);
  for (i = 0; i < ranks.local_reader_count; i++)
    ck_assert (csp_is_same_peer (other_ranks.local_readers[i],
                                 ranks.local_readers[i]));
  ck_assert_uint_eq (other_ranks.refused_hosts, 2);
  /* If all are refused, the order is as if none were.  */
  for (i = 0; i < 4; i++)
    {
      hosts[i].platform_unreachable = true;
      receive_hello_of (roster, &hosts[i], 3, 1060);
    }
  csp_set_roster_platform_unreachable (roster, true);
  csp_rank_readers (roster, &other_ranks);
  check_same_order (&other_ranks, &ranks);
  hosts[3].leaving = true;
  receive_hello_of (roster, &hosts[3], 4, 1070);
  csp_rank_readers (roster, &other_ranks);
  ck_assert_uint_ne (other_ranks.fleet_readers[0].ip, 5);
  csp_expire_peers (roster, 9000);
  csp_rank_readers (roster, &other_ranks);
  ck_assert_uint_eq (other_ranks.local_reader_count, 1);
}
END_TEST

/* Leases depend on the number of hosts that use this one as decider: hosts
   that said so lately, until they choose another or time out.  */
START_TEST (hosts_that_use_this_decider_are_counted)
{
  csp_hello_t hello = hello_of (OTHER_BOOT, 1, true, 0);

  hello.data_centre = OTHER_DATA_CENTRE;
  hello.decider = csp_pack_peer (self);
  csp_receive_hello (roster, other, &hello, 1000);
  hello.decider = csp_pack_peer (other);
  csp_receive_hello (roster, third, &hello, 1000);
  ck_assert_uint_eq (csp_count_asking_hosts (roster), 2);
  ck_assert_uint_eq (csp_count_known_hosts (roster), 3);
  ck_assert_uint_eq (csp_count_reachable_data_centres (roster), 2);
  hello.sequence = 2;
  csp_receive_hello (roster, other, &hello, 1500);
  ck_assert_uint_eq (csp_count_asking_hosts (roster), 1);
  hello.sequence = 3;
  hello.decider = csp_pack_peer (self);
  csp_receive_hello (roster, other, &hello, 2000);
  csp_expire_peers (roster, 6000);
  ck_assert_uint_eq (csp_count_asking_hosts (roster), 1);
  ck_assert_uint_eq (csp_count_known_hosts (roster), 3);
  ck_assert_uint_eq (csp_count_reachable_data_centres (roster), 1);
}
END_TEST

/* The store refuses a third of the hosts, more than make an outage, but some
   hosts can read it.  Those are followed, whatever their rank.  When it was
   treated as an outage, as all that had tried by then were refused, 81 of 295
   hosts had no configuration for nine seconds.  */
START_TEST (a_host_that_reads_ends_an_outage)
{
  csp_hello_t hello = { .boot = 9,
                        .sequence = 1,
                        .data_centre = OTHER_DATA_CENTRE,
                        .capacity = 90,
                        .up_ms = 10000,
                        .platform_read = true };
  csp_reader_ranks_t ranks;
  uint32_t i;

  csp_set_roster_local_info (roster, 100, -60000);
  for (i = 0; i < 3 * CSP_OUTAGE_HOSTS; i++)
    {
      ranked_host_t host = { { 10 + i, 10 }, THIS_DATA_CENTRE,     900,
                             10000,          i > CSP_OUTAGE_HOSTS, false };

      receive_hello_of (roster, &host, 1, 1000);
    }
  csp_rank_readers (roster, &ranks);
  ck_assert (ranks.outage);
  csp_receive_hello (roster, third, &hello, 1000);
  csp_rank_readers (roster, &ranks);
  ck_assert (!ranks.outage);
  ck_assert (csp_is_same_peer (ranks.fleet_readers[0], third));
  hello.sequence = 2;
  hello.platform_read = false;
  csp_receive_hello (roster, third, &hello, 1100);
  csp_rank_readers (roster, &ranks);
  ck_assert (ranks.outage);
}
END_TEST

/* Guards against refused readers that are dropped from gossip: they would rank
   first until they have been silent for three seconds.  They stay named, as
   refused, as long as they would rank first otherwise.  */
START_TEST (refused_readers_are_named)
{
  csp_known_host_t names[CSP_HELLO_KNOWN_MAX];
  size_t unreachable = 0;
  size_t count;
  uint32_t i;

  csp_set_roster_local_info (roster, 100, -60000);
  for (i = 0; i < 60; i++)
    {
      ranked_host_t host
          = { { 2 + i, 10 }, OTHER_DATA_CENTRE, i < 3 ? 900 : 90, 10000, i < 3,
              false };

      receive_hello_of (roster, &host, 1, 1000);
    }
  count = csp_choose_known_hosts (roster, third, names, CSP_HELLO_KNOWN_MAX,
                                  1010);
  for (i = 0; i < count; i++)
    unreachable += names[i].platform_unreachable;
  /* The receiver itself isn't named.  */
  ck_assert_uint_eq (unreachable, 2);
}
END_TEST

/* Two hundred hosts, a dozen of which rank first for some duty.  If only those
   were named, small hosts would know no others; so a third of the entries are
   random others, and all hosts are named over some hellos.  */
START_TEST (gossip_names_random_hosts_too)
{
  enum
  {
    MANY = 200,
    LARGE = 80
  };
  csp_known_host_t names[CSP_HELLO_KNOWN_MAX];
  bool named[MANY + 2] = { false };
  size_t named_count = 0;
  uint32_t i;
  size_t j;

  csp_set_roster_local_info (roster, 100, -60000);
  for (i = 0; i < MANY; i++)
    {
      ranked_host_t host
          = { { 2 + i, 10 },
              i % 4 == 0 ? THIS_DATA_CENTRE : OTHER_DATA_CENTRE + i % 4,
              i < LARGE ? 900 : 90,
              10000,
              false,
              false };

      receive_hello_of (roster, &host, 1, 1000);
    }
  for (i = 0; i < 300; i++)
    {
      size_t count = csp_choose_known_hosts (roster, other, names,
                                             CSP_HELLO_KNOWN_MAX, 1010);

      ck_assert_uint_eq (count, CSP_HELLO_KNOWN_MAX);
      for (j = 0; j < count; j++)
        named[names[j].address.ip] = true;
    }
  for (i = 2; i < MANY + 2; i++)
    named_count += named[i];
  /* The receiver itself isn't named.  */
  ck_assert_uint_eq (named_count, MANY - 1);
}
END_TEST

/* The store refuses all large hosts of a data centre.  The others there still
   follow the same host, which follows a reader elsewhere; otherwise each would
   choose another of forty small hosts, and changes would arrive four seconds
   late.  */
START_TEST (a_data_centre_follows_a_refused_host)
{
  csp_reader_ranks_t before;
  csp_reader_ranks_t ranks;
  uint32_t i;

  csp_set_roster_local_info (roster, 100, -60000);
  for (i = 0; i < 3; i++)
    {
      ranked_host_t host
          = { { 2 + i, 10 }, THIS_DATA_CENTRE, 900, 10000, false, false };

      receive_hello_of (roster, &host, 1, 1000);
    }
  csp_rank_readers (roster, &before);
  for (i = 0; i < 3; i++)
    {
      ranked_host_t host
          = { { 2 + i, 10 }, THIS_DATA_CENTRE, 900, 10000, true, false };

      receive_hello_of (roster, &host, 2, 1010);
    }
  csp_rank_readers (roster, &ranks);
  ck_assert (
      csp_is_same_peer (ranks.local_readers[0], before.local_readers[0]));
  ck_assert_uint_eq (ranks.fleet_readers[0].ip, self.ip);
}
END_TEST

/* Guards against an outage of the store for all hosts, six seconds long, in
   which each refused reader passes the duty to the next host: 107 hosts tried.
   Once enough hosts are refused to indicate an outage, the first one stays the
   reader.  */
START_TEST (an_outage_of_the_store_keeps_the_reader)
{
  csp_reader_ranks_t ranks;
  uint32_t i;

  csp_set_roster_local_info (roster, 100, -60000);
  for (i = 0; i < CSP_OUTAGE_HOSTS; i++)
    {
      ranked_host_t host
          = { { 2 + i, 10 }, OTHER_DATA_CENTRE, 900, 10000, true, false };

      receive_hello_of (roster, &host, 1, 1000);
      csp_rank_readers (roster, &ranks);
      ck_assert_uint_eq (ranks.refused_hosts, i + 1);
      ck_assert_msg ((ranks.fleet_readers[0].ip == self.ip)
                         == (i + 1 < CSP_OUTAGE_HOSTS),
                     "%u hosts are refused", i + 1);
    }
}
END_TEST

/* All hosts lose power and start again together, and a hello to a seed that
   isn't up yet is lost.  A host that waited two seconds before the next one
   read the store and decided on placements by itself meanwhile, as did all
   others.  */
START_TEST (a_seed_that_is_not_up_yet_is_retried_soon)
{
  csp_peer_address_t due[4];
  size_t hello_count = 0;
  int64_t now_ms;

  csp_set_roster_local_info (roster, 100, 1000);
  csp_add_peer_address (roster, other);
  for (now_ms = 1000; now_ms < 2000; now_ms += 50)
    hello_count += csp_choose_hello_targets (roster, now_ms, due, 4);
  ck_assert_uint_ge (hello_count, 6);
}
END_TEST

/* All hosts start at once, and none can ask for a placement or follow a reader
   until it knows which hosts rank first.  So a host sends hellos often at
   first.  */
START_TEST (a_starting_host_sends_hellos_often)
{
  csp_hello_t hello = hello_of (OTHER_BOOT, 1, true, 0);
  csp_peer_address_t due[4];
  size_t hello_count = 0;
  int64_t now_ms;

  csp_set_roster_local_info (roster, 100, 1000);
  hello.data_centre = OTHER_DATA_CENTRE;
  csp_receive_hello (roster, other, &hello, 1000);
  for (now_ms = 1000; now_ms < 2000; now_ms += 50)
    hello_count += csp_choose_hello_targets (roster, now_ms, due, 4);
  ck_assert_uint_ge (hello_count, 6);
  for (hello_count = 0, now_ms = 4000; now_ms < 5000; now_ms += 50)
    hello_count += csp_choose_hello_targets (roster, now_ms, due, 4);
  ck_assert_uint_eq (hello_count, 2);
}
END_TEST

START_TEST (a_hello_survives_its_codec)
{
  csp_hello_t hello = hello_of (OTHER_BOOT, 3, true, 0);
  csp_hello_t back;
  csp_buffer_t bytes = { 0 };
  size_t size_bytes;
  size_t i;

  hello.load_count = CSP_HELLO_LOADS_MAX;
  hello.data_centre = UINT32_MAX;
  hello.known_count = CSP_HELLO_KNOWN_MAX;
  for (i = 0; i < hello.load_count; i++)
    {
      csp_peer_load_t load = { UINT64_MAX - i, 24,     34000,   34000, 9000,
                               34000,          900000, 9000000, 10000, 60000 };

      hello.loads[i] = load;
    }
  for (i = 0; i < hello.known_count; i++)
    hello.known_hosts[i] = (csp_known_host_t){ .address = other,
                                               .data_centre = UINT32_MAX,
                                               .capacity = 500,
                                               .age_ms = 3300,
                                               .up_ms = CSP_UP_REPORTED_MAX_MS,
                                               .leaving = true,
                                               .platform_unreachable = true,
                                               .platform_read = true };
  hello.capacity = 500;
  hello.up_ms = CSP_UP_REPORTED_MAX_MS;
  hello.reply_requested = true;
  hello.platform_read = true;
  hello.ask_count = 1;
  hello.asks[0].id = UINT64_MAX;
  hello.asks[0].service = 1;
  hello.asks[0].organisation = 2;
  hello.asks[0].prompt_tokens = 3;
  hello.asks[0].tokens = 4;
  hello.asks[0].start_within_ms = 5;
  hello.asks[0].urgency = 6;
  hello.asks[0].moves_from = 7;
  hello.asks[0].refused_at = 8;
  hello.asks[0].expected_remaining_ms = 9;
  hello.answer_count = 1;
  hello.answers[0].id = 7;
  hello.answers[0].outcome = CSP_ASK_REFUSED;
  hello.answers[0].target = UINT64_MAX;
  hello.answers[0].retry_after_ms = 8;
  hello.answers[0].pool_percent = 100;
  hello.answers[0].refusal = (csp_ask_refusal_t){
    .cause = CSP_REFUSED_AFTER_WAIT, .predicted_wait_ms = 10, .left_ms = 11
  };
  hello.cancel_count = 1;
  hello.cancels[0] = 9;
  hello.decider = UINT64_MAX;
  hello.lease_request_count = CSP_HELLO_LEASES_MAX;
  hello.lease_count = CSP_HELLO_LEASES_MAX;
  for (i = 0; i < CSP_HELLO_LEASES_MAX; i++)
    {
      hello.lease_requests[i] = (csp_hello_lease_t){ .service = 1,
                                                     .id = UINT64_MAX,
                                                     .amount = 300 };
      hello.leases[i] = hello.lease_requests[i];
    }
  hello.leaving_target_count = CSP_HELLO_LEAVING_MAX;
  for (i = 0; i < hello.leaving_target_count; i++)
    hello.leaving_targets[i] = UINT64_MAX - i;
  ck_assert (csp_encode_hello (&hello, &bytes));
  ck_assert_uint_le (bytes.size_bytes, CSP_HELLO_MAX_BYTES);
  ck_assert (csp_decode_hello (bytes.data, bytes.size_bytes, &back));
  ck_assert_mem_eq (&hello, &back, sizeof hello);
  /* Truncated datagrams must not be read past their end; malformed bytes are
     rejected.  */
  for (size_bytes = 0; size_bytes < bytes.size_bytes; size_bytes++)
    csp_decode_hello (bytes.data, size_bytes, &back);
  ck_assert (!csp_decode_hello ("\xff\xff\xff", 3, &back));
  csp_clear_buffer (&bytes);
}
END_TEST

START_TEST (an_ask_with_backoffs_survives_its_codec)
{
  csp_hello_t hello = { .boot = 1, .sequence = 2, .ask_count = 1 };
  csp_buffer_t bytes = { 0 };
  csp_hello_t back;
  size_t i;

  hello.asks[0].id = 3;
  hello.asks[0].backoff_count = CSP_ASK_BACKOFFS_MAX;
  for (i = 0; i < CSP_ASK_BACKOFFS_MAX; i++)
    hello.asks[0].backoffs[i] = UINT64_MAX - i;
  ck_assert (csp_encode_hello (&hello, &bytes));
  ck_assert_uint_le (bytes.size_bytes, CSP_HELLO_MAX_BYTES);
  ck_assert (csp_decode_hello (bytes.data, bytes.size_bytes, &back));
  ck_assert_mem_eq (&hello, &back, sizeof hello);
  csp_clear_buffer (&bytes);
}
END_TEST

/* Guards against a hello with suspects that doesn't fit into a frame.  */
START_TEST (a_full_hello_with_suspects_fits_a_frame)
{
  csp_hello_t hello = { .boot = UINT64_MAX,
                        .sequence = UINT64_MAX,
                        .reply_requested = true,
                        .known_count = CSP_HELLO_KNOWN_MAX,
                        .suspect_count = CSP_HELLO_SUSPECTS_MAX,
                        .cleared_count = CSP_HELLO_SUSPECTS_MAX,
                        .held_part_count = HELD_PARTS_IN_HELLO,
                        .relay_port = 65535,
                        .unreached_count = CSP_HELLO_UNREACHED_MAX };
  csp_buffer_t bytes = { 0 };
  csp_hello_t back;
  size_t i;

  for (i = 0; i < CSP_HELLO_KNOWN_MAX; i++)
    hello.known_hosts[i]
        = (csp_known_host_t){ .address = { UINT32_MAX, 65535 },
                              .data_centre = UINT32_MAX,
                              .capacity = 500,
                              .age_ms = 3300,
                              .up_ms = CSP_UP_REPORTED_MAX_MS,
                              .leaving = true,
                              .platform_unreachable = true,
                              .platform_read = true };
  for (i = 0; i < CSP_HELLO_UNREACHED_MAX; i++)
    hello.unreached[i] = UINT32_MAX - (uint32_t)i;
  for (i = 0; i < CSP_HELLO_SUSPECTS_MAX; i++)
    {
      hello.suspects[i] = (csp_suspect_t){ .request = UINT64_MAX - i,
                                           .strike_count = CSP_STRIKES_MAX,
                                           .targets = { 6, 7, UINT64_MAX },
                                           .age_ms = UINT32_MAX,
                                           .failed_trials = 9 };
      hello.cleared[i] = i + 1;
    }
  for (i = 0; i < HELD_PARTS_IN_HELLO; i++)
    hello.held_parts[i] = (csp_held_part_t){ .part = UINT64_MAX - i,
                                             .asks = true,
                                             .leads = true,
                                             .left_ms = UINT32_MAX,
                                             .trial_age_ms = UINT32_MAX,
                                             .strike_age_ms = UINT32_MAX,
                                             .failed_trials = 9 };
  ck_assert (csp_encode_hello (&hello, &bytes));
  ck_assert_uint_le (bytes.size_bytes, CSP_HELLO_MAX_BYTES);
  ck_assert (csp_decode_hello (bytes.data, bytes.size_bytes, &back));
  ck_assert_mem_eq (&hello, &back, sizeof hello);
  csp_clear_buffer (&bytes);
}
END_TEST

/* A host's clock is stepped back by a minute and its process is killed.  The
   new boot has a lower number than the known one; its load must still be
   counted once the old boot has timed out.  */
START_TEST (a_lower_boot_after_a_clock_step_is_accepted)
{
  csp_hello_t old = hello_of (OTHER_BOOT, 9, true, 4);
  csp_hello_t late = hello_of (OTHER_BOOT - 1, 1, true, 7);
  csp_hello_t new = hello_of (OTHER_BOOT - 1, 3, true, 2);

  ck_assert (csp_receive_hello (roster, other, &old, 1000));
  ck_assert (!csp_receive_hello (roster, other, &late, 2000));
  ck_assert_uint_eq (requests (), 4);
  ck_assert (csp_receive_hello (roster, other, &new, 2600));
  ck_assert_uint_eq (requests (), 2);
  ck_assert (!csp_receive_hello (roster, other, &new, 2700));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("roster");
  TCase *tcase = tcase_create ("roster");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, the_newest_hello_of_a_host_counts, 0,
                       sizeof cases / sizeof cases[0]);
  tcase_add_test (tcase, the_load_of_a_silent_host_expires);
  tcase_add_test (tcase, hosts_are_discovered_through_others);
  tcase_add_test (tcase, silent_hosts_get_hellos_if_none_is_live);
  tcase_add_test (tcase, outdated_gossip_is_ignored);
  tcase_add_loop_test (tcase, the_host_with_most_capacity_decides, 0,
                       sizeof decider_cases / sizeof decider_cases[0]);
  tcase_add_test (tcase, hosts_that_all_just_started_have_a_decider);
  tcase_add_test (tcase, an_unresponsive_decider_is_avoided_for_a_while);
  tcase_add_test (tcase, hosts_agree_on_the_readers);
  tcase_add_test (tcase, hosts_that_use_this_decider_are_counted);
  tcase_add_test (tcase, gossip_names_random_hosts_too);
  tcase_add_test (tcase, refused_readers_are_named);
  tcase_add_test (tcase, a_host_that_reads_ends_an_outage);
  tcase_add_test (tcase, a_data_centre_follows_a_refused_host);
  tcase_add_test (tcase, an_outage_of_the_store_keeps_the_reader);
  tcase_add_test (tcase, a_starting_host_sends_hellos_often);
  tcase_add_test (tcase, a_seed_that_is_not_up_yet_is_retried_soon);
  tcase_add_test (tcase, a_hello_survives_its_codec);
  tcase_add_test (tcase, a_full_hello_with_suspects_fits_a_frame);
  tcase_add_test (tcase, an_ask_with_backoffs_survives_its_codec);
  tcase_add_test (tcase, a_lower_boot_after_a_clock_step_is_accepted);
  tcase_add_test (tcase, hosts_beyond_the_table_are_counted);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
