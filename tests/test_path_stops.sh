# Guards against requests that are cut by a graceful stop, executed twice, or
# reported as not-run after they ran when a daemon is killed or paused.
# Open routes are used, because the fence of three hosts, and so the granting
# of tokens, needs all of them.
set -u
BUILD=${1:-build}
. tests/path_site.sh

start_calls() {
	"$BUILD/standins/loadcall" --key "$(key acme)" "$@" \
		"$NET.11:$FRONT" > "$SITE/calls" &
	CALLER=$!
	PIDS="$PIDS $CALLER"
}

end_calls() {
	wait "$CALLER"
	forget "$CALLER"
	count_calls "$SITE/calls"
}

repeated() {
	total=0
	for number in 12 13; do
		value=$(stats repeated $number)
		total=$((total + ${value:-0}))
	done
	echo $total
}

# wait_used NUMBER: sends load until an upstream gets a part of it again, at
# most 30 s: one that was gone is ejected first and then comes back gradually.
wait_used() {
	tries=0
	before=$(stats requests "$1")
	while [ "$(stats requests "$1")" -lt $((before + 50)) ] &&
		[ $tries -lt 30 ]; do
		tries=$((tries + 1))
		"$BUILD/standins/loadcall" --target /open/read --conns 8 \
			--seconds 1 "$NET.11:$FRONT" > /dev/null
	done
	check "upstream $1 is used" 1 "$([ $tries -lt 30 ] && echo 1)"
}

# The upstream's daemon stops under load.
start_calls --method POST --target /open/book --conns 16 --seconds 6
sleep 1
PID=$(cat "$SITE/b1.pid")
kill -TERM "$PID"
wait "$PID"
check "graceful stop of b1 exits with 0" 0 $?
forget "$PID"
end_calls
check "every call is served during a graceful stop" "$SENT" "$SERVED"
check "nothing ran twice" 0 "$(repeated)"
start_daemon b1
wait_ready 12 || exit 1
wait_used 12

# It is killed under load: idempotent calls are retried.
start_calls --target /open/read --conns 16 --seconds 4
sleep 1
PID=$(cat "$SITE/b1.pid")
kill -KILL "$PID"
wait "$PID" 2> /dev/null
forget "$PID"
end_calls
check "idempotent calls survive a kill" "$SENT" "$SERVED"
start_daemon b1
wait_ready 12 || exit 1
wait_used 12

# Calls that are not idempotent are unknown, and none runs twice.
BEFORE=$(repeated)
start_calls --method POST --target /open/book --conns 16 --seconds 4 \
	--fields 'X-Delay-Ms: 100\r\n'
sleep 1
PID=$(cat "$SITE/b1.pid")
kill -KILL "$PID"
wait "$PID" 2> /dev/null
forget "$PID"
end_calls
check "no call is cut" "0 0" "$CUT $LOST"
check "calls in flight at the killed daemon are unknown" 1 \
	"$([ "$UNKNOWN" -ge 1 ] && [ "$UNKNOWN" -le 16 ] && echo 1)"
check "nothing ran twice" "$BEFORE" "$(repeated)"
start_daemon b1
wait_ready 12 || exit 1
wait_used 12

# A paused daemon does not hand on what has expired meanwhile.
start_calls --method POST --target /open/book --conns 8 --seconds 8
sleep 1
PID=$(cat "$SITE/b1.pid")
kill -STOP "$PID"
sleep 4
kill -CONT "$PID"
end_calls
check "nothing ran twice over a pause" "$BEFORE" "$(repeated)"
check "no call is cut by a pause" "0 0" "$CUT $LOST"
RAN=0
for number in 12 13; do
	RAN=$((RAN + $(stats requests $number)))
done
echo "requests that ran: $RAN"

# The entry daemon stops under load; callers go on at another one.
"$BUILD/standins/loadcall" --key "$(key acme)" --target /open/read --conns 16 \
	--seconds 6 "$NET.11:$FRONT" "$NET.12:$FRONT" > "$SITE/calls" &
CALLER=$!
PIDS="$PIDS $CALLER"
sleep 1
PID=$(cat "$SITE/e1.pid")
kill -TERM "$PID"
wait "$PID"
check "graceful stop of the entry exits with 0" 0 $?
forget "$PID"
end_calls
check "no caller is cut by it" "0 0" "$CUT $LOST"
check "every call of it is served" "$SENT" "$SERVED"
[ "$FAILURES" -eq 0 ]
