# Randomized test of real daemons on loopback: injects overlapping random faults
# while callers send requests, and checks the guarantees against what callers
# and upstreams recorded.
# Usage: sh soak/fault_soak.sh BUILD SEED [SECONDS OF FAULTS [HOSTS]]
#
# Faults: daemons killed, stopped gracefully, paused and restarted; connections
# reset or silent; a platform that fails, does not answer, returns stale
# documents or half a document; changes of the table and the host list; a key
# withdrawn while its callers are connected; series of graceful stops, see
# plan_series. Seeds with remainder 2 modulo 5 stop daemons only gracefully and
# break no connections, so that no fault excuses a request that is cut. Daemons
# know the slots of their upstreams: requests of such different length would
# mislead the search for a limit. Seeds with remainder 0 have shorter requests and
# no known slots; SLOTS_LINE= in the environment leaves them out for any seed.
# Seeds with remainder 1 have a request that crashes the upstreams which run it.
# Callers go on using kept connections until the process is gone.
set -u
BUILD=${1:-build}
SEED=${2:-1}
FAULT_S=${3:-15}
HOSTS=${4:-6}
FAILED=0
RELAY_PORT=18091
RATE=100
BURST=50
# Time from the start of a daemon to the first SIGTERM. A daemon that gets it
# before it handles signals exits with 143 (seed 14). It has no requests then,
# so this is no fault.
SIGNALS_HANDLED_MS=500
# Number of requests by which a window of the callers and one of the daemons may
# differ.
WINDOW_TOLERANCE=20
SERIES_PERIOD_MS=2500
TIMEOUT_MS=4000
SLOW_MS=1500
# How long the end of a fault of a daemon, and a fault of the connections to it,
# have an effect on new requests.
FAULT_EFFECT_MS=1000
RELAY_EFFECT_MS=5000
LISTEN_MS=500 # from the start of a daemon until it listens
CRASH_MS=1500 # how long an upstream is down after a crash
# Upstreams that one request may crash, besides one for each start of a daemon,
# which may not have heard of it yet.
CRASHES_MAX=5
. tools/site.sh
numbers=$(seq 11 $((10 + HOSTS)))
trap site_stop EXIT
trap 'exit 1' INT TERM

# random LIMIT: sets RANDOM_VALUE to a number from 0 to LIMIT - 1.
rng_state=$((SEED * 7919 + 12345))
random() {
	rng_state=$(((rng_state * 1103515245 + 12345) % 2147483648))
	RANDOM_VALUE=$((rng_state / 65536 % $1))
}

# platform_mode MODE: sets the fault of the platform, or ok.
platform_mode() {
	curl -s -o /dev/null --max-time 2 -X POST "$PLATFORM/fault?mode=$1"
}

# publish_table: publishes a new table revision, which has the key of the caller
# "second" until it is withdrawn.
publish_table() {
	table_revision=$((table_revision + 1))
	{
		cat "$SITE/base.rows"
		printf '[[service]]\nname = "edit-%s"\n' "$table_revision"
		[ -n "$key_withdrawn_ms" ] || key_row acme second
	} > "$SITE/table.rows"
	write_table $table_revision
}

# publish_hosts [NAME]: publishes a new host list, in which NAME is leaving.
publish_hosts() {
	hosts_revision=$((hosts_revision + 1))
	sed "s/^name = \"${1:-none}\"/leaving = true\n&/" "$SITE/all.rows" \
		> "$SITE/hosts.rows"
	write_hosts $hosts_revision
}

# start_host_daemon NUMBER: starts the daemon of a host. Sets the variables
# pid_NUMBER, state_NUMBER and started_ms_NUMBER. Until b1 listens again, the relay
# accepts connections and closes them, which is a fault of the connections.
start_host_daemon() {
	start_daemon "$(name_of_host "$1")"
	[ "$1" -ne 13 ] || [ $signal_ms_13 -eq 0 ] || $planned_only ||
		echo "13 $signal_ms_13 $(($(now_ms) + LISTEN_MS))" \
			>> "$SITE/host.faults"
	eval "pid_$1=$PID state_$1=running started_ms_$1=$(now_ms)"
}

