#!/usr/bin/env bash
# Checks formatting and runs clang-tidy over all sources, or those given.
# Usage: scripts/lint.sh [FILE...]; BUILD names the build folder and LINT_JOBS
# the number of files checked at once (all cores by default).
set -euo pipefail
cd "$(dirname "$0")/.."
if (($# > 0)); then
  files=("$@")
else
  mapfile -t files < <(git ls-files 'jackdawshunt/*.cc' 'jackdawshunt/*.h' 'cmake/*.cc')
fi
clang-format --dry-run --Werror "${files[@]}"
sources=()
for file in "${files[@]}"; do
  [[ $file == *.cc ]] && sources+=("$file")
done
# clang-tidy cannot read GCC's precompiled header, so its flags are removed.
build=${BUILD:-build}
mkdir -p "$build/lint"
sed -E 's/-include [^ ]*cmake_pch\.hxx//g; s/-Winvalid-pch//g; s/-fpch-preprocess//g' \
  "$build/compile_commands.json" >"$build/lint/compile_commands.json"
if ((${#sources[@]} > 0)); then
  # Largest files first, so that no core waits for a long file at the end.
  ls -S -- "${sources[@]}" |
    GLIBC_TUNABLES=glibc.malloc.hugetlb=1 xargs -P "${LINT_JOBS:-$(nproc)}" -n 1 \
      clang-tidy -p "$build/lint" --quiet 2>/tmp/clang-tidy.err.$$ ||
    { tail -20 /tmp/clang-tidy.err.$$; rm -f /tmp/clang-tidy.err.$$; exit 1; }
  rm -f /tmp/clang-tidy.err.$$
fi
echo "lint: ${#files[@]} files clean"
