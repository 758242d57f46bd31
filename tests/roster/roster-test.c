#include "cowslipspoke/roster.h"

#include "support/run-suite.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SELF_BOOT = 100,
  OTHER_BOOT = 200,
  HERE = 7,
  ELSEWHERE = 8
};

static const csp_peer_address_t self = { 1, 10 };
static const csp_peer_address_t other = { 2, 10 };
static const csp_peer_address_t third = { 3, 10 };

static csp_roster_t *roster;

static void
set_up (void)
{
  roster = csp_create_roster (self, SELF_BOOT, HERE, 1);
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
  csp_hello_t hello = { .boot = boot, .sequence = sequence, .whole = whole };

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

  csp_each_peer_load (roster, add_requests, &sum);
  return sum;
}

/* Datagrams of one host, and what is counted for it then.  */
static const struct
{
  const char *what;
  struct
  {
    uint64_t boot;
    uint64_t sequence;
    bool whole;
    uint32_t requests;
    bool taken;
  } heard[3];
  size_t count;
  uint32_t requests;
} stories[] = {
  { "one", { { OTHER_BOOT, 1, true, 4, true } }, 1, 4 },
  { "a change",
    { { OTHER_BOOT, 1, true, 4, true }, { OTHER_BOOT, 2, false, 7, true } },
    2,
    7 },
  { "a late one",
    { { OTHER_BOOT, 2, true, 4, true }, { OTHER_BOOT, 1, true, 7, false } },
    2,
    4 },
  { "a whole one without load",
    { { OTHER_BOOT, 1, true, 4, true }, { OTHER_BOOT, 2, true, 0, true } },
    2,
    0 },
  { "a greeting that names no change",
    { { OTHER_BOOT, 1, true, 4, true }, { OTHER_BOOT, 2, false, 0, true } },
    2,
    4 },
  { "a new boot starts from nothing",
    { { OTHER_BOOT, 9, true, 4, true },
      { OTHER_BOOT + 1, 1, false, 0, true } },
    2,
    0 },
  { "an old boot is over",
    { { OTHER_BOOT, 1, true, 4, true },
      { OTHER_BOOT - 1, 9, true, 7, false } },
    2,
    4 },
  { "our own, come back another way",
    { { SELF_BOOT, 1, true, 4, false } },
    1,
    0 },
};

START_TEST (the_newest_word_of_a_host_counts)
{
  size_t i;

  for (i = 0; i < stories[_i].count; i++)
    {
      csp_hello_t hello = hello_of (
          stories[_i].heard[i].boot, stories[_i].heard[i].sequence,
          stories[_i].heard[i].whole, stories[_i].heard[i].requests);

      ck_assert_msg (csp_hear_peer (roster, other, &hello, 1000)
                         == stories[_i].heard[i].taken,
                     "%s", stories[_i].what);
    }
  ck_assert_msg (requests () == stories[_i].requests, "%s: %u",
                 stories[_i].what, requests ());
}
END_TEST

/* A host dies or is cut off.  Its requests end with it, or go on where we
   can't count them.  */
START_TEST (a_silent_host_counts_no_more)
{
  csp_hello_t hello = hello_of (OTHER_BOOT, 1, true, 4);

  csp_hear_peer (roster, other, &hello, 1000);
  ck_assert (!csp_expire_peers (roster, 3500));
  ck_assert_uint_eq (csp_count_live_peers (roster), 1);
  ck_assert (csp_expire_peers (roster, 4300));
  ck_assert_uint_eq (csp_count_live_peers (roster), 0);
  ck_assert_uint_eq (requests (), 0);
}
END_TEST

/* The cut heals unannounced, so it is still greeted, and all seeds were stale:
   a host that another names is found through it.  */
START_TEST (hosts_are_found_through_others_and_asked_again)
{
  csp_peer_address_t due[4];
  csp_hello_t hello = hello_of (OTHER_BOOT, 1, true, 0);

  csp_learn_peer (roster, self);
  csp_learn_peer (roster, other);
  ck_assert_uint_eq (csp_list_due_peers (roster, 0, due, 4), 1);
  ck_assert_uint_eq (csp_list_due_peers (roster, 1999, due, 4), 0);
  ck_assert_uint_eq (csp_list_due_peers (roster, 2000, due, 4), 1);
  hello.known_count = 2;
  hello.known[0] = third;
  hello.known[1] = self;
  csp_hear_peer (roster, other, &hello, 2100);
  ck_assert_uint_eq (csp_list_due_peers (roster, 4000, due, 4), 2);
  ck_assert_uint_eq (csp_list_live_peers (roster, due, 4), 1);
  ck_assert_uint_eq (due[0].ip, other.ip);
  ck_assert_uint_eq (csp_draw_known_peers (roster, due, 4), 1);
  csp_expire_peers (roster, 60000);
  ck_assert_uint_eq (csp_list_due_peers (roster, 60000, due, 4), 2);
}
END_TEST

/* One host of a data centre reads the platform for all: live ones agree on it,
   and a host that stops, dies or is elsewhere is none.  */
