/* Simulates a network partition between addresses on loopback: packets from
 * some peers are dropped at the sockets of this process. */
#ifndef TEST_PARTITION_H
#define TEST_PARTITION_H

#include <glib.h>

#define PARTITION_PEERS_MAX 8

/* The partitioned peers, by IPv4 address in host byte order. */
typedef struct
{
  guint32 peers[PARTITION_PEERS_MAX];
  guint count;
} Partition;

guint32 partition_peer (const char *ip);
void partition_socket (const Partition *p, int fd);
void partition_begin (const Partition *p, const char *local_prefix);
void partition_reset (const Partition *p, const char *local_prefix);
void partition_end (const char *local_prefix);

#endif
