#include "declaration/declaration-imp.h"

#define U32(type_name, member, lowest, highest)                               \
  .type = CSP_FIELD_U32, .offset = offsetof (type_name, member),              \
  .min = (lowest), .max = (highest)
#define PRIORITY(type_name, member)                                           \
  .type = CSP_FIELD_U8, .offset = offsetof (type_name, member), .min = 0,     \
  .max = CSP_PRIORITY_MAX
#define TEXT(type_name, member, text_form)                                    \
  .type = CSP_FIELD_TEXT, .form = (text_form),                                \
  .offset = offsetof (type_name, member)
#define STRUCTS(type_name, member, members, element, table, most)             \
  .offset = offsetof (type_name, member),                                     \
  .count_offset = offsetof (type_name, members),                              \
  .size_bytes = sizeof (element), .fields = (table), .min = 0, .max = (most)

enum
{
  KEYS_MAX = 64,
  CLASSES_MAX = 64,
  CALLS_MAX = 256,
  MODELS_MAX = 256,
  ENGINES_MAX = 5000,
  NAMES_MAX = 2000,
  LIMIT_MAX = 1000000000,
  DAY_MS = 86400000
};

/* The two limits per request, and the three over all requests together.  */
#define REQUEST_LIMITS(type_name, member)                                     \
  { .name = "max_prompt_tokens",                                              \
    U32 (type_name, member.max_prompt_tokens, 1, LIMIT_MAX),                  \
    .help = "largest prompt of a request, in tokens" },                       \
  {                                                                           \
    .name = "max_output_tokens",                                              \
    U32 (type_name, member.max_output_tokens, 1, LIMIT_MAX),                  \
    .help = "largest output of a request, in tokens"                          \
  }
#define COUNTED_LIMITS(type_name, member)                                     \
  { .name = "tokens_per_s",                                                   \
    U32 (type_name, member.tokens_per_s, 1, LIMIT_MAX),                       \
    .help = "tokens per second, prompt and output together" },                \
      { .name = "max_waiting",                                                \
        U32 (type_name, member.max_waiting, 1, LIMIT_MAX),                    \
        .help = "most requests waiting at once" },                            \
  {                                                                           \
    .name = "max_open_streams",                                               \
    U32 (type_name, member.max_open_streams, 1, LIMIT_MAX),                   \
    .help = "most requests open at once, waiting or running"                  \
  }

static const csp_field_t organisation_limits_table[]
    = { COUNTED_LIMITS (csp_organisation_t, limits),
        REQUEST_LIMITS (csp_organisation_t, limits),
        { 0 } };

const csp_field_t csp_organisation_table[]
    = { { .name = "key_sha256",
          .type = CSP_FIELD_STRINGS,
          .form = CSP_FORM_SHA256,
          .offset = offsetof (csp_organisation_t, key_sha256),
          .count_offset = offsetof (csp_organisation_t, key_count),
          .min = 1,
          .max = KEYS_MAX,
          .required = true,
          .help = "SHA-256 of each bearer key of the organisation" },
        { .name = "weight",
          U32 (csp_organisation_t, weight, 1, 1000000),
          .default_setting = "1",
          .help = "relative share of tokens among organisations" },
        { .name = "limits",
          .type = CSP_FIELD_OBJECT,
          .fields = organisation_limits_table,
          .help = "limits over all its requests" },
        { 0 } };

static const csp_field_t class_table[]
    = { { .name = "priority",
          PRIORITY (csp_class_t, priority),
          .default_setting = "5",
          .help = "0 (lowest, yields first) to 9 (highest)" },
        { .name = "deadline_ms",
          U32 (csp_class_t, deadline_ms, 1, DAY_MS),
          .help = "deadline of a request that sets none" },
        { .name = "longest_wait_ms",
          U32 (csp_class_t, longest_wait_ms, 1, DAY_MS),
          .help = "longest time in the queue" },
        { 0 } };

static const csp_field_t route_limits_table[]
    = { COUNTED_LIMITS (csp_route_t, limits),
        REQUEST_LIMITS (csp_route_t, limits),
        { 0 } };

