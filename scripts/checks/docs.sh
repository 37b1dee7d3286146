#!/bin/sh
# Checks that docs/operations.md names every counter, error type and setting of
# the code, and that no plot is too large for a page.
set -eu
cd "$(dirname "$0")/../.."

page=docs/operations.md
plot_limit=60000
code=0

# Reports names from standard input that have no table row in the page: KIND.
check_rows()
{
	missing=0
	while read -r name
	do
		grep -q "^|[^|]*\`[][a-z_.]*$name\`[^|]*|" "$page" && continue
		echo "$page: $1 $name is missing" >&2
		missing=1
	done
	return "$missing"
}

grep -rhoE '"wf_[a-z_0-9]+[{"\\]' src platform --include='*.c' | tr -d '"{\\' | sort -u |
	check_rows counter || code=1
sed -n 's/.*= {"\([a-z_]*\)", [0-9]*}.*/\1/p' src/base/errors.c |
	check_rows "error type" || code=1
sed -nE 's/^ +(required|optional|repeated) [A-Za-z0-9]+ ([a-z_0-9]+) = .*/\2/p' \
	schema/settings.proto | sort -u | check_rows setting || code=1
sed -n '/^message EdgeSettings/,/^}/p' schema/edge.proto |
	sed -nE 's/^ +(required|optional) [A-Za-z0-9]+ ([a-z_0-9]+) = .*/\2/p' |
	check_rows "edge setting" || code=1
for plot in docs/plots/*.svg
do
	test -e "$plot" || continue
	test "$(wc -c <"$plot")" -lt "$plot_limit" && continue
	echo "$plot has $plot_limit bytes or more" >&2
	code=1
done
exit "$code"
