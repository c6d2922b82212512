# Guards against a daemon that starts late because it waits for a silent seed
# while another one would answer: most of its seeds are paused, and the platform is
# down.
set -u
BUILD=${1:-build}
FAILED=0
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

booking_rows 100 5000 1000 1000 > "$SITE/table.rows"
key_row acme >> "$SITE/table.rows"
{
	host_row b1 booking m1 11
	host_row b2 booking m1 12
	host_row b3 booking m2 13
} > "$SITE/hosts.rows"
write_table 1
write_hosts 1
start_platform
for row in b1:m1:11 b2:m1:12 b3:m2:13; do
	name=${row%%:*}
	dc=${row#*:}
	write_settings "$name" booking "${dc%:*}" "${row##*:}"
	use_platform "$name"
	add_seeds "$name" 12 12 12 12 12 12 12 13
	start_daemon "$name"
	eval "PID_${row##*:}=$PID"
done
wait_ready 11 12 13 || exit 1

kill_process "$PLATFORM_PID"
# shellcheck disable=SC2154 # the ids are set by eval
kill_process "$PID_11"
# shellcheck disable=SC2154
kill -STOP "$PID_12"
start_ms=$(now_ms)
start_daemon b1
wait_ready 11
check "a daemon starts beside a silent seed" $? 0
check_at_most "time until it is ready, ms" $(($(now_ms) - start_ms)) 6000
[ $FAILED -eq 0 ]