const csp_field_t csp_route_table[]
    = { { .name = "model",
          TEXT (csp_route_t, model, CSP_FORM_TEXT),
          .help
          = "name of the model on the engines; default: the route's name" },
        { .name = "pool",
          TEXT (csp_route_t, pool, CSP_FORM_NAME),
          .required = true,
          .help = "pool of engines" },
        { .name = "classes",
          .type = CSP_FIELD_MAP,
          .form = CSP_FORM_NAME,
          STRUCTS (csp_route_t, classes, class_count, csp_class_t, class_table,
                   CLASSES_MAX),
          .help = "classes that a request may name" },
        { .name = "default_class",
          TEXT (csp_route_t, default_class, CSP_FORM_NAME),
          .help = "class of requests that name none" },
        { .name = "fallback",
          TEXT (csp_route_t, fallback, CSP_FORM_NAME),
          .help = "route used while the pool has no live engine" },
        { .name = "limits",
          .type = CSP_FIELD_OBJECT,
          .fields = route_limits_table,
          .help = "limits over all its requests" },
        { 0 } };

static const csp_field_t call_table[] = {
  { .name = "method",
    TEXT (csp_service_call_t, method, CSP_FORM_METHOD),
    .required = true,
    .help = "method of the call" },
  { .name = "path",
    TEXT (csp_service_call_t, path, CSP_FORM_PATH),
    .required = true,
    .help
    = "path after the service's prefix; applies to all paths below it too" },
  { .name = "repeatable",
    .type = CSP_FIELD_BOOL,
    .offset = offsetof (csp_service_call_t, repeatable),
    .required = true,
    .help = "whether the call may be repeated, regardless of its method" },
  { 0 }
};

static const csp_field_t service_limits_table[]
    = { COUNTED_LIMITS (csp_service_t, limits), { 0 } };

const csp_field_t csp_service_table[]
    = { { .name = "pool",
          TEXT (csp_service_t, pool, CSP_FORM_NAME),
          .required = true,
          .help = "pool of services" },
        { .name = "path_prefix",
          TEXT (csp_service_t, path_prefix, CSP_FORM_PATH),
          .help = "requests for paths below it go to this service; default: "
                  "/services/NAME" },
        { .name = "calls",
          .type = CSP_FIELD_LIST,
          STRUCTS (csp_service_t, calls, call_count, csp_service_call_t,
                   call_table, CALLS_MAX),
          .help = "calls that differ from their method's rule on repeating" },
        { .name = "priority",
          PRIORITY (csp_service_t, priority),
          .default_setting = "5",
          .help = "0 (lowest, yields first) to 9 (highest)" },
        { .name = "deadline_ms",
          U32 (csp_service_t, deadline_ms, 1, DAY_MS),
          .help = "deadline of a request that sets none" },
        { .name = "longest_wait_ms",
          U32 (csp_service_t, longest_wait_ms, 1, DAY_MS),
          .help = "longest time in the queue" },
        { .name = "limits",
          .type = CSP_FIELD_OBJECT,
          .fields = service_limits_table,
          .help = "limits over all its requests" },
        { 0 } };

static const char *const pool_kinds[] = { "engines", "services", NULL };
static const char *const roles[] = { "mixed", "prefill", "decode", NULL };

static const csp_field_t versioned_table[]
    = { { .name = "version",
          TEXT (csp_named_version_t, version, CSP_FORM_NAME),
          .required = true,
          .help = "version that should be loaded" },
        { 0 } };

static const csp_field_t wanted_table[]
    = { { .name = "models",
          .type = CSP_FIELD_MAP,
          .form = CSP_FORM_NAME,
          STRUCTS (csp_wanted_state_t, models, model_count,
                   csp_named_version_t, versioned_table, MODELS_MAX),
          .help = "models that should be loaded" },
        { .name = "adapters",
          .type = CSP_FIELD_MAP,
          .form = CSP_FORM_NAME,
          STRUCTS (csp_wanted_state_t, adapters, adapter_count,
                   csp_named_version_t, versioned_table, MODELS_MAX),
          .help = "adapters that should be loaded" },
        { .name = "role",
          .type = CSP_FIELD_CHOICE,
          .offset = offsetof (csp_wanted_state_t, role),
          .present_offset = offsetof (csp_wanted_state_t, has_role),
          .choices = roles,
          .help = "phases of generation that the engine runs" },
        { 0 } };

