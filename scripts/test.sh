#!/usr/bin/env bash
# Sets up a fresh machine, checks format, layers and lint, builds, and runs all
# tests. Known failures are listed in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/check_format.sh
scripts/check_layers.sh
scripts/build.sh
scripts/lint.sh
ctest --test-dir build --output-on-failure -j "$(nproc)"
