#!/bin/sh
# Runs all checks: dependencies, format, lint, build with warnings as errors,
# all tests, all tests again under AddressSanitizer and UBSan, and the scripts
# in scripts/checks. The last line is "N passed, N failed".
set -u
cd "$(dirname "$0")/.."
passed=0
failed=0
jobs=$(nproc)

step()
{
	name=$1
	shift
	if "$@"
	then
		passed=$((passed + 1))
		echo "ok: $name"
	else
		failed=$((failed + 1))
		echo "FAILED: $name"
	fi
}

add_results()
{
	test -e "$1/test-result" || return
	read -r good bad _ <"$1/test-result"
	passed=$((passed + good))
	failed=$((failed + bad))
}

step dependencies scripts/install-deps.sh
step lint scripts/lint.sh
step build make -s -j"$jobs" all
step "build with sanitizers" make -s -j"$jobs" SANITIZE=1 all
rm -f build/test-result build/asan/test-result
scripts/run-tests.sh build || :
add_results build
G_SLICE=always-malloc scripts/run-tests.sh build/asan || :
add_results build/asan
for extra in scripts/checks/*.sh
do
	test -e "$extra" && step "$(basename "$extra" .sh)" "$extra"
done
test "$passed" -gt 10 || failed=$((failed + 1))
echo "$passed passed, $failed failed"
test "$failed" -eq 0