START_TEST (hosts_of_a_data_centre_agree_on_a_reader)
{
  csp_peer_address_t hosts[] = { { 2, 10 }, { 3, 10 }, { 4, 10 }, { 5, 10 } };
  csp_hello_t hello = hello_of (OTHER_BOOT, 1, true, 0);
  csp_peer_address_t reader;
  csp_roster_t *seen;
  size_t i;
  size_t j;

  ck_assert_uint_eq (csp_pick_reader (roster).ip, self.ip);
  hello.data_centre = ELSEWHERE;
  csp_hear_peer (roster, hosts[3], &hello, 1000);
  ck_assert_uint_eq (csp_pick_reader (roster).ip, self.ip);
  hello.data_centre = HERE;
  for (i = 0; i < 3; i++)
    csp_hear_peer (roster, hosts[i], &hello, 1000);
  reader = csp_pick_reader (roster);
  /* Each of the others, seeing the rest, names the same.  */
  for (i = 0; i < 3; i++)
    {
      seen = csp_create_roster (hosts[i], OTHER_BOOT + 1 + i, HERE, 1);
      csp_hear_peer (seen, self, &hello, 1000);
      for (j = 0; j < 3; j++)
        csp_hear_peer (seen, hosts[j], &hello, 1000);
      ck_assert_uint_eq (csp_pick_reader (seen).ip, reader.ip);
      csp_destroy_roster (seen);
    }
  if (reader.ip == self.ip)
    return;
  hello.blind = true;
  hello.sequence = 2;
  csp_hear_peer (roster, reader, &hello, 1050);
  ck_assert_uint_ne (csp_pick_reader (roster).ip, reader.ip);
  /* All are blind: one of them is named all the same.  */
  csp_set_roster_blind (roster, true);
  hello.sequence = 4;
  for (i = 0; i < 3; i++)
    csp_hear_peer (roster, hosts[i], &hello, 1060);
  ck_assert_uint_eq (csp_pick_reader (roster).ip, reader.ip);
  csp_set_roster_blind (roster, false);
  ck_assert_uint_eq (csp_pick_reader (roster).ip, self.ip);
  csp_set_roster_blind (roster, true);
  hello.blind = false;
  hello.leaving = true;
  hello.sequence = 5;
  csp_hear_peer (roster, reader, &hello, 1100);
  ck_assert_uint_ne (csp_pick_reader (roster).ip, reader.ip);
  csp_expire_peers (roster, 9000);
  ck_assert_uint_eq (csp_pick_reader (roster).ip, self.ip);
}
END_TEST

START_TEST (a_datagram_survives_its_codec)
{
  csp_hello_t hello = hello_of (OTHER_BOOT, 3, true, 0);
  csp_hello_t back;
  csp_buffer_t bytes = { 0 };
  size_t cut;
  size_t i;

  hello.load_count = CSP_HELLO_LOADS_MAX;
  hello.data_centre = UINT32_MAX;
  hello.known_count = CSP_HELLO_KNOWN_MAX;
  for (i = 0; i < hello.load_count; i++)
    {
      csp_peer_load_t load = { UINT64_MAX - i, 24, 34000, 34000, 9000, 34000 };

      hello.loads[i] = load;
    }
  for (i = 0; i < hello.known_count; i++)
    hello.known[i] = other;
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
  hello.asks[0].left_ms = 9;
  hello.answer_count = 1;
  hello.answers[0].id = 7;
  hello.answers[0].outcome = CSP_ASK_REFUSED;
  hello.answers[0].target = UINT64_MAX;
  hello.answers[0].retry_after_ms = 8;
  hello.cancel_count = 1;
  hello.cancels[0] = 9;
  hello.left_count = CSP_HELLO_LEFT_MAX;
  for (i = 0; i < hello.left_count; i++)
    hello.left[i] = UINT64_MAX - i;
  ck_assert (csp_encode_hello (&hello, &bytes));
  ck_assert_uint_le (bytes.size_bytes, CSP_HELLO_MAX_BYTES);
  ck_assert (csp_decode_hello (bytes.data, bytes.size_bytes, &back));
  ck_assert_mem_eq (&hello, &back, sizeof hello);
  /* Pieces of it never read past their end; what is no datagram is none.  */
  for (cut = 0; cut < bytes.size_bytes; cut++)
    csp_decode_hello (bytes.data, cut, &back);
  ck_assert (!csp_decode_hello ("\xff\xff\xff", 3, &back));
  csp_clear_buffer (&bytes);
}
END_TEST

/* A host's calendar is stepped back by a minute and its process killed.  The
   new boot has a lower number than the one that is known, and its load must
   count all the same, once the old one has been silent.  */
START_TEST (a_boot_behind_a_calendar_that_stepped_back_is_heard)
{
  csp_hello_t old = hello_of (OTHER_BOOT, 9, true, 4);
  csp_hello_t late = hello_of (OTHER_BOOT - 1, 1, true, 7);
  csp_hello_t new = hello_of (OTHER_BOOT - 1, 3, true, 2);

  ck_assert (csp_hear_peer (roster, other, &old, 1000));
  ck_assert (!csp_hear_peer (roster, other, &late, 2000));
  ck_assert_uint_eq (requests (), 4);
  ck_assert (csp_hear_peer (roster, other, &new, 2600));
  ck_assert_uint_eq (requests (), 2);
  ck_assert (!csp_hear_peer (roster, other, &new, 2700));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("roster");
  TCase *tcase = tcase_create ("roster");

  tcase_add_checked_fixture (tcase, set_up, tear_down);
  tcase_add_loop_test (tcase, the_newest_word_of_a_host_counts, 0,
                       sizeof stories / sizeof stories[0]);
  tcase_add_test (tcase, a_silent_host_counts_no_more);
  tcase_add_test (tcase, hosts_are_found_through_others_and_asked_again);
  tcase_add_test (tcase, hosts_of_a_data_centre_agree_on_a_reader);
  tcase_add_test (tcase, a_datagram_survives_its_codec);
  tcase_add_test (tcase, a_boot_behind_a_calendar_that_stepped_back_is_heard);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
