#!/bin/sh
# Mutation check: builds with one guard removed at a time and runs the test
# that covers the guard, which must fail. tests/guards*.txt have lines "GUARD
# TEST_PROGRAM". Only sources that name the guard are recompiled; the other
# objects are hard links to those of build/.
set -u
cd "$(dirname "$0")/../.."
results=build/guard-results
mkdir -p "$results"
rm -f "$results"/*

cat tests/guards*.txt | grep . | xargs -P 4 -L 1 sh -c '
	guard=$1 program=$2
	build=build/guard-$guard
	rm -rf "$build"
	mkdir -p "$build"
	for part in src tests platform
	do
		test -d "build/$part" && cp -al "build/$part" "$build/$part"
	done
	rm -f "$build/tests/$program"
	for source in $(grep -rl "WF_GUARD_OFF_$guard\$" src platform)
	do
		rm -f "$build/${source%.c}.o" "$build/${source%.c}.d"
	done
	if ! make -s -j2 GUARD_OFF="$guard" CFLAGS=-O0 \
		"$build/tests/$program"
	then
		echo "guard $guard: $program does not build"
		exit 0
	fi
	output=$build/output.txt
	timeout 600 "$build/tests/$program" >"$output" 2>&1
	rc=$?
	if test $rc -eq 1 && grep -q ":[FE]:" "$output"
	then
		: >"$0/$guard"
		echo "guard $guard: $program fails without it"
	else
		echo "guard $guard: $program does not notice (exit code $rc)"
	fi' "$results"
expected=$(cat tests/guards*.txt | grep -c .)
found=$(find "$results" -type f | wc -l)
echo "$found of $expected guards are noticed"
test "$found" -eq "$expected"
