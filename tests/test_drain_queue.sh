# Guards against requests that wait in a daemon's queue and reach its upstream
# 2 s or more after it was listed as leaving, or at all after it was taken off
# the host list. They are sent to another upstream in its place. The upstreams
# are slow, so that queues are longer than the announcement of a drain.
set -u
BUILD=${1:-build}
FAILED=0
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

SLOTS=10
{
	data_centre_rows m1
	printf '[[data_centre]]\nname = "a1"\nregion = "aegean"\n'
	service_rows 1000 edge booking
	route_row book booking 12 9000 "open = true"
} > "$SITE/table.rows"
write_table 1
start_host e1 edge m1 11
# b3 is in another region, so it gets work only when the others are full.
for row in b1:m1:12 b2:m1:13 b3:a1:14; do
	data_centre=${row#*:}
	start_host "${row%%:*}" booking "${data_centre%:*}" "${row##*:}" \
		--delay-us 100000 --slots $SLOTS
done
sed -i "s/^address/slots = $SLOTS\n&/" "$SITE/hosts.rows"
write_hosts 1
wait_ready 11 12 13 14 || exit 1

# set_delay NUMBER...: makes requests at the upstreams take 1.2 s.
set_delay() {
	for number in "$@"; do
		curl -s -o /dev/null \
			"http://$NET.$number:$UPSTREAM_PORT/_delay/1200000"
	done
}

# remove_host NAME: removes the row of a host from hosts.rows.
remove_host() {
	awk -v name="name = \"$1\"" '
		function flush() {
			if (!index(row, name)) printf "%s", row
			row = ""
		}
		/^\[\[host\]\]/ { flush() }
		{ row = row $0 "\n" }
		END { flush() }' "$SITE/hosts.rows" > "$SITE/hosts.left"
	mv "$SITE/hosts.left" "$SITE/hosts.rows"
}

# queued NUMBER: prints how many requests wait in the queue of a daemon.
queued() {
	curl -s --max-time 1 "http://$NET.$1:$OPERATORS_PORT/metrics" |
		sed -n 's/^cassia_queued //p'
}

start_caller load nobody /book 11 --method POST --rate 40 \
	--duration-ms 16000 --retries 1
CALLER_PID=$PID
sleep 3
set_delay 12 13
sleep 3
check_at_least "queued beside the upstream that leaves" \
	"$(queued 12)" 5
sed -i 's/^name = "b1"/leaving = true\n&/' "$SITE/hosts.rows"
write_hosts 2
sleep 2
runs_at_2_s=$(upstream_stat 12 requests)
sleep 2
check "requests from 2 s after the upstream is listed as leaving" \
	$(($(upstream_stat 12 requests) - runs_at_2_s)) 0

check_at_least "queued beside the upstream that is taken off the list" \
	"$(queued 13)" 5
remove_host b2
write_hosts 3
# Time in which the daemon reads the list.
sleep 1.5
runs_at_removal=$(upstream_stat 13 requests)
sleep 2
check "requests after the upstream was taken off the list" \
	$(($(upstream_stat 13 requests) - runs_at_removal)) 0
wait_process "$CALLER_PID"
check "requests cut" "$(count_attempts load cut)" 0
check "requests with an unknown outcome" "$(count_attempts load unknown)" 0
echo "figure: sent=$(count_attempts load .) served=$(count_attempts load served)" \
	"unsent=$(count_attempts load unsent) not_run=$(count_attempts load not-run)"
[ $FAILED -eq 0 ]
