#include "cowslipspoke/length.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BINS_PER_OCTAVE = 4,
  OCTAVES = 17,
  BINS = BINS_PER_OCTAVE * OCTAVES,
  EVENTS_PER_REBUILD = 32,
  EVENTS_PER_FORGET = 64,
  EXPOSURE_PER_REBUILD = 16384,
  NAME_BYTES = 64
};

/* One key.  cumulative[b] is the hazard up to the lower edge of bin b, and
   left[b] the mean still to come there.  */
typedef struct
{
  char model[NAME_BYTES];
  char class_name[NAME_BYTES];
  float exposure[BINS];
  float ended[BINS];
  float hazard[BINS];
  float cumulative[BINS + 1];
  float left[BINS + 1];
  uint32_t events;
  uint32_t stale_events;
  uint32_t stale_exposure;
} length_key_t;

struct csp_lengths
{
  csp_length_policy_t policy;
  double edge[BINS + 1];
  double start_hazard[BINS];
  uint32_t count;
  length_key_t *keys;
};

csp_length_policy_t
csp_default_length_policy (void)
{
  csp_length_policy_t policy = { .start_median_tokens = 77,
                                 .start_sigma = 1.5,
                                 .start_weight = 4,
                                 .half_life_answers = 4096,
                                 .max_keys = 64 };

  return policy;
}

/* Bin of the n-th token: octaves of n, each cut into four equal parts, so
   that the width of a bin is a fifth of n at most.  */
static uint32_t
find_bin (uint32_t tokens)
{
  uint32_t octave;

  if (tokens < 1)
    tokens = 1;
  if (tokens >= CSP_LENGTH_MAX_TOKENS)
    return BINS - 1;
  octave = 31 - (uint32_t)__builtin_clz (tokens);
  if (octave < 2)
    return octave * BINS_PER_OCTAVE
           + ((tokens - (1U << octave)) << 2 >> octave);
  return octave * BINS_PER_OCTAVE
         + ((tokens - (1U << octave)) >> (octave - 2));
}

static double
bin_edge (uint32_t bin)
{
  double octave = ldexp (1, (int)(bin / BINS_PER_OCTAVE));

  return octave * (1 + (double)(bin % BINS_PER_OCTAVE) / BINS_PER_OCTAVE);
}

static double
survive_log_normal (const csp_length_policy_t *policy, double tokens)
{
  double z = log (tokens / policy->start_median_tokens) / policy->start_sigma;

  return 0.5 * erfc (z / sqrt (2));
}

static void
fill_start (csp_lengths_t *lengths)
{
  uint32_t bin;
  double low;
  double high;

  for (bin = 0; bin <= BINS; bin++)
    lengths->edge[bin] = bin_edge (bin);
  for (bin = 0; bin < BINS; bin++)
    {
      low = survive_log_normal (&lengths->policy, lengths->edge[bin]);
      high = survive_log_normal (&lengths->policy, lengths->edge[bin + 1]);
      lengths->start_hazard[bin]
          = log (low / high) / (lengths->edge[bin + 1] - lengths->edge[bin]);
    }
}

/* Mean tokens from a point `width` before the upper edge of a bin.  */
static double
mean_through_bin (double hazard, double width, double left_after)
{
  double stay = exp (-hazard * width);

  if (hazard * width < 1e-9)
    return width + left_after;
  return (1 - stay) / hazard + stay * left_after;
}

static void
rebuild_key (const csp_lengths_t *lengths, length_key_t *key)
{
  uint32_t bin;
  double width;
  double weight;

  key->cumulative[0] = 0;
  for (bin = 0; bin < BINS; bin++)
    {
      width = lengths->edge[bin + 1] - lengths->edge[bin];
      weight = lengths->policy.start_weight * width;
      key->hazard[bin]
          = (float)((key->ended[bin] + weight * lengths->start_hazard[bin])
                    / (key->exposure[bin] + weight));
      key->cumulative[bin + 1]
          = (float)(key->cumulative[bin] + key->hazard[bin] * width);
    }
  key->left[BINS] = 0;
  for (bin = BINS; bin-- > 0;)
    key->left[bin] = (float)mean_through_bin (
        key->hazard[bin], lengths->edge[bin + 1] - lengths->edge[bin],
        key->left[bin + 1]);
  key->stale_events = 0;
  key->stale_exposure = 0;
}

csp_lengths_t *
csp_create_lengths (const csp_length_policy_t *policy)
{
  csp_lengths_t *lengths = calloc (1, sizeof *lengths);

  if (lengths == NULL)
    return NULL;
  lengths->policy = *policy;
  lengths->keys = calloc (policy->max_keys + 1, sizeof *lengths->keys);
  if (lengths->keys == NULL)
    {
      free (lengths);
      return NULL;
    }
  fill_start (lengths);
  lengths->count = 1;
  rebuild_key (lengths, &lengths->keys[CSP_LENGTH_KEY_SHARED]);
  return lengths;
}

