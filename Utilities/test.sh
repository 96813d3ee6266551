#!/usr/bin/env bash
# Installs dependencies, builds, and runs all tests.
set -eu
cd "$(dirname "$0")/.."
Utilities/install.sh
preset=${1:-release}
launcher=""
command -v ccache >/dev/null 2>&1 && launcher=-DCMAKE_CXX_COMPILER_LAUNCHER=ccache
cmake --preset "$preset" $launcher >/dev/null
cmake --build --preset "$preset" 2>&1 | grep -E 'warning:|error:|FAILED|^ninja: build stopped' || true
cmake --build --preset "$preset" >/dev/null
ctest --preset "$preset" -j 4
