#!/bin/sh
# Builds what the scripts of review/11 to 15 start beside the product. Their
# stand-ins are python3 programs in these folders and in review/lib3, which need
# no build; this checks that they can be run. Network is not needed.
set -eu
cd "$(dirname "$0")/.."
if [ ! -x target/jackdawshunt/cli/jackdawshunt ]; then
  echo "build the product first, with the line 'build' of deploy/system.toml" >&2
  exit 1
fi
python3 -B -c '
import ast, glob
for path in glob.glob("review/lib3/*.py") + glob.glob("review/1[1-5]/*.py"):
  ast.parse(open(path).read(), path)
print("the stand-ins can be run")'
