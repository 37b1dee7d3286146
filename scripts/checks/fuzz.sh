#!/bin/sh
# Runs each fuzz target for a bounded number of inputs with a fixed seed,
# under AddressSanitizer.
set -u
cd "$(dirname "$0")/../.."
runs=${FUZZ_RUNS:-30000}
make -s -j8 FUZZ=1 CC=clang fuzz || exit 1
mkdir -p build/fuzz/out
ls tests/fuzz/*_fuzz.c | xargs -P 5 -n 1 sh -c '
	name=$(basename "$1" .c)
	seeds=tests/fuzz/corpus/$name
	test -d "$seeds" || seeds=
	# libFuzzer adds inputs to the first folder only, so not to the seeds.
	found=build/fuzz/corpus/$name
	rm -rf "$found"
	mkdir -p "$found"
	output=build/fuzz/out/$name.txt
	if G_SLICE=always-malloc timeout 600 "build/fuzz/$name" -seed=1 \
		-runs="$0" -max_len=4096 -rss_limit_mb=2048 \
		-artifact_prefix=build/fuzz/out/ "$found" $seeds >"$output" 2>&1
	then
		echo "$name: $(grep -c . "$output") lines, nothing found"
	else
		echo "$name: failed"
		tail -n 40 "$output"
		exit 1
	fi' "$runs"
