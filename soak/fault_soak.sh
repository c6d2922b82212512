# Fault soak: runs real daemons on loopback under callers' load and overlapping
# random faults, and checks the promises from what callers and upstreams saw.
# Usage: sh soak/fault_soak.sh BUILD SEED [SECONDS OF FAULTS]
#
# Faults: daemons killed, stopped gracefully, paused and restarted; connections
# reset or gone silent; a platform that is down, silent, stale or answers half a
# document; edits of table and host list; a key withdrawn from connected callers.
set -u
BUILD=${1:-build}
SEED=${2:-1}
FAULT_S=${3:-15}
FAILED=0
RELAY_PORT=18091
RATE=100
BURST=50
# A daemon that is stopped before it handles signals ends with 143 and holds no
# work (seed 14).
START_MS=500
# Requests for which the callers' and the daemons' windows may differ.
WINDOW_EDGE=20
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

# random LIMIT: sets RANDOM_VALUE to a number from 0 to below LIMIT.
rng_state=$((SEED * 7919 + 12345))
random() {
	rng_state=$(((rng_state * 1103515245 + 12345) % 2147483648))
	RANDOM_VALUE=$((rng_state / 65536 % $1))
}

now_ms() {
	date +%s%3N
}

platform_mode() {
	curl -s -o /dev/null --max-time 2 -X POST "$PLATFORM/fault?mode=$1"
}

edit_table() {
	table_revision=$((table_revision + 1))
	{
		cat "$SITE/base.rows"
		printf '[[service]]\nname = "edit-%s"\n' "$table_revision"
		[ -n "$withdrawn" ] || key_row acme second
	} > "$SITE/table.rows"
	write_table $table_revision
}

# leaving NAME or nothing: lists that host as leaving.
edit_hosts() {
	hosts_revision=$((hosts_revision + 1))
	sed "s/^name = \"${1:-none}\"/leaving = true\n&/" "$SITE/all.rows" \
		> "$SITE/hosts.rows"
	write_hosts $hosts_revision
}

start_numbered() {
	start_daemon "$(name_of "$1")"
	eval "pid_$1=$PID state_$1=running since_$1=$(now_ms)"
}

name_of() {
	sed -n "s/^$1 //p" "$SITE/names"
}

# due NUMBER DELAY_MS STATE: puts a daemon into a state until a later time.
due() {
	eval "state_$1=$3 due_$1=$(($(now_ms) + $2))"
}

fault() {
	random 5
	number=$((12 + RANDOM_VALUE))
	eval "pid=\$pid_$number state=\$state_$number since=\$since_$number"
	random 12
	kind=$RANDOM_VALUE
	random 2000
	echo "fault: at $(($(now_ms) - started)) ms kind $kind host $number" \
		"time $RANDOM_VALUE" >> "$SITE/faults"
	# shellcheck disable=SC2154 # set by eval
	case $kind in
	0 | 1 | 2 | 3 | 4)
		[ "$state" = running ] || return 0
		;;
	esac
	# shellcheck disable=SC2154 # set by eval
	case $kind in
	0 | 1)
		end "$pid"
		due $number $RANDOM_VALUE down
		;;
	2)
		# shellcheck disable=SC2154 # set by eval
		[ $(($(now_ms) - since)) -gt $START_MS ] || return 0
		kill -TERM "$pid"
		due $number 0 stopping
		;;
	3 | 4)
		kill -STOP "$pid"
		due $number $RANDOM_VALUE paused
		;;
	5) kill -USR2 $RELAY ;;
	6) kill -USR1 $RELAY ;;
	7) edit_table ;;
	8) edit_hosts b4 ;;
	9) edit_hosts ;;
	10 | 11)
		[ -z "$withdrawn" ] || return 0
		random 4
		platform_mode "$(echo fail silent stale half |
			cut -d' ' -f$((RANDOM_VALUE + 1)))"
		platform_due=$(($(now_ms) + 1500))
		;;
	esac
}

# Ends what a fault has begun when its time has come.
settle() {
	now=$(now_ms)
	if [ $platform_due -gt 0 ] && [ "$now" -ge $platform_due ]; then
		platform_mode ok
		platform_due=0
	fi
	for number in 12 13 14 15 16; do
		eval "pid=\$pid_$number state=\$state_$number due=\$due_$number"
		case $state in
		running)
			kill -0 "$pid" 2>/dev/null && continue
			join "$pid"
			check "daemon $number runs; exit status" $join_code none
			start_numbered $number
			;;
		stopping)
			kill -0 "$pid" 2>/dev/null && continue
			join "$pid"
			check_most "exit status of a stop" $join_code 1
			start_numbered $number
			;;
		down)
			[ "$now" -lt "$due" ] || start_numbered $number
			;;
		paused)
			[ "$now" -lt "$due" ] && continue
			kill -CONT "$pid"
			eval "state_$number=running"
			;;
		esac
	done
}

all_running() {
	[ $platform_due -eq 0 ] || return 1
	for number in 12 13 14 15 16; do
		eval "state=\$state_$number"
		[ "$state" = running ] || return 1
	done
}

