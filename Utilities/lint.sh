#!/usr/bin/env bash
# Runs clang-tidy over all sources of the release build.
set -u
cd "$(dirname "$0")/.."
[ -f Build/release/compile_commands.json ] || cmake --preset release >/dev/null
git ls-files Source platform Tests Utilities | grep -E '\.cpp$' | grep -v capnp |
  xargs -P "$(nproc)" -n 2 clang-tidy -p Build/release --quiet >/tmp/lint.$$ 2>/dev/null
status=$?
grep -E 'warning:|error:' /tmp/lint.$$ | sort -u | head -60
rm -f /tmp/lint.$$
exit $status
