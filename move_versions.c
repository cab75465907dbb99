/* Many moves are in progress at a time, and each changes the version of the
 * map.  If a move completed only once its old dispatcher had applied the
 * newest version, the dispatcher's report would always be one version behind,
 * and units would have no owner for several times as long as a move takes.
 *
 * A dispatcher that has applied a version has applied all versions before it,
 * and a moving unit has no owner until its move completes.  So it is enough
 * that the version in which the move started is applied, which is the first
 * row that shows the move.  An assigner that did not see the move start uses
 * the first version that it sees.
 */
#include "move_versions.h"

typedef struct
{
  guint64 epoch;   /* of the unit; 0 for a handover */
  gint32 server;   /* its coming owner; 0 for a handover */
  guint64 term;    /* of that server, or of the server handed over */
  guint64 version; /* of the first map that showed the move */
} MoveStart;

struct CcMoveVersions
{
  GArray *units;       /* of MoveStart, by unit */
  GHashTable *servers; /* server name to MoveStart */
};

/* Returns a table without any moves. */
CcMoveVersions *
cc_move_versions_new (void)
{
  CcMoveVersions *t = g_new0 (CcMoveVersions, 1);

  t->units = g_array_new (FALSE, TRUE, sizeof (MoveStart));
  t->servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return t;
}

/* Frees T. */
void
cc_move_versions_free (CcMoveVersions *t)
{
  g_array_unref (t->units);
  g_hash_table_unref (t->servers);
  g_free (t);
}

/* A different coming owner, or a new term of it, counts as a new move, since
 * attempt records are passed on to one dispatcher in one term. */
static void
set_start (MoveStart *s, const MoveStart *current)
{
  if (s->epoch != current->epoch || s->server != current->server ||
      s->term != current->term || s->version == 0)
    *s = *current;
}

static void
update_unit (CcMoveVersions *t, const CcSliceMap *m, guint unit)
{
  const CcMapSlice *u = cc_slicemap_at (m, unit);
  const CcMapServer *to = cc_slicemap_server (m, u->server);
  MoveStart *s = &g_array_index (t->units, MoveStart, unit);

  if (u->from >= 0)
    set_start (s, &(MoveStart){ u->epoch, u->server, to != NULL ? to->term : 0,
                                m->version });
  else
    *s = (MoveStart){ 0 };
}

static void
update_server (CcMoveVersions *t, const CcMapServer *server, guint64 version)
{
  MoveStart *s = g_hash_table_lookup (t->servers, server->name);

  if (server->from[0] == '\0')
    {
      g_hash_table_remove (t->servers, server->name);
      return;
    }
  if (s == NULL)
    {
      s = g_new0 (MoveStart, 1);
      g_hash_table_insert (t->servers, g_strdup (server->name), s);
    }
  set_start (s, &(MoveStart){ 0, 0, server->term, version });
}

/* Records the moves and handovers of M, unmodified since it was read. */
void
cc_move_versions_update (CcMoveVersions *t, const CcSliceMap *m)
{
  if (t->units->len < cc_slicemap_units (m))
    g_array_set_size (t->units, cc_slicemap_units (m));
  for (guint i = 0; i < cc_slicemap_units (m); i++)
    update_unit (t, m, i);
  for (guint i = 0; i < m->servers->len; i++)
    update_server (t, m->servers->pdata[i], m->version);
}

/* The version in which UNIT's present move started.  M must have been passed
 * to cc_move_versions_update. */
guint64
cc_move_versions_unit (const CcMoveVersions *t, const CcSliceMap *m, guint unit)
{
  const MoveStart *s =
      unit < t->units->len ? &g_array_index (t->units, MoveStart, unit) : NULL;

  return s != NULL && s->version != 0 ? s->version : m->version;
}

/* The version in which SERVER's present handover started.  M must have been
 * passed to cc_move_versions_update. */
guint64
cc_move_versions_server (const CcMoveVersions *t, const CcSliceMap *m,
                         const char *server)
{
  const MoveStart *s = g_hash_table_lookup (t->servers, server);

  return s != NULL ? s->version : m->version;
}
