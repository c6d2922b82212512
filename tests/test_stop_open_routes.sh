# Guards against requests for open routes that a stopping daemon takes late and
# then gives up. With the platform's protocol such a request may be a child call
# of the upstream, and long requests there keep the stop waiting.
set -u
BUILD=${1:-build}
FAILED=0
LIMIT_MS=5000
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

{
	data_centre_rows m1
	service_rows 1000 booking
	route_row book booking 12 3000 "open = true"
	route_row report booking 12 25000 "open = true"
} > "$SITE/table.rows"
write_table 1
for row in b1:11 b2:12; do
	name=${row%:*}
	number=${row#*:}
	DRAIN_TIMEOUT_MS=$LIMIT_MS start_host "$name" booking m1 "$number" \
		--delay-us 300000
	kill_process "$PID"
	use_platform_profile "$name"
	start_daemon "$name"
	eval "PID_$number=$PID"
done
sed -i 's/^address/slots = 500\n&/' "$SITE/hosts.rows"
write_hosts 1
wait_ready 11 12 || exit 1

"$BUILD/standins/loadcall" --method POST --target /book --conns 20 --seconds 3 \
	"$NET.12:$FRONT_PORT" "$NET.11:$FRONT_PORT" > /dev/null
"$BUILD/standins/loadcall" --lines --prefix book --method POST --target /book \
	--conns 20 --seconds 8 --refused-gap-ms 50 "$NET.11:$FRONT_PORT" \
	> "$SITE/load" &
LOAD_PID=$!
PIDS="$PIDS $LOAD_PID"
long_pids=""
for i in 1 2 3 4 5 6 7 8; do
	curl -s --max-time 20 -X POST -H "X-Run-Id: long$i" \
		-H "X-Delay-Ms: 12000" -o /dev/null -w '%{http_code}\n' \
		"http://$NET.11:$FRONT_PORT/report" > "$SITE/long$i" &
	long_pids="$long_pids $!"
	PIDS="$PIDS $!"
done
sleep 1
# shellcheck disable=SC2154 # the ids are set by start_host
stopped_ms=$(now_ms)
kill -TERM "$PID_11"
wait_process "$PID_11"
check_at_most "ms from SIGTERM to the exit" $(($(now_ms) - stopped_ms)) \
	$((LIMIT_MS + 500))
wait_process $LOAD_PID
for pid in $long_pids; do
	wait_process "$pid"
done
cat "$SITE"/b?.runs | cut -d' ' -f2 | sort > "$SITE/ran"
check "requests sent after SIGTERM that ran and were not served" \
	"$(awk -v from="$stopped_ms" \
		'NF >= 8 && $4 > from && $3 != "served" { print $1 }' \
		"$SITE/load" | sort | comm -12 - "$SITE/ran" | wc -l)" 0
check_at_least "requests sent after SIGTERM that were served" \
	"$(awk -v from="$stopped_ms" \
		'NF >= 8 && $4 > from && $3 == "served"' "$SITE/load" | wc -l)" 20
check "answers to requests that outlast the stop" \
	"$(cat "$SITE"/long? | sort | uniq -c | tr -s ' ')" " 8 502"
[ $FAILED -eq 0 ]
