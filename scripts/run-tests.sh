#!/bin/sh
# Runs the test programs of a build folder and counts their checks.
# Usage: run-tests.sh BUILD-FOLDER [NAME...]
# Prints the numbers of passed checks, failed checks and known failures and
# writes them to BUILD-FOLDER/test-result. Failures of tests listed in
# KNOWN-RED.txt (lines "test: PROGRAM:NAME") count as known.
set -u
build=$1
shift
passed=0
failed=0
known=0
known_list=
if test -e KNOWN-RED.txt
then
	known_list=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
programs=$*
test -n "$programs" ||
	programs=$(ls "$build"/tests/*_test "$build"/tests/platform/*_test)
mkdir -p "$build/test-output"
run_one()
{
	# A test without a limit of its own has 4 s by default, too short under
	# sanitizers beside other load.
	CK_DEFAULT_TIMEOUT=60 CK_VERBOSITY=verbose WF_BUILD=$build \
		timeout 900 "$1" \
		>"$build/test-output/$(basename "$1").txt" 2>&1
	echo $? >"$build/test-output/$(basename "$1").rc"
}
# Wire tests depend on time limits, so they run one after another.
parallel=
serial=
for program in $programs
do
	case $program in
	*wire*_test) serial="$serial $program" ;;
	*) parallel="$parallel $program" ;;
	esac
done
count=0
for program in $parallel
do
	run_one "$program" &
	count=$((count + 1))
	test $((count % 6)) -eq 0 && wait
done
wait
for program in $serial
do
	run_one "$program"
done
for program in $programs
do
	name=$(basename "$program")
	output=$build/test-output/$name.txt
	rc=$(cat "$build/test-output/$name.rc")
	good=$(grep -c '^[^ ]*:P:' "$output")
	bad=$(grep -c '^[^ ]*:[FE]:' "$output")
	for line in $(grep '^[^ ]*:[FE]:' "$output" | cut -d: -f5)
	do
		if printf '%s\n' "$known_list" | grep -qx "$name:$line"
		then
			bad=$((bad - 1))
			known=$((known + 1))
			echo "known failure: $name:$line"
		fi
	done
	if test "$rc" -ne 0 && ! grep -q '^[^ ]*:[FE]:' "$output"
	then
		bad=$((bad + 1))
		echo "$name: exit code $rc"
	fi
	if test "$good" -eq 0
	then
		bad=$((bad + 1))
		echo "$name: ran no check"
	fi
	test "$bad" -eq 0 || grep -v '^[^ ]*:P:' "$output" | tail -n 60
	passed=$((passed + good))
	failed=$((failed + bad))
done
echo "$passed $failed $known" >"$build/test-result"
echo "$build: $passed checks passed, $failed failed, $known known failures"
test "$failed" -eq 0
