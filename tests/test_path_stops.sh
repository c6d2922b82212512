# Guards against requests that are cut by a graceful stop, executed twice, or
# reported as not-run after they ran when a daemon is killed or paused.
# The routes are open, so calls need no tokens: tokens are granted only while a
# fence is held, and with three hosts that takes all of them.
set -u
BUILD=${1:-build}
. tests/path_site.sh

# start_calls OPTIONS...: starts loadcall, which sends calls to e1. Sets
# LOADCALL_PID.
start_calls() {
	"$BUILD/standins/loadcall" --key "$(key_of acme)" "$@" \
		"$NET.11:$FRONT_PORT" > "$SITE/calls" &
	LOADCALL_PID=$!
	PIDS="$PIDS $LOADCALL_PID"
}

# finish_calls: waits until loadcall ends and sets its totals as count_calls
# does.
finish_calls() {
	wait "$LOADCALL_PID"
	untrack_process "$LOADCALL_PID"
	count_calls "$SITE/calls"
}

# repeated_runs: prints how many runs of both upstreams had the X-Run-Id of an
# earlier run at the same upstream.
repeated_runs() {
	total=0
	for number in 12 13; do
		value=$(upstream_counter repeated $number)
		total=$((total + ${value:-0}))
	done
	echo $total
}

# wait_upstream_used NUMBER: sends load until an upstream gets 50 requests, at
# most 30 s: an upstream that failed is ejected, and its share of the load is
# raised gradually once it is back.
wait_upstream_used() {
	tries=0
	requests_before=$(upstream_counter requests "$1")
	while [ "$(upstream_counter requests "$1")" -lt \
		$((requests_before + 50)) ] &&
		[ $tries -lt 30 ]; do
		tries=$((tries + 1))
		"$BUILD/standins/loadcall" --target /open/read --conns 8 \
			--seconds 1 "$NET.11:$FRONT_PORT" > /dev/null
	done
	expect_equal "upstream $1 is used" 1 "$([ $tries -lt 30 ] && echo 1)"
}

# The daemon of upstream b1 is stopped gracefully under load.
start_calls --method POST --target /open/book --conns 16 --seconds 6
sleep 1
PID=$(cat "$SITE/b1.pid")
kill -TERM "$PID"
wait "$PID"
expect_equal "graceful stop of b1 exits with 0" 0 $?
untrack_process "$PID"
finish_calls
expect_equal "every call is served during a graceful stop" "$SENT" "$SERVED"
expect_equal "nothing ran twice" 0 "$(repeated_runs)"
start_daemon b1
wait_ready 12 || exit 1
wait_upstream_used 12

# It is killed under load; idempotent calls are retried.
start_calls --target /open/read --conns 16 --seconds 4
sleep 1
PID=$(cat "$SITE/b1.pid")
kill -KILL "$PID"
wait "$PID" 2> /dev/null
untrack_process "$PID"
finish_calls
expect_equal "idempotent calls survive a kill" "$SENT" "$SERVED"
start_daemon b1
wait_ready 12 || exit 1
wait_upstream_used 12

# It is killed under load; calls that are not idempotent and were in flight have
# an unknown outcome, and none runs twice.
REPEATED_BEFORE=$(repeated_runs)
start_calls --method POST --target /open/book --conns 16 --seconds 4 \
	--fields 'X-Delay-Ms: 100\r\n'
sleep 1
PID=$(cat "$SITE/b1.pid")
kill -KILL "$PID"
wait "$PID" 2> /dev/null
untrack_process "$PID"
finish_calls
expect_equal "no call is cut" "0 0" "$CUT $LOST"
expect_equal "calls in flight at the killed daemon are unknown" 1 \
	"$([ "$UNKNOWN" -ge 1 ] && [ "$UNKNOWN" -le 16 ] && echo 1)"
expect_equal "nothing ran twice" "$REPEATED_BEFORE" "$(repeated_runs)"
start_daemon b1
wait_ready 12 || exit 1
wait_upstream_used 12

# It is paused under load; it must not pass on requests that expired meanwhile.
start_calls --method POST --target /open/book --conns 8 --seconds 8
sleep 1
PID=$(cat "$SITE/b1.pid")
kill -STOP "$PID"
sleep 4
kill -CONT "$PID"
finish_calls
expect_equal "nothing ran twice after a pause" \
	"$REPEATED_BEFORE" "$(repeated_runs)"
expect_equal "no call is cut by a pause" "0 0" "$CUT $LOST"
RUNS=0
for number in 12 13; do
	RUNS=$((RUNS + $(upstream_counter requests $number)))
done
echo "figure: requests that ran: $RUNS"

# The entry daemon is stopped gracefully under load; callers go on at the daemon
# of b1.
"$BUILD/standins/loadcall" --key "$(key_of acme)" --target /open/read --conns 16 \
	--seconds 6 "$NET.11:$FRONT_PORT" "$NET.12:$FRONT_PORT" > "$SITE/calls" &
LOADCALL_PID=$!
PIDS="$PIDS $LOADCALL_PID"
sleep 1
PID=$(cat "$SITE/e1.pid")
kill -TERM "$PID"
wait "$PID"
expect_equal "graceful stop of the entry exits with 0" 0 $?
untrack_process "$PID"
finish_calls
expect_equal "no call is cut by the stop of the entry" "0 0" "$CUT $LOST"
expect_equal "every call is served during the stop of the entry" \
	"$SENT" "$SERVED"
[ "$SENT" = "$SERVED" ] ||
	grep -H "event=request.*outcome=" "$SITE/e1.log" "$SITE/b1.log" |
	grep -v "outcome=served" | tail -n 20
[ "$FAILURES" -eq 0 ]
