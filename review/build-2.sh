#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -pthread -o target/review-2/standin-2.new review/standin-2.cpp
mv target/review-2/standin-2.new target/review-2/standin-2
