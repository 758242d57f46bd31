#include "metrics/metrics-imp.h"

/* The users' targets, 42 ms between tokens and 0.91 s to the first token, are
   bucket bounds, so that the share of requests within a target is exact
   instead of interpolated.  */

enum
{
  MS = 1000,
  S = 1000 * MS
};

/* Both histograms of sizes have the same bounds, so that one can be divided by
   the other bucket by bucket.  */
#define TOKEN_BOUNDS                                                          \
  {                                                                           \
    250, 500, 1000, 1500, 2000, 2500, 3000, 4000, 5000, 6000, 8000, 12000,    \
        16000, 32000                                                          \
  }

const csp_histogram_row_t csp_histogram_table[CSP_HISTOGRAM_COUNT] = {
  [CSP_TIME_TO_FIRST_TOKEN]
  = { "time_to_first_token_seconds",
      "time from a request's arrival to its first token",
      S,
      { 10 * MS, 25 * MS, 50 * MS, 100 * MS, 200 * MS, 400 * MS, 600 * MS,
        910 * MS, 1500 * MS, 3 * S, 6 * S, 15 * S, 60 * S, 300 * S } },
  [CSP_TIME_BETWEEN_TOKENS]
  = { "time_between_tokens_seconds",
      "gap between two tokens as the caller gets them",
      S,
      { 1 * MS, 5 * MS, 10 * MS, 20 * MS, 30 * MS, 42 * MS, 60 * MS, 80 * MS,
        120 * MS, 200 * MS, 500 * MS, 1 * S, 2 * S, 10 * S } },
  [CSP_TIME_STALLED]
  = { "stall_seconds",
      "stall time of a whole answer: what each gap had beyond 0.2 s",
      S,
      { 0, 50 * MS, 100 * MS, 250 * MS, 500 * MS, 1 * S, 2 * S, 4 * S, 8 * S,
        15 * S, 30 * S, 60 * S, 120 * S, 300 * S } },
  [CSP_TIME_WAITING]
  = { "wait_seconds",
      "time in the queue, until sent or turned away",
      S,
      { 1 * MS, 5 * MS, 20 * MS, 50 * MS, 100 * MS, 250 * MS, 500 * MS, 1 * S,
        2 * S, 5 * S, 15 * S, 30 * S, 60 * S, 300 * S } },
  [CSP_SIZE_REQUESTED]
  = { "requested_tokens",
      "expected memory of the requests for engines, in tokens", 1,
      TOKEN_BOUNDS },
  [CSP_SIZE_REFUSED]
  = { "refused_tokens", "the same, of those that no engine had a place for", 1,
      TOKEN_BOUNDS },
};

const csp_metric_row_t csp_counter_table[CSP_COUNT_COUNT] = {
  [CSP_COUNT_REQUESTS] = { "requests", "requests that arrived" },
  [CSP_COUNT_TOKENS] = { "tokens", "tokens sent to callers" },
  [CSP_COUNT_REFUSALS] = { "refusals", "requests answered with not run" },
  [CSP_COUNT_PREEMPTIONS]
  = { "preemptions", "times that a generation gave way to another" },
  [CSP_COUNT_RETRIES] = { "retries", "requests sent again to another target" },
  [CSP_COUNT_RESUMES] = { "resumes", "generations resumed on a new link" },
  [CSP_COUNT_SPILLS] = { "spills", "requests handed over to another host" },
  [CSP_COUNT_CANCELS] = { "cancels", "requests that their caller gave up" },
};

const csp_metric_row_t csp_gauge_table[CSP_GAUGE_COUNT] = {
  [CSP_GAUGE_READY] = { "ready", "1 while this host takes requests" },
  [CSP_GAUGE_OPEN_STREAMS] = { "open_streams", "requests that run" },
  [CSP_GAUGE_WAITING] = { "waiting", "requests in the queue" },
  [CSP_GAUGE_CONFIGURATION_REVISION]
  = { "configuration_revision", "revision in force" },
  [CSP_GAUGE_CONFIGURATION_FAULTS]
  = { "configuration_faults",
      "1 while the newest revision is refused, 0 otherwise" },
  [CSP_GAUGE_HOST_LIST_VERSION]
  = { "host_list_version", "version of the host list" },
  [CSP_GAUGE_LIVE_PEERS] = { "live_peers", "peers that are heard" },
  [CSP_GAUGE_OWNED_TARGETS]
  = { "owned_targets", "targets that this host decides for" },
};
