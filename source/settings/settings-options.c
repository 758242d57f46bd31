#include "settings/settings-imp.h"

#include <getopt.h>
#include <stdio.h>
#include <string.h>

enum
{
  OPTION_SETTINGS = 1000,
  OPTION_CHECK,
  OPTION_HELP,
  OPTION_VERSION,
  OPTION_COUNT = CSP_SETTINGS_MAX + 5,
  HELP_COLUMN = 32
};

static const struct option fixed_options[]
    = { { "settings", required_argument, NULL, OPTION_SETTINGS },
        { "check-settings", no_argument, NULL, OPTION_CHECK },
        { "help", no_argument, NULL, OPTION_HELP },
        { "version", no_argument, NULL, OPTION_VERSION } };

static const char *const command_line = "command line";

static void
add_setting (csp_setting_t *setting, const csp_field_t *parent,
             const csp_field_t *field)
{
  char *separator;

  snprintf (setting->path, sizeof setting->path, "%s%s%s",
            parent == NULL ? "" : parent->name, parent == NULL ? "" : ".",
            field->name);
  memcpy (setting->option, setting->path, sizeof setting->option);
  while ((separator = strpbrk (setting->option, "._")) != NULL)
    *separator = '-';
  setting->field = field;
  setting->base_offset = parent == NULL ? 0 : parent->offset;
}

size_t
csp_list_settings (csp_setting_t settings[CSP_SETTINGS_MAX])
{
  const csp_field_t *row;
  const csp_field_t *member;
  size_t count = 0;

  for (row = csp_settings_table; row->name != NULL; row++)
    if (row->type != CSP_FIELD_OBJECT)
      add_setting (&settings[count++], NULL, row);
    else
      for (member = row->fields; member->name != NULL; member++)
        add_setting (&settings[count++], row, member);
  return count;
}

static void
fill_options (const csp_setting_t *settings, size_t count,
              struct option options[OPTION_COUNT])
{
  size_t fixed_count = sizeof fixed_options / sizeof fixed_options[0];
  size_t i;

  memset (options, 0, OPTION_COUNT * sizeof options[0]);
  memcpy (options, fixed_options, sizeof fixed_options);
  for (i = 0; i < count; i++)
    {
      options[fixed_count + i].name = settings[i].option;
      options[fixed_count + i].has_arg = required_argument;
      options[fixed_count + i].val = (int)i;
    }
}

static void
set_from_option (const csp_setting_t *setting, const char *text,
                 csp_settings_t *settings, csp_faults_t *faults)
{
  csp_json_position_t position = { .where = command_line, .faults = faults };

  snprintf (position.path, sizeof position.path, "--%s", setting->option);
  csp_set_field_text (setting->field, text,
                      (char *)settings + setting->base_offset, &position);
}

/* Returns the argument of --settings; NULL where there is none.  The file is
   read before all other options, so that options override it regardless of
   their order.  */
static const char *
find_settings_file (int argc, char **argv, const struct option *options)
{
  const char *file = NULL;
  int option;

  optind = 0;
  opterr = 0;
  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    if (option == OPTION_SETTINGS)
      file = optarg;
  return file;
}

static void
add_option_fault (int argc, char **argv, csp_faults_t *faults)
{
  const char *text = optind > 0 && optind <= argc ? argv[optind - 1] : "";

  csp_add_fault (faults, command_line, text, 0,
                 "unknown option, or its value is missing or not allowed "
                 "here; see --help");
}

static void
read_options (int argc, char **argv, const struct option *options,
              const csp_setting_t *rows, csp_command_t *command,
              csp_settings_t *settings, csp_faults_t *faults)
{
  int option;

  optind = 0;
  opterr = 0;
  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    switch (option)
      {
      case OPTION_SETTINGS:
        break;
      case OPTION_CHECK:
        *command = CSP_COMMAND_CHECK_SETTINGS;
        break;
      case OPTION_HELP:
        *command = CSP_COMMAND_HELP;
        return;
      case OPTION_VERSION:
        *command = CSP_COMMAND_VERSION;
        return;
      case '?':
        add_option_fault (argc, argv, faults);
        break;
      default:
        set_from_option (&rows[option], optarg, settings, faults);
      }
  for (; optind < argc; optind++)
    csp_add_fault (faults, command_line, argv[optind], 0,
                   "is not an option; see --help");
}

bool
csp_read_command_line (int argc, char **argv, csp_command_t *command,
                       csp_settings_t *settings, csp_faults_t *faults)
{
  csp_setting_t rows[CSP_SETTINGS_MAX];
  struct option options[OPTION_COUNT];
  size_t fault_count_before = csp_count_faults (faults);
  size_t count = csp_list_settings (rows);
  const char *file;

  *command = CSP_COMMAND_RUN;
  csp_set_default_settings (settings);
  fill_options (rows, count, options);
  file = find_settings_file (argc, argv, options);
  read_options (argc, argv, options, rows, command, settings, faults);
  if (*command == CSP_COMMAND_HELP || *command == CSP_COMMAND_VERSION)
    return csp_count_faults (faults) == fault_count_before;
  if (file != NULL)
    {
      csp_set_default_settings (settings);
      csp_load_settings_file (file, settings, faults);
      read_options (argc, argv, options, rows, command, settings, NULL);
    }
  csp_check_settings (file == NULL ? command_line : file, settings, faults);
  return csp_count_faults (faults) == fault_count_before;
}

static void
print_option (FILE *stream, const char *option, const char *help,
              const char *allowed, const char *default_text)
{
  fprintf (stream, "  --%-*s %s\n", HELP_COLUMN, option, help);
  if (allowed[0] != '\0')
    fprintf (stream, "    %-*s %s%s%s\n", HELP_COLUMN, "", allowed,
             default_text == NULL ? "" : "; default ",
             default_text == NULL ? "" : default_text);
}

void
csp_print_settings_help (FILE *stream)
{
  csp_setting_t rows[CSP_SETTINGS_MAX];
  char allowed[CSP_FIELD_ALLOWED_BYTES];
  char option[CSP_SETTING_PATH_BYTES + 8];
  size_t count = csp_list_settings (rows);
  size_t i;

  print_option (stream, "settings FILE", "read settings from FILE", "", NULL);
  print_option (stream, "check-settings",
                "check settings and options, then exit: 0 good, 2 faults", "",
                NULL);
  print_option (stream, "help", "print this and exit", "", NULL);
  print_option (stream, "version", "print the version and exit", "", NULL);
  for (i = 0; i < count; i++)
    {
      csp_describe_field (rows[i].field, allowed);
      snprintf (option, sizeof option, "%s VALUE", rows[i].option);
      print_option (stream, option, rows[i].field->help, allowed,
                    rows[i].field->default_setting);
    }
}

const char *
csp_version (void)
{
  return "0.1.0";
}
