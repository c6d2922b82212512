#!/bin/sh
# Runs a small site on loopback: two data centres and two services, of which
# booking calls pricing. Sends calls and exits with 1 when a result is not the
# expected one. Usage: sh tools/demo.sh BUILD
set -u
BUILD=${1:-build}
FAILED=0
. "$(dirname "$0")/site.sh"
trap site_stop EXIT
trap 'exit 1' INT TERM

# expect_response WHAT STATUS [REASON]: compares the status and the reason of
# the last call with the expected ones and prints them.
expect_response() {
	verdict=ok
	[ "$STATUS" = "$2" ] || verdict=FAIL
	[ "$(reason)" = "${3:-}" ] || verdict=FAIL
	[ "$verdict" = ok ] || FAILED=1
	printf '%-34s status=%s reason=%s outcome=%s %s\n' "$1" "$STATUS" \
		"$(reason)" "$(outcome)" "$verdict"
}

{
	data_centre_rows m1 m2
	service_rows 100 booking pricing
	route_row book booking 12 5000
	route_row search booking 3 5000 "idempotent = true"
	route_row price pricing 12 5000 "idempotent = true"
	route_row gate booking 9 5000 "open = true" "idempotent = true"
	customer_row acme 4000 4000
	customer_row small 1 2
	key_row acme
	key_row small
	key_row acme acme-old
} > "$SITE/table.rows"
{
	host_row b1 booking m1 11
	host_row b2 booking m2 12
	host_row p1 pricing m1 13
	host_row p2 pricing m2 14
} > "$SITE/hosts.rows"
write_table 1
write_hosts 1
for row in b1:booking:m1:11 b2:booking:m2:12 p1:pricing:m1:13 \
	p2:pricing:m2:14; do
	old_ifs=$IFS
	IFS=:
	# shellcheck disable=SC2086 # split at the colons
	set -- $row
	IFS=$old_ifs
	write_settings "$1" "$2" "$3" "$4"
	start_upstream "$1" "$4" --delay-us 40000 --slots 8
	start_daemon "$1"
done
wait_ready 11 12 13 14 || exit 1
wait_fence 11 12 13 14 || { echo "FAIL: no fence is held"; exit 1; }
echo "site: 4 hosts, 2 data centres, 2 services are ready; tokens in 9 s"
sleep 9

call 11 acme /book -X POST -d 'seat=1'
expect_response "served" 200
case $BODY in
*csk_*|*Authorization*) echo "FAIL: a key reached the upstream"; FAILED=1 ;;
esac
call 13 acme /book -X POST -d 'seat=2'
expect_response "served through another host" 200
call 11 acme /book -X POST -d 'seat=3' -H 'X-Child: /price/3'
expect_response "served with a child call" 200
case $BODY in
*'"child_status":200'*) ;;
*) echo "FAIL: the child call was not served: $BODY"; FAILED=1 ;;
esac
STATUS=$(curl -s -o "$SITE/body" -w '%{http_code}' \
	"http://$NET.12:$FRONT_PORT/gate")
BODY=$(cat "$SITE/body")
expect_response "served on an open route" 200

call 11 nobody /book
expect_response "unknown key" 401 unknown-key
STATUS=$(curl -s -o "$SITE/body" -w '%{http_code}' \
	"http://$NET.11:$FRONT_PORT/book")
BODY=$(cat "$SITE/body")
expect_response "no key" 401 no-key
call 11 acme /nowhere
expect_response "no such route" 404 no-route

for i in 1 2 3 4 5 6; do
	call 11 small /search
	[ "$STATUS" = 429 ] && break
done
expect_response "over the rate" 429 over-rate

# Overload: two upstreams with 8 slots of 40 ms each serve 400 calls/s together.
# 60 connections send /search, of importance 3, as fast as they are answered,
# while calls of /book, of importance 12, are sent one after the other.
curl -s -Z --parallel-immediate --parallel-max 60 --max-time 20 \
	-o /dev/null -w '%{http_code}\n' \
	-H "Authorization: Bearer $(key_of acme)" \
	"http://$NET.11:$FRONT_PORT/search?[1-6000]" > "$SITE/search.statuses" &
SEARCH_PID=$!
PIDS="$PIDS $SEARCH_PID"
sleep 2
BOOKED=0
for i in $(seq 1 40); do
	call 11 acme /book
	[ "$STATUS" = 200 ] && BOOKED=$((BOOKED + 1))
done
wait "$SEARCH_PID"
untrack_process "$SEARCH_PID"
SHED=$(grep -c 503 "$SITE/search.statuses")
SERVED=$(grep -c 200 "$SITE/search.statuses")
echo "overload: importance 12: $BOOKED of 40 served;" \
	"importance 3: $SERVED served, $SHED shed of 6000"
[ "$BOOKED" -ge 39 ] && [ "$SHED" -gt 0 ] || FAILED=1
sleep 1

call 11 acme-old /book
expect_response "key that will be withdrawn" 200
awk -v RS='\\[\\[' 'NR > 1 && !/acme-old/ { printf "[[%s", $0 }' \
	"$SITE/table.rows" > "$SITE/table.cut"
mv "$SITE/table.cut" "$SITE/table.rows"
write_table 2
sleep 2
call 12 acme-old /book
expect_response "withdrawn key" 401 unknown-key
call 12 acme /book
expect_response "other key of the customer" 200

curl -s -o /dev/null -X POST "http://$NET.11:$OPERATORS_PORT/drain"
sleep 3.5
call 11 acme /book
expect_response "served by another upstream" 200
case $BODY in
*'"upstream":"b2"'*) echo "ok: drained upstream b1 gets no new requests" ;;
*) echo "FAIL: drained upstream b1 was used: $BODY"; FAILED=1 ;;
esac
PID=$(cat "$SITE/b1.pid")
kill -TERM "$PID"
wait "$PID"
EXIT_STATUS=$?
untrack_process "$PID"
echo "graceful stop of b1: exit status $EXIT_STATUS"
[ "$EXIT_STATUS" -eq 0 ] || FAILED=1

[ "$FAILED" -eq 0 ] && echo "demo: every result is as expected"
exit "$FAILED"
