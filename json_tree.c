/* json-glib's parser and the release of its nodes call themselves once for each
 * level of a text, and have no limit: a text of 64 KiB that nests that deep
 * exhausts the stack.  It also reads a whole number of more than 64 bits as
 * another one.  So a text is checked before it is parsed.
 *
 * The check must not count less than the parser does, which accepts comments,
 * for example.  So a text with a byte that JSON doesn't allow outside strings
 * is refused. */
#include "json_tree.h"

#include <math.h>
#include <string.h>

#define ESCAPE_SIZE 6 /* of "\\uXXXX", bytes */
/* Halves of a surrogate pair, of which the bits of the mask are these. */
#define SURROGATE_MASK 0xfc00
#define SURROGATE_HIGH 0xd800
#define SURROGATE_LOW 0xdc00

/* Bytes that may stand outside strings, other than brackets and quotes: white
 * space, separators, signs, and the letters of "true", "false" and "null". */
static gboolean
may_stand_outside (char c)
{
  return g_ascii_isalpha (c) || (c != '\0' && strchr (" \t\r\n:,+-", c));
}

/* Returns the byte after the string that begins at AT, with its quote, or END
 * if it isn't closed. */
static const char *
skip_string (const char *at, const char *end)
{
  for (at++; at < end && *at != '"'; at++)
    if (*at == '\\')
      at++;
  return at < end ? at + 1 : end;
}

/* Skips the digits at *AT, before END.  Returns FALSE if they are a whole
 * number whose magnitude is above 2^63. */
static gboolean
skip_digits (const char **at, const char *end)
{
  static const char most[] = "9223372036854775808";
  const gsize length_max = sizeof most - 1;
  const char *digits = *at;
  gsize length;

  while (digits < end && *digits == '0')
    digits++;
  for (*at = digits; *at < end && g_ascii_isdigit (**at);)
    ++*at;
  length = (gsize) (*at - digits);
  return length < length_max ||
         (length == length_max && strncmp (digits, most, length) <= 0) ||
         (*at < end && strchr (".eE", **at) != NULL);
}

/* Returns why the text from AT to END must not be parsed, or NULL. */
static const char *
refusal_of (const char *at, const char *end)
{
  guint depth = 0;

  while (at < end)
    switch (*at)
      {
      case '.': /* the digits of a fraction may be any number */
        for (at++; at < end && g_ascii_isdigit (*at);)
          at++;
        break;
      case '"':
        at = skip_string (at, end);
        break;
      case '[':
      case '{':
        if (++depth > CC_JSON_DEPTH_MAX)
          return "nested too deep";
        at++;
        break;
      case ']':
      case '}':
        if (depth-- == 0)
          return "not JSON";
        at++;
        break;
      default:
        if (g_ascii_isdigit (*at))
          {
            if (!skip_digits (&at, end))
              return "number out of range";
            break;
          }
        if (!may_stand_outside (*at))
          return "not JSON";
        at++;
      }
  return NULL;
}

/* Returns the code unit of the escape at AT, before END, or 0 if there is no
 * "\\uXXXX". */
static guint
escaped_unit (const char *at, const char *end)
{
  guint unit = 0;

  if (end - at < ESCAPE_SIZE || at[0] != '\\' || at[1] != 'u')
    return 0;
  for (guint i = 2; i < ESCAPE_SIZE; i++)
    {
      if (!g_ascii_isxdigit (at[i]))
        return 0;
      unit = unit << 4 | (guint) g_ascii_xdigit_value (at[i]);
    }
  return unit;
}

/* Replaces each escaped half of a surrogate pair in the SIZE bytes of TEXT by
 * U+FFFD: the parser refuses a text that holds one, or makes it a string that
 * is no UTF-8. */
static void
replace_lone_surrogates (char *text, gsize size)
{
  static const char replacement[ESCAPE_SIZE] = {
    '\\', 'u', 'f', 'f', 'f', 'd'
  };
  const char *end = text + size;

  for (char *at = text; at < end;)
    {
      guint unit = escaped_unit (at, end);

      if (unit == 0)
        at += *at == '\\' ? 2 : 1;
      else if ((unit & SURROGATE_MASK) == SURROGATE_HIGH &&
               (escaped_unit (at + ESCAPE_SIZE, end) & SURROGATE_MASK) ==
                   SURROGATE_LOW)
        at += 2 * ESCAPE_SIZE;
      else
        {
          if ((unit & SURROGATE_MASK) == SURROGATE_HIGH ||
              (unit & SURROGATE_MASK) == SURROGATE_LOW)
            memcpy (at, replacement, ESCAPE_SIZE);
          at += ESCAPE_SIZE;
        }
    }
}

/* Parses TEXT of LENGTH bytes, -1: up to NUL.  Returns NULL if it is not JSON,
 * is empty or nests deeper than CC_JSON_DEPTH_MAX, with the reason, a static
 * string, in *WHY, which may be NULL.  Free the result with json_node_unref. */
JsonNode *
cc_json_parse (const char *text, gssize length, const char **why)
{
  g_autoptr (JsonParser) parser = NULL;
  gsize size = length < 0 ? strlen (text) : (gsize) length;
  const char *refusal = refusal_of (text, text + size);
  g_autofree char *copy = NULL;
  JsonNode *root = NULL;

  if (refusal == NULL)
    {
      parser = json_parser_new ();
      if (g_strstr_len (text, (gssize) size, "\\u") != NULL)
        {
          text = copy = g_strndup (text, size);
          replace_lone_surrogates (copy, size);
        }
      if (json_parser_load_from_data (parser, text, (gssize) size, NULL))
        root = json_parser_steal_root (parser);
      refusal = "not JSON";
    }
  if (root == NULL && why != NULL)
    *why = refusal;
  return root;
}

