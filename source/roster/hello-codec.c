#include "cowslipspoke/roster.h"

#include "roster/hello.pb-c.h"

#include <string.h>

enum
{
  PORT_MAX = 65535
};

/* Storage for the repeated fields of a message while it is packed.  */
typedef struct
{
  CspHello__Load loads[CSP_HELLO_LOADS_MAX];
  CspHello__Load *load_rows[CSP_HELLO_LOADS_MAX];
  CspHello__Address known[CSP_HELLO_KNOWN_MAX];
  CspHello__Address *known_rows[CSP_HELLO_KNOWN_MAX];
  CspHello__Ask asks[CSP_HELLO_ASKS_MAX];
  CspHello__Ask *ask_rows[CSP_HELLO_ASKS_MAX];
  uint64_t backoffs[CSP_HELLO_ASKS_MAX][CSP_ASK_BACKOFFS_MAX];
  CspHello__Answer answers[CSP_HELLO_ASKS_MAX];
  CspHello__Answer *answer_rows[CSP_HELLO_ASKS_MAX];
  CspHello__Lease wants[CSP_HELLO_LEASES_MAX];
  CspHello__Lease *want_rows[CSP_HELLO_LEASES_MAX];
  CspHello__Lease leases[CSP_HELLO_LEASES_MAX];
  CspHello__Lease *lease_rows[CSP_HELLO_LEASES_MAX];
  uint64_t cancels[CSP_HELLO_ASKS_MAX];
  uint64_t left[CSP_HELLO_LEAVING_MAX];
  CspHello__Suspect suspects[CSP_HELLO_SUSPECTS_MAX];
  CspHello__Suspect *suspect_rows[CSP_HELLO_SUSPECTS_MAX];
  csp_suspect_t suspect_copies[CSP_HELLO_SUSPECTS_MAX];
  uint64_t cleared[CSP_HELLO_SUSPECTS_MAX];
  CspHello__PartStrike part_strikes[CSP_HELLO_PART_STRIKES_MAX];
  CspHello__PartStrike *part_strike_rows[CSP_HELLO_PART_STRIKES_MAX];
  CspHello__HeldPart held_parts[CSP_HELLO_HELD_PARTS_MAX];
  CspHello__HeldPart *held_part_rows[CSP_HELLO_HELD_PARTS_MAX];
  CspHello__SoundPart sound_parts[CSP_HELLO_SOUND_PARTS_MAX];
  CspHello__SoundPart *sound_part_rows[CSP_HELLO_SOUND_PARTS_MAX];
  CspHello__Rate rates[CSP_HELLO_RATES_MAX];
  CspHello__Rate *rate_rows[CSP_HELLO_RATES_MAX];
  CspHello__Grant grant_requests[CSP_HELLO_GRANTS_MAX];
  CspHello__Grant *grant_request_rows[CSP_HELLO_GRANTS_MAX];
  CspHello__Grant grants[CSP_HELLO_GRANTS_MAX];
  CspHello__Grant *grant_rows[CSP_HELLO_GRANTS_MAX];
} rows_t;

static void
fill_loads (const csp_hello_t *hello, rows_t *rows)
{
  size_t i;

  for (i = 0; i < hello->load_count; i++)
    {
      CspHello__Load *row = &rows->loads[i];

      csp_hello__load__init (row);
      row->target = hello->loads[i].target;
      row->requests = hello->loads[i].requests;
      row->tokens = hello->loads[i].tokens;
      row->backup_tokens = hello->loads[i].backup_tokens;
      row->reading_tokens = hello->loads[i].prefill_tokens;
      row->movable_tokens = hello->loads[i].movable_tokens;
      row->event_us = hello->loads[i].event_us;
      row->longest_event_us = hello->loads[i].longest_event_us;
      row->failures = hello->loads[i].failures;
      row->failure_age_ms = hello->loads[i].failure_age_ms;
      rows->load_rows[i] = row;
    }
}

