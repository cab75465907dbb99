/* Holds the signals that programs handle from the start of the process until
 * their handlers are set, and ignores SIGPIPE.
 *
 * Failure: without a handler SIGHUP and SIGTERM end a process.  Symptom: a
 * process that is told to reload or to stop milliseconds after its start is
 * gone, without a line in its log.  Blocked signals stay pending instead, and
 * reach the handlers when they are released. */
#include "start_signals.h"

#include <signal.h>
#include <stddef.h>

static void
set_mask (int how)
{
  sigset_t signals;

  sigemptyset (&signals);
  sigaddset (&signals, SIGHUP);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGTERM);
  pthread_sigmask (how, &signals, NULL);
}

/* Holds SIGHUP, SIGINT and SIGTERM.  To be called before any thread is created,
 * since threads inherit what is held.  SIGPIPE, by which a closed log or
 * connection would end the process, is ignored: GLib does so only when the
 * first socket is created. */
void
cc_start_signals_hold (void)
{
  set_mask (SIG_BLOCK);
  signal (SIGPIPE, SIG_IGN);
}

/* Delivers what was held, and what arrives later, to the calling thread. */
void
cc_start_signals_release (void)
{
  set_mask (SIG_UNBLOCK);
}
