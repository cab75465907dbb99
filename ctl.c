/* capercrankctl: the operators' tool.  This file reads the command line; the
 * commands stand in ctl_config.c, ctl_show.c and ctl_follow.c. */
#include <stdio.h>
#include <string.h>

#include <argtable2.h>

#include "capercrank.h"
#include "ctl.h"
#include "settings.h"

#define WORDS_MAX 64 /* follow takes an address for each process */

typedef struct
{
  const char *name;
  const char *words; /* for the usage */
  const char *help;
  guint least, most; /* how many words */
  int (*run) (const CtlOptions *o);
} Command;

static const Command commands[] = {
  { "submit", "FILE", "put a document in force, see --if-version", 1, 1,
    ctl_submit },
  { "check", "FILE", "check a document and change nothing", 1, 1, ctl_check },
  { "diff", "FILE", "compare with the document in force; 1 if they differ", 1,
    1, ctl_diff },
  { "show", "config|owners|servers|slices|leases|members",
    "print a table, or the document", 1, 1, ctl_show },
  { "drain", "POOL/SERVER", "move its keys away, let its work end", 1, 1,
    ctl_drain },
  { "undrain", "POOL/SERVER", "let it own keys again", 1, 1, ctl_undrain },
  { "follow", "ADMIN...", "live counters and class targets of these ports", 1,
    WORDS_MAX, ctl_follow },
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
  printf ("\nThe operators' tool.\n\nCommands:\n");
  for (guint i = 0; i < G_N_ELEMENTS (commands); i++)
    printf ("  %-8s %-44s %s\n", commands[i].name, commands[i].words,
            commands[i].help);
  printf ("  %-8s %-44s %s\n", "version", "", "print the version");
  printf ("\nFlags:\n");
  arg_print_glossary (stdout, args, "  %-24s %s\n");
  printf (
      "\nCAPERCRANK_CONTROL stands for --control; CAPERCRANK_OPERATOR_TOKEN "
      "is sent with orders.\nExit: 0 done, 1 refused, not reached or "
      "different, 2 wrong use.\n");
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
setting (const struct arg_str *arg, const char *env, const char *fallback)
{
  if (arg != NULL && arg->count > 0)
    return arg->sval[0];
  return g_getenv (env) != NULL ? g_getenv (env) : fallback;
}

static int
run_command (const CtlOptions *o, const char *name)
{
  const Command *c = find_command (name);
  guint n = g_strv_length (o->words);

  if (g_str_equal (name, "version"))
    {
      printf ("capercrankctl %s\n", CC_VERSION);
      return CTL_DONE;
    }
  if (c == NULL)
    return usage_error ("there is no command \"%s\"", name);
  if (n < c->least || n > c->most)
    return usage_error ("it is written: %s", c->words);
  if (o->control != NULL && !cc_address_parse (o->control, NULL, NULL))
    return usage_error ("--control \"%s\" is not IP:PORT", o->control);
  return c->run (o);
}

/* The words after the command's name, as a vector that ends with NULL. */
static char **
words_of (const struct arg_str *arg)
{
  char **words = g_new0 (char *, (gsize) arg->count + 1);

  for (int i = 0; i < arg->count; i++)
    words[i] = g_strdup (arg->sval[i]);
  return words;
}

int
main (int argc, char **argv)
{
  struct arg_str *control = arg_str0 (NULL, "control", "IP:PORT",
                                      "admin address of any capercrank-assign");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON, for scripts");
  struct arg_int *base =
      arg_int0 (NULL, "if-version", "N", "submit: only in place of version N");
  struct arg_int *rounds =
      arg_int0 (NULL, "rounds", "N", "follow: stop after N seconds");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this and leave");
  struct arg_lit *version =
      arg_lit0 (NULL, "version", "print the version and leave");
  struct arg_str *command = arg_str0 (NULL, NULL, "COMMAND", NULL);
  struct arg_str *words = arg_strn (NULL, NULL, "WORD", 0, WORDS_MAX, NULL);
  struct arg_end *end = arg_end (20);
  void *args[] = { control, json,    base,  rounds, help,
                   version, command, words, end };
  int faults = arg_parse (argc, argv, args);
  g_autofree char *base_text = NULL;
  g_auto (GStrv) list = words_of (words);
  CtlOptions o = { .json = json->count > 0, .words = list };

  if (help->count > 0)
    {
      print_help (args);
      return CTL_DONE;
    }
  if (version->count > 0)
    return run_command (&o, "version");
  if (faults > 0)
    {
      arg_print_errors (stderr, end, "capercrankctl");
      return CTL_USAGE;
    }
  if (command->count == 0)
    return usage_error ("a command is wanted%s", "");
  if (base->count > 0)
    o.base = base_text = g_strdup_printf ("%d", base->ival[0]);
  o.rounds = rounds->count > 0 ? (guint) MAX (rounds->ival[0], 1) : 0;
  o.control = setting (control, "CAPERCRANK_CONTROL", NULL);
  o.token = setting (NULL, "CAPERCRANK_OPERATOR_TOKEN", "");
  return run_command (&o, command->sval[0]);
}
