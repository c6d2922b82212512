#!/bin/sh
# Installs the Debian packages that the build, the tests and the models need.
set -eu

packages="gcc g++ make cmake pkg-config clang-format clang-tidy curl
libtalloc-dev libtevent-dev libtirpc-dev libmicrohttpd-dev
libcurl4-openssl-dev libglib2.0-dev liblog4c-dev libcmocka-dev libsodium-dev
libxxhash-dev libjansson-dev zlib1g-dev libtomlplusplus-dev spin clang
libclang-rt-14-dev"

missing=""
for package in $packages; do
	status=$(dpkg-query -W -f='${db:Status-Status}' "$package" \
		2>/dev/null || true)
	[ "$status" = installed ] || missing="$missing $package"
done
[ -n "$missing" ] || exit 0

apt-get update -qq
# shellcheck disable=SC2086 # one argument for each package
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
	--no-install-recommends $missing
