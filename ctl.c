/* capercrankctl: the operators' command line tool.  This file parses the
 * command line; the commands are in ctl_config.c, ctl_show.c and ctl_follow.c.
 */
#include <stdio.h>
#include <string.h>

#include <argtable2.h>

#include "capercrank.h"
#include "ctl.h"
#include "settings.h"

#define ARGUMENTS_MAX 64 /* follow takes one address per process */

typedef struct
{
  const char *name;
  const char *usage; /* names of its arguments */
  const char *help;
  guint min_args, max_args;
  int (*run) (const CtlOptions *o);
} Command;

static const Command commands[] = {
  { "submit", "FILE", "make a document the one in force, see --if-version", 1,
    1, ctl_submit },
  { "check", "FILE", "validate a document, change nothing", 1, 1, ctl_check },
  { "diff", "FILE", "compare with the document in force; 1 if they differ", 1,
    1, ctl_diff },
  { "show", "config|owners|servers|slices|leases|members",
    "print a table, or the document", 1, 1, ctl_show },
  { "drain", "POOL/SERVER", "move its keys away, let its requests finish", 1, 1,
    ctl_drain },
  { "undrain", "POOL/SERVER", "let it own keys again", 1, 1, ctl_undrain },
  { "follow", "ADMIN...", "print counters and class targets every second", 1,
    ARGUMENTS_MAX, ctl_follow },
};

static const Command *
find_command (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    if (g_str_equal (commands[i].name, name))
      return &commands[i];
  return NULL;
}

static void
print_help (void **args)
{
  printf ("Usage: capercrankctl");
  arg_print_syntax (stdout, args, "\n");
  printf ("\nConfigures and inspects a running capercrank.\n\nCommands:\n");
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    printf ("  %-8s %-44s %s\n", commands[i].name, commands[i].usage,
            commands[i].help);
  printf ("  %-8s %-44s %s\n", "version", "", "print the version");
  printf ("\nFlags:\n");
  arg_print_glossary (stdout, args, "  %-24s %s\n");
  printf (
      "\nCAPERCRANK_CONTROL is used if --control is not given; "
      "CAPERCRANK_OPERATOR_TOKEN is sent as the bearer token.\nExit status: "
      "0 success, 1 refused, unreachable or different, 2 usage error.\n");
}

static int
usage_error (const char *format, const char *detail)
{
  fprintf (stderr, "capercrankctl: ");
  fprintf (stderr, format, detail);
  fprintf (stderr, "; --help lists the commands\n");
  return CTL_USAGE;
}

static const char *
option_value (const struct arg_str *arg, const char *env, const char *fallback)
{
  if (arg != NULL && arg->count > 0)
    return arg->sval[0];
  return g_getenv (env) != NULL ? g_getenv (env) : fallback;
}

static int
run_command (const CtlOptions *o, const char *name)
{
  const Command *c = find_command (name);
  guint n = g_strv_length (o->args);

  if (g_str_equal (name, "version"))
    {
      printf ("capercrankctl %s\n", CC_VERSION);
      return CTL_OK;
    }
  if (c == NULL)
    return usage_error ("unknown command \"%s\"", name);
  if (n < c->min_args || n > c->max_args)
    return usage_error ("wrong number of arguments, expected: %s", c->usage);
  if (o->control != NULL && !cc_address_parse (o->control, NULL, NULL))
    return usage_error ("--control \"%s\" is not IP:PORT", o->control);
  return c->run (o);
}

/* Copies the values of ARG into a vector that ends with NULL. */
static char **
copy_values (const struct arg_str *arg)
{
  char **values = g_new0 (char *, (gsize) arg->count + 1);

  for (int i = 0; i < arg->count; i++)
    values[i] = g_strdup (arg->sval[i]);
  return values;
}

int
main (int argc, char **argv)
{
  struct arg_str *control = arg_str0 (NULL, "control", "IP:PORT",
                                      "admin address of any capercrank-assign");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON, for scripts");
  struct arg_int *if_version =
      arg_int0 (NULL, "if-version", "N", "submit: replace this version only");
  struct arg_int *rounds = arg_int0 (
      NULL, "rounds", "N", "follow: exit after N samples, one a second");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help and exit");
  struct arg_lit *version =
      arg_lit0 (NULL, "version", "print the version and exit");
  struct arg_str *command = arg_str0 (NULL, NULL, "COMMAND", NULL);
  struct arg_str *arguments =
      arg_strn (NULL, NULL, "WORD", 0, ARGUMENTS_MAX, NULL);
  struct arg_end *end = arg_end (20);
  void *args[] = { control, json,    if_version, rounds, help,
                   version, command, arguments,  end };
  int errors = arg_parse (argc, argv, args);
  g_autofree char *version_text = NULL;
  g_auto (GStrv) list = copy_values (arguments);
  CtlOptions o = { .json = json->count > 0, .args = list };

  if (help->count > 0)
    {
      print_help (args);
      return CTL_OK;
    }
  if (version->count > 0)
    return run_command (&o, "version");
  if (errors > 0)
    {
      arg_print_errors (stderr, end, "capercrankctl");
      return CTL_USAGE;
    }
  if (command->count == 0)
    return usage_error ("a command is required%s", "");
  if (if_version->count > 0)
    o.if_version = version_text = g_strdup_printf ("%d", if_version->ival[0]);
  o.rounds = rounds->count > 0 ? (guint) MAX (rounds->ival[0], 1) : 0;
  o.control = option_value (control, "CAPERCRANK_CONTROL", NULL);
  o.token = option_value (NULL, "CAPERCRANK_OPERATOR_TOKEN", "");
  return run_command (&o, command->sval[0]);
}
