# Guards against requests that reach an upstream of an evacuated data centre: new
# and queued ones, those of the daemons there, after a restart while the store is
# down; and against a data centre that gets none after its evacuation.
set -u
BUILD=${1:-build}
FAILED=0
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

SLOTS=10
{
	data_centre_rows m1 m2
	service_rows 1000 booking
	route_row book booking 12 9000 "open = true"
} > "$SITE/table.rows"
write_table 1
for row in b1:m1:11 b2:m1:12 b3:m2:13; do
	name=${row%%:*}
	data_centre=${row#*:}
	data_centre=${data_centre%:*}
	number=${row##*:}
	host_row "$name" booking "$data_centre" "$number" "slots = $SLOTS" \
		>> "$SITE/hosts.rows"
done
cp "$SITE/hosts.rows" "$SITE/hosts.listed"
write_hosts 2
start_platform
for row in b1:m1:11 b2:m1:12 b3:m2:13; do
	name=${row%%:*}
	data_centre=${row#*:}
	data_centre=${data_centre%:*}
	number=${row##*:}
	write_settings "$name" booking "$data_centre" "$number"
	use_platform "$name"
	add_seeds "$name" 11 12 13
	start_upstream "$name" "$number" --delay-us 100000 --slots $SLOTS
	start_daemon "$name"
	eval "PID_$number=$PID"
done
wait_ready 11 12 13 || exit 1

# evacuate REVISION [NAME]: installs the host list with a data centre that is
# evacuated, or without any.
evacuate() {
	{
		[ $# -lt 2 ] || echo "evacuated = [\"$2\"]"
		cat "$SITE/hosts.listed"
	} > "$SITE/hosts.rows"
	write_hosts "$1"
}

# in_force REVISION NUMBER...: waits until the daemons have the host list.
in_force() {
	in_force_revision=$1
	shift
	for in_force_number in "$@"; do
		tries=0
		until [ "$(status_number "$in_force_number" hosts_revision)" = \
			"$in_force_revision" ] || [ $tries -gt 100 ]; do
			tries=$((tries + 1))
			sleep 0.1
		done
	done
}

# runs NUMBER...: prints how many requests the upstreams have received.
runs() {
	runs_sum=0
	for runs_number in "$@"; do
		runs_sum=$((runs_sum + $(upstream_stat "$runs_number" requests)))
	done
	echo "$runs_sum"
}

# metric NUMBER NAME: prints a metric of a daemon, 0 if it has none.
metric() {
	curl -s --max-time 1 "http://$NET.$1:$OPERATORS_PORT/metrics" |
		awk -v name="$2" 'index($1, name) == 1 { n += $2 }
			END { print n + 0 }'
}

# status_evacuated NUMBER: prints the evacuated data centres that cassiactl
# shows, in one line.
status_evacuated() {
	"$BUILD/cassiactl" status --json \
		--operators "$NET.$1:$OPERATORS_PORT" |
		sed -n 's/.*"evacuated": *\[\([^]]*\)\].*/\1/p' | tr -d '" '
}

start_caller load nobody /book "11 12" --method POST --rate 60 \
	--duration-ms 15000 --retries 0
CALLER_PID=$PID
sleep 3
check_at_least "runs in the data centre before the evacuation" "$(runs 11 12)" 30
check "status before the evacuation" "$(status_evacuated 11)" ""
for number in 11 12; do
	curl -s -o /dev/null "http://$NET.$number:$UPSTREAM_PORT/_delay/1200000"
done
sleep 2
check_at_least "queued when the evacuation begins" \
	$(($(metric 11 cassia_queued) + $(metric 12 cassia_queued))) 3
evacuate 3 m1
in_force 3 11 12 13
before=$(runs 11 12)
other_before=$(runs 13)
check "queued when the evacuation is known" \
	$(($(metric 11 cassia_queued) + $(metric 12 cassia_queued))) 0
sleep 4
check "runs in the evacuated data centre" $(($(runs 11 12) - before)) 0
check_at_least "runs elsewhere, of the daemons there" \
	$(($(runs 13) - other_before)) 30
check "requests cut" "$(count_attempts load cut)" 0
check "status during the evacuation" "$(status_evacuated 11)" m1
check "begun evacuations of a daemon" \
	"$(metric 13 cassia_evacuations_begun_total)" 1

# A daemon that starts while the store is down has the list of its peers.
kill_process "$PLATFORM_PID"
# shellcheck disable=SC2154 # set by eval
kill_process "$PID_11"
start_daemon b1
PID_11=$PID
wait_ready 11 || exit 1
before=$(runs 11 12)
served=0
for i in 1 2 3 4 5 6 7 8 9 10; do
	call 11 nobody /book -X POST
	[ "$STATUS" = 200 ] && served=$((served + 1))
done
check "served by a daemon that has restarted" $served 10
check "runs in the evacuated data centre after the restart" \
	$(($(runs 11 12) - before)) 0
check "status after the restart" "$(status_evacuated 11)" m1
wait_process "$CALLER_PID"
check "requests with an unknown outcome, but for those of the restart" \
	"$(($(count_attempts load unknown 0 8000)))" 0

# The evacuation ends.
start_platform
for name in b1 b2 b3; do
	sed -i "s|^url = .*|url = \"$PLATFORM\"|" "$SITE/$name.toml"
done
for number in 11 12 13; do
	eval "kill_process \"\$PID_$number\""
done
for row in b1:11 b2:12 b3:13; do
	start_daemon "${row%:*}"
done
wait_ready 11 12 13 || exit 1
for number in 11 12; do
	curl -s -o /dev/null "http://$NET.$number:$UPSTREAM_PORT/_delay/1000"
done
before=$(runs 11 12)
call 11 nobody /book -X POST
check "status after a restart of all daemons" "$STATUS" 200
check "runs in the data centre after a restart of all daemons" \
	$(($(runs 11 12) - before)) 0
evacuate 4
in_force 4 11 12 13
for i in 1 2 3 4 5 6 7 8 9 10; do
	call 11 nobody /book -X POST
done
check_at_least "runs in the data centre after the evacuation" \
	$(($(runs 11 12) - before)) 5
check "status after the evacuation" "$(status_evacuated 11)" ""
check "ended evacuations of a daemon" \
	"$(metric 11 cassia_evacuations_ended_total)" 1
[ $FAILED -eq 0 ]