table_revision=0
hosts_revision=0
withdrawn=""
platform_due=0
cat > "$SITE/base.rows" <<END
[[data_centre]]
name = "m1"
region = "marmara"
[[data_centre]]
name = "m2"
region = "marmara"
[[service]]
name = "edge"
connections = 200
[[service]]
name = "booking"
connections = 200
[[route]]
name = "book"
path = "/book"
service = "booking"
importance = 12
open = true
timeout_ms = 1500
[[route]]
name = "quote"
path = "/quote"
service = "booking"
importance = 6
idempotent = true
timeout_ms = 1500
[[customer]]
name = "acme"
rate = $RATE
burst = $BURST
END
key_row acme first >> "$SITE/base.rows"
cat > "$SITE/names" <<END
11 e1
12 e2
13 b1
14 b2
15 b3
16 b4
END
for row in 11:edge:m1 12:edge:m2 13:booking:m1 14:booking:m2 15:booking:m1 \
	16:booking:m2; do
	number=${row%%:*}
	dc=${row##*:}
	service=${row#*:}
	host_row "$(name_of "$number")" "${service%:*}" "$dc" "$number"
done > "$SITE/direct.rows"
# Connections from other hosts to b1 go through a path with faults.
awk -v port=$RELAY_PORT '/^name/ { own = /"b1"/ }
	/^peer_port/ && own { $3 = port } { print }' \
	"$SITE/direct.rows" > "$SITE/all.rows"
edit_table
edit_hosts
start_platform
"$BUILD/standins/relay" --address "$NET.13" --port $RELAY_PORT \
	--to-port $PEER &
RELAY=$!
PIDS="$PIDS $RELAY"
for number in 11 12 13 14 15 16; do
	name=$(name_of $number)
	dc=m$((2 - number % 2))
	service=booking
	[ $number -gt 12 ] || service=edge
	write_settings "$name" $service $dc $number
	use_platform "$name"
	printf '[quota]\nwindow_ms = 5000\nover = 0.25\nslack = 20\n' \
		>> "$SITE/$name.toml"
	start_upstream "$name" $number --run-log "$SITE/$name.runs" \
		--delay-us 20000 --slots 20 --queue 5
	start_numbered $number
	eval "due_$number=0"
done
wait_ready 11 12 13 14 15 16 || exit 1
sleep 1

LOAD_MS=$(((FAULT_S + 9) * 1000))
started=$(now_ms)
start_caller book nobody /book "11 12" --method POST --rate 150 \
	--duration-ms $LOAD_MS --timeout-ms 4000
BOOK=$PID
start_caller first first /quote "11 12" --rate 60 \
	--duration-ms $LOAD_MS --timeout-ms 4000
FIRST=$PID
start_caller second second /quote "11 12" --rate 60 \
	--duration-ms $LOAD_MS --timeout-ms 4000
SECOND=$PID
while [ $(($(now_ms) - started)) -lt $((FAULT_S * 1000)) ]; do
	fault
	random 400
	sleep 0.$((100 + RANDOM_VALUE))
	settle
	if [ -z "$withdrawn" ] &&
		[ $(($(now_ms) - started)) -gt $((FAULT_S * 500)) ]; then
		platform_mode ok
		platform_due=0
		withdrawn=$(($(now_ms) - started))
		edit_table
	fi
done
edit_hosts
until all_running; do
	settle
	sleep 0.1
done
calm=$(($(now_ms) - started))
join $BOOK
join $FIRST
join $SECOND

# All POST runs once at most; the callers' ids tell them apart.
cat "$SITE"/b?.runs | cut -d' ' -f2 | sort > "$SITE/ran"
grep '^book-' "$SITE/ran" > "$SITE/booked"
awk '$3 == "not-run" || $3 == "unsent" { print $1 }' "$SITE"/book \
	"$SITE/first" "$SITE/second" | sort > "$SITE/not_run"
awk '$3 == "served" && $2 == 200 { print $1 }' "$SITE/book" "$SITE/first" \
	"$SITE/second" | sort > "$SITE/served"
check "bookings that ran twice" "$(uniq -d "$SITE/booked" | wc -l)" 0
check "requests that ran after not-run was said" \
	"$(uniq "$SITE/ran" | comm -12 - "$SITE/not_run" | wc -l)" 0
check "requests served without a run" \
	"$(uniq "$SITE/ran" | comm -13 - "$SITE/served" | wc -l)" 0
# A daemon that was paused hears of the change when it goes on.
check "requests served 5 s after their key was withdrawn" \
	"$(awk -v from=$((withdrawn + 5000)) '$2 == 200 && $4 > from' \
		"$SITE/second" | wc -l)" 0
most=$(cat "$SITE/first" "$SITE/second" | awk '$2 == 200 { print $4 }' |
	sort -n | awk '{ at[NR] = $1; while ($1 - at[first + 1] > 5000) first++
		if (NR - first > most) most = NR - first }
		END { print most + 0 }')
check_most "requests of a customer served in 5 s" "$most" \
	$(((RATE * 5 + BURST) * 125 / 100 + 20 + WINDOW_EDGE))
for file in book first; do
	check_least "per mille of $file served from 3 s after the last fault" \
		"$(awk -v from=$((calm + 3000)) '$4 > from { sent++
			served += $2 == 200 }
			END { print int(served * 1000 / (sent ? sent : 1)) }' \
			"$SITE/$file")" 980
done
check_least "bookings served" "$(count book served)" $((FAULT_S * 50))
echo "figure: seed=$SEED faults=$(wc -l < "$SITE/faults")" \
	"sent=$(count book .) served=$(count book served)" \
	"unknown=$(count book unknown) not_run=$(count book not-run)" \
	"cut=$(count book cut) unsent=$(count book unsent)"
if [ $FAILED -ne 0 ]; then
	SITE_KEEP=yes
	echo "files kept in $SITE"
fi
[ $FAILED -eq 0 ]
