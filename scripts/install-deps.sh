#!/bin/sh
# Installs the Debian packages that the build and the tests need.
set -eu

packages="build-essential make pkg-config clang-format clang-tidy git
libh2o-dev libhttp-parser-dev libuv1-dev libzmq3-dev libjansson-dev libprotobuf-c-dev
protobuf-c-compiler libpopt-dev check libglib2.0-dev libxxhash-dev
libssl-dev libcurl4-openssl-dev libsodium-dev zlib1g-dev
clang libclang-rt-14-dev gnuplot-nox jq curl"

missing=
for package in $packages
do
	dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
test -z "$missing" && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -q >/dev/null
# shellcheck disable=SC2086
apt-get install -qy --no-install-recommends $missing >/dev/null
