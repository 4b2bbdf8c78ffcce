#!/usr/bin/env bash
# Fails if a C++ source file differs from its clang-format output.
set -euo pipefail
cd "$(dirname "$0")/.."
find packages platform tests bench -name '*.cc' -o -name '*.h' |
  xargs clang-format --dry-run -Werror
