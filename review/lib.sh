# Functions of the review scripts: a small deployment on loopback addresses with
# the daemons of the deploy file and the stand-ins of review/standin.
# shellcheck shell=sh
#
# Zones z1 and z2 are in one region, z3 is in another. The bounds are those of the
# small sites.
#
# The caller sets CASE_DIR, its folder, and RECORD, the path of its record.txt. Both
# are absolute.

cd "$CASE_DIR/../.." || exit 2
STANDIN=target/review/standin
DAEMON=target/cassiad
WORK=$(mktemp -d)
TROUBLE=${TROUBLE:-1}
PIDS=""
# A network of its own for each run, so that all ports are free.
NET=127.$((20 + $$ % 200)).$(($$ / 200 % 250))
STORE_PORT=8545
FRONT_PORT=8548
CONTROL_PORT=8540
READY_PORT=8546
APP_PORT=8547

RECORDED=0
echo "the script did not come to its end" > "$RECORD" || exit 2
[ -x "$STANDIN" ] && [ -x "$DAEMON" ] || {
	echo "build first: the command of deploy/system.toml, review/build.sh" |
		tee "$RECORD"
	rm -rf "$WORK"
	exit 2
}

stop_all() {
	# shellcheck disable=SC2086 # one argument for each process
	[ -z "$PIDS" ] || kill -KILL $PIDS 2>/dev/null
	wait 2>/dev/null
	[ $RECORDED = 1 ] || record_write
	rm -rf "$WORK"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

now_ms() {
	echo $(($(date +%s%N) / 1000000))
}

# start COMMAND...: starts a process, sets PID and notes it for stop_all.
start() {
	"$@" &
	PID=$!
	PIDS="$PIDS $PID"
}

store_start() {
	start "$STANDIN" store "$NET.250" $STORE_PORT "$WORK/store.log"
	STORE_PID=$PID
	sleep 0.3
}

# store_put KEY: writes standard input as the operator or a backend does.
store_put() {
	"$STANDIN" call "$NET.250" $STORE_PORT PUT "/op/$1" > "$WORK/put.out" ||
		exit 2
}

# server_put ID SERVICE NUMBER ZONE SLOTS STATE SEQ: writes the entry of a
# backend.
server_put() {
	printf '{"service":"%s","address":"%s","zone":"%s","version":"v1",%s}' \
		"$2" "$NET.$3:$APP_PORT" "$4" \
		"\"slots\":$5,\"state\":\"$6\",\"cold_ms\":0,\"seq\":$7,\"born\":$BORN" |
		store_put "servers/$1"
}
BORN=$(now_ms)

# settings NUMBER SERVICE ZONE: fills in the template of the deploy file.
settings() {
	sed -e '/{{#seeds}}/,$d' \
		-e "s/{{ip}}/$NET.$1/" -e "s/{{service}}/$2/" \
		-e "s/{{zone}}/$3/" \
		-e "s/{{listen.outbound}}/$NET.$1:$FRONT_PORT/" \
		-e "s/{{listen.control}}/$NET.$1:$CONTROL_PORT/" \
		-e "s/{{listen.ready}}/$NET.$1:$READY_PORT/" \
		-e "s/{{port-range.0}}/7000/" \
		-e "s/{{app-addr}}/$NET.$1:$APP_PORT/" \
		-e "s/{{platform.address}}/$NET.250:$STORE_PORT/" \
		-e "s/{{bounds.quota-window-s}}/5/" \
		-e "s/{{bounds.quota-over}}/0.25/" \
		-e "s/{{bounds.quota-slack}}/20/" \
		-e "s/{{bounds.grace-s}}/6/" deploy/cassiad.toml.in
	for number in $SEEDS; do
		printf '[[seed]]\nendpoint = "%s"\n' "$NET.$number:$CONTROL_PORT"
	done
	printf '[[region]]\ndata_centre = "%s"\nregion = "%s"\n' \
		z1 r1 z2 r1 z3 r2
}
SEEDS="11 12"

# daemon_start NUMBER SERVICE ZONE
daemon_start() {
	settings "$1" "$2" "$3" > "$WORK/boot-$1.toml"
	start env CASSIADALE_BOOT="$WORK/boot-$1.toml" "$DAEMON" \
		--config "$WORK/boot-$1.toml" >> "$WORK/daemon-$1.log" 2>&1
	eval "DAEMON_PID_$1=$PID"
}

# backend_start NUMBER ID SLOTS WORK_MS SLOW_FACTOR
backend_start() {
	start "$STANDIN" backend "$NET.$1" $APP_PORT "$2" "$3" "$4" "$5" \
		"$WORK/backend-$1.log"
	eval "BACKEND_PID_$1=$PID"
}

# wait_ready NUMBER...: waits until the daemons say that they are ready.
wait_ready() {
	for number in "$@"; do
		tries=0
		until "$STANDIN" call "$NET.$number" $READY_PORT GET /readyz \
			"Host: x" 2>/dev/null | grep -q '^200$'; do
			tries=$((tries + 1))
			[ $tries -lt 150 ] || {
				echo "daemon $number is not ready"
				exit 2
			}
			sleep 0.1
		done
	done
}

# load_start NUMBER HOST PATH RATE SECONDS DEADLINE_MS KEY PREFIX: clients of a
# machine, in the background. Sets LOAD_PID.
load_start() {
	number=$1
	shift
	start "$STANDIN" load "$NET.$number" $FRONT_PORT "$@" \
		"$WORK/clients.log"
	LOAD_PID=$PID
}

# record_write: writes what was sent, answered and run, in the order of time.
record_write() {
	RECORDED=1
	{
		[ ! -f "$WORK/store.log" ] ||
			sed 's/^\([0-9]*\) /\1 store /' "$WORK/store.log"
		[ ! -f "$WORK/clients.log" ] ||
			sed 's/^\([0-9]*\) /\1 client /' "$WORK/clients.log"
		for log in "$WORK"/backend-*.log; do
			[ -f "$log" ] || continue
			name=$(basename "$log" .log)
			sed "s/^\([0-9]*\) /\1 $name /" "$log"
		done
		[ ! -f "$WORK/events.log" ] || cat "$WORK/events.log"
	} | sort -n -s -k1,1 > "$RECORD"
}

# require_served: ends the script with 2 if the deployment served no client at all.
require_served() {
	grep -q ' answer [^ ]* 200 ' "$WORK/clients.log" && return
	echo "no request was served" | tee -a "$RECORD"
	exit 2
}

# event TEXT: notes what the script does.
event() {
	echo "$(now_ms) script $*" >> "$WORK/events.log"
}