# name_of_host NUMBER: prints the name of a host.
name_of_host() {
	[ "$1" -gt 12 ] && echo "b$(($1 - 12))" || echo "e$(($1 - 10))"
}

# stop_limit_ms NUMBER: prints the time limit for a stop of a daemon.
stop_limit_ms() {
	echo $((5000 + $1 % 2 * 10000))
}

# connections EACH: prints EACH times the number of hosts, at most what loadcall
# can have.
connections() {
	echo $((HOSTS * $1 > 256 ? 256 : HOSTS * $1))
}

# record_fault NUMBER DURATION_MS: records that a fault of a daemon, or of the
# connections to it, begins, and how long it may affect requests.
record_fault() {
	echo "$1 $(now_ms) $(($(now_ms) + $2))" >> "$SITE/host.faults"
}

# begin_stop NUMBER: sends SIGTERM to a daemon unless it has just started.
begin_stop() {
	eval "pid=\$pid_$1 started_ms=\$started_ms_$1"
	[ $(($(now_ms) - started_ms)) -gt $SIGNALS_HANDLED_MS ] || return 1
	eval "signal_ms_$1=$(now_ms)"
	kill -TERM "$pid"
	set_state "$1" 0 stopping
}

# set_state NUMBER DURATION_MS STATE: records the state of a daemon and when it
# is to end.
set_state() {
	eval "state_$1=$3 state_ends_ms_$1=$(($(now_ms) + $2))"
}

# inject_fault: injects one random fault into the platform, the connections to
# b1 or one of the daemons from 12 on, or changes the table or the host list.
inject_fault() {
	random $((HOSTS - 1))
	number=$((12 + RANDOM_VALUE))
	eval "pid=\$pid_$number state=\$state_$number"
	random 12
	fault_kind=$RANDOM_VALUE
	random 2000
	echo "fault: at $(($(now_ms) - load_started_ms)) ms" \
		"kind $fault_kind host $number" \
		"time $RANDOM_VALUE" >> "$SITE/faults"
	# shellcheck disable=SC2154 # set by eval
	case $fault_kind in
	0 | 1 | 2 | 3 | 4)
		[ "$state" = running ] || return 0
		;;
	esac
	[ $fault_kind -le 6 ] && [ $fault_kind -ne 2 ] && $planned_only &&
		return 0
	# shellcheck disable=SC2154 # set by eval
	case $fault_kind in
	0 | 1)
		record_fault $number $FAULT_EFFECT_MS
		eval "signal_ms_$number=$(now_ms)"
		kill_process "$pid"
		set_state $number $RANDOM_VALUE down
		;;
	2) begin_stop $number ;;
	3 | 4)
		record_fault $number $((RANDOM_VALUE + FAULT_EFFECT_MS))
		kill -STOP "$pid"
		set_state $number $RANDOM_VALUE paused
		;;
	5)
		record_fault 13 $RELAY_EFFECT_MS
		kill -USR2 $RELAY
		;;
	6)
		record_fault 13 $RELAY_EFFECT_MS
		kill -USR1 $RELAY
		;;
	7) publish_table ;;
	8) publish_hosts b4 ;;
	9) publish_hosts ;;
	10 | 11)
		[ -z "$key_withdrawn_ms" ] || return 0
		random 4
		break_platform "$(echo fail silent stale half |
			cut -d' ' -f$((RANDOM_VALUE + 1)))"
		;;
	esac
}

# break_platform MODE: lets the platform fail for a while.
break_platform() {
	platform_mode "$1"
	platform_fault_ends_ms=$(($(now_ms) + 1500))
}

# plan DELAY_MS ACTION [ARGUMENT]: plans an action, see run_action.
plan() {
	plans="$plans $(($(now_ms) + $1)):$2:${3:-0}"
}

