#!/bin/sh
# Runs every benchmark under $1/bench, one after the other, then real idle
# daemons in one data centre at several sizes of the fleet.
set -eu
build=$1
for program in "$build"/bench/bench_*; do
	[ -x "$program" ] && "$program"
done
for size in 4:4 34:170 68:340 136:680; do
	sh bench/bench_fleet.sh "$build" "${size%:*}" "${size#*:}"
done
