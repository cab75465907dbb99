/* The parts of capercrankctl. */
#ifndef CC_CTL_H
#define CC_CTL_H

#include <glib.h>
#include <json-glib/json-glib.h>

/* Exit codes. */
#define CTL_DONE 0
#define CTL_FAILED 1 /* refused, not reached, or a difference was found */
#define CTL_USAGE 2

/* What the command line says. */
typedef struct
{
  const char *control; /* admin address of a capercrank-assign, or NULL */
  const char *token;   /* the operators' secret; "" if none */
  gboolean json;       /* for scripts, in place of tables */
  const char *base;    /* --if-version, or NULL */
  guint rounds;        /* of follow; 0: until interrupted */
  char **words;        /* of the command, after its name */
} CtlOptions;

/* An answer over HTTP. */
typedef struct
{
  guint status; /* 0: there was none, and the reason has been printed */
  char *body;
  char *etag; /* NULL if there was none */
} CtlAnswer;

/* A table: printed with aligned columns, or as JSON. */
typedef struct
{
  const char *const *columns; /* ends with NULL */
  GPtrArray *rows;            /* of char *[], as long as the columns */
} CtlTable;

void ctl_answer_clear (CtlAnswer *a);
CtlAnswer ctl_call (const CtlOptions *o, const char *address,
                    const char *method, const char *path, const char *body,
                    const char *if_match);
int ctl_report (const CtlOptions *o, const CtlAnswer *a);

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
