#!/usr/bin/env bash
# Runs the tests of message passing between tasks under ThreadSanitizer.
set -eu
cd "$(dirname "$0")/.."
Utilities/install.sh
cmake --preset tsan -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build --preset tsan --target LinksTests >/dev/null
ctest --preset tsan -R '^Links' -j 2 | tail -n 6
