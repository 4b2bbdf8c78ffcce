#!/usr/bin/env bash
# Runs clang-tidy on all source files, or on the files given as arguments. A file
# is skipped if it, the project's headers and .clang-tidy are unchanged since it
# last passed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cache=$build/lint-cache
mkdir -p "$cache"
shared=$( (cat .clang-tidy; find packages platform tests bench -name '*.h' | sort | xargs cat) | sha256sum | cut -c1-16)
export build cache shared
lint_one() {
  key=$cache/$( (echo "$shared"; echo "$1"; cat "$1") | sha256sum | cut -c1-32)
  [ -e "$key" ] && return 0
  clang-tidy --quiet -p "$build" "$1" 2>/dev/null || { echo "clang-tidy failed: $1"; return 1; }
  touch "$key"
}
export -f lint_one
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(find packages platform tests bench -name '*.cc' | sort)
fi
printf '%s\n' "${files[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
