#!/bin/sh
# Builds the drivers of the scripts in review/ into target/review. Needs only
# the packages of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=gnu11 -O2 -g -Wall -Wextra $(pkg-config --cflags glib-2.0 jansson libuv)"
libs="$(pkg-config --libs glib-2.0 jansson libuv)"
for source in review/[1-5]/*.c
do
	test -e "$source" || continue
	name=$(basename "$(dirname "$source")")
	# shellcheck disable=SC2086
	${CC:-cc} $flags -I. -o "target/review/case$name" \
		"$source" review/standin/*.c $libs
done
