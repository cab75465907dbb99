/* JSON texts that other programs have written: parsed with a bound on their
 * depth, and read member by member without trust in types and ranges. */
#ifndef CC_JSON_TREE_H
#define CC_JSON_TREE_H

#include <json-glib/json-glib.h>

/* Objects and arrays that may be open at once in a text. */
#define CC_JSON_DEPTH_MAX 64
/* Largest whole number that a JSON number holds exactly (RFC 8259, 6). */
#define CC_JSON_WHOLE_MAX ((gint64) 1 << 53)

JsonNode *cc_json_parse (const char *text, gssize length, const char **why);
JsonObject *cc_json_object (JsonNode *node);
JsonArray *cc_json_array (JsonNode *node);
JsonObject *cc_json_object_member (JsonObject *o, const char *name);
JsonArray *cc_json_array_member (JsonObject *o, const char *name);
const char *cc_json_text_member (JsonObject *o, const char *name,
                                 const char *fallback);
gboolean cc_json_number_member (JsonObject *o, const char *name, double least,
                                double most, double *number);
const char *cc_json_text_element (JsonArray *a, guint i, const char *fallback);
gint64 cc_json_whole_element (JsonArray *a, guint i, gint64 least, gint64 most,
                              gint64 fallback);
gint64 cc_json_whole_member (JsonObject *o, const char *name, gint64 least,
                             gint64 most, gint64 fallback);
gboolean cc_json_flag_member (JsonObject *o, const char *name);

char *cc_json_quote (const char *text);

#endif
