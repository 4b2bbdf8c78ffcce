#!/usr/bin/env bash
# Fails if a layer includes a header of a higher layer.
set -euo pipefail
cd "$(dirname "$0")/.."
layers=(transport protocol coordination state)
failed=0
for i in "${!layers[@]}"; do
  for higher in "${layers[@]:$((i + 1))}"; do
    if grep -rn "#include \"sequoiapath/$higher/" "packages/${layers[$i]}"; then
      echo "layer ${layers[$i]} must not include layer $higher"
      failed=1
    fi
  done
done
# Decisions take the time as a parameter and do no I/O.
if grep -rnE 'Clock::now|system_clock|state/log\.h|<h2o|http_server\.h' packages/coordination; then
  echo "coordination code must not read clocks, write logs or do I/O"
  failed=1
fi
exit $failed
