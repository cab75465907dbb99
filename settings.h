/* Settings of a program, each a flag or a CAPERCRANK_ environment variable. */
#ifndef CC_SETTINGS_H
#define CC_SETTINGS_H

#include <glib.h>

#include "findings.h"

typedef enum
{
  CC_SETTING_STRING,    /* any text */
  CC_SETTING_ADDRESS,   /* IP:PORT, both numeric */
  CC_SETTING_ADDRESSES, /* comma-separated IP:PORT, may be empty */
  CC_SETTING_NUMBER,    /* a whole number from least to most */
  CC_SETTING_REAL, /* a number from least to most, with a fraction or not */
  /* A time from least to most ms, with a fraction or not and with the unit ms
   * or s; without a unit in ms, or in s. */
  CC_SETTING_MILLISECONDS,
  CC_SETTING_SECONDS,
  CC_SETTING_BOOLEAN /* true or false */
} CcSettingKind;

typedef struct
{
  CcSettingKind kind;
  const char *flag;     /* long flag without dashes; NULL ends a table */
  const char *fallback; /* default value; NULL: the setting is required */
  const char *help;     /* one line for --help */
  gint64 least, most;   /* bounds of a number or a time */
  char *value;          /* set by cc_settings_read */
} CcSetting;

typedef enum
{
  CC_START_RUN,  /* settings are valid: run */
  CC_START_STOP, /* --help, --version or --check: exit with 0 */
  CC_START_FAIL  /* findings were printed: exit with 2 */
} CcStart;

CcStart cc_settings_read (CcSetting *table, const char *program,
                          const char *summary, int argc, char **argv);
const char *cc_setting (const CcSetting *table, const char *flag);
gint64 cc_setting_number (const CcSetting *table, const char *flag);
double cc_setting_real (const CcSetting *table, const char *flag);
gint64 cc_setting_time (const CcSetting *table, const char *flag);
gboolean cc_setting_boolean (const CcSetting *table, const char *flag);
char **cc_setting_list (const CcSetting *table, const char *flag);
const char *cc_setting_advertised (const CcSetting *table);
gboolean cc_address_parse (const char *text, char **ip, guint16 *port);

#endif
