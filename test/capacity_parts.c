/* Costs of the parts that grow with slices, servers, instances, hot keys and
 * the size of the configuration, measured within one process. */
#include <string.h>

#include <json-glib/json-glib.h>

#include "assignment.h"
#include "capacity.h"
#include "document.h"
#include "slopes.h"
#include "view.h"
#include "wire.h"

typedef struct
{
  CcSliceMap *map;
  CcRoster *roster;
  GHashTable *reports;
  CcPool pool;
  char *row; /* the map as JSON */
} World;

static void
add_servers (World *w, guint servers, guint dispatchers)
{
  for (guint i = 0; i < servers; i++)
    {
      g_autofree char *name = g_strdup_printf ("catalogue-%u", i);
      CcServerReport *r = g_new0 (CcServerReport, 1);

      cc_roster_add_server (w->roster, name, "10.128.200.100:9000", "zone-7",
                            FALSE);
      r->applied = 1;
      r->dispatcher = g_strdup_printf ("i%u.18d3f0a1b2c3d4e5.1",
                                       i % MIN (servers, dispatchers));
      g_hash_table_insert (w->reports, g_strdup (name), r);
    }
}

/* A pool whose map has settled: the next step finds nothing to do, which is
 * what a step is nearly always. */
static World *
world_new (guint slices, guint servers, guint dispatchers)
{
  World *w = g_new0 (World, 1);

  w->map = cc_slicemap_new ("catalogue", slices);
  w->roster = cc_roster_new ();
  w->reports = g_hash_table_new (g_str_hash, g_str_equal);
  w->pool.name = (char *) "catalogue";
  w->pool.slices = slices;
  w->pool.checks_grants = TRUE;
  for (guint i = 0; i < dispatchers; i++)
    {
      g_autofree char *id = g_strdup_printf ("i%u.18d3f0a1b2c3d4e5.1", i);

      cc_roster_add_dispatcher (w->roster, id, "zone-7", FALSE);
    }
  add_servers (w, servers, dispatchers);
  for (guint i = 0; i < 8; i++)
    {
      w->map->version = 1;
      cc_assignment_step (w->map, &w->pool, w->roster, w->reports);
    }
  w->row = cc_slicemap_print (w->map);
  return w;
}

static void
world_free (World *w)
{
  cc_slicemap_free (w->map);
  cc_roster_free (w->roster);
  g_hash_table_unref (w->reports);
  g_free (w->row);
  g_free (w);
}

static void
do_parse (gpointer data)
{
  cc_slicemap_free (cc_slicemap_parse ("catalogue", 1, ((World *) data)->row));
}

static void
do_print (gpointer data)
{
  g_free (cc_slicemap_print (((World *) data)->map));
}

static void
do_step (gpointer data)
{
  World *w = data;

  cc_assignment_step (w->map, &w->pool, w->roster, w->reports);
}

static double
map_memory (const World *w)
{
  double before = heap_used ();
  CcSliceMap *m = cc_slicemap_parse ("catalogue", 1, w->row);
  double used = heap_used () - before;

  cc_slicemap_free (m);
  return used;
}

typedef struct
{
  Points bytes, memory, parse, print, step;
} MapCosts;

static void
measure_map (MapCosts *c, double x, guint slices, guint servers)
{
  World *w = world_new (slices, servers, 11);

  points_add (&c->bytes, x, (double) strlen (w->row));
  points_add (&c->memory, x, map_memory (w));
  points_add (&c->parse, x, time_of (do_parse, w));
  points_add (&c->print, x, time_of (do_print, w));
  points_add (&c->step, x, time_of (do_step, w));
  world_free (w);
}

static void
print_map (const MapCosts *c, const char *per)
{
  points_print (&c->bytes, "map row, bytes", "B", per);
  points_print (&c->memory, "map in memory", "B", per);
  points_print (&c->parse, "map read", "us", per);
  points_print (&c->print, "map written", "us", per);
  points_print (&c->step, "assignment step, nothing to do", "us", per);
}

