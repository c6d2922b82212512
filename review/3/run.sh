#!/bin/sh
# A backend that has turned slow is taken away (scale_in). Requests that wait in
# the queue of the daemon beside it must not reach it later than drain-s after the
# store has acknowledged that it is draining.
set -u
CASE_DIR=$(cd "$(dirname "$0")" && pwd) || exit 2
# What was sent, answered and run.
RECORD=$CASE_DIR/record.txt
. "$CASE_DIR/../lib.sh"
DRAIN_S=2
SLOTS=14
WORK_MS=360
SLOW_FACTOR=3
RATE=38
# The backend exits a little later than drain-s after its report: a request that
# reached it in time could still end.
EXIT_S=3.2

store_start
printf '%s' '{"version":1,"routes":[{"name":"r1","host":"gate.example","prefix":"/scan/","kind":"unsafe","timeout_ms":4000,"objective_ms":1000,"priority":0,"service":"gate","attempts":2,"public":false}],"services":[{"name":"front","health-path":"/healthz","max-conns":526,"protocol":"h1","tls":false},{"name":"gate","health-path":"/healthz","max-conns":184,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"tenants":[{"name":"t1","api-keys":["key-of-tenant-one"],"priority":0,"rate-per-s":0}]}' |
	store_put op/config
server_put i-front front 11 z1 71 ready 1
server_put i-gate-1 gate 12 z1 $SLOTS ready 1
server_put i-gate-2 gate 13 z2 $SLOTS ready 1
server_put i-gate-3 gate 14 z3 $SLOTS ready 1
server_put i-gate-4 gate 15 z3 $SLOTS ready 1
server_put i-gate-5 gate 16 z3 $SLOTS ready 1
backend_start 11 i-front 71 20 1
backend_start 12 i-gate-1 $SLOTS $WORK_MS $SLOW_FACTOR
backend_start 13 i-gate-2 $SLOTS $WORK_MS $SLOW_FACTOR
backend_start 14 i-gate-3 $SLOTS $WORK_MS 1
backend_start 15 i-gate-4 $SLOTS $WORK_MS 1
backend_start 16 i-gate-5 $SLOTS $WORK_MS 1
daemon_start 11 front z1
daemon_start 12 gate z1
daemon_start 13 gate z2
daemon_start 14 gate z3
daemon_start 15 gate z3
daemon_start 16 gate z3
wait_ready 11 12 13 14 15 16
sleep 4
load_start 11 gate.example POST:/scan/1 $RATE 14 4000 key-of-tenant-one a
sleep 5
if [ "$TROUBLE" != 0 ]; then
	# shellcheck disable=SC2154 # set by backend_start
	kill -USR1 "$BACKEND_PID_12" "$BACKEND_PID_13"
	event "i-gate-1 and i-gate-2 turn slow, x $SLOW_FACTOR"
fi
sleep 3
server_put i-gate-1 gate 12 z1 $SLOTS draining 2
event "i-gate-1 has reported that it is draining"
sleep "$EXIT_S"
kill "$BACKEND_PID_12"
event "i-gate-1 exits"
wait "$LOAD_PID"
record_write
require_served
ack=$(awk '/ack servers\/i-gate-1/ { at = $1 } END { print at }' \
	"$WORK/store.log")
late=$(awk -v ack="$ack" -v bound=$((DRAIN_S * 1000)) '
	$2 == "arrives" && $1 > ack + bound {
		print $3
		print $3, $1 - ack > "/dev/stderr"
	}' "$WORK/backend-12.log" 2>> "$RECORD")
count=0
lost=0
for id in $late; do
	count=$((count + 1))
	grep -q " answer $id 200 " "$WORK/clients.log" || lost=$((lost + 1))
done
echo "$count requests reached i-gate-1 over $DRAIN_S s after the acknowledgement; $lost of them were not served" |
	tee -a "$RECORD"
[ "$count" = 0 ] || exit 1
