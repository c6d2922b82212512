#!/bin/sh
# Benchmark of the control cost of idle daemons. Starts the real daemons of one
# data centre on loopback addresses, and prints the processor time, resident
# memory and control traffic of a daemon.
# Usage: sh bench/bench_fleet.sh BUILD DAEMONS LISTED
# BUILD is the build directory. The host list has LISTED hosts in 5 data
# centres. Only the daemons of the first one, DAEMONS of them, are started.
set -u
BUILD=$1
DAEMONS=$2
LISTED=$3
SETTLE_S=14
MEASURE_S=20
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

for dc in 1 2 3 4 5; do
	printf '[[data_centre]]\nname = "dc%s"\nregion = "r%s"\n' \
		$dc $((dc % 2 + 1))
done > "$SITE/table.rows"
for service in $(seq 1 41); do
	printf '[[service]]\nname = "s%s"\nconnections = 500\n' "$service"
	printf '[[route]]\nname = "r%s"\npath = "/s%s"\nservice = "s%s"\n' \
		"$service" "$service" "$service"
	printf 'importance = %s\n' $((service % 16))
done >> "$SITE/table.rows"
for customer in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16; do
	printf '[[customer]]\nname = "c%s"\nrate = 2500\nburst = 2500\n' \
		"$customer"
	key_row "c$customer"
done >> "$SITE/table.rows"

# The first DAEMONS hosts are in dc1, the others in dc2 to dc5. Up to 250 hosts
# share the third byte of the address.
awk -v daemons="$DAEMONS" -v listed="$LISTED" -v net="$NET" -v peer=$PEER_PORT \
	-v control=$CONTROL_PORT 'BEGIN {
	split(net, part, ".")
	for (i = 1; i <= listed; i++) {
		dc = i <= daemons ? 1 : 2 + i % 4
		printf "[[host]]\nname = \"h%d\"\nservice = \"s%d\"\n", i,
			i % 41 + 1
		printf "data_centre = \"dc%d\"\n", dc
		printf "address = \"%s.%s.%d.%d\"\n", part[1], part[2],
			part[3] + int(i / 250), i % 250 + 1
		printf "peer_port = %s\ncontrol_port = %s\n", peer, control
	}
}' > "$SITE/hosts.rows"
write_table 1
write_hosts 1

daemon_pids=""
third_byte=${NET##*.}
for i in $(seq 1 "$DAEMONS"); do
	NET=${NET%.*}.$((third_byte + i / 250))
	write_settings "h$i" "s$((i % 41 + 1))" dc1 $((i % 250 + 1)) error
	start_daemon "h$i"
	daemon_pids="$daemon_pids $PID"
done
sleep $SETTLE_S

# control_bytes: prints the bytes of control messages that each daemon has sent
# and received since it started. Addresses are computed as in the host list.
control_bytes() {
	for i in $(seq 1 "$DAEMONS"); do
		curl -s --max-time 5 \
			"http://${NET%.*}.$((third_byte + i / 250)).$((i % 250 + 1)):$OPERATORS_PORT/metrics" |
			awk '/^cassia_control_(sent|received)_bytes/ { n += $2 }
				END { print n + 0 }'
	done
}

# processor_ticks: prints the user plus system time of each daemon, in ticks.
processor_ticks() {
	for pid in $daemon_pids; do
		awk '{ print $14 + $15 }' "/proc/$pid/stat"
	done
}

control_bytes > "$SITE/bytes.before"
processor_ticks > "$SITE/ticks.before"
sleep $MEASURE_S
processor_ticks > "$SITE/ticks.after"
control_bytes > "$SITE/bytes.after"
ticks_per_s=$(getconf CLK_TCK)
# Largest resident memory of a daemon, in bytes.
rss_max=$(for pid in $daemon_pids; do
	awk '/^VmRSS/ { print $2 * 1024 }' "/proc/$pid/status"
done | sort -n | tail -n 1)
paste "$SITE/ticks.before" "$SITE/ticks.after" "$SITE/bytes.before" \
	"$SITE/bytes.after" | awk -v seconds=$MEASURE_S \
	-v ticks_per_s="$ticks_per_s" -v rss_max="$rss_max" \
	-v daemons="$DAEMONS" -v listed="$LISTED" '{
		cpu = ($2 - $1) / ticks_per_s / seconds * 100
		bytes = ($4 - $3) / seconds
		cpu_sum += cpu
		bytes_sum += bytes
		if (cpu > cpu_max) cpu_max = cpu
		if (bytes > bytes_max) bytes_max = bytes
	} END {
		printf "bench=daemon_control daemons=%d listed=%d ", daemons,
			listed
		printf "cpu_percent_mean=%.3f cpu_percent_max=%.3f ",
			cpu_sum / NR, cpu_max
		printf "bytes_per_s_mean=%.0f bytes_per_s_max=%.0f ",
			bytes_sum / NR, bytes_max
		printf "rss_bytes_max=%d\n", rss_max
	}'
