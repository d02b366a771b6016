#!/usr/bin/env bash
# Runs the property tests with new seeds and more cases. Usage:
# scripts/test_long.sh [ROUNDS] [CASES]; prints the seed of each round.
set -euo pipefail
cd "$(dirname "$0")/.."
rounds=${1:-5}
cases=${2:-2000}
for ((round = 0; round < rounds; ++round)); do
  seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
  echo "seed=$seed"
  for folder in board claims configuration fairness gateway http1 platform protocol routing side; do
    RC_PARAMS="seed=$seed max_success=$cases" \
      "build/jackdawshunt/$folder/${folder}_test" --gtest_brief=1 2>/dev/null |
      grep -v '^{' | grep -E 'FAILED|PASSED|Falsifiable|RC_PARAMS' | sed "s/^/$folder: /"
  done
done
