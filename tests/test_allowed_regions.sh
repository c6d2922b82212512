# Guards against requests that run in a region that their route or customer does
# not allow: the first choice, retries and reroutes, child calls, and requests that
# wait in a queue while the table changes.
set -u
BUILD=${1:-build}
FAILED=0
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

# write_regions REVISION ROUTE_LINES CUSTOMER_LINES: installs a table in which
# the route /book and the customer acme have these further lines.
write_regions() {
	{
		data_centre_rows m1
		printf '[[data_centre]]\nname = "a1"\nregion = "aegean"\n'
		service_rows 1000 edge booking deep
		route_row book booking 12 4000 ${2:+"$2"}
		route_row deep deep 12 4000 "open = true"
		customer_row acme 20000 20000
		[ -z "$3" ] || echo "$3"
		customer_row other 20000 20000
		key_row acme
		key_row other
	} > "$SITE/table.rows"
	write_table "$1"
}

# in_force REVISION NUMBER...: waits until the daemons have the table.
in_force() {
	in_force_revision=$1
	shift
	for in_force_number in "$@"; do
		tries=0
		until [ "$(status_number "$in_force_number" table_revision)" = \
			"$in_force_revision" ] || [ $tries -gt 50 ]; do
			tries=$((tries + 1))
			sleep 0.1
		done
	done
}

# runs NUMBER: prints how many requests the upstream has received.
runs() {
	upstream_stat "$1" requests
}

# send COUNT CUSTOMER: sends requests through e1; SERVED counts those with 200.
send() {
	SERVED=0
	send_left=$1
	while [ "$send_left" -gt 0 ]; do
		call 11 "$2" /book
		if [ "$STATUS" = 200 ]; then
			SERVED=$((SERVED + 1))
		fi
		send_left=$((send_left - 1))
	done
}

write_regions 1 "" ""
start_host e1 edge m1 11
start_host b1 booking m1 12 --delay-us 1000 --slots 10
start_host b2 booking a1 13 --delay-us 1000 --slots 10
# The only upstream of the service deep is in the other region.
start_host d1 deep a1 14 --delay-us 1000
# On the platform, child calls carry no handle, but an id with that of the parent.
start_host p1 edge m1 15
use_platform_profile p1
printf '[quota]\nwindow_ms = 5000\nover = 0.25\nslack = 20\n' >> "$SITE/p1.toml"
kill_process "$PID"
start_daemon p1
sed -i "s/^address/slots = 10\n&/" "$SITE/hosts.rows"
write_hosts 1
wait_ready 11 12 13 14 15 || exit 1
# Tokens are granted some time after the start.
tries=0
call 11 acme /book
until [ "$STATUS" = 200 ] || [ $tries -gt 60 ]; do
	tries=$((tries + 1))
	sleep 0.3
	call 11 acme /book
done
send 5 acme
check "served without a list" "$SERVED" 5

# child_status CUSTOMER: prints the status of a child call to the service deep,
# which the upstream of b1 makes for a request of the customer.
child_status() {
	call 12 "$1" /book -H "X-Child: /deep"
	printf %s "$BODY" | sed -n 's/.*"child_status":\([-0-9]*\).*/\1/p'
}

# orphan_status NUMBER PORT [ID]: prints the status of a call to the service deep
# that comes to a port of a daemon without a known parent.
orphan_status() {
	curl -s -o /dev/null --max-time 5 -w '%{http_code}' \
		-H "Cassiadale-Request-Id: ${3:-}" "http://$NET.$1:$2/deep"
}

check "child call of a customer without a list" "$(child_status acme)" 200
check "call without a handle" "$(orphan_status 12 $LOCAL_PORT)" 200
check "call of an unknown parent" \
	"$(orphan_status 15 $FRONT_PORT gone.1)" 200

# A child call has the list of the customer of its root request. When the parent
# is unknown, only the region of its host is certain to be allowed.
write_regions 2 "" 'regions = ["marmara"]'
in_force 2 11 12 13 14 15
before=$(runs 14)
check "child call outside the regions of the customer" \
	"$(child_status acme)" 503
check "call without a handle, customers with lists" \
	"$(orphan_status 12 $LOCAL_PORT)" 503
check "call of an unknown parent, customers with lists" \
	"$(orphan_status 15 $FRONT_PORT gone.1)" 503
check "runs outside the regions of the customer" $(($(runs 14) - before)) 0
check "child call of another customer" "$(child_status other)" 200
check "request on an open route" "$(orphan_status 15 $FRONT_PORT plain)" 200

# The region next to the entry daemon is not allowed.
write_regions 3 "" 'regions = ["aegean"]'
in_force 3 11 12 13
before=$(runs 12)
send 20 acme
check "served in the other region" "$SERVED" 20
check "runs in the own region" $(($(runs 12) - before)) 0
send 5 other
check_at_least "runs of a customer without a list in the own region" \
	$(($(runs 12) - before)) 5

# The allowed upstream goes away: no retry, reroute or last resort leaves the
# region, and the rejection comes at once.
kill_process "$(cat "$SITE/b2.up.pid")"
# shellcheck disable=SC2154 # set by eval in start_host
kill_process "$PID_13"
before=$(runs 12)
send 5 acme
check "served when no allowed upstream is up" "$SERVED" 0
start=$(now_ms)
call 11 acme /book -D "$SITE/head"
check "status when no allowed upstream is up" "$STATUS" 503
check "outcome when no allowed upstream is up" "$(outcome)" not-run
check_at_most "ms until the rejection" $(($(now_ms) - start)) 500
check_at_least "Retry-After fields" \
	"$(grep -ci '^retry-after: *[1-9]' "$SITE/head")" 1
check "runs in the own region" $(($(runs 12) - before)) 0

# Both lists bind: they have no region in common.
write_regions 4 'regions = ["marmara"]' 'regions = ["aegean"]'
in_force 4 11 12
before=$(runs 12)
send 5 acme
check "served with no common region" "$SERVED" 0
check "reason with no common region" "$(reason)" no-upstream
check "runs with no common region" $(($(runs 12) - before)) 0
send 1 other
check "served where the list of the route allows it" "$SERVED" 1

# Requests wait in the queue of b1 while the table changes. Those that have not
# started then must not run there.
write_regions 5 "" ""
in_force 5 11 12
curl -s -o /dev/null "http://$NET.12:$UPSTREAM_PORT/_delay/100000"
start_caller load acme /book 11 --method POST --rate 40 --duration-ms 9000 \
	--retries 0
CALLER_PID=$PID
sleep 3
curl -s -o /dev/null "http://$NET.12:$UPSTREAM_PORT/_delay/1200000"
sleep 2.5
check_at_least "requests in the queue when the table changes" \
	"$(curl -s --max-time 1 "http://$NET.12:$OPERATORS_PORT/metrics" |
		sed -n 's/^cassia_queued //p')" 3
write_regions 6 "" 'regions = ["aegean"]'
in_force 6 11 12
before=$(runs 12)
sleep 2.5
check "runs of requests that were queued when the table changed" \
	$(($(runs 12) - before)) 0
wait_process "$CALLER_PID"
check "requests with an unknown outcome" "$(count_attempts load unknown)" 0
check_at_least "requests that the daemon of the upstream refused" \
	"$(curl -s --max-time 1 "http://$NET.12:$OPERATORS_PORT/metrics" |
		awk '$1 == "cassia_region_refused_total" { n = $2 }
			END { print n + 0 }')" 3
[ $FAILED -eq 0 ]
