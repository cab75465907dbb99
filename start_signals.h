/* Signals that arrive while a program starts. */
#ifndef CC_START_SIGNALS_H
#define CC_START_SIGNALS_H

void cc_start_signals_hold (void);
void cc_start_signals_release (void);

#endif
