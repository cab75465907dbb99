/* Parser and validator of the operators' document.  Each error is a finding
 * with its place, and a document with findings is rejected as a whole.  Unknown
 * members are errors too: otherwise a mistyped "tiemout_ms" would silently
 * leave the default in force. */
#include "document.h"

#include "json_tree.h"

#include <string.h>

#include <json-glib/json-glib.h>

#define POOLS_MAX 64
#define CLASSES_MAX 256
#define SLICES_DEFAULT 256 /* 14 for each of 18 servers: 4% rounding error */
#define SLICES_MAX 65536

typedef struct
{
  JsonObject *object;
  const char *place;
  CcFindings *f;
} Reader;

static char *
place_of (const Reader *r, const char *member)
{
  return r->place[0] != '\0' ? g_strconcat (r->place, ".", member, NULL)
                             : g_strdup (member);
}

static JsonNode *
get_member (const Reader *r, const char *name, GType type, gboolean required)
{
  JsonNode *node = json_object_get_member (r->object, name);
  g_autofree char *place = place_of (r, name);

  if (node == NULL)
    {
      if (required)
        cc_findings_add (r->f, place, "is required");
      return NULL;
    }
  if (JSON_NODE_HOLDS_VALUE (node) &&
      (json_node_get_value_type (node) == type ||
       (type == G_TYPE_DOUBLE &&
        json_node_get_value_type (node) == G_TYPE_INT64)))
    return node;
  cc_findings_add (r->f, place, "has the wrong type, a %s is wanted",
                   type == G_TYPE_STRING    ? "string"
                   : type == G_TYPE_BOOLEAN ? "true or false"
                                            : "number");
  return NULL;
}

static char *
read_name (const Reader *r, const char *name)
{
  JsonNode *node = get_member (r, name, G_TYPE_STRING, TRUE);
  const char *s = node != NULL ? json_node_get_string (node) : "";
  g_autofree char *place = place_of (r, name);

  if (node != NULL && (s[0] == '\0' || strlen (s) > CC_NAME_MAX))
    cc_findings_add (r->f, place, "must have 1 to %d bytes", CC_NAME_MAX);
  if (strpbrk (s, "/\"\\\n\r") != NULL)
    cc_findings_add (r->f, place, "must not hold / \" \\ or a line break");
  return g_strdup (s);
}

static gboolean
read_flag (const Reader *r, const char *name, gboolean required,
           gboolean fallback)
{
  JsonNode *node = get_member (r, name, G_TYPE_BOOLEAN, required);

  return node != NULL ? json_node_get_boolean (node) : fallback;
}

static double
read_number (const Reader *r, const char *name, gboolean required,
             double fallback, double min, double max)
{
  JsonNode *node = get_member (r, name, G_TYPE_DOUBLE, required);
  g_autofree char *place = place_of (r, name);
  double n;

  if (node == NULL)
    return fallback;
  n = json_node_get_double (node);
  if (n >= min && n <= max)
    return n;
  cc_findings_add (r->f, place, "is %g, must be from %g to %g", n, min, max);
  return fallback;
}

static guint
read_choice (const Reader *r, const char *name, const char *const *choices)
{
  JsonNode *node = get_member (r, name, G_TYPE_STRING, FALSE);
  g_autofree char *place = place_of (r, name);

  if (node == NULL)
    return 0;
  for (guint i = 0; choices[i] != NULL; i++)
    if (g_str_equal (json_node_get_string (node), choices[i]))
      return i;
  cc_findings_add (r->f, place, "must be \"%s\" or \"%s\"", choices[0],
                   choices[1]);
  return 0;
}

static void
reject_unknown_members (const Reader *r, const char *const *known)
{
  GList *names = json_object_get_members (r->object);

  for (GList *l = names; l != NULL; l = l->next)
    if (!g_strv_contains (known, l->data))
      {
        g_autofree char *place = place_of (r, l->data);

        cc_findings_add (r->f, place, "is not a known member");
      }
  g_list_free (names);
}

static void
pool_free (gpointer data)
{
  CcPool *p = data;

  g_free (p->name);
  g_free (p);
}

