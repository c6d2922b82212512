#!/bin/sh
# Guards against requests beyond the rate that an upstream states in its
# responses, and against requests to an upstream whose responses say that it
# leaves.
set -u
BUILD=${1:-build}
FAILED=0
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

RATE=12
# Most requests in 4 s: one and a half times the rate, and 5.
BOUND=$((RATE * 4 * 3 / 2 + 5))
{
	data_centre_rows m1
	service_rows 1000 edge booking
	route_row book booking 12 3000 "open = true"
} > "$SITE/table.rows"
write_table 1
for row in e1:edge:11 b1:booking:12 b2:booking:13; do
	name=${row%%:*}
	number=${row##*:}
	service=${row#*:}
	service=${service%:*}
	host_row "$name" "$service" m1 "$number" \
		"slots = 40
instance = \"i-$name\"" >> "$SITE/hosts.rows"
	write_settings "$name" "$service" m1 "$number"
	use_platform_profile "$name"
	start_upstream "$name" "$number" --delay-us 20000 --slots 40
	start_daemon "$name"
	eval "DAEMON_$name=$PID"
done
write_hosts 1
wait_ready 11 12 13 || exit 1

# tell NUMBER PATH: changes what the upstream of a host states.
tell() {
	curl -s -o /dev/null --max-time 2 "http://$NET.$1:$UPSTREAM_PORT$2"
}

# requests_in NUMBER SECONDS: prints the requests that an upstream gets in a
# time from now on.
requests_in() {
	requests_before=$(upstream_stat "$1" requests)
	sleep "$2"
	echo $(($(upstream_stat "$1" requests) - requests_before))
}

# Half of the requests come through the daemon beside the upstream.
start_caller load nobody /book "11 12" --rate 150 --duration-ms 30000
CALLER_PID=$PID
sleep 2
check_at_least "requests in 2 s, no rate" "$(requests_in 12 2)" 50

tell 12 "/_rate/$RATE"
sleep 3
for window in 1 2; do
	count=$(requests_in 12 4)
	check_at_most "requests in 4 s, window $window" "$count" $BOUND
	check_at_least "requests in 4 s, window $window" "$count" \
		$((RATE * 4 * 3 / 4))
done
# The daemon beside the upstream forgets the rate.
kill_process "$DAEMON_b1"
start_daemon b1
DAEMON_b1=$PID
sleep 1
check_at_most "requests in 4 s, daemon restarted" "$(requests_in 12 4)" $BOUND
# A value that is no rate does not end the limit.
tell 12 "/_rate/unlimited"
sleep 1
check_at_most "requests in 4 s, value malformed" "$(requests_in 12 4)" $BOUND
tell 12 "/_rate/-"
sleep 3
check_at_least "requests in 2 s, rate no longer stated" \
	"$(requests_in 12 2)" 50

wait_process "$CALLER_PID"

start_caller last nobody /book 11 --rate 100 --duration-ms 14000
CALLER_PID=$PID
sleep 1
check_at_least "requests in 2 s, before it leaves" "$(requests_in 12 2)" 20
tell 12 /_leaving
sleep 2
check "requests in 2 s, leaving" "$(requests_in 12 2)" 0
# Only the daemon where the requests begin knows now that the upstream leaves.
kill_process "$DAEMON_b1"
start_daemon b1
sleep 1
check "requests in 3 s, leaving, daemon restarted" "$(requests_in 12 3)" 0
wait_process "$CALLER_PID"
for load in load last; do
	echo "figure: $load: sent=$(count_attempts $load .)" \
		"served=$(count_attempts $load served)" \
		"not_run=$(count_attempts $load not-run)" \
		"unknown=$(count_attempts $load unknown)"
	check_at_least "$load: served, per mille" \
		$(($(count_attempts $load served) * 1000 /
		   $(count_attempts $load .))) 950
done
[ $FAILED -eq 0 ]
