#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into
# target/review-2/. Needs g++ and nlohmann-json3-dev, which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -O1 -std=c++20 -Wall -Wextra -pthread review/rig-2.cc -o target/review-2/rig-2