static void
class_free (gpointer data)
{
  CcClass *c = data;

  g_free (c->name);
  g_free (c->pool);
  g_free (c);
}

static void
read_pool (const Reader *r, CcDocument *d)
{
  static const char *const known[] = { "name",          "prefer", "cut_off",
                                       "checks_grants", "slices", NULL };
  static const char *const prefer[] = { "availability", "stability", NULL };
  static const char *const cut_off[] = { "release", "keep", NULL };
  CcPool *p = g_new0 (CcPool, 1);

  reject_unknown_members (r, known);
  p->name = read_name (r, "name");
  p->prefer = (CcPreference) read_choice (r, "prefer", prefer);
  p->cut_off = (CcCutOff) read_choice (r, "cut_off", cut_off);
  p->checks_grants = read_flag (r, "checks_grants", TRUE, FALSE);
  p->slices =
      (guint) read_number (r, "slices", FALSE, SLICES_DEFAULT, 1, SLICES_MAX);
  if (cc_document_pool (d, p->name) != NULL)
    cc_findings_add (r->f, r->place, "pool \"%s\" stands twice", p->name);
  g_ptr_array_add (d->pools, p);
}

static void
read_target (const Reader *r, CcClass *c)
{
  static const char *const known[] = { "within_ms", "share", "reliability",
                                       NULL };
  JsonNode *node = json_object_get_member (r->object, "target");
  g_autofree char *place = place_of (r, "target");
  Reader inner = { NULL, place, r->f };

  if (node == NULL || !JSON_NODE_HOLDS_OBJECT (node))
    {
      cc_findings_add (r->f, place, "an object is required");
      return;
    }
  inner.object = json_node_get_object (node);
  reject_unknown_members (&inner, known);
  c->within = (gint64) (read_number (&inner, "within_ms", TRUE, 1, 1,
                                     CC_TIMEOUT_MAX_MS) *
                        CC_MS);
  c->share = read_number (&inner, "share", FALSE, 0.99, 0.5, 0.9999);
  c->reliability = read_number (&inner, "reliability", FALSE, 0.999, 0.5, 1);
}

static void
read_class (const Reader *r, CcDocument *d)
{
  static const char *const known[] = { "name",   "pool",       "once_only",
                                       "target", "timeout_ms", NULL };
  CcClass *c = g_new0 (CcClass, 1);
  g_autofree char *place = place_of (r, "pool");

  reject_unknown_members (r, known);
  c->name = read_name (r, "name");
  c->pool = read_name (r, "pool");
  c->once_only = read_flag (r, "once_only", TRUE, TRUE);
  read_target (r, c);
  c->timeout = (gint64) (read_number (r, "timeout_ms", TRUE, 1000, 1,
                                      CC_TIMEOUT_MAX_MS) *
                         CC_MS);
  if (c->timeout < c->within)
    cc_findings_add (r->f, r->place,
                     "timeout_ms is shorter than target.within_ms");
  if (c->pool[0] != '\0' && cc_document_pool (d, c->pool) == NULL)
    cc_findings_add (r->f, place, "there is no pool \"%s\"", c->pool);
  if (cc_document_class (d, c->name) != NULL)
    cc_findings_add (r->f, r->place, "class \"%s\" stands twice", c->name);
  g_ptr_array_add (d->classes, c);
}

typedef void (*ReadItem) (const Reader *r, CcDocument *d);

static void
read_list (const Reader *r, const char *name, guint max, ReadItem item,
           CcDocument *d)
{
  JsonNode *node = json_object_get_member (r->object, name);
  JsonArray *list;

  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    {
      cc_findings_add (r->f, name, "a list is required");
      return;
    }
  list = json_node_get_array (node);
  if (json_array_get_length (list) == 0 || json_array_get_length (list) > max)
    cc_findings_add (r->f, name, "must hold 1 to %u items", max);
  for (guint i = 0; i < MIN (json_array_get_length (list), max); i++)
    {
      JsonNode *element = json_array_get_element (list, i);
      g_autofree char *place = g_strdup_printf ("%s[%u]", name, i);
      Reader inner = { NULL, place, r->f };

      if (!JSON_NODE_HOLDS_OBJECT (element))
        {
          cc_findings_add (r->f, place, "must be an object");
          continue;
        }
      inner.object = json_node_get_object (element);
      item (&inner, d);
    }
}