# run_plans: runs the planned actions that are due.
run_plans() {
	now=$(now_ms)
	due=""
	later=""
	for entry in $plans; do
		if [ "${entry%%:*}" -le "$now" ]; then
			due="$due ${entry#*:}"
		else
			later="$later $entry"
		fi
	done
	plans=$later
	for entry in $due; do
		run_action "${entry%:*}" "${entry#*:}"
	done
}

# run_action ACTION ARGUMENT: ARGUMENT is the number of a host, except for a fault
# of the platform. Signals other than the first SIGTERM are for stopping daemons
# only.
run_action() {
	case $1 in
	platform) [ -n "$key_withdrawn_ms" ] || break_platform "$2" ;;
	table) publish_table ;;
	leave) publish_hosts "$(name_of_host "$2")" ;;
	return) publish_hosts ;;
	*)
		eval "pid=\$pid_$2 state=\$state_$2"
		send_signal "$1" "$2"
		;;
	esac
}

# send_signal ACTION NUMBER: for run_action.
send_signal() {
	case $1:$state in
	stop:running) begin_stop "$2" || plan 300 stop "$2" ;;
	term:stopping) kill -TERM "$pid" 2>/dev/null ;;
	reload:stopping) kill -HUP "$pid" 2>/dev/null ;;
	pause:stopping)
		record_fault "$2" $((700 + FAULT_EFFECT_MS))
		kill -STOP "$pid" 2>/dev/null && plan 700 resume "$2"
		;;
	resume:stopping) kill -CONT "$pid" 2>/dev/null ;;
	kill:stopping)
		record_fault "$2" $FAULT_EFFECT_MS
		kill_process "$pid"
		set_state "$2" 0 down
		;;
	esac
}

# plan_series: plans a random series of graceful stops that overlap: of several
# daemons at once, of all in turn, in an outage of the platform, or while the
# table and the host list change. Each daemon gets a second SIGTERM and two
# SIGHUPs during its stop, and starts again at once; some are paused or killed
# meanwhile. Has random numbers of its own, so that the other faults of a seed
# do not depend on the series.
plan_series() {
	faults_rng_state=$rng_state
	rng_state=$series_rng_state
	random 4
	series_kind=$RANDOM_VALUE
	random $HOSTS
	first=$RANDOM_VALUE
	random $((HOSTS / 2 - 1))
	count=$((2 + RANDOM_VALUE))
	step_ms=0
	case $series_kind in
	1)
		random $((3600 / HOSTS))
		count=$HOSTS
		step_ms=$RANDOM_VALUE
		;;
	2)
		plan 0 platform silent
		plan 800 table
		plan 1700 platform fail
		;;
	3)
		plan 300 leave $((11 + first))
		plan 600 table
		plan 1500 return
		plan 2000 table
		;;
	esac
	echo "series: kind $series_kind first $((11 + first)) count $count" \
		"step $step_ms" >> "$SITE/series"
	for i in $(seq 0 $((count - 1))); do
		number=$((11 + (first + i) % HOSTS))
		plan $((i * step_ms)) stop $number
		for action in term reload reload; do
			random 3500
			plan $((i * step_ms + 50 + RANDOM_VALUE)) $action $number
		done
		random 8
		$planned_only && continue
		case $RANDOM_VALUE in
		0) plan $((i * step_ms + 1200)) pause $number ;;
		1) plan $((i * step_ms + 2500)) kill $number ;;
		esac
	done
	series_rng_state=$rng_state
	rng_state=$faults_rng_state
}

