#!/bin/sh
# Checks format and runs the linter on the sources that changed since the
# last clean run. Results are cached by content in build/lint.
set -eu
cd "$(dirname "$0")/.."

sources=$(make -s print-sources)
# shellcheck disable=SC2086
clang-format --dry-run -Werror $sources

flags="-std=gnu11 -Iinclude -Isrc -DH2O_USE_LIBUV=1
$(pkg-config --cflags glib-2.0 jansson libprotobuf-c libxxhash libh2o \
	libuv openssl libzmq libcurl check)"
mkdir -p build/lint
headers=$(printf '%s\n' $sources | grep '\.h$' | xargs cat .clang-tidy |
	sha256sum | cut -c1-16)
todo=
for source in $(printf '%s\n' $sources | grep '\.c$')
do
	stamp=build/lint/$headers-$(sha256sum "$source" | cut -c1-24)
	test -e "$stamp" || todo="$todo $source"
done
test -z "$todo" && exit 0
# shellcheck disable=SC2086
printf '%s\n' $todo | xargs -P 8 -n 4 sh -c '
	flags=$1; shift
	clang-tidy --quiet "$@" -- $flags 2>build/lint/stderr.$$ || {
		cat build/lint/stderr.$$ >&2
		exit 255
	}' sh "$flags"
for source in $todo
do
	: >build/lint/$headers-$(sha256sum "$source" | cut -c1-24)
done
rm -f build/lint/stderr.*