/* Parses a document of LENGTH bytes (-1: up to NUL).  Adds every error to F and
 * returns NULL if there is any.  Free the result with cc_document_free. */
CcDocument *
cc_document_parse (const char *json, gssize length, CcFindings *f)
{
  static const char *const known[] = { "description", "pools", "classes",
                                       NULL };
  const char *why = NULL;
  g_autoptr (JsonNode) root = cc_json_parse (json, length, &why);
  CcDocument *d;
  Reader r = { NULL, "", f };
  guint before = cc_findings_count (f);

  if (root == NULL)
    {
      cc_findings_add (f, "document", "can't be read: %s", why);
      return NULL;
    }
  if (!JSON_NODE_HOLDS_OBJECT (root))
    {
      cc_findings_add (f, "document", "must be an object");
      return NULL;
    }
  d = g_new0 (CcDocument, 1);
  d->pools = g_ptr_array_new_with_free_func (pool_free);
  d->classes = g_ptr_array_new_with_free_func (class_free);
  r.object = json_node_get_object (root);
  reject_unknown_members (&r, known);
  read_list (&r, "pools", POOLS_MAX, read_pool, d);
  read_list (&r, "classes", CLASSES_MAX, read_class, d);
  if (cc_findings_count (f) == before)
    return d;
  cc_document_free (d);
  return NULL;
}

/* Adds a finding to F for each change from BEFORE to AFTER that is not allowed:
 * of the number of a pool's slices, since every key's slice depends on it, and
 * of "cut_off" from "keep" to "release". */
void
cc_document_check_update (const CcDocument *before, const CcDocument *after,
                          CcFindings *f)
{
  for (guint i = 0; i < after->pools->len; i++)
    {
      const CcPool *p = after->pools->pdata[i];
      const CcPool *old = cc_document_pool (before, p->name);
      g_autofree char *place = g_strdup_printf ("pools[%u].slices", i);

      if (old != NULL && old->slices != p->slices)
        cc_findings_add (f, place, "is %u for the life of the pool, not %u",
                         old->slices, p->slices);
      /* A zone that is cut off still uses the old document: it would
       * continue to serve while its servers are taken over. */
      if (old != NULL && old->cut_off == CC_CUT_OFF_KEEP &&
          p->cut_off == CC_CUT_OFF_RELEASE)
        cc_findings_add (f, p->name, "keeps \"cut_off\": \"keep\" for life");
    }
}

/* Frees D, which may be NULL. */
void
cc_document_free (CcDocument *d)
{
  if (d == NULL)
    return;
  g_ptr_array_unref (d->pools);
  g_ptr_array_unref (d->classes);
  g_free (d);
}

/* Returns the pool NAME, or NULL if there is none. */
const CcPool *
cc_document_pool (const CcDocument *d, const char *name)
{
  for (guint i = 0; i < d->pools->len; i++)
    {
      const CcPool *p = d->pools->pdata[i];

      if (g_str_equal (p->name, name))
        return p;
    }
  return NULL;
}

/* Returns the class NAME, or NULL if there is none. */
const CcClass *
cc_document_class (const CcDocument *d, const char *name)
{
  for (guint i = 0; i < d->classes->len; i++)
    {
      const CcClass *c = d->classes->pdata[i];

      if (g_str_equal (c->name, name))
        return c;
    }
  return NULL;
}

/* Returns the longest timeout of the classes of POOL, us, which bounds the time
 * that an attempt can take; 0 if the pool has no class. */
gint64
cc_document_longest_timeout (const CcDocument *d, const char *pool)
{
  gint64 longest = 0;

  for (guint i = 0; i < d->classes->len; i++)
    {
      const CcClass *c = d->classes->pdata[i];

      if (g_str_equal (c->pool, pool))
        longest = MAX (longest, c->timeout);
    }
  return longest;
}
