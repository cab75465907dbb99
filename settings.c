/* Reads a table of settings from the command line with argtable2 and from the
 * environment, validates every value, and reports all errors with their place,
 * not only the first. */
#include "settings.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include <argtable2.h>
#include <gio/gio.h>

#include "capercrank.h"
#include "log.h"

/* Entries of the argument table that each program has: three flags, two log
 * settings and the end marker. */
#define FIXED_ARGUMENTS 6

static CcSetting log_settings[] = {
  { CC_SETTING_STRING, "log-level", "info", "debug, info, warning or error", 0,
    0, NULL },
  { CC_SETTING_STRING, "log-format", "plain", "plain or json", 0, 0, NULL }
};

static char *
env_name (const char *flag)
{
  g_autofree char *upper = g_ascii_strup (flag, -1);

  return g_strconcat ("CAPERCRANK_", g_strdelimit (upper, "-", '_'), NULL);
}

/* Splits "IP:PORT", of which both must be numeric.  IP and PORT may be NULL and
 * are set on success only; free *IP with g_free.  Returns FALSE if TEXT is
 * invalid. */
gboolean
cc_address_parse (const char *text, char **ip, guint16 *port)
{
  const char *colon = strrchr (text, ':');
  g_autofree char *host = NULL;
  guint64 number;

  if (colon == NULL)
    return FALSE;
  host = g_strndup (text, (gsize) (colon - text));
  if (!g_hostname_is_ip_address (host) ||
      !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &number, NULL))
    return FALSE;
  if (ip != NULL)
    *ip = g_steal_pointer (&host);
  if (port != NULL)
    *port = (guint16) number;
  return TRUE;
}

static void
check_addresses (const CcSetting *s, const char *place, CcFindings *f)
{
  g_auto (GStrv) parts = g_strsplit (s->value, ",", -1);

  for (guint i = 0; parts[i] != NULL; i++)
    if (!cc_address_parse (parts[i], NULL, NULL))
      cc_findings_add (f, place, "\"%s\" is not IP:PORT", parts[i]);
}

/* Reads the decimal number at the start of TEXT into *NUMBER.  Returns its end,
 * or NULL if there is none.  Other notations that strtod reads, such as "nan"
 * and "0x1p3", are refused: no setting means them. */
static const char *
parse_real (const char *text, double *number)
{
  gsize length = strspn (text, "0123456789.eE+-");
  g_autofree char *digits = g_strndup (text, length);
  char *end;

  *number = g_ascii_strtod (digits, &end);
  if (length == 0 || *end != '\0' || !isfinite (*number))
    return NULL;
  return text + length;
}

/* Reads TEXT, a time whose unit is UNIT ms unless it has one, into *MS. Returns
 * FALSE if it is invalid. */
static gboolean
parse_time (const char *text, double unit, double *ms)
{
  const char *end = parse_real (text, ms);

  if (end == NULL)
    return FALSE;
  if (g_str_equal (end, "ms"))
    return TRUE;
  *ms *= g_str_equal (end, "s") ? 1000 : unit;
  return *end == '\0' || g_str_equal (end, "s");
}

/* The unit in ms of a time of KIND that names none. */
static double
default_unit (CcSettingKind kind)
{
  return kind == CC_SETTING_SECONDS ? 1000 : 1;
}

static gboolean
is_within (const CcSetting *s, double number)
{
  return number >= (double) s->least && number <= (double) s->most;
}

static void
check_real (const CcSetting *s, const char *place, CcFindings *f)
{
  double number;
  const char *end = parse_real (s->value, &number);

  if (end == NULL || *end != '\0' || !is_within (s, number))
    cc_findings_add (f, place,
                     "\"%s\" is not a number from %" G_GINT64_FORMAT
                     " to %" G_GINT64_FORMAT,
                     s->value, s->least, s->most);
}

static void
check_time (const CcSetting *s, const char *place, CcFindings *f)
{
  double ms;

  if (!parse_time (s->value, default_unit (s->kind), &ms) || !is_within (s, ms))
    cc_findings_add (f, place,
                     "\"%s\" is not a time from %" G_GINT64_FORMAT
                     " to %" G_GINT64_FORMAT " ms, such as 2500ms or 2.5s",
                     s->value, s->least, s->most);
}

