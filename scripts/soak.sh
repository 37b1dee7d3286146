#!/bin/sh
# Runs the soak test with a range of seeds, JOBS at a time.
# Usage: soak.sh [FIRST [LAST [SECONDS [JOBS [OPTION...]]]]]; without arguments
# two seeds derived from the time. The seed also selects the kinds of faults:
# all of them, those of workers, or planned work only (SEED modulo 3). OPTIONs
# such as --leaving are those of build/soak. tests/soak/seeds lists seeds that
# failed before.
set -u
cd "$(dirname "$0")/.."
time_seed=$(($(date +%s) % 100000))
first=${1:-$time_seed}
last=${2:-$((first + 1))}
seconds=${3:-10}
jobs=${4:-5}
shift $(($# < 4 ? $# : 4))
make -s -j"$(nproc)" build/soak build/wagtailferry-edge || exit 1
seq "$first" "$last" | xargs -P "$jobs" -I SEED \
	timeout 300 build/soak --seed SEED --seconds "$seconds" "$@"
code=$?
test "$code" -eq 0 && echo "soak: seeds $first to $last, no violation"
exit "$code"
