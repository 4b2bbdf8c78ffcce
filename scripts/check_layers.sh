#!/usr/bin/env bash
# Fails if a layer includes a header of a higher layer, or if code of one layer
# or of the platform's adapter is used in an excluded place. Prints the lines
# that break a rule.
set -euo pipefail
cd "$(dirname "$0")/.."
layers=(transport protocol coordination state)
failed=0
for i in "${!layers[@]}"; do
  for higher in "${layers[@]:$((i + 1))}"; do
    if grep -rn "#include \"sequoiapath/$higher/" "packages/${layers[$i]}"; then
      echo "packages/${layers[$i]} must not include headers of the higher layer $higher"
      failed=1
    fi
  done
done
# The coordination layer takes the time as a parameter and does no I/O, so that
# tests can run it in virtual time.
if grep -rnE 'Clock::now|system_clock|state/log\.h|<h2o|http_server\.h' packages/coordination; then
  echo "packages/coordination must not read clocks, write logs or do I/O"
  failed=1
fi
# The platform's adapter may be used by the daemon's main function and by tests.
if grep -rn '#include "sequoiapath/platform/' packages --include='*.h' --include='*.cc' |
  grep -v '^packages/daemon/main.cc:'; then
  echo "only packages/daemon/main.cc may include headers of sequoiapath/platform"
  failed=1
fi
# Names of the platform's messages and settings may be used in the adapter only.
platform_names='deadlineMs|waitMs|lastSeen|clockMs|memMb|estMs|storeRevision|morePages|setKeys|sloMs|timeoutMs|coldLeftMs|bestEffort|antiAffinity|nodeName|portRange|graceS|holdMaxMs|/api/'
if grep -rnE "\"[^\"]*($platform_names)" packages --include='*.h' --include='*.cc' |
  grep -v '#include'; then
  echo "names of the platform's messages and settings must be used in platform/ only"
  failed=1
fi
exit $failed
