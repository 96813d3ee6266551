#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start, into review/bin/. Needs
# what the deploy file's packages bring: g++ and nlohmann-json.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++17 -O2 -Wall -Wextra -pthread standin.cpp -o bin/standin
