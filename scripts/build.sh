#!/usr/bin/env bash
# Configures and builds everything in build/ (or the folder given).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build"
