/* Runs a deployment as real processes on loopback: starts, controls and stops
 * them, and injects faults. */
#ifndef TEST_HARNESS_H
#define TEST_HARNESS_H

#include <glib.h>

typedef struct
{
  char *name; /* "entry-3", "dispatch-3", "assign-3", "catalogue-7" */
  char *zone;
  char *pool; /* of a server; NULL for other processes */
  char *ip;
  GPtrArray *argv; /* of strings, without a NULL at the end */
  int pid;         /* 0: not running */
} Process;

typedef struct
{
  char *file;         /* the deployment, JSON */
  char *document;     /* its configuration document, JSON */
  char *folder;       /* logs and records of this run */
  char *bin;          /* folder of the programs */
  guint net;          /* 127.NET.x.y */
  gboolean relayed;   /* all links go through the relay */
  GHashTable *states; /* name to its state in the platform's list */
  guint instances;
  GPtrArray *processes; /* of Process, platform first */
} Cluster;

Cluster *cluster_start (const char *bin, const char *deployment,
                        gboolean relayed);
guint cluster_set_relay_rule (Cluster *c, const char *verb, const char *a,
                              const char *b);
void cluster_set_platform_fault (Cluster *c, const char *mode, guint ms);
void cluster_set_state (Cluster *c, const char *server, const char *state);
void cluster_set_server_behaviour (Cluster *c, const char *server,
                                   const char *query);
int cluster_load (Cluster *c, guint seconds, guint percent, guint repeats,
                  guint seed);
gboolean cluster_wait_ready (Cluster *c, guint seconds);
void cluster_stop (Cluster *c);
Process *cluster_find (Cluster *c, const char *name);
void cluster_signal (Cluster *c, const char *name, int signal);
gboolean cluster_wait_exit (Cluster *c, const char *name, guint seconds);
void cluster_restart (Cluster *c, const char *name);
char *cluster_entries (const Cluster *c);
char *cluster_admin (const Cluster *c, const char *program, guint instance);
guint cluster_http (const char *method, const char *url, const char *body,
                    const char *if_match, char **answer);
int cluster_spawn (Cluster *c, char **argv, const char *log);
int cluster_wait (int pid);

#endif
