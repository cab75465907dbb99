/* Classic packet filters on sockets need no privileges, and a listening socket
 * applies its filter to SYN packets.  So connections of a partitioned peer hang
 * in the same way as behind a broken link: nothing is acknowledged. */
#include "partition.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/resource.h>
#include <sys/socket.h>

#define IPV4_SOURCE_OFFSET 12 /* in the IPv4 header, bytes */
#define ACCEPT_PACKET 0xffffffffu
#define DROP_PACKET 0
/* Called for each socket that partition_begin and the others affect. */
typedef void (*SocketAction) (const Partition *p, int fd, gboolean listens);

/* Returns the IPv4 address IP in host byte order. */
guint32
partition_peer (const char *ip)
{
  struct in_addr a = { 0 };

  if (inet_pton (AF_INET, ip, &a) != 1)
    g_error ("%s is no IPv4 address", ip);
  return ntohl (a.s_addr);
}

/* Makes the socket FD accept packets from all peers again. */
static void
clear_socket (int fd)
{
  int unused = 0;

  /* Fails if there is no filter. */
  (void) setsockopt (fd, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
}

/* Makes the socket FD drop packets from the peers of P, and from no others. */
void
partition_socket (const Partition *p, int fd)
{
  struct sock_filter code[2 * PARTITION_PEERS_MAX + 2];
  struct sock_fprog program = { .filter = code };
  guint n = 0;

  if (p->count == 0)
    {
      clear_socket (fd);
      return;
    }
  code[n++] = (struct sock_filter) BPF_STMT (
      BPF_LD | BPF_W | BPF_ABS, (guint32) SKF_NET_OFF + IPV4_SOURCE_OFFSET);
  for (guint i = 0; i < p->count; i++)
    {
      code[n++] = (struct sock_filter) BPF_JUMP (BPF_JMP | BPF_JEQ | BPF_K,
                                                 p->peers[i], 0, 1);
      code[n++] = (struct sock_filter) BPF_STMT (BPF_RET | BPF_K, DROP_PACKET);
    }
  code[n++] = (struct sock_filter) BPF_STMT (BPF_RET | BPF_K, ACCEPT_PACKET);
  program.len = (unsigned short) n;
  if (setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) !=
      0)
    g_error ("can't attach a socket filter");
}

/* Whether FD is a TCP socket with a local address that begins with PREFIX. */
static gboolean
is_local (int fd, const char *prefix)
{
  struct sockaddr_in a = { 0 };
  socklen_t size = sizeof a;
  char text[INET_ADDRSTRLEN] = "";
  int type = 0;
  socklen_t type_size = sizeof type;

  if (getsockopt (fd, SOL_SOCKET, SO_TYPE, &type, &type_size) != 0 ||
      type != SOCK_STREAM ||
      getsockname (fd, (struct sockaddr *) &a, &size) != 0 ||
      a.sin_family != AF_INET)
    return FALSE;
  inet_ntop (AF_INET, &a.sin_addr, text, sizeof text);
  return g_str_has_prefix (text, prefix);
}

/* Calls ACTION for each socket of this process whose local address begins with
 * PREFIX. */
static void
for_each_socket (const Partition *p, const char *prefix, SocketAction action)
{
  struct rlimit limit = { 0 };

  getrlimit (RLIMIT_NOFILE, &limit);
  for (int fd = 0; fd < (int) MIN (limit.rlim_cur, 65536); fd++)
    {
      int listens = 0;
      socklen_t size = sizeof listens;

      if (!is_local (fd, prefix))
        continue;
      (void) getsockopt (fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size);
      action (p, fd, listens != 0);
    }
}

static void
attach (const Partition *p, int fd, gboolean listens)
{
  (void) listens;
  partition_socket (p, fd);
}

/* Partitions the peers of P from the servers of this process whose addresses
 * begin with LOCAL_PREFIX: their connections hang, and so do new ones. */
void
partition_begin (const Partition *p, const char *local_prefix)
{
  for_each_socket (p, local_prefix, attach);
}

/* Resets the connection FD if it comes from a peer of P. */
static void
reset (const Partition *p, int fd, gboolean listens)
{
  const struct sockaddr unspecified = { .sa_family = AF_UNSPEC };
  struct sockaddr_in a = { 0 };
  socklen_t size = sizeof a;

  if (listens || getpeername (fd, (struct sockaddr *) &a, &size) != 0)
    return;
  for (guint i = 0; i < p->count; i++)
    if (ntohl (a.sin_addr.s_addr) == p->peers[i])
      (void) connect (fd, &unspecified, sizeof unspecified);
}

/* Partitions the peers of P as partition_begin, but resets their open
 * connections; new ones hang. */
void
partition_reset (const Partition *p, const char *local_prefix)
{
  for_each_socket (p, local_prefix, reset);
  partition_begin (p, local_prefix);
}

static void
detach (const Partition *p, int fd, gboolean listens)
{
  (void) p, (void) listens;
  clear_socket (fd);
}

/* Ends all partitions of the servers whose addresses begin with
 * LOCAL_PREFIX. */
void
partition_end (const char *local_prefix)
{
  for_each_socket (NULL, local_prefix, detach);
}
