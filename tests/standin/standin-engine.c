/* A model engine that implements docs/ENGINE.md, for tests and the demo.  */

#include "engine-http.h"

#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  OPTION_PORT = 1,
  OPTION_NAME,
  OPTION_MEMORY,
  OPTION_TOKEN,
  OPTION_FIRST,
  OPTION_SLOTS,
  OPTION_REPORT_LAG,
  OPTION_CACHE_LAG,
  OPTION_CACHE_GAP,
  OPTION_RESUME_WINDOW,
  OPTION_CHECKS_FENCE,
  OPTION_ORDER,
  OPTION_MODELS,
  OPTION_THREADS
};

static const struct option long_options[]
    = { { "port", required_argument, NULL, OPTION_PORT },
        { "name", required_argument, NULL, OPTION_NAME },
        { "memory-tokens", required_argument, NULL, OPTION_MEMORY },
        { "token-ms", required_argument, NULL, OPTION_TOKEN },
        { "first-ms", required_argument, NULL, OPTION_FIRST },
        { "slots", required_argument, NULL, OPTION_SLOTS },
        { "report-lag-ms", required_argument, NULL, OPTION_REPORT_LAG },
        { "cache-lag-ms", required_argument, NULL, OPTION_CACHE_LAG },
        { "cache-gap", required_argument, NULL, OPTION_CACHE_GAP },
        { "resume-window-ms", required_argument, NULL, OPTION_RESUME_WINDOW },
        { "checks-fence", required_argument, NULL, OPTION_CHECKS_FENCE },
        { "order-ms", required_argument, NULL, OPTION_ORDER },
        { "models", required_argument, NULL, OPTION_MODELS },
        { "threads", required_argument, NULL, OPTION_THREADS },
        { NULL, 0, NULL, 0 } };

typedef struct
{
  engine_options_t engine;
  int64_t port;
  int64_t cache_gap;
  int64_t threads;
} options_t;

static void
set_option (options_t *options, int option, const char *value)
{
  engine_options_t *engine = &options->engine;

  switch (option)
    {
    case OPTION_PORT:
      options->port = standin_parse_number (value);
      break;
    case OPTION_NAME:
      engine->name = value;
      break;
    case OPTION_MEMORY:
      engine->memory_tokens = standin_parse_number (value);
      break;
    case OPTION_TOKEN:
      engine->token_ms = standin_parse_number (value);
      break;
    case OPTION_FIRST:
      engine->first_ms = standin_parse_number (value);
      break;
    case OPTION_SLOTS:
      engine->slots = standin_parse_number (value);
      break;
    case OPTION_REPORT_LAG:
      engine->report_lag_ms = standin_parse_number (value);
      break;
    case OPTION_CACHE_LAG:
      engine->cache_lag_ms = standin_parse_number (value);
      break;
    case OPTION_CACHE_GAP:
      options->cache_gap = standin_parse_number (value);
      break;
    case OPTION_RESUME_WINDOW:
      engine->resume_window_ms = standin_parse_number (value);
      break;
    case OPTION_CHECKS_FENCE:
      engine->checks_fence = standin_parse_number (value) != 0;
      break;
    case OPTION_ORDER:
      engine->order_ms = standin_parse_number (value);
      break;
    case OPTION_MODELS:
      engine->models = value;
      break;
    case OPTION_THREADS:
      options->threads = standin_parse_number (value);
      break;
    default:
      exit (2);
    }
}

int
main (int argc, char **argv)
{
  static engine_t engine;
  options_t options = { .engine = { .name = "engine",
                                    .memory_tokens = 200000,
                                    .token_ms = 10,
                                    .first_ms = -1,
                                    .slots = 64,
                                    .checks_fence = true,
                                    .order_ms = 200,
                                    .models = "m-small",
                                    .resume_window_ms = 30000,
                                    .report_lag_ms = 500,
                                    .cache_lag_ms = 500 },
                        .cache_gap = 7,
                        .threads = 256 };
  int option;

  while ((option = getopt_long (argc, argv, "", long_options, NULL)) != -1)
    set_option (&options, option, optarg);
  if (options.engine.first_ms < 0)
    options.engine.first_ms = options.engine.token_ms;
  engine_init_cache (&engine.cache, options.engine.cache_lag_ms,
                     options.cache_gap);
  engine_init_orders (&engine.orders, options.engine.checks_fence,
                      options.engine.order_ms, options.engine.models);
  pthread_mutex_init (&engine.faults.lock, NULL);
  engine_start_batch (&engine.batch, &options.engine);
  return standin_serve ((uint16_t)options.port, (unsigned)options.threads,
                        engine_routes, &engine);
}
