#!/usr/bin/env bash
# Installs the missing Debian packages among those that the build and the tests
# require.
set -euo pipefail
packages=(
  ccache clang-format clang-tidy cmake g++ libboost-dev libfmt-dev libgtest-dev
  libh2o-evloop-dev libmsgpack-cxx-dev libnghttp2-dev libpopt-dev libssl-dev
  libtomlplusplus-dev libxxhash-dev libzstd-dev ninja-build nlohmann-json3-dev
  pkg-config
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q '^install ok installed$' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing packages: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