static void
vary_slices (void)
{
  static const guint slices[] = { 256, 1024, 4096, 16384, 65536 };
  MapCosts c = { 0 };

  for (guint i = 0; i < G_N_ELEMENTS (slices); i++)
    measure_map (&c, slices[i], slices[i], 18);
  print_map (&c, "slice (18 servers)");
}

static void
vary_servers (void)
{
  static const guint servers[] = { 16, 32, 64, 128, 256, 512 };
  MapCosts c = { 0 };
  Points squared = { 0 };

  for (guint i = 0; i < G_N_ELEMENTS (servers); i++)
    {
      measure_map (&c, servers[i], 4096, servers[i]);
      points_add (&squared, (double) servers[i] * servers[i], c.step.y[i]);
    }
  print_map (&c, "server (4096 slices)");
  points_print (&squared, "the same step, by the square", "us", "server^2");
}

static void
vary_dispatchers (void)
{
  static const guint counts[] = { 11, 100, 300, 900, 2700 };
  Points step = { 0 };

  for (guint i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      World *w = world_new (256, 18, counts[i]);

      points_add (&step, counts[i], time_of (do_step, w));
      world_free (w);
    }
  points_print (&step, "assignment step, nothing to do", "us",
                "dispatcher (18 servers)");
}

#define MEMBER_ROW                                                             \
  "{\"instance\":\"i%u\",\"zone\":\"zone-7\",\"address\":\"10.128.200.100:"    \
  "7002\",\"incarnation\":1789421337331201000,\"draining\":false}"

static void
add_member_rows (CcView *v, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      g_autofree char *key =
          g_strdup_printf ("member/i%u.18d3f0a1b2c3d4e5.1", i);
      g_autofree char *value = g_strdup_printf (MEMBER_ROW, i);

      cc_view_put (v, key, i + 1, value);
    }
  cc_view_advance (v, 0, n);
}

static void
do_since (gpointer data)
{
  CcView *v = data;

  g_variant_unref (g_variant_ref_sink (cc_view_since (v, v->upto)));
}

/* What a follower does for each member row whenever its view has news. */
static void
do_read_members (gpointer data)
{
  g_autoptr (GPtrArray) rows = cc_view_list (data, "member/");

  for (guint i = 0; i < rows->len; i++)
    {
      const CcRow *row = rows->pdata[i];
      g_autoptr (JsonNode) root = json_from_string (row->value, NULL);

      g_assert (JSON_NODE_HOLDS_OBJECT (root));
    }
}

static double
rows_bytes (const CcView *v)
{
  CcMessage m = { .kind = CC_MSG_ROWS };
  g_autoptr (GBytes) bytes = NULL;

  m.u.rows.rows = cc_view_since (v, 0);
  bytes = cc_wire_encode (&m);
  return (double) g_bytes_get_size (bytes);
}

static void
vary_rows (void)
{
  static const guint counts[] = { 100, 300, 900, 2700, 5400 };
  Points memory = { 0 }, since = { 0 }, bytes = { 0 }, read = { 0 };

  for (guint i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      CcView v;
      double before = heap_used ();

      cc_view_init (&v);
      add_member_rows (&v, counts[i]);
      points_add (&memory, counts[i], heap_used () - before);
      points_add (&since, counts[i], time_of (do_since, &v));
      points_add (&bytes, counts[i], rows_bytes (&v));
      points_add (&read, counts[i], time_of (do_read_members, &v));
      cc_view_clear (&v);
    }
  points_print (&memory, "member rows in a view", "B", "row");
  points_print (&since, "a SYNC answered with no news", "us", "row");
  points_print (&read, "member rows read after a change", "us", "row");
  points_print (&bytes, "ROWS with all members", "B", "row");
}

static void
round_trip (const CcMessage *m)
{
  g_autoptr (GBytes) bytes = cc_wire_encode (m);
  CcMessage got;

  g_assert (cc_wire_decode (bytes, &got) == CC_OK);
  cc_message_clear (&got);
}

