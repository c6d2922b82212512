# Guards against a customer that gets more than its rate and burst over all
# hosts together while daemons are paused, killed and restarted and the host
# list changes; counts what the callers were served, with real processes.
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
started=$(date +%s%3N)
CALLERS=""
for number in 11 12 13 14 15; do
	curl -s -o /dev/null -w '%{stderr}%{http_code}\n' --rate 60/s \
		-m $LOAD_S -H "Authorization: Bearer $(key acme)" \
		"http://$NET.$number:$FRONT/book?[1-$((60 * LOAD_S))]" \
		2> "$SITE/codes.$number" &
	CALLERS="$CALLERS $!"
done
PIDS="$PIDS $CALLERS"
sleep 11
# shellcheck disable=SC2154 # the ids are set by eval
kill -STOP "$PID_12"
sleep 1
kill -KILL "$PID_14"
wait "$PID_14" 2>/dev/null
forget "$PID_14"
start_daemon b4
sleep 3
sed -i 's/name = "b3"/leaving = true\n&/' "$SITE/hosts.rows"
write_hosts 2
sleep 4
kill -CONT "$PID_12"
sleep 4
for pid in $CALLERS; do
	kill -TERM "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
	forget "$pid"
done
elapsed=$(($(date +%s%3N) - started))
served=$(cat "$SITE"/codes.* | grep -c 200)
refused=$(cat "$SITE"/codes.* | grep -c 429)
bound=$((RATE * elapsed / 1000 + BURST))
echo "figure: served=$served refused=$refused bound=$bound elapsed_ms=$elapsed"
[ "$served" -le "$bound" ] || { echo "WRONG: more than rate and burst"; exit 1; }
[ "$served" -ge $((RATE * 5)) ] || { echo "WRONG: too few served"; exit 1; }