static void
fill_known (const csp_hello_t *hello, rows_t *rows)
{
  size_t i;

  for (i = 0; i < hello->known_count; i++)
    {
      const csp_known_host_t *host = &hello->known_hosts[i];
      CspHello__Address *row = &rows->known[i];

      csp_hello__address__init (row);
      row->ip = host->address.ip;
      row->port = host->address.port;
      row->data_centre = host->data_centre;
      row->capacity = host->capacity;
      row->age_ms = host->age_ms;
      row->up_ms = host->up_ms;
      row->leaving = host->leaving;
      row->blind = host->platform_unreachable;
      row->sighted = host->platform_read;
      rows->known_rows[i] = row;
    }
}

static void
fill_asks (const csp_hello_t *hello, rows_t *rows)
{
  size_t i;

  for (i = 0; i < hello->ask_count; i++)
    {
      CspHello__Ask *row = &rows->asks[i];

      csp_hello__ask__init (row);
      row->id = hello->asks[i].id;
      row->service = hello->asks[i].service;
      row->organisation = hello->asks[i].organisation;
      row->prompt_tokens = hello->asks[i].prompt_tokens;
      row->tokens = hello->asks[i].tokens;
      row->start_within_ms = hello->asks[i].start_within_ms;
      row->urgency = hello->asks[i].urgency;
      row->traffic_class = hello->asks[i].traffic_class;
      row->moves_from = hello->asks[i].moves_from;
      row->refused_at = hello->asks[i].refused_at;
      row->left_ms = hello->asks[i].expected_remaining_ms;
      memcpy (rows->backoffs[i], hello->asks[i].backoffs,
              sizeof rows->backoffs[i]);
      row->n_backoffs = hello->asks[i].backoff_count;
      row->backoffs = rows->backoffs[i];
      rows->ask_rows[i] = row;
    }
}

static void
fill_answers (const csp_hello_t *hello, rows_t *rows)
{
  size_t i;

  for (i = 0; i < hello->answer_count; i++)
    {
      CspHello__Answer *row = &rows->answers[i];

      csp_hello__answer__init (row);
      row->id = hello->answers[i].id;
      row->outcome = hello->answers[i].outcome;
      row->target = hello->answers[i].target;
      row->retry_after_ms = hello->answers[i].retry_after_ms;
      row->pool_percent = hello->answers[i].pool_percent;
      row->refused_for = hello->answers[i].refusal.cause;
      row->predicted_wait_ms = hello->answers[i].refusal.predicted_wait_ms;
      row->left_ms = hello->answers[i].refusal.left_ms;
      rows->answer_rows[i] = row;
    }
  memcpy (rows->cancels, hello->cancels, sizeof rows->cancels);
  memcpy (rows->left, hello->leaving_targets, sizeof rows->left);
}

static void
fill_leases (const csp_hello_lease_t *leases, size_t count,
             CspHello__Lease *rows, CspHello__Lease **row_list)
{
  size_t i;

  for (i = 0; i < count; i++)
    {
      csp_hello__lease__init (&rows[i]);
      rows[i].service = leases[i].service;
      rows[i].id = leases[i].id;
      rows[i].amount = leases[i].amount;
      row_list[i] = &rows[i];
    }
}

static void
fill_suspects (const csp_hello_t *hello, rows_t *rows)
{
  size_t i;

  memcpy (rows->suspect_copies, hello->suspects, sizeof rows->suspect_copies);
  memcpy (rows->cleared, hello->cleared, sizeof rows->cleared);
  for (i = 0; i < hello->suspect_count; i++)
    {
      CspHello__Suspect *row = &rows->suspects[i];

      csp_hello__suspect__init (row);
      row->request = rows->suspect_copies[i].request;
      row->n_targets = rows->suspect_copies[i].strike_count;
      row->targets = rows->suspect_copies[i].targets;
      row->age_ms = rows->suspect_copies[i].age_ms;
      row->trials = rows->suspect_copies[i].failed_trials;
      rows->suspect_rows[i] = row;
    }
}

