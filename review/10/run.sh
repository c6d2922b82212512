#!/bin/sh
# A backend leaves without reporting that it drains: its entry is removed, and it
# serves for some seconds more. The daemon beside it and the one that takes the
# requests are killed and start again. Then the store does the late write of an
# earlier report. No request must reach the backend later than drain-s after the
# removal. TROUBLE=0 leaves the late write out.
#
# Uses the stand-ins of the earlier review, see review/build-2.sh.
set -u
CASE_DIR=$(cd "$(dirname "$0")" && pwd) || exit 2
RECORD=$CASE_DIR/record.txt
. "$CASE_DIR/../lib.sh"
SLOTS=14
WORK_MS=360
DRAIN_MS=2000
STABILITY_MS=3000

# entry SEQ COLD_MS: prints the entry of i-gate-1.
entry() {
	printf '{"service":"gate","address":"%s","zone":"z1","version":"v1","slots":%d,"state":"ready","cold_ms":%d,"seq":%d,"born":%s}' \
		"$NET.12:$APP_PORT" $SLOTS "$2" "$1" "$BORN"
}

store_start
printf '%s' '{"version":1,"routes":[{"name":"r1","host":"gate.example","prefix":"/scan/","kind":"unsafe","timeout_ms":4000,"objective_ms":1000,"priority":0,"service":"gate","attempts":2,"public":false}],"services":[{"name":"front","health-path":"/healthz","max-conns":526,"protocol":"h1","tls":false},{"name":"gate","health-path":"/healthz","max-conns":184,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"tenants":[{"name":"t1","api-keys":["key-of-tenant-one"],"priority":0,"rate-per-s":0}]}' |
	store_put op/config
server_put i-front front 11 z1 71 ready 1
server_put i-gate-2 gate 13 z2 $SLOTS ready 1
server_put i-gate-3 gate 14 z3 $SLOTS ready 1
entry 1 3000 | store_put servers/i-gate-1
backend_start 11 i-front 71 20 1
backend_start 12 i-gate-1 $SLOTS $WORK_MS 1
backend_start 13 i-gate-2 $SLOTS $WORK_MS 1
backend_start 14 i-gate-3 $SLOTS $WORK_MS 1
daemon_start 11 front z1
daemon_start 12 gate z1
daemon_start 13 gate z2
daemon_start 14 gate z3
wait_ready 11 12 13 14
sleep 2
event "i-gate-1 reports seq 2, the answer is lost"
sleep 1.5
entry 3 0 | store_put servers/i-gate-1
event "i-gate-1 has reported seq 3"
sleep 2.2
"$STANDIN" call "$NET.250" $STORE_PORT DELETE /op/servers/i-gate-1 > "$WORK/out"
event "i-gate-1 leaves without a report, its entry is removed"
# shellcheck disable=SC2154 # set by daemon_start
kill -KILL "$DAEMON_PID_11" "$DAEMON_PID_12"
event "daemons 11 and 12 are killed"
sleep 0.4
daemon_start 11 front z1
daemon_start 12 gate z1
started=$(now_ms)
event "daemons 11 and 12 start again"
sleep 1.7
if [ "$TROUBLE" != 0 ]; then
	entry 2 1500 | store_put servers/i-gate-1
	event "the store does the late write of seq 2"
fi
sleep 1.5
load_start 11 gate.example POST:/scan/1 30 6 4000 key-of-tenant-one a
sleep 3
# shellcheck disable=SC2154 # set by backend_start
kill "$BACKEND_PID_12"
event "i-gate-1 exits"
wait "$LOAD_PID"
record_write
require_served
gone=$(awk '/ack servers\/i-gate-1 .* DELETE/ { at = $1 } END { print at }' \
	"$WORK/store.log")
# Only requests that arrive while the daemons that were killed are in touch.
late=$(awk -v after="$((gone + DRAIN_MS))" \
	-v in_touch="$((started + STABILITY_MS))" '
	$2 == "arrives" && $1 > after && $1 > in_touch { print $3 }' \
	"$WORK/backend-12.log")
count=0
lost=0
for id in $late; do
	count=$((count + 1))
	grep -q " answer $id 200 " "$WORK/clients.log" || lost=$((lost + 1))
done
echo "$count requests reached i-gate-1 over $DRAIN_MS ms after its removal was acknowledged; $lost of them were not served" |
	tee -a "$RECORD"
[ "$count" = 0 ] || exit 1
