# Guards against a data centre that serves more or less than its share of a
# customer's rate while another data centre cannot be reached and the platform
# is down, and against a rate that stays too low afterwards. All daemons of
# one data centre are paused for 10 s, which looks like a partition to the
# other one.
set -u
BUILD=${1:-build}
FAILED=0
RATE=100
BURST=40
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

booking_rows 400 1000 $RATE $BURST > "$SITE/table.rows"
key_row acme >> "$SITE/table.rows"
for row in b1:m1:11 b2:m1:12 b3:m2:13 b4:m2:14; do
	dc=${row#*:}
	host_row "${row%%:*}" booking "${dc%:*}" "${row##*:}"
done > "$SITE/hosts.rows"
write_table 1
write_hosts 1
start_platform
for row in b1:m1:11 b2:m1:12 b3:m2:13 b4:m2:14; do
	dc=${row#*:}
	write_settings "${row%%:*}" booking "${dc%:*}" "${row##*:}"
	use_platform "${row%%:*}"
	start_upstream "${row%%:*}" "${row##*:}" --delay-us 1000 --slots 16 \
		--run-log "$SITE/${row%%:*}.runs"
	start_daemon "${row%%:*}"
	eval "PID_${row##*:}=$PID"
done
wait_ready 11 12 13 14 || exit 1
wait_fence 11 12 13 14 || exit 1
sleep 8

# Callers send the whole rate to each data centre. The times below count from
# the start of the callers.
start_ms=$(date +%s%3N)
start_caller m1 acme /book "11 12" --rate $RATE --duration-ms 26000 \
	--timeout-ms 1200
M1_CALLER_PID=$PID
start_caller m2 acme /book "13 14" --rate $RATE --duration-ms 26000 \
	--timeout-ms 1200
M2_CALLER_PID=$PID
sleep 4
kill_process "$PLATFORM_PID"
# shellcheck disable=SC2154 # the ids are set by eval
kill -STOP "$PID_11" "$PID_12"
sleep 10
kill -CONT "$PID_11" "$PID_12"
wait_process "$M1_CALLER_PID"
wait_process "$M2_CALLER_PID"
elapsed_ms=$(($(date +%s%3N) - start_ms))

for from in 0 4 8 14 18 22; do
	echo "figure: served from second $from, 4 s:" \
		"m1=$(count_attempts m1 served ${from}000 $((from + 4))000)" \
		"m2=$(count_attempts m2 served ${from}000 $((from + 4))000)"
done
# In these 8 s of the partition the share of m2 is half of the rate.
served_alone=$(count_attempts m2 served 5500 13500)
check_at_least "served by the reachable data centre alone" "$served_alone" \
	$((RATE / 2 * 8 * 95 / 100))
check_at_most "served by the reachable data centre alone" "$served_alone" \
	$((RATE / 2 * 8 + BURST))
check_at_most "runs in both data centres" "$(cat "$SITE"/b?.runs | wc -l)" \
	$((RATE * elapsed_ms / 1000 + BURST))
# The shares are settled 8.1 s after the end of the partition at the latest.
served_after=$(($(count_attempts m1 served 23000 26000) +
	$(count_attempts m2 served 23000 26000)))
check_at_least "served by both after the partition" $served_after \
	$((RATE * 3 * 95 / 100))
check_at_least "served after the partition by the data centre that was paused" \
	"$(count_attempts m1 served 23000 26000)" $((RATE / 2 * 3 * 80 / 100))
[ $FAILED -eq 0 ]
