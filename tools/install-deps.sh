#!/bin/sh
# Installs the build and test dependencies with Debian's package manager.
# Skips the package manager when everything is installed already.
set -eu
packages="cmake ninja-build make gcc pkg-config clang-format clang-tidy
cppcheck valgrind git curl jq openssl libev-dev libzmq3-dev libmicrohttpd-dev
libcurl4-openssl-dev libglib2.0-dev libcyaml-dev libyaml-dev libmsgpack-dev
libcmocka-dev libsodium-dev libjansson-dev libxxhash-dev zlib1g-dev
libgnutls28-dev libhttp-parser-dev"
# shellcheck disable=SC2086
if dpkg -s $packages >/dev/null 2>&1; then
	exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update
# shellcheck disable=SC2086
apt-get install -y --no-install-recommends $packages
