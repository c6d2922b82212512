#!/bin/sh
# Guards against an upstream that has left and is in use again, because two daemons
# start after the removal of its entry and the store then does an earlier write
# of it. The daemons that ran all the while withhold the entry; those that start
# know of no earlier message. One of the two is the daemon beside the upstream.
#
# Run by hand from any folder, after the build of the deploy file and
# review/build.sh, whose stand-ins it uses.
set -u
CASE_DIR=$(cd "$(dirname "$0")" && pwd) || exit 2
RECORD=$(mktemp)
. "$CASE_DIR/../../review/lib.sh"
SLOTS=14
WORK_MS=360
DRAIN_S=2

# entry SEQ COLD_MS: prints the entry of i-gate-1.
entry() {
	printf '{"service":"gate","address":"%s","zone":"z1","version":"v1","slots":%d,"state":"ready","cold_ms":%d,"seq":%d,"born":%s}' \
		"$NET.12:$APP_PORT" $SLOTS "$2" "$1" "$BORN"
}

# daemon_restart NUMBER SERVICE ZONE
daemon_restart() {
	eval "restart_pid=\$DAEMON_PID_$1"
	kill -TERM "$restart_pid"
	wait "$restart_pid"
	daemon_start "$1" "$2" "$3"
	wait_ready "$1"
}

store_start
printf '%s' '{"version":1,"routes":[{"name":"r1","host":"gate.example","prefix":"/scan/","kind":"unsafe","timeout_ms":4000,"objective_ms":1000,"priority":0,"service":"gate","attempts":2,"public":false}],"services":[{"name":"front","health-path":"/healthz","max-conns":526,"protocol":"h1","tls":false},{"name":"gate","health-path":"/healthz","max-conns":184,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"tenants":[{"name":"t1","api-keys":["key-of-tenant-one"],"priority":0,"rate-per-s":0}]}' |
	store_put op/config
server_put i-front front 11 z1 71 ready 1
server_put i-gate-2 gate 13 z2 $SLOTS ready 1
entry 1 3000 | store_put servers/i-gate-1
backend_start 11 i-front 71 20 1
backend_start 12 i-gate-1 $SLOTS $WORK_MS 1
backend_start 13 i-gate-2 $SLOTS $WORK_MS 1
daemon_start 11 front z1
daemon_start 12 gate z1
daemon_start 13 gate z2
wait_ready 11 12 13
entry 3 0 | store_put servers/i-gate-1
sleep 2.5
"$STANDIN" call "$NET.250" $STORE_PORT DELETE /op/servers/i-gate-1 > "$WORK/out"
sleep 2
daemon_restart 11 front z1
daemon_restart 12 gate z1
entry 2 1500 | store_put servers/i-gate-1
load_start 11 gate.example POST:/scan/1 30 5 4000 key-of-tenant-one a
wait "$LOAD_PID"
require_served
gone=$(awk '/ack servers\/i-gate-1 .* DELETE/ { at = $1 } END { print at }' \
	"$WORK/store.log")
count=$(awk -v gone="$gone" -v bound=$((DRAIN_S * 1000)) '
	$2 == "arrives" && $1 > gone + bound { n++ } END { print n + 0 }' \
	"$WORK/backend-12.log")
rm -f "$RECORD"
RECORDED=1
echo "$count requests reached i-gate-1 over $DRAIN_S s after its removal was acknowledged"
[ "$count" = 0 ] || exit 1
