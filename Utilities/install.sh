#!/usr/bin/env bash
# Installs the dependencies of the build, the tests and the demo on Debian 12.
# Does nothing if all of them are installed.
set -eu
packages=(g++ cmake ninja-build pkg-config ccache clang-format clang-tidy jq curl
  libh2o-evloop-dev libcapnp-dev prometheus-cpp-dev libgflags-dev libcbor-dev
  liblog4cxx-dev libgtest-dev librapidcheck-dev libbenchmark-dev
  nlohmann-json3-dev libvalijson-dev libopentracing-dev libxxhash-dev libssl-dev
  zlib1g-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
