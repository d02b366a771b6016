#!/usr/bin/env bash
# Builds what the scripts of the review start: their stand-ins are Python and
# need only a check that they compile. Run it after the build of the deploy
# file, which makes the product's own programs.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX="$PWD/build-review" python3 -m compileall -q review
test -x target/jackdawshunt/cli/jackdawshunt ||
  echo "note: the build of deploy/system.toml has not been run yet" >&2
