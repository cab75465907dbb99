/* Learns how large the answers to the requests of each route are. */
#ifndef CC_ANSWER_SIZES_H
#define CC_ANSWER_SIZES_H

#include <glib.h>

/* Routes that are remembered. */
#define CC_ANSWER_SIZES_MAX 4096

typedef struct CcAnswerSizes CcAnswerSizes;

CcAnswerSizes *cc_answer_sizes_new (void);
void cc_answer_sizes_free (CcAnswerSizes *s);
void cc_answer_sizes_add (CcAnswerSizes *s, const char *route, gsize size);
gsize cc_answer_sizes_expected (const CcAnswerSizes *s, const char *route);

#endif
