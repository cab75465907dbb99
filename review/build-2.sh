#!/bin/sh
# Builds the stand-ins of the second review's cases, from the repository's root.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for p in prefix range smuggle target trailer; do
  ${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -Werror -Wno-format-truncation \
    -pthread -o "build/review-2/$p" "review/rig-2/$p.c" review/rig-2/stand.c
done
