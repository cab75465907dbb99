/* The platform's balancer: spreads requests over the entries that are ready. */
#ifndef TEST_BALANCER_H
#define TEST_BALANCER_H

#include <libsoup/soup.h>

typedef struct Balancer Balancer;

Balancer *balancer_new (char **entries, guint health_port,
                        SoupSession *session);
const char *balancer_pick (Balancer *b, GRand *rand, const char *but);

#endif
