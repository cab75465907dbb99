/* Shared by the commands of capercrankctl: options, HTTP calls and output. */
#ifndef CC_CTL_H
#define CC_CTL_H

#include <glib.h>
#include <json-glib/json-glib.h>

/* Exit codes. */
#define CTL_OK 0
#define CTL_FAILED 1 /* refused, unreachable, or diff found a difference */
#define CTL_USAGE 2

/* Options of the command line, and settings from the environment. */
typedef struct
{
  const char *control;    /* admin address of a capercrank-assign, or NULL */
  const char *token;      /* the operators' secret; "" if none */
  gboolean json;          /* print JSON in place of tables */
  const char *if_version; /* --if-version, or NULL */
  guint rounds;           /* samples that follow prints; 0: until interrupted */
  char **args;            /* arguments after the command name; ends with NULL */
} CtlOptions;

/* An HTTP response. */
typedef struct
{
  guint status; /* 0: no response; the reason has been printed */
  char *body;
  char *etag; /* NULL if the header is missing */
} CtlResponse;

/* A table: printed with aligned columns, or as JSON. */
typedef struct
{
  const char *const *columns; /* ends with NULL */
  GPtrArray *rows;            /* of char *[], one string for each column */
} CtlTable;

void ctl_response_clear (CtlResponse *a);
CtlResponse ctl_call (const CtlOptions *o, const char *address,
                      const char *method, const char *path, const char *body,
                      const char *if_match);
int ctl_report (const CtlOptions *o, const CtlResponse *a);

void ctl_table_init (CtlTable *t, const char *const *columns);
void ctl_table_add (CtlTable *t, ...);
void ctl_table_print (const CtlTable *t, gboolean json);
void ctl_table_clear (CtlTable *t);

int ctl_submit (const CtlOptions *o);
int ctl_check (const CtlOptions *o);
int ctl_diff (const CtlOptions *o);
int ctl_drain (const CtlOptions *o);
int ctl_undrain (const CtlOptions *o);
int ctl_show (const CtlOptions *o);
int ctl_follow (const CtlOptions *o);

#endif
