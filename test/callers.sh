#!/bin/sh
# Prints each public function of the library with the objects that use it, from
# the symbols of what was built.  Fails if one is used by nobody, or by its own
# file only: the first is to be removed, the second to be static.
#   callers.sh BUILD
set -eu
nm -A "$1"/*.o "$1"/platform/*.o "$1"/test/*.o "$1"/examples/*.o | awk '
  { sub(/:.*/, "", $1); name = $NF }
  name !~ /^cc_/ { next }
  $(NF - 1) == "T" && $1 !~ /\/test\// { home[name] = $1 }
  $(NF - 1) == "U" { users[name] = users[name] " " $1 }
  END {
    for (name in home) {
      if (!(name in users)) { unused = 1; users[name] = " NOBODY" }
      print home[name] " " name ":" users[name]
    }
    exit unused
  }' >"$1"/callers.txt && code=0 || code=$?
sort "$1"/callers.txt
exit "$code"
