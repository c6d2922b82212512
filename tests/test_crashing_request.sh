#!/bin/sh
# Guards against a request that crashes one upstream after another because it is
# sent to the next one each time, and against innocent requests that are refused
# because they ran beside it.
set -u
BUILD=${1:-build}
FAILED=0
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

{
	data_centre_rows m1 m2
	service_rows 1000 edge booking
	route_row book booking 12 3000 "open = true" "idempotent = true"
} > "$SITE/table.rows"
write_table 1
for row in e1:edge:11:m1 e2:edge:12:m2 b1:booking:13:m1 b2:booking:14:m1 \
	b3:booking:15:m1 b4:booking:16:m2 b5:booking:17:m2 b6:booking:18:m2; do
	name=${row%%:*}
	rest=${row#*:}
	service=${rest%%:*}
	rest=${rest#*:}
	number=${rest%%:*}
	dc=${rest##*:}
	host_row "$name" "$service" "$dc" "$number" \
		"slots = 40
instance = \"i-$name\"" >> "$SITE/hosts.rows"
	write_settings "$name" "$service" "$dc" "$number"
	use_platform_profile "$name"
	start_upstream "$name" "$number" --delay-us 40000 --slots 40 \
		--crash-ms 2000
	start_daemon "$name"
	eval "DAEMON_$name=$PID"
done
write_hosts 1
UPSTREAMS="13 14 15 16 17 18"
# shellcheck disable=SC2086 # one word for each number
wait_ready 11 12 $UPSTREAMS || exit 1

# crashes: prints how often upstreams have crashed. One that is down is asked
# again, for 4 s at most.
crashes() {
	total=0
	for number in $UPSTREAMS; do
		tries=0
		count=$(upstream_stat "$number" crashes)
		while [ -z "$count" ] && [ $tries -lt 40 ]; do
			tries=$((tries + 1))
			sleep 0.1
			count=$(upstream_stat "$number" crashes)
		done
		total=$((total + ${count:-100}))
	done
	echo $total
}

# All requests of this load are the same one.
start_caller load nobody /book "11 12 13 16" --rate 120 --duration-ms 18000
LOAD_PID=$PID
sleep 2
start_caller deadly nobody "/book?order=7" "11 12 13 16" --rate 6 \
	--duration-ms 12000 --header "X-Crash: 1"
sleep 5
early=$(crashes)
sleep 9
check_at_most "upstreams that crashed in 5 s" "$early" 5
check_at_most "upstreams that crashed in all" "$(crashes)" 5
check_at_least "upstreams that crashed in all" "$(crashes)" 1
wait_process "$LOAD_PID"
for load in load deadly; do
	echo "figure: $load: sent=$(count_attempts $load .)" \
		"served=$(count_attempts $load served)" \
		"not_run=$(count_attempts $load not-run)" \
		"unknown=$(count_attempts $load unknown)"
done
check_at_least "innocent requests served, per mille" \
	$(($(count_attempts load served) * 1000 / $(count_attempts load .))) 970
# From 3 s after the first crash on.
check "deadly requests refused as not run" \
	"$(count_attempts deadly not-run 3000 12000)" \
	"$(count_attempts deadly . 3000 12000)"
# It runs as any other once it no longer crashes upstreams, though not at once.
call 11 nobody "/book?order=8"
check "another request of the same route" "$STATUS" 200
[ $FAILED -eq 0 ]
