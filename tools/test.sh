#!/bin/sh
# Runs every test program under $1/tests and every tests/*.sh script and
# prints the totals. Tests named in KNOWN-RED.txt are run and printed, but do
# not decide the verdict.
set -u
build=$1
passed=0
failed=0
known_red=0

is_known_red() {
	[ -f KNOWN-RED.txt ] && grep -q "^test: $1\$" KNOWN-RED.txt
}

run_one() {
	name=$1
	shift
	log=$build/tests/$name.log
	if timeout 300 "$@" > "$log" 2>&1; then
		count=$(grep -cE '\[ +OK +\]' "$log")
		[ "$count" -gt 0 ] || count=1
		passed=$((passed + count))
		echo "ok $name ($count)"
	elif is_known_red "$name"; then
		known_red=$((known_red + 1))
		echo "known red: $name"
		tail -n 20 "$log"
	else
		failed=$((failed + 1))
		echo "FAILED $name"
		tail -n 60 "$log"
	fi
}

mkdir -p "$build/tests"
for program in "$build"/tests/test_*; do
	case $program in *.log) continue ;; esac
	[ -x "$program" ] && run_one "$(basename "$program")" "$program"
done
for script in tests/test_*.sh; do
	[ -f "$script" ] && run_one "$(basename "$script" .sh)" \
		sh "$script" "$build"
done
for seed in 1 2 3; do
	[ -x "$build/soak/soak" ] && run_one "soak_$seed" \
		"$build/soak/soak" --seed "$seed"
done

echo "known red: $known_red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
