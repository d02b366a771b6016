#!/usr/bin/env bash
# Builds everything into build/ (or the folder given as the first argument).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake -S . -B "$build" -G Ninja -DJACKDAWSHUNT_WERROR=ON >"/tmp/jackdawshunt-cmake.$$" || { cat "/tmp/jackdawshunt-cmake.$$"; exit 1; }
rm -f "/tmp/jackdawshunt-cmake.$$"
cmake --build "$build"
