# Guards against a customer whose calls are served above its rate and burst over
# all hosts together while daemons are paused, killed and restarted and the host
# list changes. The served calls are counted at the callers.
set -u
BUILD=${1:-build}
RATE=60
BURST=60
LOAD_S=24
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

booking_rows 100 2000 $RATE $BURST > "$SITE/table.rows"
key_row acme >> "$SITE/table.rows"
for row in b1:m1:11 b2:m1:12 b3:m1:13 b4:m2:14 b5:m2:15; do
	name=${row%%:*}
	number=${row##*:}
	dc=${row#*:}
	dc=${dc%:*}
	host_row "$name" booking "$dc" "$number" >> "$SITE/hosts.rows"
	write_settings "$name" booking "$dc" "$number"
done
write_table 1
write_hosts 1
for number in 11 12 13 14 15; do
	name=b$((number - 10))
	start_upstream "$name" "$number" --delay-us 500 --slots 16
	start_daemon "$name"
	eval "PID_$number=$PID"
done
wait_ready 11 12 13 14 15 || exit 1

# Each caller sends up to 60 calls/s to its host, 300/s in all.
start_ms=$(date +%s%3N)
CALLER_PIDS=""
for number in 11 12 13 14 15; do
	curl -s -o /dev/null -w '%{stderr}%{http_code}\n' --rate 60/s \
		-m $LOAD_S -H "Authorization: Bearer $(key_of acme)" \
		"http://$NET.$number:$FRONT_PORT/book?[1-$((60 * LOAD_S))]" \
		2> "$SITE/codes.$number" &
	CALLER_PIDS="$CALLER_PIDS $!"
done
PIDS="$PIDS $CALLER_PIDS"
sleep 11
# shellcheck disable=SC2154 # the ids are set by eval
kill -STOP "$PID_12"
sleep 1
kill -KILL "$PID_14"
wait "$PID_14" 2>/dev/null
untrack_process "$PID_14"
start_daemon b4
sleep 3
sed -i 's/name = "b3"/leaving = true\n&/' "$SITE/hosts.rows"
write_hosts 2
sleep 4
kill -CONT "$PID_12"
sleep 4
for pid in $CALLER_PIDS; do
	kill -TERM "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
	untrack_process "$pid"
done
elapsed_ms=$(($(date +%s%3N) - start_ms))
served=$(cat "$SITE"/codes.* | grep -c 200)
refused=$(cat "$SITE"/codes.* | grep -c 429)
limit=$((RATE * elapsed_ms / 1000 + BURST))
echo "figure: served=$served refused=$refused limit=$limit elapsed_ms=$elapsed_ms"
[ "$served" -le "$limit" ] || {
	echo "FAIL: more calls served than rate and burst allow"
	exit 1
}
[ "$served" -ge $((RATE * 5)) ] || {
	echo "FAIL: fewer calls served than 5 s of the rate"
	exit 1
}