void
csp_destroy_lengths (csp_lengths_t *lengths)
{
  if (lengths == NULL)
    return;
  free (lengths->keys);
  free (lengths);
}

uint32_t
csp_find_length_key (csp_lengths_t *lengths, const char *model,
                     const char *class_name)
{
  length_key_t *key;
  uint32_t i;

  for (i = 1; i < lengths->count; i++)
    if (strncmp (lengths->keys[i].model, model, NAME_BYTES - 1) == 0
        && strncmp (lengths->keys[i].class_name, class_name, NAME_BYTES - 1)
               == 0)
      return i;
  if (lengths->count > lengths->policy.max_keys)
    return CSP_LENGTH_KEY_SHARED;
  key = &lengths->keys[lengths->count];
  strncpy (key->model, model, NAME_BYTES - 1);
  strncpy (key->class_name, class_name, NAME_BYTES - 1);
  rebuild_key (lengths, key);
  return lengths->count++;
}

void
csp_note_length (csp_lengths_t *lengths, uint32_t key_index, uint32_t before,
                 uint32_t after)
{
  length_key_t *key = &lengths->keys[key_index];
  uint32_t bin = find_bin (before);
  double from = before < 1 ? 1 : before;
  double to;

  while (from < after && bin < BINS)
    {
      to = fmin (after, lengths->edge[bin + 1]);
      key->exposure[bin] += (float)(to - from);
      from = to;
      bin++;
    }
  if (after > before)
    key->stale_exposure += after - before;
  if (key->stale_exposure >= EXPOSURE_PER_REBUILD)
    rebuild_key (lengths, key);
}

/* Old answers fade.  What goes wrong without it: a new version of a model
   writes twice as much, and the engines fill on the old one's lengths for
   weeks; one notices preemptions that begin with the new version and stay.  */
static void
forget_key (const csp_lengths_t *lengths, length_key_t *key)
{
  float keep = (float)exp2 (-(double)EVENTS_PER_FORGET
                            / lengths->policy.half_life_answers);
  uint32_t bin;

  for (bin = 0; bin < BINS; bin++)
    {
      key->exposure[bin] *= keep;
      key->ended[bin] *= keep;
    }
}

void
csp_learn_length (csp_lengths_t *lengths, uint32_t key_index, uint32_t tokens,
                  csp_length_end_t end)
{
  length_key_t *key = &lengths->keys[key_index];

  if (end == CSP_LENGTH_FINISHED)
    key->ended[find_bin (tokens)] += 1;
  key->events++;
  key->stale_events++;
  if (key->events % EVENTS_PER_FORGET == 0)
    forget_key (lengths, key);
  if (key->stale_events >= EVENTS_PER_REBUILD
      || key->events < EVENTS_PER_REBUILD)
    rebuild_key (lengths, key);
}

static double
hazard_up_to (const csp_lengths_t *lengths, const length_key_t *key,
              uint32_t tokens)
{
  uint32_t bin = find_bin (tokens);
  double inside = fmax (tokens, 1) - lengths->edge[bin];

  return key->cumulative[bin] + key->hazard[bin] * inside;
}

double
csp_survive_length (csp_lengths_t *lengths, uint32_t key_index, uint32_t made,
                    uint32_t ahead)
{
  const length_key_t *key = &lengths->keys[key_index];
  double from = hazard_up_to (lengths, key, made);
  double to = hazard_up_to (lengths, key, made + ahead);

  return exp (from - to);
}

double
csp_expect_tokens_left (csp_lengths_t *lengths, uint32_t key_index,
                        uint32_t made)
{
  const length_key_t *key = &lengths->keys[key_index];
  uint32_t bin = find_bin (made);
  double width = lengths->edge[bin + 1] - fmax (made, 1);

  if (width <= 0)
    return 0;
  return mean_through_bin (key->hazard[bin], width, key->left[bin + 1]);
}

uint32_t
csp_bound_tokens_left (csp_lengths_t *lengths, uint32_t key_index,
                       uint32_t made, double quantile)
{
  const length_key_t *key = &lengths->keys[key_index];
  double goal = hazard_up_to (lengths, key, made) - log1p (-quantile);
  uint32_t bin = find_bin (made);
  double inside;

  while (bin < BINS && key->cumulative[bin + 1] < goal)
    bin++;
  if (bin >= BINS)
    return made < CSP_LENGTH_MAX_TOKENS ? CSP_LENGTH_MAX_TOKENS - made : 0;
  inside = (goal - key->cumulative[bin]) / fmax (key->hazard[bin], 1e-12);
  return (uint32_t)fmax (0, ceil (lengths->edge[bin] + inside - made));
}

uint64_t
csp_lengths_size_bytes (const csp_lengths_t *lengths)
{
  return sizeof *lengths
         + (lengths->policy.max_keys + 1) * sizeof *lengths->keys;
}