static void
check_value (const CcSetting *s, CcFindings *f)
{
  g_autofree char *place = g_strconcat ("--", s->flag, NULL);
  gint64 number;

  switch (s->kind)
    {
    case CC_SETTING_STRING:
      break;
    case CC_SETTING_ADDRESS:
      if (!cc_address_parse (s->value, NULL, NULL))
        cc_findings_add (f, place, "\"%s\" is not IP:PORT", s->value);
      break;
    case CC_SETTING_ADDRESSES:
      check_addresses (s, place, f);
      break;
    case CC_SETTING_NUMBER:
      if (!g_ascii_string_to_signed (s->value, 10, s->least, s->most, &number,
                                     NULL))
        cc_findings_add (f, place,
                         "\"%s\" is not a whole number from %" G_GINT64_FORMAT
                         " to %" G_GINT64_FORMAT,
                         s->value, s->least, s->most);
      break;
    case CC_SETTING_REAL:
      check_real (s, place, f);
      break;
    case CC_SETTING_MILLISECONDS:
    case CC_SETTING_SECONDS:
      check_time (s, place, f);
      break;
    case CC_SETTING_BOOLEAN:
      if (!g_str_equal (s->value, "true") && !g_str_equal (s->value, "false"))
        cc_findings_add (f, place, "\"%s\" is neither true nor false",
                         s->value);
      break;
    }
}

/* Whether VALUE, from the environment, stands for a setting that is not given:
 * it is empty, or a unit without a number, as a deploy template renders a field
 * that has no value. */
static gboolean
is_not_given (const CcSetting *s, const char *value)
{
  if (s->kind == CC_SETTING_MILLISECONDS || s->kind == CC_SETTING_SECONDS)
    return value[0] == '\0' || g_str_equal (value, "s") ||
           g_str_equal (value, "ms");
  return value[0] == '\0';
}

/* Sets the value of S from its flag, its environment variable or its fallback,
 * in this order of precedence, and validates it.  An empty variable does not
 * replace a fallback. */
static void
resolve_value (CcSetting *s, const struct arg_str *arg, CcFindings *f)
{
  g_autofree char *env = env_name (s->flag);
  const char *given = g_getenv (env);
  const char *value = s->fallback;

  if (given != NULL && (value == NULL || !is_not_given (s, given)))
    value = given;
  if (arg->count > 0)
    value = arg->sval[0];
  if (value == NULL)
    {
      g_autofree char *place = g_strconcat ("--", s->flag, NULL);

      cc_findings_add (f, place, "is required (or %s)", env);
      return;
    }
  s->value = g_strdup (value);
  check_value (s, f);
}

static void
setup_log (CcSetting *table, const char *program, CcFindings *f)
{
  CcLogLevel level = CC_LOG_INFO;
  const char *format = log_settings[1].value;
  const char *instance = cc_setting (table, "instance");

  if (!cc_log_parse_level (log_settings[0].value, &level))
    cc_findings_add (f, "--log-level", "\"%s\" is not a log level",
                     log_settings[0].value);
  if (!g_str_equal (format, "plain") && !g_str_equal (format, "json"))
    cc_findings_add (f, "--log-format", "\"%s\" is neither plain nor json",
                     format);
  cc_log_setup (program, instance, level, g_str_equal (format, "json"));
}

static void
print_help (const char *program, const char *summary, void **args)
{
  printf ("Usage: %s", program);
  arg_print_syntax (stdout, args, "\n");
  printf ("%s\n\n", summary);
  arg_print_glossary (stdout, args, "  %-28s %s\n");
  printf (
      "\nEach flag can also be set by an environment variable: CAPERCRANK_ and "
      "its name in\ncapitals, with _ for -.  The flag takes precedence.\n");
}

static CcStart
report (const CcFindings *f, const char *program)
{
  g_autofree char *text = cc_findings_text (f);

  if (cc_findings_count (f) == 0)
    return CC_START_RUN;
  fprintf (stderr, "%s: %u errors in the settings\n%s", program,
           cc_findings_count (f), text);
  return CC_START_FAIL;
}