# end_due_faults: ends the faults whose time is over, and restarts daemons that
# have stopped.
end_due_faults() {
	now=$(now_ms)
	if [ $platform_fault_ends_ms -gt 0 ] &&
		[ "$now" -ge $platform_fault_ends_ms ]; then
		platform_mode ok
		platform_fault_ends_ms=0
	fi
	for number in $numbers; do
		eval "pid=\$pid_$number state=\$state_$number"
		eval "state_ends_ms=\$state_ends_ms_$number"
		case $state in
		running)
			kill -0 "$pid" 2>/dev/null && continue
			wait_process "$pid"
			check "unexpected exit of daemon $number, status" \
				$wait_status none
			start_host_daemon $number
			;;
		stopping)
			kill -0 "$pid" 2>/dev/null && continue
			wait_process "$pid"
			check_at_most "exit status of a graceful stop" $wait_status 1
			eval "signal_ms=\$signal_ms_$number"
			# shellcheck disable=SC2154 # set by eval
			echo "$number $signal_ms $(now_ms) $wait_status" \
				"$(stop_limit_ms $number)" >> "$SITE/stops"
			start_host_daemon $number
			;;
		down)
			[ "$now" -lt "$state_ends_ms" ] ||
				start_host_daemon $number
			;;
		paused)
			[ "$now" -lt "$state_ends_ms" ] && continue
			kill -CONT "$pid"
			eval "state_$number=running"
			;;
		esac
	done
}

# all_running: succeeds when no plan and no fault of the platform or of a daemon
# is left.
all_running() {
	[ $platform_fault_ends_ms -eq 0 ] && [ -z "$plans" ] || return 1
	for number in $numbers; do
		eval "state=\$state_$number"
		[ "$state" = running ] || return 1
	done
}

table_revision=0
hosts_revision=0
key_withdrawn_ms=""
platform_fault_ends_ms=0
plans=""
signal_ms_13=0
series_rng_state=$((SEED * 104729 + 1))
planned_only=false
has_deadly=false
[ $((SEED % 5)) -ne 1 ] || has_deadly=true
[ $((SEED % 5)) -ne 2 ] || planned_only=true
slots_line=${SLOTS_LINE-"slots = 20"}
if [ $((SEED % 5)) -eq 0 ]; then
	slots_line=""
	SLOW_MS=300
fi
touch "$SITE/faults" "$SITE/series" "$SITE/host.faults" "$SITE/stops"
{
	data_centre_rows m1 m2
	service_rows 200 edge booking
	route_row book booking 12 $TIMEOUT_MS "open = true"
	route_row quote booking 6 1500 "idempotent = true"
	customer_row acme $RATE $BURST
	key_row acme first
} > "$SITE/base.rows"
for number in $numbers; do
	service=booking
	[ "$number" -gt 12 ] || service=edge
	host_row "$(name_of_host "$number")" $service m$((2 - number % 2)) \
		"$number" "$slots_line"
done > "$SITE/hosts.rows"
cp "$SITE/hosts.rows" "$SITE/direct.rows"
start_relay b1 13 $RELAY_PORT
RELAY=$PID
mv "$SITE/hosts.rows" "$SITE/all.rows"
! $planned_only || mv "$SITE/direct.rows" "$SITE/all.rows"
publish_table
publish_hosts
start_platform
for number in $numbers; do
	name=$(name_of_host $number)
	dc=m$((2 - number % 2))
	service=booking
	[ "$number" -gt 12 ] || service=edge
	DRAIN_TIMEOUT_MS=$(stop_limit_ms "$number")
	write_settings "$name" $service $dc "$number"
	use_platform "$name"
	printf '[quota]\nwindow_ms = 5000\nover = 0.25\nslack = 20\n' \
		>> "$SITE/$name.toml"
	start_upstream "$name" "$number" --run-log "$SITE/$name.runs" \
		--delay-us 20000 --slots 20 --queue 5 --crash-ms $CRASH_MS
	start_host_daemon "$number"
	eval "state_ends_ms_$number=0"
done
# shellcheck disable=SC2086 # one word for each number
wait_ready $numbers || exit 1
sleep 1

# Stopped daemons of many hosts take longer to start again; the last checks need
# requests from 3 s after that.
LOAD_MS=$(((FAULT_S + 12) * 1000 + HOSTS * 50))
load_started_ms=$(now_ms)
start_caller book nobody /book "11 12" --method POST --rate 150 \
	--duration-ms $LOAD_MS --timeout-ms 4000
