#!/usr/bin/env bash
# Fails if two process tests name ports of the same hundred, because ctest
# runs them at the same time. Prints each hundred with the tests that share it.
set -euo pipefail
cd "$(dirname "$0")/.."
shared=$(for script in tests/process/*.sh; do
  grep -oE '\b2[0-9]{4}\b' "$script" | sed 's/..$/00/' | sort -u | sed "s|\$| $script|"
done | sort | awk '{ tests[$1] = tests[$1] " " $2; count[$1]++ }
  END { for (port in count) if (count[port] > 1) print "ports from " port ":" tests[port] }')
[ -z "$shared" ] && exit
echo "$shared"
echo "each process test must use its own ports"
exit 1
