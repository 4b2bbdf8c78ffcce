#!/usr/bin/env bash
# Fails if a source file is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
find packages platform tests bench -name '*.cc' -o -name '*.h' |
  xargs clang-format --dry-run -Werror
