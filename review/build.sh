#!/bin/sh
# Builds the stand-ins of all cases into review/build.
set -eu
cd "$(dirname "$0")"
mkdir -p build
flags="-std=gnu11 -O1 -g -Wall -Wextra -Irig $(pkg-config --cflags --libs glib-2.0 json-glib-1.0)"
for source in [1-5]/case.c; do
  number=${source%/case.c}
  gcc -o "build/case$number" "$source" rig/rig.c $flags -lpthread
done
