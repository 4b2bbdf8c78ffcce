#!/usr/bin/env bash
# Configures and builds all targets. Usage: scripts/build.sh [BUILD_DIR], by
# default build/.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build"