BOOK=$PID
start_caller first first /quote "11 12" --rate 60 \
	--duration-ms $LOAD_MS --timeout-ms 4000
FIRST=$PID
start_caller second second /quote "11 12" --rate 60 \
	--duration-ms $LOAD_MS --timeout-ms 4000
SECOND=$PID
if $has_deadly; then
	start_caller deadly first "/quote?deadly" "11 12" --rate 3 \
		--duration-ms $((FAULT_S * 1000)) --timeout-ms 4000 \
		--header "X-Crash: 1"
	DEADLY=$PID
fi
# Pauses of up to 6 s, longer than a stop, and slow requests, which last until its
# limit when a stopping daemon takes them.
# shellcheck disable=SC2086 # one word for each number
addresses=$(front_addresses $numbers)
conns=$(connections 4)
start_load kept "$addresses" --stay --conns "$conns" --gap-ms $((conns * 4)) \
	--refused-gap-ms 50 --every 1000000 --seconds $((FAULT_S + 12))
KEPT=$PID
conns=$(connections 20)
start_load late "$addresses" --stay --conns "$conns" --refused-gap-ms 50 \
	--gap-step-ms $((6000 / conns)) --every 2 \
	--fields "X-Delay-Ms: $SLOW_MS\r\n" --seconds $((FAULT_S + 12))
LATE=$PID
series_due_ms=$((load_started_ms + 500))
while [ $(($(now_ms) - load_started_ms)) -lt $((FAULT_S * 1000)) ]; do
	inject_fault
	if [ "$(now_ms)" -ge $series_due_ms ]; then
		series_due_ms=$((series_due_ms + SERIES_PERIOD_MS))
		plan_series
	fi
	random 400
	sleep_until_ms=$(($(now_ms) + 100 + RANDOM_VALUE))
	while [ "$(now_ms)" -lt $sleep_until_ms ]; do
		sleep 0.05
		run_plans
		end_due_faults
	done
	if [ -z "$key_withdrawn_ms" ] &&
		[ $(($(now_ms) - load_started_ms)) -gt \
			$((FAULT_S * 500)) ]; then
		platform_mode ok
		platform_fault_ends_ms=0
		key_withdrawn_ms=$(($(now_ms) - load_started_ms))
		publish_table
	fi
done
publish_hosts
until all_running; do
	run_plans
	end_due_faults
	sleep 0.05
done
faults_end_ms=$(($(now_ms) - load_started_ms))
wait_process $BOOK
wait_process $FIRST
wait_process $SECOND
wait_process $KEPT
wait_process $LATE
if $has_deadly; then
	wait_process $DEADLY
	# A crash explains what happens to the requests at its upstream.
	for number in $numbers; do
		sed -n "s/^crashed_ms=//p" \
			"$SITE/$(name_of_host "$number").up.log" |
			while read -r crashed_ms; do
				echo "$number $crashed_ms" \
					$((crashed_ms + CRASH_MS +
					   FAULT_EFFECT_MS))
			done
	done > "$SITE/crashes"
	cat "$SITE/crashes" >> "$SITE/host.faults"
	starts=$(cat "$SITE"/b*.log | grep -c 'event=listening listener=peer')
	check_at_most "upstreams that the deadly request crashed" \
		"$(wc -l < "$SITE/crashes")" \
		$((CRASHES_MAX + starts - HOSTS + 2))
fi

# The run logs of the upstreams name each request by the id that its caller gave
# it. A POST request may run at most once.
cat "$SITE"/b*.runs | cut -d' ' -f2 | sort > "$SITE/ran"
grep -E '^(book|kept|late)-' "$SITE/ran" > "$SITE/booked"
awk '$3 == "not-run" || $3 == "unsent" { print $1 }' "$SITE"/book \
	"$SITE/first" "$SITE/second" "$SITE/kept" "$SITE/late" | sort \
	> "$SITE/not_run"
