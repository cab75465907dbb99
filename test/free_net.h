/* Reserves a part of 127/8 for the deployment of one test program. */
#ifndef TEST_FREE_NET_H
#define TEST_FREE_NET_H

#include <glib.h>

guint free_net (void);

#endif
