#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review/. They need
# the C++ compiler and nlohmann-json3-dev of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -pthread -o target/review/rig review/rig.cc