awk '$3 == "served" && $2 == 200 { print $1 }' "$SITE/book" "$SITE/first" \
	"$SITE/second" "$SITE/kept" "$SITE/late" | sort > "$SITE/served"
check "bookings that ran twice" "$(uniq -d "$SITE/booked" | wc -l)" 0
check "requests that ran although reported as not run" \
	"$(uniq "$SITE/ran" | comm -12 - "$SITE/not_run" | wc -l)" 0
check "requests served without a run" \
	"$(uniq "$SITE/ran" | comm -13 - "$SITE/served" | wc -l)" 0
judge_requests kept late > "$SITE/judged"
kept=$(cat "$SITE/kept" "$SITE/late" | wc -l)
# While a daemon looks for the limit of its upstream, requests may wait too long.
deadline_max=0
[ -n "$slots_line" ] || deadline_max=$((kept / 1000))
# judged WHAT: prints how many requests or stops were judged so.
judged() {
	grep -c "^$1 " "$SITE/judged"
}
check "requests without an answer that ran" "$(judged cut-run)" 0
check "requests without an answer that did not run" "$(judged cut-not-run)" 0
check "requests with an unknown outcome before their deadline and no fault" \
	"$(judged unknown)" 0
check_at_most "requests with an unknown outcome at their deadline and no fault" \
	"$(judged deadline)" "$deadline_max"
check "refusals by a stopping daemon without 503 or Connection: close" \
	"$(judged refusal)" 0
check "graceful stops with a status above 0" "$(judged stop-status)" 0
check "graceful stops beyond the limit" "$(judged stop-late)" 0
check_at_least "requests sent to stopping daemons" "$(judged stopping)" \
	$((3 * $(wc -l < "$SITE/stops")))
# A daemon that is paused at that time learns of the change when it resumes.
check "requests served 5 s after their key was withdrawn" \
	"$(awk -v from=$((key_withdrawn_ms + 5000)) '$2 == 200 && $4 > from' \
		"$SITE/second" | wc -l)" 0
# The quota settings allow 25 % and 20 requests more than the limit.
max_served=$(cat "$SITE/first" "$SITE/second" | awk '$2 == 200 { print $4 }' |
	sort -n | awk '{ at[NR] = $1; while ($1 - at[first + 1] > 5000) first++
		if (NR - first > max_served) max_served = NR - first }
		END { print max_served + 0 }')
check_at_most "requests of a customer served in 5 s" "$max_served" \
	$(((RATE * 5 + BURST) * 125 / 100 + 20 + WINDOW_TOLERANCE))
for file in book first; do
	check_at_least "requests of $file from 3 s after the last fault" \
		"$(awk -v from=$((faults_end_ms + 3000)) '$4 > from' \
			"$SITE/$file" | wc -l)" 1
	check_at_least "per mille of $file served from 3 s after the last fault" \
		"$(awk -v from=$((faults_end_ms + 3000)) '$4 > from { sent++
			served += $2 == 200 }
			END { print int(served * 1000 / (sent ? sent : 1)) }' \
			"$SITE/$file")" 980
done
check_at_least "bookings served" "$(count_attempts book served)" $((FAULT_S * 50))
echo "figure: seed=$SEED hosts=$HOSTS planned_only=$planned_only" \
	"processes=$((2 * HOSTS + 7))" \
	"series=$(wc -l < "$SITE/series") stops=$(wc -l < "$SITE/stops")" \
	"kept=$kept" \
	"faults=$(wc -l < "$SITE/faults")" \
	"sent=$(count_attempts book .) served=$(count_attempts book served)" \
	"unknown=$(count_attempts book unknown) not_run=$(count_attempts book not-run)" \
	"cut=$(count_attempts book cut) unsent=$(count_attempts book unsent)"
if [ $FAILED -ne 0 ]; then
	SITE_KEEP=yes
	echo "files kept in $SITE"
fi
[ $FAILED -eq 0 ]