static const csp_field_t engine_table[]
    = { { .name = "wanted",
          .type = CSP_FIELD_OBJECT,
          .offset = offsetof (csp_engine_wanted_state_t, wanted),
          .fields = wanted_table,
          .required = true,
          .help = "wanted state of this engine, in place of the pool's" },
        { 0 } };

const csp_field_t csp_pool_table[] = {
  { .name = "kind",
    .type = CSP_FIELD_CHOICE,
    .offset = offsetof (csp_pool_t, kind),
    .choices = pool_kinds,
    .help = "kind of the pool's targets" },
  { .name = "memory_tokens",
    U32 (csp_pool_t, memory_tokens, 1, LIMIT_MAX),
    .default_setting = "100000",
    .help
    = "memory assumed for an engine until it reports its own, in tokens" },
  { .name = "max_open_streams",
    U32 (csp_pool_t, max_open_streams, 1, LIMIT_MAX),
    .default_setting = "256",
    .help = "most requests open on one target" },
  { .name = "max_waiting",
    U32 (csp_pool_t, max_waiting, 1, LIMIT_MAX),
    .default_setting = "1000",
    .help = "most requests waiting for the pool on one host" },
  { .name = "resume_window_ms",
    U32 (csp_pool_t, resume_window_ms, 1, DAY_MS),
    .default_setting = "30000",
    .help
    = "how long an engine keeps a generation after its connection is lost" },
  { .name = "longest_order_ms",
    U32 (csp_pool_t, longest_order_ms, 1, DAY_MS),
    .default_setting = "600000",
    .help = "longest time for an engine to carry out an order" },
  { .name = "loads_per_minute",
    U32 (csp_pool_t, loads_per_minute, 1, 100000),
    .default_setting = "60",
    .help
    = "most loads started per minute on the pool's engines, over all hosts" },
  { .name = "wanted",
    .type = CSP_FIELD_OBJECT,
    .offset = offsetof (csp_pool_t, wanted),
    .present_offset = offsetof (csp_pool_t, has_wanted),
    .fields = wanted_table,
    .help
    = "wanted state of the pool's engines; without it no orders are sent" },
  { .name = "engines",
    .type = CSP_FIELD_MAP,
    .form = CSP_FORM_NAME,
    STRUCTS (csp_pool_t, engines, engine_count, csp_engine_wanted_state_t,
             engine_table, ENGINES_MAX),
    .help = "engines whose wanted state differs from the pool's" },
  { 0 }
};

#define WHEN_SET(key, set)                                                    \
  {                                                                           \
    .name = (key), .type = CSP_FIELD_STRINGS, .form = CSP_FORM_NAME,          \
    .offset = offsetof (csp_rule_t, when.sets[set].declared),                 \
    .count_offset = offsetof (csp_rule_t, when.sets[set].count), .min = 1,    \
    .max = NAMES_MAX, .help = "matches any of these names"                    \
  }
#define WHEN_RANGE(key, range, table)                                         \
  {                                                                           \
    .name = (key), .type = CSP_FIELD_OBJECT,                                  \
    .offset = offsetof (csp_rule_t, when.ranges[range]), .fields = (table),   \
    .help = "range from min to max, inclusive"                                \
  }
#define RANGE_END(key, member, number_type, highest, default_text, help_text) \
  {                                                                           \
    .name = (key), .type = (number_type),                                     \
    .offset = offsetof (csp_range_t, member), .min = 0, .max = (highest),     \
    .default_setting = (default_text), .help = (help_text)                    \
  }

static const csp_field_t priority_table[]
    = { RANGE_END ("min", min, CSP_FIELD_DOUBLE, CSP_PRIORITY_MAX, "0",
                   "smallest value that matches"),
        RANGE_END ("max", max, CSP_FIELD_DOUBLE, CSP_PRIORITY_MAX, "9",
                   "largest value that matches"),
        { 0 } };
static const csp_field_t number_table[]
    = { RANGE_END ("min", min, CSP_FIELD_DOUBLE, LIMIT_MAX, "0",
                   "smallest value that matches"),
        RANGE_END ("max", max, CSP_FIELD_DOUBLE, LIMIT_MAX, "1000000000000",
                   "largest value that matches"),
        { 0 } };

