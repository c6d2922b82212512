#!/bin/sh
# Guards against an upstream that crashes because it gets more requests than it
# tolerates while it is cold: after its restart under load, when its daemon
# restarts with it, and when its health request gets no response. The stand-in
# ends when more than 32 requests arrive in any one second while it is cold.
# Guards as well against an upstream that stays below its full load afterwards.
set -u
BUILD=${1:-build}
FAILED=0
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

SLOTS=8
BOUND=32
COLD_MS=3000
{
	data_centre_rows m1
	service_rows 1000 edge
	printf '[[service]]\nname = "booking"\nwarm_up_rate = 16\n'
	printf 'warm_up_ms = %s\nhealth_path = "/_health"\n' $COLD_MS
	route_row book booking 12 3000 "open = true"
} > "$SITE/table.rows"
write_table 1
for row in e1:edge:11 b1:booking:12 b2:booking:13; do
	name=${row%%:*}
	number=${row##*:}
	service=${row#*:}
	service=${service%:*}
	host_row "$name" "$service" m1 "$number" "slots = $SLOTS" \
		>> "$SITE/hosts.rows"
	write_settings "$name" "$service" m1 "$number"
	use_platform_profile "$name"
	printf '[warm_up]\nfactor = 1.5\nslack = 8\n' >> "$SITE/$name.toml"
done
write_hosts 1

# start_cold NAME NUMBER OPTIONS...: starts an upstream that is cold.
start_cold() {
	cold_name=$1
	cold_number=$2
	shift 2
	start_upstream "$cold_name" "$cold_number" --delay-us 20000 \
		--slots $SLOTS --cold-ms $COLD_MS --cold-bound $BOUND "$@"
	eval "UP_PID_$cold_number=$PID"
}

# check_alive WHAT NUMBER: the upstream has not crashed.
check_alive() {
	eval "alive_pid=\$UP_PID_$2"
	# shellcheck disable=SC2154 # set by eval
	kill -0 "$alive_pid" 2>/dev/null
	check "$1: the upstream runs" $? 0
	check_at_most "$1: requests in any one cold second" \
		"$(upstream_stat "$2" worst_second)" $BOUND
}

# log_lines NAME EVENT: prints how many lines with the event a daemon wrote.
log_lines() {
	grep -c "event=$2 " "$SITE/$1.log"
}

# metric NUMBER NAME: prints a metric of a daemon.
metric() {
	curl -s --max-time 1 "http://$NET.$1:$OPERATORS_PORT/metrics" |
		sed -n "s/^cassia_$2 //p"
}

start_cold b1 12
# Its responses report the load of its host.
start_cold b2 13 --slowdown 100
for name in e1 b1 b2; do
	start_daemon $name
	eval "DAEMON_$name=$PID"
done
start_upstream e1 11
wait_ready 11 12 13 || exit 1

# Half of the requests come through the daemon beside the upstream that
# restarts: another one may have ejected it.
start_caller load nobody /book "11 12" --rate 150 --duration-ms 24000
CALLER_PID=$PID
# Both upstreams are cold at first.
sleep 5
check_alive "start of the site" 12
check_alive "start of the site" 13
check_at_least "start of the site: health requests" \
	"$(upstream_stat 12 health)" 1
check_at_most "start of the site: health requests" \
	"$(upstream_stat 12 health)" 5

# The upstream restarts under load.
kill_process "$UP_PID_12"
sleep 0.3
start_cold b1 12
sleep 2.5
check_alive "restart" 12
check_at_least "restart: requests in 2.5 s" "$(upstream_stat 12 requests)" 20
sleep 2.5
before=$(upstream_stat 12 requests)
sleep 2
check_at_least "restart: requests in 2 s when it is warm" \
	$(($(upstream_stat 12 requests) - before)) 60
check_alive "restart, warm" 12
check_at_most "restart: health requests" "$(upstream_stat 12 health)" 5

# The daemon restarts beside the cold upstream.
kill_process "$UP_PID_12"
start_cold b1 12
sleep 1
eval "kill_process \$DAEMON_b1"
start_daemon b1
sleep 3
check_alive "restart of upstream and daemon" 12
check_at_least "restart of upstream and daemon: requests" \
	"$(upstream_stat 12 requests)" 20

# The health request hangs.
kill_process "$UP_PID_12"
sleep 0.3
start_cold b1 12 --no-health
sleep 5
check_alive "no health response" 12
check_at_least "no health response: requests" \
	"$(upstream_stat 12 requests)" 20
check_at_most "no health response: health requests" \
	"$(upstream_stat 12 health)" 5
wait_process "$CALLER_PID"
echo "figure: sent=$(count_attempts load .) served=$(count_attempts load served)" \
	"not_run=$(count_attempts load not-run)" \
	"unknown=$(count_attempts load unknown)"
check_at_least "requests refused and sent on" \
	"$(grep -c 'event=attempt .*reason=warming-up' "$SITE/e1.log")" 10
check "malformed load reports" "$(metric 13 load_reports_malformed_total)" 0
check "implausible load reports" \
	"$(metric 13 load_reports_implausible_total)" 0
check_at_least "warm-ups logged" "$(log_lines b1 warm_up_begins)" 3
check_at_least "ends of warm-ups logged" "$(log_lines b1 warm_up_ends)" 1
[ $FAILED -eq 0 ]
