/* Starts a program, which is a shared object beside the executable, such as
 * capercrank-gateway.so.
 *
 * The executable needs the C library alone, so that signals are held before the
 * thirty libraries of the program are loaded, which takes milliseconds.  Linked
 * with them, it would end by a signal of that time. */
#include <dlfcn.h>
#include <stdio.h>

#include "start_signals.h"

/* The makefile defines it for each program, and sets the path on which it is
 * searched to the folder of the executable. */
#ifndef PROGRAM_OBJECT
#define PROGRAM_OBJECT "capercrank-gateway.so"
#endif

#define EXIT_NOT_LOADED 1

/* A constructor is used, not .preinit_array, which is 0.3 ms earlier but runs
 * before preloaded libraries are initialised. */
__attribute__ ((constructor)) static void
hold_start_signals (void)
{
  cc_start_signals_hold ();
}

int
main (int argc, char **argv)
{
  /* RTLD_NOW: a library that does not fit is found now, not at a first call. */
  void *program = dlopen (PROGRAM_OBJECT, RTLD_NOW | RTLD_GLOBAL);
  int (*run) (int, char **) = NULL;

  if (program != NULL)
    *(void **) &run = dlsym (program, "main");
  if (run == NULL)
    {
      fprintf (stderr, "%s: %s\n", argv[0], dlerror ());
      return EXIT_NOT_LOADED;
    }
  return run (argc, argv);
}
