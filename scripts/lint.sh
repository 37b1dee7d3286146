#!/bin/sh
# Checks format and runs the linter on the sources that changed since they
# were last clean. Results are cached by content in build/lint.
set -eu
cd "$(dirname "$0")/.."

sources=$(make -s print-sources)
# shellcheck disable=SC2086
clang-format --dry-run -Werror $sources

# Only the adapter in platform/ may use the platform's wire names.
if git grep -nIiE 'X-Wagtailferry-|api-keys|path-prefix|kv-used|slo-ms' -- \
	src include schema tests ':!tests/platform'
then
	echo "platform wire names used outside platform/" >&2
	exit 1
fi

LINT_FLAGS="-std=gnu11 -Iinclude -Isrc -I. -Itests -DH2O_USE_LIBUV=1
$(pkg-config --cflags glib-2.0 jansson libprotobuf-c libxxhash libh2o \
	libuv openssl libzmq libcurl check)"
LINT_HEADERS=$(printf '%s\n' $sources | grep '\.h$' | xargs cat .clang-tidy |
	sha256sum | cut -c1-16)
export LINT_FLAGS LINT_HEADERS
mkdir -p build/lint
printf '%s\n' $sources | grep '\.c$' | xargs -P 8 -n 1 sh -c '
	stamp=build/lint/$LINT_HEADERS-$(sha256sum "$1" | cut -c1-24)
	test -e "$stamp" && exit 0
	if clang-tidy --quiet "$1" -- $LINT_FLAGS 2>"$stamp.err"
	then
		mv "$stamp.err" "$stamp"
	else
		cat "$stamp.err" >&2
		rm -f "$stamp.err"
		exit 1
	fi' sh
