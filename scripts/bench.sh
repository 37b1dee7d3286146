#!/bin/sh
# Builds and runs the benchmarks and prints one line per figure: name, value,
# unit, objective, baselines and seed; with --json one JSON object per line.
# Usage: bench.sh [--json] [NAME...]
# NAME: throughput, recovery, crest, hol, control, overhead. Without a name all
# of them run, one after another. Exits with 0 if all that were asked for ran,
# 1 if one failed or, when it was named, is absent, 2 for wrong usage.
#
# Environment: BENCH_JOBS is the number of parallel compilers (default 4).
set -eu
cd "$(dirname "$0")/.."

all="throughput recovery crest hol control overhead"
json=
names=
for argument in "$@"
do
	case $argument in
	--json)
		json=--json
		;;
	throughput | recovery | crest | hol | control | overhead)
		names="$names $argument"
		;;
	*)
		echo "usage: bench.sh [--json] [NAME...]; names: $all" >&2
		exit 2
		;;
	esac
done

absent_code=0
test -z "$names" || absent_code=1
code=0

# Builds and runs a program of build/bench: PROGRAM ARGUMENT...
run_bench()
{
	program=build/bench/$1
	shift
	# Standard output is for the figures only.
	make -s -j"${BENCH_JOBS:-4}" "$program" >&2 && "$program" "$@"
}

for name in ${names:-$all}
do
	case $name in
	control)
		run_bench control_bench ${json:+"$json"} || code=1
		run_bench fleet_bench ${json:+"$json"} || code=1
		run_bench limits_bench ${json:+"$json"} || code=1
		;;
	overhead)
		if test -e tests/bench/overhead_bench.c
		then
			run_bench overhead_bench ${json:+"$json"} || code=1
		else
			echo "overhead: not run, tests/bench/overhead_bench.c" \
				"is absent" >&2
			test "$absent_code" -eq 0 || code=1
		fi
		;;
	*)
		run_bench sched_bench ${json:+"$json"} "$name" || code=1
		;;
	esac
done
exit "$code"
