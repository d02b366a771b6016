#!/usr/bin/env bash
# Installs the Debian packages that the build needs and that are missing.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy pkg-config
  libevent-dev libjsonrpccpp-dev prometheus-cpp-dev libcli11-dev libspdlog-dev
  libabsl-dev librapidcheck-dev nlohmann-json3-dev libxxhash-dev libhttp-parser-dev libmsgpack-dev libssl-dev
  libgtest-dev libgmock-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if ((${#missing[@]} > 0)); then
  apt-get update
  DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
fi
