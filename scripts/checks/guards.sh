#!/bin/sh
# Builds the library with one guard removed at a time and runs the test that
# guards it. Fails unless the test fails. tests/guards.txt has lines
# "GUARD TEST_PROGRAM".
set -u
cd "$(dirname "$0")/../.."
jobs=${JOBS:-4}
missed=0
while read -r guard program
do
	test -n "$guard" || continue
	build=build/guard-$guard
	output=$build/$program.txt
	if ! make -s -j"$jobs" GUARD_OFF="$guard" "$build/tests/$program"
	then
		echo "guard $guard: $program does not build"
		missed=$((missed + 1))
		continue
	fi
	timeout 300 "$build/tests/$program" >"$output" 2>&1
	rc=$?
	if test $rc -eq 1 && grep -q ':F:' "$output"
	then
		echo "guard $guard: $program fails without it"
	else
		echo "guard $guard: $program does not notice (exit code $rc)"
		missed=$((missed + 1))
	fi
done <tests/guards.txt
test $missed -eq 0
