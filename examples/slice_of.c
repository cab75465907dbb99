/* slice_of DOCUMENT POOL KEY...: checks a configuration document and prints
 * the slice of POOL that each KEY falls into, by the same rules as the running
 * system.  An example of using libcapercrank. */
#include <stdio.h>
#include <string.h>

#include "document.h"
#include "slicemap.h"

static CcDocument *
read_document (const char *file)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  CcFindings findings;
  CcDocument *d;

  if (!g_file_get_contents (file, &text, NULL, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return NULL;
    }
  cc_findings_init (&findings);
  d = cc_document_parse (text, -1, &findings);
  if (d == NULL)
    {
      g_autofree char *lines = cc_findings_text (&findings);

      fprintf (stderr, "%s", lines);
    }
  cc_findings_clear (&findings);
  return d;
}

int
main (int argc, char **argv)
{
  CcDocument *d;
  const CcPool *pool;
  CcSliceMap *m;

  if (argc < 4)
    {
      fprintf (stderr, "usage: slice_of DOCUMENT POOL KEY...\n");
      return 2;
    }
  d = read_document (argv[1]);
  if (d == NULL)
    return 1;
  pool = cc_document_pool (d, argv[2]);
  if (pool == NULL)
    {
      fprintf (stderr, "there is no pool \"%s\"\n", argv[2]);
      return 1;
    }
  m = cc_slicemap_new (pool->name, pool->slices);
  for (int i = 3; i < argc; i++)
    printf ("%s\t%u\n", argv[i],
            cc_slicemap_slice (m, cc_key_hash (argv[i], strlen (argv[i]))));
  cc_slicemap_free (m);
  cc_document_free (d);
  return 0;
}
