#include "cowslipspoke/length.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  BINS_PER_OCTAVE = 4,
  OCTAVES = 17,
  BINS = BINS_PER_OCTAVE * OCTAVES,
  ENDS_PER_REBUILD = 32,
  ENDS_PER_DECAY = 64,
  EXPOSURE_PER_REBUILD = 16384,
  NAME_BYTES = 64
};

/* The life table of one key.  cumulative[b] is the cumulative hazard up to the
   lower edge of bin b, and left[b] the mean remaining tokens there.  */
typedef struct
{
  char model[NAME_BYTES];
  char class_name[NAME_BYTES];
  float exposure[BINS];
  float ended[BINS];
  float hazard[BINS];
  float cumulative[BINS + 1];
  float left[BINS + 1];
  uint32_t ended_answers;
  uint32_t stale_ends;
  uint32_t stale_exposure;
} length_key_t;

struct csp_lengths
{
  csp_length_policy_t policy;
  double edge[BINS + 1];
  double prior_hazard[BINS];
  uint32_t count;
  length_key_t *keys;
};

csp_length_policy_t
csp_default_length_policy (void)
{
  csp_length_policy_t policy = { .prior_median_tokens = 77,
                                 .prior_sigma = 1.5,
                                 .prior_weight = 4,
                                 .half_life_answers = 4096,
                                 .max_keys = 64 };

  return policy;
}

/* Returns the bin of the n-th token.  Octaves of n are divided into four equal
   bins, so that a bin's width is at most a quarter of n.  */
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
log_normal_survival (const csp_length_policy_t *policy, double tokens)
{
  double z = log (tokens / policy->prior_median_tokens) / policy->prior_sigma;

  return 0.5 * erfc (z / sqrt (2));
}

static void
fill_prior (csp_lengths_t *lengths)
{
  uint32_t bin;
  double low;
  double high;

  for (bin = 0; bin <= BINS; bin++)
    lengths->edge[bin] = bin_edge (bin);
  for (bin = 0; bin < BINS; bin++)
    {
      low = log_normal_survival (&lengths->policy, lengths->edge[bin]);
      high = log_normal_survival (&lengths->policy, lengths->edge[bin + 1]);
      lengths->prior_hazard[bin]
          = log (low / high) / (lengths->edge[bin + 1] - lengths->edge[bin]);
    }
}

/* Returns the mean remaining tokens at a point `width` tokens below the upper
   edge of a bin.  */
static double
mean_left_in_bin (double hazard, double width, double left_after)
{
  double survival = exp (-hazard * width);

  if (hazard * width < 1e-9)
    return width + left_after;
  return (1 - survival) / hazard + survival * left_after;
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
      weight = lengths->policy.prior_weight * width;
      key->hazard[bin]
          = (float)((key->ended[bin] + weight * lengths->prior_hazard[bin])
                    / (key->exposure[bin] + weight));
      key->cumulative[bin + 1]
          = (float)(key->cumulative[bin] + key->hazard[bin] * width);
    }
  key->left[BINS] = 0;
  for (bin = BINS; bin-- > 0;)
    key->left[bin] = (float)mean_left_in_bin (
        key->hazard[bin], lengths->edge[bin + 1] - lengths->edge[bin],
        key->left[bin + 1]);
  key->stale_ends = 0;
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
  fill_prior (lengths);
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
csp_get_length_key (csp_lengths_t *lengths, const char *model,
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
csp_record_length_growth (csp_lengths_t *lengths, uint32_t key_index,
                          uint32_t before, uint32_t after)
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

/* Decays old observations.  Otherwise, when a new version of a model writes
   answers twice as long, engines would be filled by the old lengths for weeks,
   with preemptions all that time.  */
static void
decay_key (const csp_lengths_t *lengths, length_key_t *key)
{
  float keep = (float)exp2 (-(double)ENDS_PER_DECAY
                            / lengths->policy.half_life_answers);
  uint32_t bin;

  for (bin = 0; bin < BINS; bin++)
    {
      key->exposure[bin] *= keep;
      key->ended[bin] *= keep;
    }
}

void
csp_record_length_end (csp_lengths_t *lengths, uint32_t key_index,
                       uint32_t tokens, csp_length_end_t end)
{
  length_key_t *key = &lengths->keys[key_index];

  if (end == CSP_LENGTH_FINISHED)
    key->ended[find_bin (tokens)] += 1;
  key->ended_answers++;
  key->stale_ends++;
  if (key->ended_answers % ENDS_PER_DECAY == 0)
    decay_key (lengths, key);
  if (key->stale_ends >= ENDS_PER_REBUILD
      || key->ended_answers < ENDS_PER_REBUILD)
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
csp_length_survival (csp_lengths_t *lengths, uint32_t key_index,
                     uint32_t generated, uint32_t ahead)
{
  const length_key_t *key = &lengths->keys[key_index];
  double from = hazard_up_to (lengths, key, generated);
  double to = hazard_up_to (lengths, key, generated + ahead);

  return exp (from - to);
}

double
csp_mean_tokens_left (csp_lengths_t *lengths, uint32_t key_index,
                      uint32_t generated)
{
  const length_key_t *key = &lengths->keys[key_index];
  uint32_t bin = find_bin (generated);
  double width = lengths->edge[bin + 1] - fmax (generated, 1);

  if (width <= 0)
    return 0;
  return mean_left_in_bin (key->hazard[bin], width, key->left[bin + 1]);
}

uint32_t
csp_quantile_tokens_left (csp_lengths_t *lengths, uint32_t key_index,
                          uint32_t generated, double quantile)
{
  const length_key_t *key = &lengths->keys[key_index];
  double target_hazard
      = hazard_up_to (lengths, key, generated) - log1p (-quantile);
  uint32_t bin = find_bin (generated);
  double inside;

  while (bin < BINS && key->cumulative[bin + 1] < target_hazard)
    bin++;
  if (bin >= BINS)
    return generated < CSP_LENGTH_MAX_TOKENS
               ? CSP_LENGTH_MAX_TOKENS - generated
               : 0;
  inside = (target_hazard - key->cumulative[bin])
           / fmax (key->hazard[bin], 1e-12);
  return (uint32_t)fmax (0, ceil (lengths->edge[bin] + inside - generated));
}

uint64_t
csp_lengths_size_bytes (const csp_lengths_t *lengths)
{
  return sizeof *lengths
         + (lengths->policy.max_keys + 1) * sizeof *lengths->keys;
}
