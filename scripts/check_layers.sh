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
# The platform's adapter is used by the daemon's main function and by tests only.
if grep -rn '#include "sequoiapath/platform/' packages --include='*.h' --include='*.cc' |
  grep -v '^packages/daemon/main.cc:'; then
  echo "only the daemon's main function may include the platform's adapter"
  failed=1
fi
# Names of the platform's messages and settings stay in the adapter.
platform_names='deadlineMs|waitMs|lastSeen|clockMs|memMb|estMs|storeRevision|morePages|setKeys|sloMs|timeoutMs|coldLeftMs|bestEffort|antiAffinity|nodeName|portRange|graceS|holdMaxMs|/api/'
if grep -rnE "\"[^\"]*($platform_names)" packages --include='*.h' --include='*.cc' |
  grep -v '#include'; then
  echo "names of the platform belong in platform/"
  failed=1
fi
exit $failed
