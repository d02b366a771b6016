#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start, after the
# build of the deploy file. They are Python programs of the standard library
# (review/lib2), so there is nothing to compile: this checks that they load.
set -eu
cd "$(dirname "$0")/.."
test -x target/jackdawshunt/cli/jackdawshunt
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/lib2 python3 -c "import deployment"
