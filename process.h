/* Resource usage of this process. */
#ifndef CC_PROCESS_H
#define CC_PROCESS_H

#include <glib.h>

gint64 cc_process_resident_bytes (void);
guint cc_process_descriptors_max (void);
void cc_process_map_large_blocks (void);

#endif
