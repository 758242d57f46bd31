#include "declaration/declaration-imp.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Finds rules that no request reaches.  A rule that stands behind a wider one
   looks as if it were in force; its writer notices only when the traffic that
   it was made for goes elsewhere.

   What a rule holds for is a box: a set of names or a range of numbers in
   each dimension.  The earlier rules' boxes are cut out of it one by one; the
   rule is reached if anything is left.  Names are an open world: rules for
   each organisation of today do not hide a rule for all of them, since it is
   there for the next one.  */

enum
{
  /* A search that takes more pieces is given up and the rule counts as
     reached: a rule that is missed is better than a check that hangs.  */
  PIECES_MAX = 20000,
  COVERING_SHOWN = 4,
  COVERING_BYTES = 400
};

/* Some names, or all names but some.  */
typedef struct
{
  bool except;
  const char **names;
  size_t count;
} names_t;

typedef struct
{
  names_t sets[CSP_WHEN_SETS];
  csp_range_t ranges[CSP_WHEN_RANGES];
} box_t;

typedef struct
{
  const csp_declaration_t *declaration;
  csp_arena_t *arena;
  size_t end;
  size_t pieces;
  bool *covering;
} search_t;

static bool
has_name (const char *const *names, size_t count, const char *name)
{
  size_t i;

  for (i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return true;
  return false;
}

/* Names of a that are, or are not, among those of b.  */
static void
pick_names (search_t *search, const names_t *a, const csp_name_set_t *b,
            bool among, names_t *out)
{
  size_t i;

  out->except = false;
  out->count = 0;
  out->names = csp_allocate (search->arena, (a->count + 1) * sizeof (void *));
  for (i = 0; i < a->count; i++)
    if (has_name (b->declared, b->count, a->names[i]) == among)
      out->names[out->count++] = a->names[i];
}

/* Names of b that are not among those of a.  */
static void
pick_new_names (search_t *search, const names_t *a, const csp_name_set_t *b,
                names_t *out)
{
  size_t i;

  out->except = false;
  out->count = 0;
  out->names = csp_allocate (search->arena, (b->count + 1) * sizeof (void *));
  for (i = 0; i < b->count; i++)
    if (!has_name (a->names, a->count, b->declared[i]))
      out->names[out->count++] = b->declared[i];
}

/* All names but those of a and b.  */
static void
except_both (search_t *search, const names_t *a, const csp_name_set_t *b,
             names_t *out)
{
  size_t count = a->count + b->count;

  out->except = true;
  out->count = count;
  out->names = csp_allocate (search->arena, (count + 1) * sizeof (void *));
  if (a->count > 0)
    memcpy (out->names, a->names, a->count * sizeof (void *));
  memcpy (out->names + a->count, b->declared, b->count * sizeof (void *));
}

static bool
is_empty_set (const names_t *names)
{
  return !names->except && names->count == 0;
}

/* Split a set at a rule's: what lies inside and what outside.  */
static void
split_set (search_t *search, const names_t *set, const csp_name_set_t *rule,
           names_t *inside, names_t *outside)
{
  static const names_t nothing = { false, NULL, 0 };

  if (rule->count == 0)
    {
      *inside = *set;
      *outside = nothing;
    }
  else if (set->except)
    {
      pick_new_names (search, set, rule, inside);
      except_both (search, set, rule, outside);
    }
  else
    {
      pick_names (search, set, rule, true, inside);
      pick_names (search, set, rule, false, outside);
    }
}

/* The next number above or below in a dimension: load is a real number, the
   others are whole.  */
static double
next_number (int dimension, double number, double towards)
{
  if (dimension == CSP_WHEN_LOAD)
    return nextafter (number, towards);
  return towards > number ? floor (number) + 1 : ceil (number) - 1;
}

static void
make_whole (int dimension, csp_range_t *range)
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
sets_meet (const names_t *set, const csp_name_set_t *rule)
{
  size_t i;

  if (rule->count == 0)
    return true;
  for (i = 0; i < rule->count; i++)
    if (has_name (set->names, set->count, rule->declared[i]) != set->except)
      return true;
  return false;
}

static bool
boxes_meet (const box_t *box, const csp_when_t *when)
{
  int i;

  for (i = 0; i < CSP_WHEN_SETS; i++)
    if (!sets_meet (&box->sets[i], &when->sets[i]))
      return false;
  for (i = 0; i < CSP_WHEN_RANGES; i++)
    if (fmax (box->ranges[i].min, when->ranges[i].min)
        > fmin (box->ranges[i].max, when->ranges[i].max))
      return false;
  return true;
}

static bool is_covered (search_t *search, const box_t *box, size_t first);

/* Both sides of a rule's range in one dimension; box is narrowed to it.  */
static bool
range_is_covered (search_t *search, box_t *box, int dimension,
                  const csp_range_t *rule, size_t next)
{
  csp_range_t *range = &box->ranges[dimension];
  box_t piece = *box;

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

/* Whether what lies outside a rule that meets the box is covered by the rules
   behind it.  */
static bool
rest_is_covered (search_t *search, const box_t *box, const csp_when_t *when,
                 size_t next)
{
  box_t left = *box;
  box_t piece;
  names_t inside;
  int i;

  for (i = 0; i < CSP_WHEN_SETS; i++)
    {
      piece = left;
      split_set (search, &left.sets[i], &when->sets[i], &inside,
                 &piece.sets[i]);
      left.sets[i] = inside;
      if (!is_empty_set (&piece.sets[i]) && !is_covered (search, &piece, next))
        return false;
    }
  for (i = 0; i < CSP_WHEN_RANGES; i++)
    if (!range_is_covered (search, &left, i, &when->ranges[i], next))
      return false;
  return true;
}

static bool
is_covered (search_t *search, const box_t *box, size_t first)
{
  const csp_when_t *when;
  size_t i;

  if (++search->pieces > PIECES_MAX)
    return false;
  for (i = first; i < search->end; i++)
    {
      when = &search->declaration->rules[i]->when;
      if (!boxes_meet (box, when))
        continue;
      search->covering[i] = true;
      return rest_is_covered (search, box, when, i + 1);
    }
  return false;
}

static void
fill_box (const csp_when_t *when, box_t *box)
{
  int i;

  for (i = 0; i < CSP_WHEN_SETS; i++)
    {
      box->sets[i].except = when->sets[i].count == 0;
      box->sets[i].names = when->sets[i].names;
      box->sets[i].count = when->sets[i].count;
    }
  for (i = 0; i < CSP_WHEN_RANGES; i++)
    {
      box->ranges[i] = when->ranges[i];
      make_whole (i, &box->ranges[i]);
    }
}

static void
add_cover_fault (const search_t *search, const csp_rule_t *rule,
                 csp_faults_t *faults)
{
  char text[COVERING_BYTES] = "";
  size_t used = 0;
  size_t count = 0;
  size_t i;

  for (i = 0; i < search->end && used < sizeof text; i++)
    if (search->covering[i] && count++ < COVERING_SHOWN)
      used += (size_t)snprintf (text + used, sizeof text - used, "%s%s",
                                used == 0 ? "" : ", ",
                                search->declaration->rules[i]->name);
  csp_add_fault (faults, rule->where, "when", 0,
                 "can never be reached: what it asks for is decided before by "
                 "%s%s",
                 text, count > COVERING_SHOWN ? " and others" : "");
}

static void
check_covered (const csp_declaration_t *declaration, size_t index,
               csp_faults_t *faults)
{
  const csp_rule_t *rule = declaration->rules[index];
  search_t search = { .declaration = declaration,
                      .arena = csp_create_arena (),
                      .end = index };
  box_t box;

  search.covering = csp_allocate (search.arena, index + 1);
  fill_box (&rule->when, &box);
  if (is_covered (&search, &box, 0))
    add_cover_fault (&search, rule, faults);
  csp_destroy_arena (search.arena);
}

static bool
route_has_one_class (const csp_declaration_t *declaration, const char *route,
                     const csp_name_set_t *classes)
{
  const csp_route_t *found = csp_find_route (declaration, route);
  size_t i;

  for (i = 0; found != NULL && i < classes->count; i++)
    if (csp_find_class (found, classes->declared[i]) != NULL)
      return true;
  return false;
}

/* A range between two whole numbers, such as a priority from 0.2 to 0.8.  */
static bool
has_empty_range (const csp_rule_t *rule)
{
  box_t box;
  int i;

  fill_box (&rule->when, &box);
  for (i = 0; i < CSP_WHEN_RANGES; i++)
    if (is_empty_range (&box.ranges[i]))
      return true;
  return false;
}

/* A rule may ask for a class that none of its routes has.  */
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
    if (route_has_one_class (declaration, routes->declared[i], classes))
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
      else if (has_empty_range (rule))
        csp_add_fault (faults, rule->where, "when", 0,
                       "can never be reached: a range has no whole number");
      else
        check_covered (declaration, i, faults);
    }
}