static void
fill_parts (const csp_hello_t *hello, rows_t *rows)
{
  size_t i;

  for (i = 0; i < hello->part_strike_count; i++)
    {
      CspHello__PartStrike *row = &rows->part_strikes[i];

      csp_hello__part_strike__init (row);
      row->part = hello->part_strikes[i].part;
      row->target = hello->part_strikes[i].target;
      row->position = hello->part_strikes[i].position;
      row->age_ms = hello->part_strikes[i].age_ms;
      rows->part_strike_rows[i] = row;
    }
  for (i = 0; i < hello->held_part_count; i++)
    {
      CspHello__HeldPart *row = &rows->held_parts[i];

      csp_hello__held_part__init (row);
      row->part = hello->held_parts[i].part;
      row->left_ms = hello->held_parts[i].left_ms;
      row->strike_age_ms = hello->held_parts[i].strike_age_ms;
      row->trials = hello->held_parts[i].failed_trials;
      row->asks = hello->held_parts[i].asks;
      row->leads = hello->held_parts[i].leads;
      row->trial_age_ms = hello->held_parts[i].trial_age_ms;
      rows->held_part_rows[i] = row;
    }
  for (i = 0; i < hello->sound_part_count; i++)
    {
      CspHello__SoundPart *row = &rows->sound_parts[i];

      csp_hello__sound_part__init (row);
      row->part = hello->sound_parts[i].part;
      row->age_ms = hello->sound_parts[i].age_ms;
      rows->sound_part_rows[i] = row;
    }
}

static void
fill_rates (const csp_hello_t *hello, rows_t *rows)
{
  size_t i;

  for (i = 0; i < hello->rate_count; i++)
    {
      const csp_rate_report_t *report = &hello->rates[i].report;
      CspHello__Rate *row = &rows->rates[i];

      csp_hello__rate__init (row);
      row->target = hello->rates[i].target;
      row->max_per_s = report->max_per_s;
      row->age_ms = report->age_ms;
      row->ended = report->ended;
      rows->rate_rows[i] = row;
    }
}

static void
fill_grants (const csp_hello_grant_t *grants, size_t count,
             CspHello__Grant *rows, CspHello__Grant **row_list)
{
  size_t i;

  for (i = 0; i < count; i++)
    {
      csp_hello__grant__init (&rows[i]);
      rows[i].target = grants[i].target;
      rows[i].id = grants[i].id;
      rows[i].granted = grants[i].granted;
      rows[i].wait_ms = grants[i].wait_ms;
      row_list[i] = &rows[i];
    }
}

bool
csp_encode_hello (const csp_hello_t *hello, csp_buffer_t *bytes)
{
  CspHello__Hello message = CSP_HELLO__HELLO__INIT;
  uint8_t packed[CSP_HELLO_MAX_BYTES * 2];
  rows_t rows;

  fill_loads (hello, &rows);
  fill_known (hello, &rows);
  fill_asks (hello, &rows);
  fill_answers (hello, &rows);
  fill_suspects (hello, &rows);
  fill_parts (hello, &rows);
  fill_leases (hello->lease_requests, hello->lease_request_count, rows.wants,
               rows.want_rows);
  fill_leases (hello->leases, hello->lease_count, rows.leases,
               rows.lease_rows);
  fill_rates (hello, &rows);
  fill_grants (hello->grant_requests, hello->grant_request_count,
               rows.grant_requests, rows.grant_request_rows);
  fill_grants (hello->grants, hello->grant_count, rows.grants,
               rows.grant_rows);
  message.boot = hello->boot;
  message.sequence = hello->sequence;
  message.whole = hello->is_full_report;
  message.leaving = hello->leaving;
  message.blind = hello->platform_unreachable;
  message.sighted = hello->platform_read;
  message.data_centre = hello->data_centre;
  message.capacity = hello->capacity;
  message.up_ms = hello->up_ms;
  message.wants_answer = hello->reply_requested;
  message.n_loads = hello->load_count;
  message.loads = rows.load_rows;
  message.n_known = hello->known_count;
  message.known = rows.known_rows;
  message.n_asks = hello->ask_count;
  message.asks = rows.ask_rows;
  message.n_answers = hello->answer_count;
  message.answers = rows.answer_rows;
  message.n_cancels = hello->cancel_count;
  message.cancels = rows.cancels;
  message.decider = hello->decider;
  message.n_wants = hello->lease_request_count;
  message.wants = rows.want_rows;
  message.n_leases = hello->lease_count;
  message.leases = rows.lease_rows;
  message.n_left = hello->leaving_target_count;
  message.left = rows.left;
  message.n_suspects = hello->suspect_count;
  message.suspects = rows.suspect_rows;
  message.n_cleared = hello->cleared_count;
  message.cleared = rows.cleared;
  message.n_part_strikes = hello->part_strike_count;
  message.part_strikes = rows.part_strike_rows;
  message.n_held_parts = hello->held_part_count;
  message.held_parts = rows.held_part_rows;
  message.n_sound_parts = hello->sound_part_count;
  message.sound_parts = rows.sound_part_rows;
  message.n_rates = hello->rate_count;
  message.rates = rows.rate_rows;
  message.n_grant_requests = hello->grant_request_count;
  message.grant_requests = rows.grant_request_rows;
  message.n_grants = hello->grant_count;
  message.grants = rows.grant_rows;
  message.relay_port = hello->relay_port;
  message.n_unreached = hello->unreached_count;
  message.unreached = (uint32_t *)hello->unreached;
  if (csp_hello__hello__get_packed_size (&message) > sizeof packed)
    return false;
  return csp_append_buffer (bytes, packed,
                            csp_hello__hello__pack (&message, packed));
}

