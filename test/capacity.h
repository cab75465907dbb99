/* The two halves of the capacity measurement. */
#ifndef TEST_CAPACITY_H
#define TEST_CAPACITY_H

void capacity_parts (void);              /* within this process */
void capacity_links (void);              /* sockets between processes */
void capacity_fleet (const char *bin);   /* small running deployments */
void capacity_request (const char *bin); /* a request's processor time */

#endif