/* Reads ARGV and the environment into TABLE, which ends with a NULL flag and
 * has at most 60 settings, and sets up the log.  Prints the help, the version
 * or all findings if they apply. */
CcStart
cc_settings_read (CcSetting *table, const char *program, const char *summary,
                  int argc, char **argv)
{
  CcSetting *all[64];
  void *args[64 + FIXED_ARGUMENTS];
  struct arg_str *strings[64];
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help and exit");
  struct arg_lit *version =
      arg_lit0 (NULL, "version", "print the version and exit");
  struct arg_lit *check =
      arg_lit0 (NULL, "check", "validate the settings and exit");
  struct arg_end *end = arg_end (20);
  CcFindings f;
  CcStart start;
  guint n = 0;
  int errors;

  for (; table[n].flag != NULL && n < 60; n++)
    all[n] = &table[n];
  all[n++] = &log_settings[0];
  all[n++] = &log_settings[1];
  for (guint i = 0; i < n; i++)
    args[i] = strings[i] = arg_str0 (NULL, all[i]->flag, NULL, all[i]->help);
  args[n] = help;
  args[n + 1] = version;
  args[n + 2] = check;
  args[n + 3] = end;
  errors = arg_parse (argc, argv, args);
  if (help->count > 0)
    print_help (program, summary, args);
  if (version->count > 0)
    printf ("%s %s\n", program, CC_VERSION);
  if (help->count > 0 || version->count > 0)
    return CC_START_STOP;
  cc_findings_init (&f);
  if (errors > 0)
    {
      arg_print_errors (stderr, end, program);
      cc_findings_add (&f, "command line",
                       "invalid, see the errors above; --help lists the flags");
    }
  for (guint i = 0; i < n; i++)
    resolve_value (all[i], strings[i], &f);
  setup_log (table, program, &f);
  start = report (&f, program);
  cc_findings_clear (&f);
  if (start == CC_START_RUN && check->count > 0)
    {
      printf ("%s: settings are valid\n", program);
      start = CC_START_STOP;
    }
  arg_freetable (args, n + 4);
  return start;
}

/* Returns the value of FLAG in TABLE, or NULL if there is no such setting. */
const char *
cc_setting (const CcSetting *table, const char *flag)
{
  for (guint i = 0; table[i].flag != NULL; i++)
    if (g_str_equal (table[i].flag, flag))
      return table[i].value;
  return NULL;
}

/* Returns the value of the number FLAG, validated by cc_settings_read. */
gint64
cc_setting_number (const CcSetting *table, const char *flag)
{
  return g_ascii_strtoll (cc_setting (table, flag), NULL, 10);
}

/* Returns the value of FLAG, a CC_SETTING_REAL that was validated by
 * cc_settings_read. */
double
cc_setting_real (const CcSetting *table, const char *flag)
{
  return g_ascii_strtod (cc_setting (table, flag), NULL);
}

/* Returns the time FLAG, validated by cc_settings_read, in us. */
gint64
cc_setting_time (const CcSetting *table, const char *flag)
{
  double ms = 0;

  for (guint i = 0; table[i].flag != NULL; i++)
    if (g_str_equal (table[i].flag, flag))
      parse_time (table[i].value, default_unit (table[i].kind), &ms);
  return (gint64) (ms * CC_MS);
}

/* Returns the value of FLAG, a CC_SETTING_BOOLEAN that was validated by
 * cc_settings_read. */
gboolean
cc_setting_boolean (const CcSetting *table, const char *flag)
{
  return g_str_equal (cc_setting (table, flag), "true");
}

/* Returns the addresses of FLAG as a vector, which may be empty.  Free it with
 * g_strfreev. */
char **
cc_setting_list (const CcSetting *table, const char *flag)
{
  return g_strsplit (cc_setting (table, flag), ",", -1);
}

/* Returns the address at which other processes reach this one: --advertise, or
 * --listen if that is empty. */
const char *
cc_setting_advertised (const CcSetting *table)
{
  const char *advertised = cc_setting (table, "advertise");

  return advertised[0] != '\0' ? advertised : cc_setting (table, "listen");
}