/* An empty list is a null pointer, so memcpy isn't used.  Returns the
   length.  */
static size_t
copy_hashes (const uint64_t *from, size_t count, uint64_t *to)
{
  size_t i;

  for (i = 0; i < count; i++)
    to[i] = from[i];
  return count;
}

/* A cause of a later version is unknown here.  */
static csp_ask_refusal_t
read_refusal (const CspHello__Answer *row)
{
  return (csp_ask_refusal_t){ .cause
                              = row->refused_for < CSP_REFUSED_FOR_COUNT
                                    ? (csp_refused_for_t)row->refused_for
                                    : CSP_REFUSED_FOR_UNKNOWN,
                              .predicted_wait_ms = row->predicted_wait_ms,
                              .left_ms = row->left_ms };
}

static bool
decode_asks (const CspHello__Hello *message, csp_hello_t *hello)
{
  size_t i;

  if (message->n_asks > CSP_HELLO_ASKS_MAX
      || message->n_answers > CSP_HELLO_ASKS_MAX
      || message->n_cancels > CSP_HELLO_ASKS_MAX
      || message->n_left > CSP_HELLO_LEAVING_MAX)
    return false;
  for (i = 0; i < message->n_left; i++)
    hello->leaving_targets[i] = message->left[i];
  hello->leaving_target_count = message->n_left;
  for (i = 0; i < message->n_asks; i++)
    {
      hello->asks[i].id = message->asks[i]->id;
      hello->asks[i].service = message->asks[i]->service;
      hello->asks[i].organisation = message->asks[i]->organisation;
      hello->asks[i].prompt_tokens = message->asks[i]->prompt_tokens;
      hello->asks[i].tokens = message->asks[i]->tokens;
      hello->asks[i].start_within_ms = message->asks[i]->start_within_ms;
      hello->asks[i].urgency = (uint8_t)message->asks[i]->urgency;
      if (message->asks[i]->traffic_class >= CSP_CLASS_COUNT)
        return false;
      hello->asks[i].traffic_class
          = (csp_traffic_class_t)message->asks[i]->traffic_class;
      hello->asks[i].moves_from = message->asks[i]->moves_from;
      hello->asks[i].refused_at = message->asks[i]->refused_at;
      hello->asks[i].expected_remaining_ms = message->asks[i]->left_ms;
      if (message->asks[i]->n_backoffs > CSP_ASK_BACKOFFS_MAX)
        return false;
      hello->asks[i].backoff_count = copy_hashes (message->asks[i]->backoffs,
                                                  message->asks[i]->n_backoffs,
                                                  hello->asks[i].backoffs);
    }
  for (i = 0; i < message->n_answers; i++)
    {
      if (message->answers[i]->outcome >= CSP_ASK_OUTCOME_COUNT)
        return false;
      hello->answers[i].id = message->answers[i]->id;
      hello->answers[i].outcome
          = (csp_ask_outcome_t)message->answers[i]->outcome;
      hello->answers[i].target = message->answers[i]->target;
      hello->answers[i].retry_after_ms = message->answers[i]->retry_after_ms;
      hello->answers[i].pool_percent = message->answers[i]->pool_percent;
      hello->answers[i].refusal = read_refusal (message->answers[i]);
    }
  for (i = 0; i < message->n_cancels; i++)
    hello->cancels[i] = message->cancels[i];
  hello->ask_count = message->n_asks;
  hello->answer_count = message->n_answers;
  hello->cancel_count = message->n_cancels;
  return true;
}

