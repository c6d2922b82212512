#!/bin/sh
# Runs every benchmark program under $1/bench, one after the other, then
# bench/bench_fleet.sh for several sizes of the fleet. A size is DAEMONS:LISTED,
# the number of daemons that run and of hosts in the host list. With $2, runs
# only the program bench_$2.
set -eu
build=$1
if [ -n "${2:-}" ]; then
	exec "$build/bench/bench_$2"
fi
for program in "$build"/bench/bench_*; do
	[ -x "$program" ] && "$program"
done
for size in 4:4 34:170 68:340 136:680; do
	sh bench/bench_fleet.sh "$build" "${size%:*}" "${size#*:}"
done
