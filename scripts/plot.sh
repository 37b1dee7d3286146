#!/bin/sh
# Draws docs/plots/NAME.svg from the benchmark NAME: the chosen policy next to
# the baselines, with the objective as a line. Runs the benchmark first and
# stores its results in docs/plots/NAME.json; --keep uses the stored results.
# Usage: plot.sh [--keep] [NAME...]; NAME: throughput, recovery, crest, hol.
set -eu
cd "$(dirname "$0")/.."

keep=
names=
for argument in "$@"
do
	case $argument in
	--keep)
		keep=yes
		;;
	throughput | recovery | crest | hol)
		names="$names $argument"
		;;
	*)
		echo "usage: plot.sh [--keep] [NAME...]" >&2
		exit 2
		;;
	esac
done
test -n "$names" || names="throughput recovery crest hol"
folder=docs/plots
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints the objective's number: FILE PATTERN.
objective_of()
{
	jq -rs --arg pattern "$2" '[.[] | select(.name | test($pattern))][0]
		| .objective | ltrimstr(">=") | ltrimstr("<=")' "$1"
}

# Prints a table with a row per figure and a column per policy: FILE PATTERN.
# The pattern's group "label" is the label of the row.
table_of()
{
	jq -rs --arg pattern "$2" '
		[.[] | select(.name | test($pattern))]
		| (.[0].baselines | keys_unsorted) as $policies
		| (["figure", "chosen"] + $policies | @tsv),
		(.[] | . as $figure
			| [($figure.name | capture($pattern).label
				| if . == "" then "no faults" else
				ltrimstr("_") | gsub("_"; " ") end
				| "\"" + . + "\""),
			$figure.value]
			+ [$policies[] | $figure.baselines[.] // "NaN"]
			| join("\t"))' "$1"
}

# Prints the commands for one panel: FILE PATTERN TITLE UNIT SCALE. SCALE is
# "linear", or "log" with the smallest value.
add_panel()
{
	panels=$((panels + 1))
	table_of "$1" "$2" >"$work/$panels.tsv"
	objective=$(objective_of "$1" "$2")
	columns=$(head -n 1 "$work/$panels.tsv" | wc -w)
	case $5 in
	log*)
		echo "set logscale y; set yrange [${5#log }:*]"
		;;
	*)
		echo "unset logscale y; set yrange [0:*]"
		;;
	esac
	cat <<PANEL
set title "$3, objective $objective (line)"
set ylabel "$4"
unset arrow
set arrow from graph 0, first $objective to graph 1, first $objective nohead \\
	front linecolor rgb "#c00000" linewidth 2
plot for [c=2:$columns] '$work/$panels.tsv' using c:xtic(1) \\
	title columnheader(c) linecolor rgb word(colors, c - 1)
PANEL
}

# Prints the commands that precede the panels: NAME HEIGHT ROWS.
write_head()
{
	panels=0
	cat <<HEAD
set terminal svg size 1000,$2 font "sans-serif,11" noenhanced \\
	background rgb "white"
set output "$folder/$1.svg"
colors = "#0b3c8c #e69f00 #56b4e9 #009e73 #cc79a7 #999999 #d8b365 #8dd3c7 #b3a2c7"
set style data histograms
set style histogram clustered gap 1
set style fill solid noborder
set boxwidth 0.9
set grid ytics
set key outside below maxrows 3 samplen 1
set multiplot layout $3,2
HEAD
}

# Adds a panel for each user: FIGURE LABEL-PATTERN TITLE UNIT SCALE.
add_row()
{
	for user in isbrytaren carretti
	do
		add_panel "$folder/$name.json" \
			"^${user}[.]$1(?<label>$2)\$" "$user: $3" "$4" "$5"
	done
}

write_script()
{
	case $name in
	throughput)
		write_head throughput 420 1
		add_row throughput '(_with_faults)?' throughput \
			"part of the bound" linear
		;;
	recovery)
		write_head recovery 800 2
		add_row 'recovery[.]' '.*' "longest gap less the rebuild" ms \
			linear
		add_row 'lost[.]' '.*' "requests lost" \
			"part of those in flight" linear
		;;
	crest)
		write_head crest 800 2
		add_row 'crest[.]goodput' '(_with_faults)?' \
			"goodput at 3 times the capacity" \
			"of goodput at the capacity" linear
		add_row 'crest[.]refusal' '(_with_faults)?' \
			"longest time until a refusal (no bar: 0)" ms "log 1"
		;;
	hol)
		write_head hol 420 1
		add_row 'hol[.]' first_token_ratio \
			"p99 first token of short requests" \
			"of that without long requests" "log 0.5"
		;;
	esac
	echo "unset multiplot"
}

# Removes markup that is not displayed: point symbols, empty groups and white
# space.
shrink()
{
	tr -s '\n\t ' ' ' <"$1" |
		sed -e 's|<defs>.*</defs>||' \
			-e 's|<title>[^<]*</title>||g' \
			-e 's|> *<|><|g; s|<g[^>]*></g>||g' \
			-e 's|<g[^>]*></g>||g; s|><|>\n<|g' >"$work/svg"
	mv "$work/svg" "$1"
}

for name in $names
do
	if test -z "$keep"
	then
		scripts/bench.sh --json "$name" >"$work/$name.json"
		mv "$work/$name.json" "$folder/$name.json"
	fi
	write_script >"$work/script"
	gnuplot "$work/script"
	shrink "$folder/$name.svg"
	echo "$folder/$name.svg: $(wc -c <"$folder/$name.svg") bytes"
done