static size_t
decode_leases (CspHello__Lease *const *rows, size_t count,
               csp_hello_lease_t *leases)
{
  size_t i;

  for (i = 0; i < count; i++)
    {
      leases[i].service = rows[i]->service;
      leases[i].id = rows[i]->id;
      leases[i].amount = rows[i]->amount;
    }
  return count;
}

static bool
decode_suspects (const CspHello__Hello *message, csp_hello_t *hello)
{
  size_t i;

  if (message->n_suspects > CSP_HELLO_SUSPECTS_MAX
      || message->n_cleared > CSP_HELLO_SUSPECTS_MAX)
    return false;
  for (i = 0; i < message->n_suspects; i++)
    {
      const CspHello__Suspect *row = message->suspects[i];
      csp_suspect_t *suspect = &hello->suspects[i];

      if (row->n_targets > CSP_STRIKES_MAX)
        return false;
      suspect->request = row->request;
      suspect->strike_count
          = copy_hashes (row->targets, row->n_targets, suspect->targets);
      suspect->age_ms = row->age_ms;
      suspect->failed_trials = row->trials;
    }
  for (i = 0; i < message->n_cleared; i++)
    hello->cleared[i] = message->cleared[i];
  hello->suspect_count = message->n_suspects;
  hello->cleared_count = message->n_cleared;
  return true;
}

static bool
decode_parts (const CspHello__Hello *message, csp_hello_t *hello)
{
  size_t i;

  if (message->n_part_strikes > CSP_HELLO_PART_STRIKES_MAX
      || message->n_held_parts > CSP_HELLO_HELD_PARTS_MAX
      || message->n_sound_parts > CSP_HELLO_SOUND_PARTS_MAX)
    return false;
  for (i = 0; i < message->n_part_strikes; i++)
    hello->part_strikes[i]
        = (csp_part_strike_t){ .part = message->part_strikes[i]->part,
                               .target = message->part_strikes[i]->target,
                               .position = message->part_strikes[i]->position,
                               .age_ms = message->part_strikes[i]->age_ms };
  for (i = 0; i < message->n_held_parts; i++)
    hello->held_parts[i] = (csp_held_part_t){
      .part = message->held_parts[i]->part,
      .asks = message->held_parts[i]->asks,
      .leads = message->held_parts[i]->leads,
      .trial_age_ms = message->held_parts[i]->trial_age_ms,
      .left_ms = message->held_parts[i]->left_ms,
      .strike_age_ms = message->held_parts[i]->strike_age_ms,
      .failed_trials = message->held_parts[i]->trials
    };
  for (i = 0; i < message->n_sound_parts; i++)
    hello->sound_parts[i]
        = (csp_sound_part_t){ .part = message->sound_parts[i]->part,
                              .age_ms = message->sound_parts[i]->age_ms };
  hello->part_strike_count = message->n_part_strikes;
  hello->held_part_count = message->n_held_parts;
  hello->sound_part_count = message->n_sound_parts;
  return true;
}

/* False if a rate isn't a number within its bounds.  */
static bool
decode_rates (const CspHello__Hello *message, csp_hello_t *hello)
{
  size_t i;

  if (message->n_rates > CSP_HELLO_RATES_MAX)
    return false;
  for (i = 0; i < message->n_rates; i++)
    {
      const CspHello__Rate *row = message->rates[i];

      if (!(row->max_per_s >= 0 && row->max_per_s <= CSP_RATE_MAX_PER_S))
        return false;
      hello->rates[i]
          = (csp_hello_rate_t){ .target = row->target,
                                .report = { .ended = row->ended,
                                            .max_per_s = row->max_per_s,
                                            .age_ms = row->age_ms } };
    }
  hello->rate_count = message->n_rates;
  return true;
}