static void
do_request (gpointer data)
{
  GBytes *body = data;
  CcMessage m = { .kind = CC_MSG_REQUEST, .from = 7, .id = 9 };
  g_autoptr (GBytes) key = g_bytes_new_static ("castle-7", 8);

  m.u.request.class_name = "browse";
  m.u.request.tenant = "coach-company-17";
  m.u.request.method = "GET";
  m.u.request.path = "/slots/17?day=2";
  m.u.request.key = key;
  m.u.request.body = body;
  round_trip (&m);
}

static void
vary_body (void)
{
  static const guint sizes[] = { 0, 1024, 4096, 16384, 65536 };
  Points cost = { 0 };

  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      g_autoptr (GBytes) body =
          g_bytes_new_take (g_malloc0 (sizes[i] + 1), sizes[i]);

      points_add (&cost, sizes[i], time_of (do_request, body));
    }
  points_print (&cost, "REQUEST encoded and decoded", "us", "byte of body");
}

static void
fill_report (CcMessage *m, guint hot)
{
  GVariantBuilder b;

  g_variant_builder_init (&b, G_VARIANT_TYPE ("a(tud)"));
  for (guint i = 0; i < hot; i++)
    g_variant_builder_add (&b, "(tud)", (guint64) i << 32, i, 1.5);
  m->kind = CC_MSG_REPORT;
  m->u.report.instance = "i2699.18d3f0a1b2c3d4e5.1";
  m->u.report.pool = "catalogue";
  m->u.report.server = "catalogue-2699";
  m->u.report.hot = g_variant_builder_end (&b);
}

static void
do_report (gpointer data)
{
  CcMessage m = { 0 };

  fill_report (&m, GPOINTER_TO_UINT (data));
  round_trip (&m);
}

static void
vary_hot_keys (void)
{
  static const guint counts[] = { 0, 10, 50, 110, 500 };
  Points cost = { 0 }, size = { 0 };

  for (guint i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      CcMessage m = { 0 };
      g_autoptr (GBytes) bytes = NULL;

      fill_report (&m, counts[i]);
      bytes = cc_wire_encode (&m);
      points_add (&size, counts[i], (double) g_bytes_get_size (bytes));
      points_add (&cost, counts[i],
                  time_of (do_report, GUINT_TO_POINTER (counts[i])));
    }
  points_print (&size, "REPORT of one server, bytes", "B", "hot key");
  points_print (&cost, "REPORT encoded and decoded", "us", "hot key");
}

static char *
document_of (guint classes)
{
  GString *s = g_string_new (
      "{\"pools\":[{\"name\":\"p\",\"checks_grants\":true}],\"classes\":[");

  for (guint i = 0; i < classes; i++)
    g_string_append_printf (
        s,
        "%s{\"name\":\"class %u\",\"pool\":\"p\",\"once_only\":true,"
        "\"timeout_ms\":3000,\"target\":{\"within_ms\":150,\"share\":0.99}}",
        i > 0 ? "," : "", i);
  g_string_append (s, "]}");
  return g_string_free (s, FALSE);
}

static void
do_document (gpointer data)
{
  CcFindings f;

  cc_findings_init (&f);
  cc_document_free (cc_document_parse (data, -1, &f));
  g_assert (cc_findings_count (&f) == 0);
  cc_findings_clear (&f);
}

static void
vary_document (void)
{
  static const guint counts[] = { 4, 16, 64, 128, 256 };
  Points cost = { 0 }, size = { 0 };

  for (guint i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      g_autofree char *text = document_of (counts[i]);

      points_add (&size, counts[i], (double) strlen (text));
      points_add (&cost, counts[i], time_of (do_document, text));
    }
  points_print (&size, "configuration document, bytes", "B", "class");
  points_print (&cost, "configuration document read", "us", "class");
}

/* Everything that needs no other process. */
void
capacity_parts (void)
{
  vary_slices ();
  vary_servers ();
  vary_dispatchers ();
  vary_rows ();
  vary_body ();
  vary_hot_keys ();
  vary_document ();
}
