# Guards against a daemon that starts to fetch a table again and again while it
# arrives over a slow link, so that none of the fetches ends.
set -u
BUILD=${1:-build}
FAILED=0
RELAY_PORT=18086
RATE=100000 # bytes a second
KEYS=6000 # of which each takes 32 bytes also when compressed
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

booking_rows 100 5000 1000 1000 > "$SITE/table.rows"
od -An -v -tx1 -w32 -N $((KEYS * 32)) /dev/urandom | tr -d ' ' |
	awk '{ printf "[[key]]\ncustomer = \"acme\"\nhash = \"%s\"\nlabel = \"k%d\"\n",
		$1, NR }' >> "$SITE/table.rows"
{
	host_row b1 booking m1 11 | sed "s/^peer_port.*/peer_port = $RELAY_PORT/"
	host_row b2 booking m1 12
} > "$SITE/hosts.rows"
write_table 1
write_hosts 1
write_settings b1 booking m1 11
start_daemon b1
wait_ready 11 || exit 1
"$BUILD/standins/relay" --address "$NET.11" --port $RELAY_PORT \
	--to-port $PEER_PORT --rate $RATE &
PIDS="$PIDS $!"

start_platform
kill_process "$PLATFORM_PID"
write_settings b2 booking m1 12
use_platform b2
PEER_PORT=$RELAY_PORT add_seeds b2 11
start_ms=$(now_ms)
start_daemon b2
wait_ready 12
check "a daemon that is reached over a slow link starts" $? 0
check_at_most "time until it is ready, ms" $(($(now_ms) - start_ms)) 6000
[ $FAILED -eq 0 ]
