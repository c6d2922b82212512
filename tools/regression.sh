#!/bin/sh
# Plays the regression runs on the users' bench before a landing, and prints the
# verdict of each. Needs ../given and takes hours, so it is no part of
# `make check`. Run it in a clone of the commit to be landed: the bench builds in
# target/ and writes its entries to journal/, which are committed with it.
#
#   sh tools/regression.sh WHY [JOBS] [OUT]
#
# WHY is the line for the journal, JOBS the number of days played at once
# (default: 5), OUT the folder of the logs (default: a temporary one).
set -u
why=$1
jobs=${2:-5}
out=${3:-$(mktemp -d)}
system=../given/kit/more/system
bench=$system/more/bench-d17393/bin/fleetbench
mkdir -p "$out"

# play NAME VERB SITE OPTIONS...: runs the bench and prints what it says of rules
# and gate.
play() {
	play_log=$out/$1.log
	play_verb=$2
	play_site=$system/$3.toml
	shift 3
	"$bench" "$play_verb" "$play_site" "$@" --jobs "$jobs" --why "$why" \
		> "$play_log" 2>&1
	echo "$play_log: status $?"
	grep -E '^(score on|GATE|[0-9]+ days|the first that)|BROKEN|given up' \
		"$play_log"
}

# The sites in force, the smallest first: their standard days, an incident, and
# days of other seeds: 40, or 8 where 60 machines or more are played.
for row in sites/kalebasi-mesh:40 sites/hailnet-orders:40 \
	large/hailnet-orders-large:8 grown/kalebasi-mesh-grown:40 \
	grown/hailnet-orders-grown:8; do
	site=${row%:*}
	name=${site##*/}
	play "score-$name" score "$site"
	play "hunt-$name" hunt "$site" --days "${row##*:}"
	play "incident-$name" incident "$site"
done