static size_t
decode_grants (CspHello__Grant *const *rows, size_t count,
               csp_hello_grant_t *grants)
{
  size_t i;

  for (i = 0; i < count; i++)
    grants[i] = (csp_hello_grant_t){ .target = rows[i]->target,
                                     .id = rows[i]->id,
                                     .granted = rows[i]->granted,
                                     .wait_ms = rows[i]->wait_ms };
  return count;
}

bool
csp_decode_hello (const void *bytes, size_t size_bytes, csp_hello_t *hello)
{
  CspHello__Hello *message
      = csp_hello__hello__unpack (NULL, size_bytes, bytes);
  bool valid = message != NULL && message->n_loads <= CSP_HELLO_LOADS_MAX
               && message->n_known <= CSP_HELLO_KNOWN_MAX
               && message->n_wants <= CSP_HELLO_LEASES_MAX
               && message->n_leases <= CSP_HELLO_LEASES_MAX
               && message->n_grant_requests <= CSP_HELLO_GRANTS_MAX
               && message->n_grants <= CSP_HELLO_GRANTS_MAX
               && message->n_unreached <= CSP_HELLO_UNREACHED_MAX
               && message->relay_port <= PORT_MAX;
  size_t i;

  memset (hello, 0, sizeof *hello);
  for (i = 0; valid && i < message->n_loads; i++)
    {
      hello->loads[i].target = message->loads[i]->target;
      hello->loads[i].requests = message->loads[i]->requests;
      hello->loads[i].tokens = message->loads[i]->tokens;
      hello->loads[i].backup_tokens = message->loads[i]->backup_tokens;
      hello->loads[i].prefill_tokens = message->loads[i]->reading_tokens;
      hello->loads[i].movable_tokens = message->loads[i]->movable_tokens;
      hello->loads[i].event_us = message->loads[i]->event_us;
      hello->loads[i].longest_event_us = message->loads[i]->longest_event_us;
      hello->loads[i].failures = message->loads[i]->failures;
      hello->loads[i].failure_age_ms = message->loads[i]->failure_age_ms;
    }
  for (i = 0; valid && i < message->n_known; i++)
    {
      const CspHello__Address *row = message->known[i];

      valid = row->port <= PORT_MAX;
      hello->known_hosts[i]
          = (csp_known_host_t){ .address = { row->ip, (uint16_t)row->port },
                                .data_centre = row->data_centre,
                                .capacity = row->capacity,
                                .age_ms = row->age_ms,
                                .up_ms = row->up_ms,
                                .leaving = row->leaving,
                                .platform_unreachable = row->blind,
                                .platform_read = row->sighted };
    }
  valid = valid && decode_asks (message, hello)
          && decode_suspects (message, hello) && decode_parts (message, hello)
          && decode_rates (message, hello);
  if (valid)
    {
      hello->boot = message->boot;
      hello->sequence = message->sequence;
      hello->is_full_report = message->whole;
      hello->leaving = message->leaving;
      hello->platform_unreachable = message->blind;
      hello->platform_read = message->sighted;
      hello->data_centre = message->data_centre;
      hello->capacity = message->capacity;
      hello->up_ms = message->up_ms;
      hello->reply_requested = message->wants_answer;
      hello->decider = message->decider;
      hello->lease_request_count = decode_leases (
          message->wants, message->n_wants, hello->lease_requests);
      hello->lease_count
          = decode_leases (message->leases, message->n_leases, hello->leases);
      hello->grant_request_count
          = decode_grants (message->grant_requests, message->n_grant_requests,
                           hello->grant_requests);
      hello->grant_count
          = decode_grants (message->grants, message->n_grants, hello->grants);
      hello->relay_port = (uint16_t)message->relay_port;
      hello->unreached_count = message->n_unreached;
      if (message->n_unreached > 0)
        memcpy (hello->unreached, message->unreached,
                message->n_unreached * sizeof hello->unreached[0]);
      hello->load_count = message->n_loads;
      hello->known_count = message->n_known;
    }
  if (message != NULL)
    csp_hello__hello__free_unpacked (message, NULL);
  return valid;
}
