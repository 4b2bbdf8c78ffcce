#!/usr/bin/env bash
# Workers of one rack crash and start again under their ids, of another kind.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0: the same load without a crash.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/rig-2 ] && [ -x target/packages/daemon/sequoiapathd ] || exit 2
exec timeout --signal=KILL 118 target/review-2/rig-2 kind "${TROUBLE:-1}" \
  review/8/record.txt target/packages/daemon/sequoiapathd --platform
