#include "declaration/declaration-imp.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Finds rules that no request can reach.  A rule after a wider one has no
   effect, and its author notices only when the traffic is sent elsewhere.

   The requests that a rule matches form a box: a set of names or a range of
   numbers in each dimension.  The boxes of earlier rules are subtracted from
   it one by one; the rule can be reached if anything remains.  Names are an
   open set: rules for each existing organisation do not cover a rule for all
   organisations, which also matches those added later.  */

enum
{
  /* A search that splits the box into more pieces stops, and the rule counts
     as reachable: missing an unreachable rule is better than a check that
     hangs.  */
  PIECES_MAX = 20000,
  COVERING_SHOWN_MAX = 4,
  COVERING_BYTES = 400
};

/* The listed names or, if is_complement, all names except those.  */
typedef struct
{
  bool is_complement;
  const char **names;
  size_t count;
} name_selection_t;

typedef struct
{
  name_selection_t sets[CSP_WHEN_SET_COUNT];
  csp_range_t ranges[CSP_WHEN_RANGE_COUNT];
} match_box_t;

typedef struct
{
  const csp_declaration_t *declaration;
  csp_arena_t *arena;
  size_t end;
  size_t pieces;
  bool *covering;
} cover_search_t;

static bool
has_name (const char *const *names, size_t count, const char *name)
{
  size_t i;

  for (i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return true;
  return false;
}

/* The names of a that are also in b if keep_common, otherwise those that are
   not.  */
static void
filter_names (cover_search_t *search, const name_selection_t *a,
              const csp_name_set_t *b, bool keep_common, name_selection_t *out)
{
  size_t i;

  out->is_complement = false;
  out->count = 0;
  out->names = csp_allocate (search->arena, (a->count + 1) * sizeof (void *));
  for (i = 0; i < a->count; i++)
    if (has_name (b->declared, b->count, a->names[i]) == keep_common)
      out->names[out->count++] = a->names[i];
}

/* The names of b that are not in a.  */
static void
subtract_names (cover_search_t *search, const name_selection_t *a,
                const csp_name_set_t *b, name_selection_t *out)
{
  size_t i;

  out->is_complement = false;
  out->count = 0;
  out->names = csp_allocate (search->arena, (b->count + 1) * sizeof (void *));
  for (i = 0; i < b->count; i++)
    if (!has_name (a->names, a->count, b->declared[i]))
      out->names[out->count++] = b->declared[i];
}

/* All names except those of a and b.  */
static void
exclude_both (cover_search_t *search, const name_selection_t *a,
              const csp_name_set_t *b, name_selection_t *out)
{
  size_t count = a->count + b->count;

  out->is_complement = true;
  out->count = count;
  out->names = csp_allocate (search->arena, (count + 1) * sizeof (void *));
  if (a->count > 0)
    memcpy (out->names, a->names, a->count * sizeof (void *));
  memcpy (out->names + a->count, b->declared, b->count * sizeof (void *));
}

static bool
is_empty_set (const name_selection_t *names)
{
  return !names->is_complement && names->count == 0;
}

/* Split a set into the names that a rule accepts and the others.  */
static void
split_set (cover_search_t *search, const name_selection_t *set,
           const csp_name_set_t *rule, name_selection_t *inside,
           name_selection_t *outside)
{
  static const name_selection_t nothing = { false, NULL, 0 };

  if (rule->count == 0)
    {
      *inside = *set;
      *outside = nothing;
    }
  else if (set->is_complement)
    {
      subtract_names (search, set, rule, inside);
      exclude_both (search, set, rule, outside);
    }
  else
    {
      filter_names (search, set, rule, true, inside);
      filter_names (search, set, rule, false, outside);
    }
}

/* The next number above or below in a dimension: loads are real numbers, the
   others are integers.  */
static double
next_number (int dimension, double number, double towards)
{
  if (dimension == CSP_WHEN_LOAD)
    return nextafter (number, towards);
  return towards > number ? floor (number) + 1 : ceil (number) - 1;
}

static void
round_to_integers (int dimension, csp_range_t *range)
{
  if (dimension == CSP_WHEN_LOAD)
    return;
  range->min = ceil (range->min);
  range->max = floor (range->max);
}

static bool
is_empty_range (const csp_range_t *range)
{
  return range->min > range->max;
}

static bool
sets_intersect (const name_selection_t *set, const csp_name_set_t *rule)
{
  size_t i;

  if (rule->count == 0)
    return true;
  for (i = 0; i < rule->count; i++)
    if (has_name (set->names, set->count, rule->declared[i])
        != set->is_complement)
      return true;
  return false;
}

static bool
box_intersects_rule (const match_box_t *box, const csp_when_t *when)
{
  int i;

  for (i = 0; i < CSP_WHEN_SET_COUNT; i++)
    if (!sets_intersect (&box->sets[i], &when->sets[i]))
      return false;
  for (i = 0; i < CSP_WHEN_RANGE_COUNT; i++)
    if (fmax (box->ranges[i].min, when->ranges[i].min)
        > fmin (box->ranges[i].max, when->ranges[i].max))
      return false;
  return true;
}

static bool is_covered (cover_search_t *search, const match_box_t *box,
                        size_t first);

/* Whether the parts of the box below and above a rule's range in one dimension
   are covered by later rules.  Narrows the box to the rule's range.  */
static bool
range_is_covered (cover_search_t *search, match_box_t *box, int dimension,
                  const csp_range_t *rule, size_t next)
{
  csp_range_t *range = &box->ranges[dimension];
  match_box_t piece = *box;

  piece.ranges[dimension].max
      = fmin (range->max, next_number (dimension, rule->min, -HUGE_VAL));
  if (!is_empty_range (&piece.ranges[dimension])
      && !is_covered (search, &piece, next))
    return false;
  piece = *box;
  piece.ranges[dimension].min
      = fmax (range->min, next_number (dimension, rule->max, HUGE_VAL));
  if (!is_empty_range (&piece.ranges[dimension])
      && !is_covered (search, &piece, next))
    return false;
  range->min = fmax (range->min, rule->min);
  range->max = fmin (range->max, rule->max);
  return true;
}

/* Whether the part of the box that an intersecting rule does not match is
   covered by the rules after it.  */
static bool
remainder_is_covered (cover_search_t *search, const match_box_t *box,
                      const csp_when_t *when, size_t next)
{
  match_box_t remaining = *box;
  match_box_t piece;
  name_selection_t inside;
  int i;

  for (i = 0; i < CSP_WHEN_SET_COUNT; i++)
    {
      piece = remaining;
      split_set (search, &remaining.sets[i], &when->sets[i], &inside,
                 &piece.sets[i]);
      remaining.sets[i] = inside;
      if (!is_empty_set (&piece.sets[i]) && !is_covered (search, &piece, next))
        return false;
    }
  for (i = 0; i < CSP_WHEN_RANGE_COUNT; i++)
    if (!range_is_covered (search, &remaining, i, &when->ranges[i], next))
      return false;
  return true;
}

static bool
is_covered (cover_search_t *search, const match_box_t *box, size_t first)
{
  const csp_when_t *when;
  size_t i;

  if (++search->pieces > PIECES_MAX)
    return false;
  for (i = first; i < search->end; i++)
    {
      when = &search->declaration->rules[i]->when;
      if (!box_intersects_rule (box, when))
        continue;
      search->covering[i] = true;
      return remainder_is_covered (search, box, when, i + 1);
    }
  return false;
}

static void
init_box (const csp_when_t *when, match_box_t *box)
{
  int i;

  for (i = 0; i < CSP_WHEN_SET_COUNT; i++)
    {
      box->sets[i].is_complement = when->sets[i].count == 0;
      box->sets[i].names = when->sets[i].sorted_names;
      box->sets[i].count = when->sets[i].count;
    }
  for (i = 0; i < CSP_WHEN_RANGE_COUNT; i++)
    {
      box->ranges[i] = when->ranges[i];
      round_to_integers (i, &box->ranges[i]);
    }
}

static void
add_unreachable_fault (const cover_search_t *search, const csp_rule_t *rule,
                       csp_faults_t *faults)
{
  char text[COVERING_BYTES] = "";
  size_t used = 0;
  size_t count = 0;
  size_t i;

  for (i = 0; i < search->end && used < sizeof text; i++)
    if (search->covering[i] && count++ < COVERING_SHOWN_MAX)
      used += (size_t)snprintf (text + used, sizeof text - used, "%s%s",
                                used == 0 ? "" : ", ",
                                search->declaration->rules[i]->name);
  csp_add_fault (faults, rule->where, "when", 0,
                 "can never be reached: what it asks for is decided before by "
                 "%s%s",
                 text, count > COVERING_SHOWN_MAX ? " and others" : "");
}

static void
check_covered (const csp_declaration_t *declaration, size_t index,
               csp_faults_t *faults)
{
  const csp_rule_t *rule = declaration->rules[index];
  cover_search_t search = { .declaration = declaration,
                            .arena = csp_create_arena (),
                            .end = index };
  match_box_t box;

  search.covering = csp_allocate (search.arena, index + 1);
  init_box (&rule->when, &box);
  if (is_covered (&search, &box, 0))
    add_unreachable_fault (&search, rule, faults);
  csp_destroy_arena (search.arena);
}

static bool
route_has_any_class (const csp_declaration_t *declaration, const char *route,
                     const csp_name_set_t *classes)
{
  const csp_route_t *found = csp_find_route (declaration, route);
  size_t i;

  for (i = 0; found != NULL && i < classes->count; i++)
    if (csp_find_class (found, classes->declared[i]) != NULL)
      return true;
  return false;
}

/* Whether a range contains no integer, such as a priority from 0.2 to 0.8.  */
static bool
has_range_without_integer (const csp_rule_t *rule)
{
  match_box_t box;
  int i;

  init_box (&rule->when, &box);
  for (i = 0; i < CSP_WHEN_RANGE_COUNT; i++)
    if (is_empty_range (&box.ranges[i]))
      return true;
  return false;
}

/* Whether any route that the rule names has one of the classes that it names.
 */
static bool
classes_fit_routes (const csp_declaration_t *declaration,
                    const csp_rule_t *rule)
{
  const csp_name_set_t *routes = &rule->when.sets[CSP_WHEN_ROUTE];
  const csp_name_set_t *classes = &rule->when.sets[CSP_WHEN_CLASS];
  size_t i;

  if (routes->count == 0 || classes->count == 0)
    return true;
  for (i = 0; i < routes->count; i++)
    if (route_has_any_class (declaration, routes->declared[i], classes))
      return true;
  return false;
}

void
csp_find_unreachable_rules (const csp_declaration_t *declaration,
                            csp_faults_t *faults)
{
  const csp_rule_t *rule;
  size_t i;

  for (i = 0; i < declaration->rule_count; i++)
    {
      rule = declaration->rules[i];
      if (!classes_fit_routes (declaration, rule))
        csp_add_fault (faults, rule->where, "when", 0,
                       "can never be reached: none of its routes has one of "
                       "its classes");
      else if (rule->when.sets[CSP_WHEN_SERVICE].count > 0
               && rule->when.sets[CSP_WHEN_CLASS].count > 0)
        csp_add_fault (faults, rule->where, "when", 0,
                       "can never be reached: services have no classes");
      else if (has_range_without_integer (rule))
        csp_add_fault (faults, rule->where, "when", 0,
                       "can never be reached: a range has no whole number");
      else
        check_covered (declaration, i, faults);
    }
}
