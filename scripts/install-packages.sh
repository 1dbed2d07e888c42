#!/usr/bin/env bash
# Installs the packages that the build needs. Does nothing when they are there.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy python3 curl
    libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev libflatbuffers-dev
    libtclap-dev libeasyloggingpp-dev libtrompeloeil-cpp-dev catch2
    librapidcheck-dev libxxhash-dev libtomlplusplus-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
