/* Simulates the platform's load balancer, which distributes requests over the
 * ready entries. */
#ifndef TEST_BALANCER_H
#define TEST_BALANCER_H

#include <libsoup/soup.h>

typedef struct Balancer Balancer;

Balancer *balancer_new (char **entries, guint health_port,
                        SoupSession *session);
const char *balancer_pick (Balancer *b, GRand *rand, const char *except);

#endif