/* Returns the object that NODE holds; NULL if NODE is NULL or another type. */
JsonObject *
cc_json_object (JsonNode *node)
{
  return node != NULL && JSON_NODE_HOLDS_OBJECT (node)
             ? json_node_get_object (node)
             : NULL;
}

/* Returns the array that NODE holds; NULL if NODE is NULL or another type. */
JsonArray *
cc_json_array (JsonNode *node)
{
  return node != NULL && JSON_NODE_HOLDS_ARRAY (node)
             ? json_node_get_array (node)
             : NULL;
}

/* Returns the member NAME of O; NULL if O is NULL or has none. */
static JsonNode *
member (JsonObject *o, const char *name)
{
  return o != NULL ? json_object_get_member (o, name) : NULL;
}

/* Returns the object NAME of O; NULL if it is missing or of another type. */
JsonObject *
cc_json_object_member (JsonObject *o, const char *name)
{
  return cc_json_object (member (o, name));
}

/* Returns the array NAME of O; NULL if it is missing or of another type. */
JsonArray *
cc_json_array_member (JsonObject *o, const char *name)
{
  return cc_json_array (member (o, name));
}

/* Returns the element I of A; NULL if A ends before it. */
static JsonNode *
element (JsonArray *a, guint i)
{
  return i < json_array_get_length (a) ? json_array_get_element (a, i) : NULL;
}

/* Returns the text that NODE holds; NULL if NODE is NULL or another type. */
static const char *
text_of (JsonNode *node)
{
  return node != NULL && JSON_NODE_HOLDS_VALUE (node) &&
                 json_node_get_value_type (node) == G_TYPE_STRING
             ? json_node_get_string (node)
             : NULL;
}

/* Returns the text NAME of O, or FALLBACK if it is missing or of another type.
 */
const char *
cc_json_text_member (JsonObject *o, const char *name, const char *fallback)
{
  const char *text = text_of (member (o, name));

  return text != NULL ? text : fallback;
}

/* Returns the text at I in A, or FALLBACK if it is missing or of another type.
 */
const char *
cc_json_text_element (JsonArray *a, guint i, const char *fallback)
{
  const char *text = text_of (element (a, i));

  return text != NULL ? text : fallback;
}

/* Reads the number in NODE.  Returns FALSE if NODE is NULL or another type. */
static gboolean
number_of (JsonNode *node, double *number)
{
  GType type = node != NULL && JSON_NODE_HOLDS_VALUE (node)
                   ? json_node_get_value_type (node)
                   : G_TYPE_INVALID;

  if (type != G_TYPE_INT64 && type != G_TYPE_DOUBLE)
    return FALSE;
  *number = json_node_get_double (node);
  return TRUE;
}

/* Reads the number NAME of O into *NUMBER.  Returns FALSE if it is missing, of
 * another type, or not from LEAST to MOST. */
gboolean
cc_json_number_member (JsonObject *o, const char *name, double least,
                       double most, double *number)
{
  double read;

  if (!number_of (member (o, name), &read) || !isfinite (read) ||
      read < least || read > most)
    return FALSE;
  *number = read;
  return TRUE;
}

/* Returns the number in NODE, without its fraction; FALLBACK if NODE is NULL,
 * of another type, or not from LEAST to MOST. */
static gint64
whole_of (JsonNode *node, gint64 least, gint64 most, gint64 fallback)
{
  double real;
  gint64 number;

  if (!number_of (node, &real))
    return fallback;
  /* 2^63 is the first double that gint64 doesn't hold. */
  if (json_node_get_value_type (node) == G_TYPE_INT64)
    number = json_node_get_int (node);
  else if (isfinite (real) && real >= -0x1p63 && real < 0x1p63)
    number = (gint64) real;
  else
    return fallback;
  return number >= least && number <= most ? number : fallback;
}

/* Returns the number NAME of O, without its fraction; FALLBACK if it is
 * missing, of another type, or not from LEAST to MOST. */
gint64
cc_json_whole_member (JsonObject *o, const char *name, gint64 least,
                      gint64 most, gint64 fallback)
{
  return whole_of (member (o, name), least, most, fallback);
}

/* Returns the number at I in A, without its fraction; FALLBACK if it is
 * missing, of another type, or not from LEAST to MOST. */
gint64
cc_json_whole_element (JsonArray *a, guint i, gint64 least, gint64 most,
                       gint64 fallback)
{
  return whole_of (element (a, i), least, most, fallback);
}

/* Returns whether the member NAME of O is true. */
gboolean
cc_json_flag_member (JsonObject *o, const char *name)
{
  JsonNode *n = member (o, name);

  return n != NULL && JSON_NODE_HOLDS_VALUE (n) &&
         json_node_get_value_type (n) == G_TYPE_BOOLEAN &&
         json_node_get_boolean (n);
}

/* Returns TEXT, which may hold any bytes, as a JSON text in quotes; bytes that
 * are no UTF-8 are replaced.  The caller frees it. */
char *
cc_json_quote (const char *text)
{
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_VALUE);
  g_autofree char *valid = g_utf8_make_valid (text, -1);

  json_node_set_string (node, valid);
  return json_to_string (node, FALSE);
}
