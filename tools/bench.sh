#!/bin/sh
# Runs every benchmark under $1/bench, one after the other.
set -eu
build=$1
for program in "$build"/bench/bench_*; do
	[ -x "$program" ] && "$program"
done
