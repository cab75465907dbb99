#!/bin/sh
# Prints docs/MODULES.md: which module uses which, from the #include lines.
# Modules are layered by the longest chain of includes below them.
set -eu
cat <<'HEAD'
# Modules

Made by `make modules` from the `#include` lines. A module uses only modules of
lower layers; those of layer 0 use none of ours. Left out: `capercrank.h`, which
all may use.

HEAD
for f in *.c; do
  m=${f%.c}
  { cat "$f"; [ -f "$m.h" ] && cat "$m.h"; } |
    sed -n 's/^#include "\(.*\)\.h"$/\1/p' | sort -u |
    grep -v -x -e "$m" -e capercrank | sed "s/^/$m /"
  echo "$m"
done | awk '
  { seen[$1] = 1; if (NF == 2) { uses[$1] = uses[$1] " " $2; n[$1 "," $2] = 1; seen[$2] = 1 } }
  function layer(m, depth,   parts, k, i, best, l) {
    if (depth > 40) return 0
    best = -1
    k = split(uses[m], parts, " ")
    for (i = 1; i <= k; i++) { l = layer(parts[i], depth + 1); if (l > best) best = l }
    return best + 1
  }
  END {
    for (m in seen) { l = layer(m, 0); at[m] = l; if (l > top) top = l }
    print "| layer | module | uses |"; print "|---|---|---|"
    for (l = top; l >= 0; l--) {
      count = 0
      for (m in seen) if (at[m] == l) names[++count] = m
      for (i = 1; i <= count; i++) for (j = i + 1; j <= count; j++)
        if (names[j] < names[i]) { t = names[i]; names[i] = names[j]; names[j] = t }
      for (i = 1; i <= count; i++) {
        text = uses[names[i]]; sub(/^ /, "", text); gsub(/ /, ", ", text)
        printf "| %d | `%s` | %s |\n", l, names[i], text
      }
    }
  }'
