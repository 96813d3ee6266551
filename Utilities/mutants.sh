#!/usr/bin/env bash
# Mutation testing: applies one mutation after the other to a copy of the tree
# and checks that the named test then fails. Each sed script in Tests/Mutants
# names the test in its first line and edits one source file.
set -u
cd "$(dirname "$0")/.."
root=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
mkdir "$copy/tree"
git ls-files | cpio -pdm --quiet "$copy/tree" 2>/dev/null || tar cf - $(git ls-files) | tar xf - -C "$copy/tree"
cd "$copy/tree" || exit 1
cmake --preset release -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build --preset release --target CoreTests StorageTests ReplayTests >/dev/null || exit 1
failed=0
[ $# -gt 0 ] || set -- '*'
for mutant in $(for pattern in "$@"; do ls "$root"/Tests/Mutants/$pattern.sed; done); do
  name=$(basename "$mutant" .sed)
  test=$(sed -n 's/^# test: //p' "$mutant")
  file=$(sed -n 's/^# file: //p' "$mutant")
  cp "$file" "$copy/kept"
  sed -i -f "$mutant" "$file"
  if cmp -s "$file" "$copy/kept"; then
    echo "$name: changed nothing"
    failed=1
    continue
  fi
  program=${test%%.*}
  if ! cmake --build --preset release --target "$program" >"$copy/build" 2>&1; then
    echo "$name: does not build"
    failed=1
  elif RC_PARAMS="seed=20261203 noshrink=1" timeout 120 "Build/release/Tests/$(ls "Build/release/Tests" | while read -r d; do [ -x "Build/release/Tests/$d/$program" ] && echo "$d"; done)/$program" \
    --gtest_filter="${test#*.}" >"$copy/out" 2>&1; then
    echo "$name: $test still passes"
    failed=1
  else
    after=$(grep -m1 -oE 'Falsifiable after [0-9]+ tests' "$copy/out")
    echo "$name: $test fails as it must (${after:-example test})"
  fi
  cp "$copy/kept" "$file"
done
exit $failed
