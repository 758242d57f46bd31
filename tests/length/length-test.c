#include "cowslipspoke/length.h"
#include "cowslipspoke/random.h"

#include "support/run-suite.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>

static double
draw_log_normal (csp_random_t *random, double median, double sigma)
{
  double u = 1 - csp_random_unit (random);
  double v = csp_random_unit (random);

  return median * exp (sigma * sqrt (-2 * log (u)) * cos (2 * M_PI * v));
}

static void
learn_answer (csp_lengths_t *lengths, uint32_t key, uint32_t tokens)
{
  csp_record_length_growth (lengths, key, 0, tokens);
  csp_record_length_end (lengths, key, tokens, CSP_LENGTH_FINISHED);
}

static csp_lengths_t *
create_lengths (uint32_t *key)
{
  csp_length_policy_t policy = csp_default_length_policy ();
  csp_lengths_t *lengths = csp_create_lengths (&policy);

  *key = csp_get_length_key (lengths, "m", "draft");
  return lengths;
}

START_TEST (the_prior_has_the_stated_mean)
{
  uint32_t key;
  csp_lengths_t *lengths = create_lengths (&key);

  ck_assert_double_eq_tol (csp_mean_tokens_left (lengths, key, 0), 236, 12);
  ck_assert_uint_gt (csp_quantile_tokens_left (lengths, key, 0, 0.99), 1500);
  csp_destroy_lengths (lengths);
}
END_TEST

/* Compares the estimated mean and quantile of the remaining tokens, given that
   the answer already has `generated` tokens, with those of a direct sample
   from the same distribution.  */
static const struct
{
  double median;
  double sigma;
  uint32_t generated;
} distributions[] = {
  { 40, 0.8, 0 },    { 40, 0.8, 60 },    { 290, 1.3, 0 },
  { 290, 1.3, 500 }, { 290, 1.3, 3000 }, { 12, 0.6, 5 },
};

START_TEST (estimates_the_remaining_tokens)
{
  uint32_t key;
  csp_lengths_t *lengths = create_lengths (&key);
  csp_random_t random;
  double sum = 0;
  uint32_t over = 0;
  uint32_t beyond = 0;
  uint32_t bound;
  uint32_t tokens;
  uint32_t i;

  csp_seed_random (&random, 3);
  for (i = 0; i < 20000; i++)
    learn_answer (
        lengths, key,
        (uint32_t)fmax (1, draw_log_normal (&random, distributions[_i].median,
                                            distributions[_i].sigma)));
  bound = csp_quantile_tokens_left (lengths, key, distributions[_i].generated,
                                    0.9);
  for (i = 0; i < 200000; i++)
    {
      tokens = (uint32_t)fmax (1, draw_log_normal (&random,
                                                   distributions[_i].median,
                                                   distributions[_i].sigma));
      if (tokens <= distributions[_i].generated)
        continue;
      over++;
      sum += tokens - distributions[_i].generated;
      beyond += tokens - distributions[_i].generated > bound;
    }
  ck_assert_double_eq_tol (
      csp_mean_tokens_left (lengths, key, distributions[_i].generated)
          / (sum / over),
      1, 0.2);
  ck_assert_double_eq_tol ((double)beyond / over, 0.1, 0.05);
  csp_destroy_lengths (lengths);
}
END_TEST

/* After a start the short answers end first, while the long ones still run.
   If only ended answers counted, lengths would be underestimated, engines
   overfilled, and the long answers preempted.  */
START_TEST (running_answers_count)
{
  uint32_t key;
  csp_lengths_t *lengths = create_lengths (&key);
  uint32_t i;

  for (i = 0; i < 80; i++)
    csp_record_length_growth (lengths, key, 0, 2000);
  for (i = 0; i < 20; i++)
    learn_answer (lengths, key, 30);
  for (i = 0; i < 20; i++)
    {
      csp_record_length_growth (lengths, key, 0, 30);
      csp_record_length_end (lengths, key, 30, CSP_LENGTH_CUT);
    }
  ck_assert_double_gt (csp_length_survival (lengths, key, 0, 1000), 0.6);
  csp_destroy_lengths (lengths);
}
END_TEST

/* A new version of a model writes answers eight times as long.  Without decay
   of old observations engines would be filled by the old lengths for
   weeks.  */
START_TEST (old_answers_decay)
{
  uint32_t key;
  csp_lengths_t *lengths = create_lengths (&key);
  uint32_t i;

  for (i = 0; i < 100000; i++)
    learn_answer (lengths, key, 40 + i % 20);
  ck_assert_double_lt (csp_mean_tokens_left (lengths, key, 0), 60);
  for (i = 0; i < 3 * 4096; i++)
    learn_answer (lengths, key, 320 + i % 160);
  ck_assert_double_gt (csp_mean_tokens_left (lengths, key, 0), 300);
  csp_destroy_lengths (lengths);
}
END_TEST

START_TEST (keys_are_bounded)
{
  csp_length_policy_t policy = csp_default_length_policy ();
  csp_lengths_t *lengths;

  policy.max_keys = 2;
  lengths = csp_create_lengths (&policy);
  ck_assert_uint_eq (csp_get_length_key (lengths, "m", "a"), 1);
  ck_assert_uint_eq (csp_get_length_key (lengths, "m", "b"), 2);
  ck_assert_uint_eq (csp_get_length_key (lengths, "m", "a"), 1);
  ck_assert_uint_eq (csp_get_length_key (lengths, "m", "c"),
                     CSP_LENGTH_KEY_SHARED);
  csp_destroy_lengths (lengths);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("length");
  TCase *tcase = tcase_create ("length");

  tcase_add_test (tcase, the_prior_has_the_stated_mean);
  tcase_add_loop_test (tcase, estimates_the_remaining_tokens, 0,
                       sizeof distributions / sizeof distributions[0]);
  tcase_add_test (tcase, running_answers_count);
  tcase_add_test (tcase, old_answers_decay);
  tcase_add_test (tcase, keys_are_bounded);
  suite_add_tcase (suite, tcase);
  return run_suite (suite);
}