static const csp_field_t when_table[]
    = { WHEN_SET ("organisation", CSP_WHEN_ORGANISATION),
        WHEN_SET ("route", CSP_WHEN_ROUTE),
        WHEN_SET ("service", CSP_WHEN_SERVICE),
        WHEN_SET ("class", CSP_WHEN_CLASS),
        WHEN_SET ("data_centre", CSP_WHEN_DATA_CENTRE),
        WHEN_RANGE ("priority", CSP_WHEN_PRIORITY, priority_table),
        WHEN_RANGE ("prompt_tokens", CSP_WHEN_PROMPT_TOKENS, number_table),
        WHEN_RANGE ("load", CSP_WHEN_LOAD, number_table),
        WHEN_RANGE ("time_in_queue_ms", CSP_WHEN_TIME_IN_QUEUE, number_table),
        { 0 } };

#define TERMS(member)                                                         \
  { .name = "pool",                                                           \
    TEXT (csp_rule_t, then.member.pool, CSP_FORM_NAME),                       \
    .help = "pool to send to; default: the route's or service's" },           \
      { .name = "priority",                                                   \
        PRIORITY (csp_rule_t, then.member.priority),                          \
        .default_setting = "255",                                             \
        .help = "0 (lowest, yields first) to 9 (highest); default: the "      \
                "request's" },                                                \
      { .name = "weight",                                                     \
        U32 (csp_rule_t, then.member.weight, 1, 1000000),                     \
        .help = "weight; default: the organisation's" },                      \
      { .name = "longest_wait_ms",                                            \
        U32 (csp_rule_t, then.member.longest_wait_ms, 1, DAY_MS),             \
        .help                                                                 \
        = "longest time in the queue; default: the class's or service's" },   \
      COUNTED_LIMITS (csp_rule_t, then.member.limits),                        \
      REQUEST_LIMITS (csp_rule_t, then.member.limits)

static const csp_field_t send_table[] = { TERMS (send), { 0 } };
static const csp_field_t lend_table[]
    = { TERMS (lend),
        { .name = "max_load",
          .type = CSP_FIELD_DOUBLE,
          .offset = offsetof (csp_rule_t, then.lend_max_load),
          .min = 0,
          .max = 1,
          .default_setting = "0.8",
          .help = "lends only while the pool's load is below this" },
        { 0 } };
static const csp_field_t spill_table[]
    = { TERMS (spill),
        { .name = "data_centre",
          TEXT (csp_rule_t, then.spill_data_centre, CSP_FORM_NAME),
          .required = true,
          .help = "data centre to hand the request over to" },
        { 0 } };
static const csp_field_t turn_away_table[]
    = { { .name = "reason",
          TEXT (csp_rule_t, then.reason, CSP_FORM_TEXT),
          .required = true,
          .help = "reason in the answer to the caller" },
        { .name = "retry_after_ms",
          U32 (csp_rule_t, then.retry_after_ms, 0, DAY_MS),
          .help = "time after which a retry may succeed; 0: never" },
        { 0 } };

#define ACTION(key, has, table)                                               \
  {                                                                           \
    .name = (key), .type = CSP_FIELD_OBJECT,                                  \
    .present_offset = offsetof (csp_rule_t, then.has), .fields = (table),     \
    .help = "action"                                                          \
  }

static const csp_field_t then_table[]
    = { ACTION ("send", has_send, send_table),
        ACTION ("lend", has_lend, lend_table),
        ACTION ("spill", has_spill, spill_table),
        ACTION ("turn_away", has_turn_away, turn_away_table),
        { 0 } };

const csp_field_t csp_rule_table[]
    = { { .name = "note",
          TEXT (csp_rule_t, note, CSP_FORM_TEXT),
          .help = "what the rule is for" },
        { .name = "when",
          .type = CSP_FIELD_OBJECT,
          .fields = when_table,
          .required = true,
          .help = "conditions that must all match; {} always matches" },
        { .name = "then",
          .type = CSP_FIELD_OBJECT,
          .fields = then_table,
          .required = true,
          .help = "exactly one action" },
        { 0 } };
