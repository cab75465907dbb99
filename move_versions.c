/* Load pattern: many moves at a time, each of which changes the version of the
 * map.  If a move ended only when its old dispatcher had applied the newest
 * version, its report would always be of the one before, and units would have
 * no owner for several times as long as each of them needs.
 *
 * A dispatcher that has applied a version has applied all before it, and a unit
 * on its way is nobody's until its move ends.  So the version in which a move
 * began is enough, and it is the one in which a row first shows the move.  Who
 * did not see the move begin takes the first version that it sees. */
#include "move_versions.h"

typedef struct
{
  guint64 epoch;   /* of the unit; 0 for a handover */
  gint32 server;   /* that is to own it; 0 for a handover */
  guint64 term;    /* of that server, or of the one that is handed over */
  guint64 version; /* of the map that first showed it */
} Stamp;

struct CcMoveVersions
{
  GArray *units;       /* of Stamp, by unit */
  GHashTable *servers; /* name to Stamp */
};

/* Nothing is on its way. */
CcMoveVersions *
cc_move_versions_new (void)
{
  CcMoveVersions *t = g_new0 (CcMoveVersions, 1);

  t->units = g_array_new (FALSE, TRUE, sizeof (Stamp));
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

/* Another coming owner, or a new term of it, counts as a new move, since the
 * memory of outcomes is passed on to one dispatcher for one term. */
static void
note (Stamp *s, const Stamp *seen)
{
  if (s->epoch != seen->epoch || s->server != seen->server ||
      s->term != seen->term || s->version == 0)
    *s = *seen;
}

static void
note_unit (CcMoveVersions *t, const CcSliceMap *m, guint unit)
{
  const CcMapSlice *u = cc_slicemap_at (m, unit);
  const CcMapServer *to = cc_slicemap_server (m, u->server);
  Stamp *s = &g_array_index (t->units, Stamp, unit);

  if (u->from >= 0)
    note (s, &(Stamp){ u->epoch, u->server, to != NULL ? to->term : 0,
                       m->version });
  else
    *s = (Stamp){ 0 };
}

static void
note_server (CcMoveVersions *t, const CcMapServer *server, guint64 version)
{
  Stamp *s = g_hash_table_lookup (t->servers, server->name);

  if (server->from[0] == '\0')
    {
      g_hash_table_remove (t->servers, server->name);
      return;
    }
  if (s == NULL)
    {
      s = g_new0 (Stamp, 1);
      g_hash_table_insert (t->servers, g_strdup (server->name), s);
    }
  note (s, &(Stamp){ 0, 0, server->term, version });
}

/* Takes in M as it was read, unchanged. */
void
cc_move_versions_update (CcMoveVersions *t, const CcSliceMap *m)
{
  if (t->units->len < cc_slicemap_units (m))
    g_array_set_size (t->units, cc_slicemap_units (m));
  for (guint i = 0; i < cc_slicemap_units (m); i++)
    note_unit (t, m, i);
  for (guint i = 0; i < m->servers->len; i++)
    note_server (t, m->servers->pdata[i], m->version);
}

/* The version since which UNIT of M, which was noted, is on its way. */
guint64
cc_move_versions_unit (const CcMoveVersions *t, const CcSliceMap *m, guint unit)
{
  const Stamp *s =
      unit < t->units->len ? &g_array_index (t->units, Stamp, unit) : NULL;

  return s != NULL && s->version != 0 ? s->version : m->version;
}

/* The version since which SERVER of M, which was noted, is handed over. */
guint64
cc_move_versions_server (const CcMoveVersions *t, const CcSliceMap *m,
                         const char *server)
{
  const Stamp *s = g_hash_table_lookup (t->servers, server);

  return s != NULL ? s->version : m->version;
}
