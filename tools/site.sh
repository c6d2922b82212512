# Functions that run a small site on loopback, for the demo and the tests.
# The caller sets BUILD, the build directory, and FAILED=0 when it uses check,
# check_at_most or check_at_least, and calls site_stop at its end. NET, the
# first three bytes of the addresses, follows from the process id, so that scripts
# that run at the same time do not share addresses. A host has a NUMBER, the
# last byte of its address. SITE is a temporary folder:
#
#   table.rows, hosts.rows  rows of the table and of the host list
#   table.toml, hosts.toml  the complete files, which the daemons read
#   NAME.toml, .log, .pid   settings, log and process id of the daemon of a host
#   NAME.up.log, .up.pid    log and process id of the upstream of a host
#   NAME.runs               run log of the upstream, when start_host started it
#
# PIDS has the ids of all processes; site_stop ends each one by its id.
# shellcheck shell=sh

NET=127.$((1 + $$ % 250)).$(($$ / 250 % 250))
SITE=$(mktemp -d)
SALT=000102030405060708090a0b0c0d0e0f
FRONT_PORT=18080
PEER_PORT=18081
CONTROL_PORT=18082
OPERATORS_PORT=18083
LOCAL_PORT=18084
UPSTREAM_PORT=18085
PIDS=""

# site_stop: kills all processes; removes the files unless SITE_KEEP is set.
site_stop() {
	for pid in $PIDS; do
		kill -KILL "$pid" 2>/dev/null
	done
	for pid in $PIDS; do
		wait "$pid" 2>/dev/null
	done
	PIDS=""
	[ -n "${SITE_KEEP:-}" ] || rm -rf "$SITE"
}

# untrack_process PID: removes a process that has ended from PIDS.
untrack_process() {
	kept=""
	for pid in $PIDS; do
		[ "$pid" = "$1" ] || kept="$kept $pid"
	done
	PIDS=$kept
}

# now_ms: prints the time in milliseconds.
now_ms() {
	date +%s%3N
}

# key_of NAME: prints a key that follows from NAME, usually that of a customer.
key_of() {
	printf 'csk_%064d' "$(printf %s "$1" | cksum | cut -d' ' -f1)"
}

# key_row CUSTOMER [NAME]: prints the table row of the key of NAME (default: the
# customer's name), which belongs to the customer.
key_row() {
	printf '[[key]]\ncustomer = "%s"\nhash = "%s"\nlabel = "%s"\n' "$1" \
		"$("$BUILD/standins/keyhash" $SALT "$(key_of "${2:-$1}")")" \
		"${2:-$1}"
}

# host_row NAME SERVICE DC NUMBER [EXTRA]: prints a row of the host list.
host_row() {
	printf '[[host]]\nname = "%s"\nservice = "%s"\ndata_centre = "%s"\n' \
		"$1" "$2" "$3"
	printf 'address = "%s.%s"\npeer_port = %s\ncontrol_port = %s\n%s\n' \
		"$NET" "$4" $PEER_PORT $CONTROL_PORT "${5:-}"
}

# data_centre_rows NAME...: prints rows of data centres of one region.
data_centre_rows() {
	printf '[[data_centre]]\nname = "%s"\nregion = "marmara"\n' "$@"
}

# service_rows CONNECTIONS NAME...: prints rows of services.
service_rows() {
	service_connections=$1
	shift
	for service_name in "$@"; do
		printf '[[service]]\nname = "%s"\nconnections = %s\n' \
			"$service_name" "$service_connections"
	done
}

# route_row NAME SERVICE IMPORTANCE TIMEOUT_MS [LINE...]: prints the row of a
# route with the path /NAME. LINE is a further line of the row.
route_row() {
	printf '[[route]]\nname = "%s"\npath = "/%s"\nservice = "%s"\n' \
		"$1" "$1" "$2"
	printf 'importance = %s\ntimeout_ms = %s\n' "$3" "$4"
	shift 4
	[ $# -eq 0 ] || printf '%s\n' "$@"
}

# customer_row NAME RATE BURST: prints the row of a customer.
customer_row() {
	printf '[[customer]]\nname = "%s"\nrate = %s\nburst = %s\n' "$@"
}

# booking_rows CONNECTIONS TIMEOUT_MS RATE BURST: prints the rows of two data
# centres, the service booking with a route, and the customer acme.
booking_rows() {
	data_centre_rows m1 m2
	service_rows "$1" booking
	route_row book booking 12 "$2"
	customer_row acme "$3" "$4"
}

# write_hosts REVISION: installs $SITE/hosts.rows as the host list.
write_hosts() {
	{
		echo "revision = $1"
		cat "$SITE/hosts.rows"
		echo "[end]"
	} > "$SITE/hosts.new"
	mv "$SITE/hosts.new" "$SITE/hosts.toml"
}

# write_table REVISION: installs $SITE/table.rows as the table.
write_table() {
	{
		echo "revision = $1"
		echo "salt = \"$SALT\""
		cat "$SITE/table.rows"
		echo "[end]"
	} > "$SITE/table.new"
	mv "$SITE/table.new" "$SITE/table.toml"
}

# write_settings NAME SERVICE DC NUMBER [LOG_LEVEL]: writes the settings of the
# host's daemon, with a limit of DRAIN_TIMEOUT_MS for a stop (default: 15000).
write_settings() {
	cat > "$SITE/$1.toml" <<-END
	host = "$1"
	service = "$2"
	data_centre = "$3"
	[front]
	address = "$NET.$4"
	port = $FRONT_PORT
	[local]
	address = "$NET.$4"
	port = $LOCAL_PORT
	[peer]
	address = "$NET.$4"
	http_port = $PEER_PORT
	control_port = $CONTROL_PORT
	[operators]
	address = "$NET.$4"
	port = $OPERATORS_PORT
	[upstream]
	address = "$NET.$4"
	port = $UPSTREAM_PORT
	[source]
	kind = "file"
	table = "$SITE/table.toml"
	hosts = "$SITE/hosts.toml"
	[[secret]]
	id = 1
	secret = "00112233445566778899aabbccddeeff"
	[log]
	level = "${5:-info}"
	[drain]
	timeout_ms = ${DRAIN_TIMEOUT_MS:-15000}
	[limits]
	connections = 20000
	END
}

# start_daemon NAME: starts the daemon of a host. Sets PID.
start_daemon() {
	"$BUILD/cassiad" --config "$SITE/$1.toml" >> "$SITE/$1.log" 2>&1 &
	PID=$!
	PIDS="$PIDS $PID"
	echo "$PID" > "$SITE/$1.pid"
}

# start_upstream NAME NUMBER OPTIONS...: starts the upstream of a host. Sets
# PID.
start_upstream() {
	up_name=$1
	up_number=$2
	shift 2
	"$BUILD/standins/upstream" --name "$up_name" \
		--address "$NET.$up_number" --port $UPSTREAM_PORT \
		--local-port $LOCAL_PORT "$@" > "$SITE/$up_name.up.log" 2>&1 &
	PID=$!
	PIDS="$PIDS $PID"
	echo "$PID" > "$SITE/$up_name.up.pid"
}

# wait_ready NUMBER...: waits until the daemons are ready, tries each 151 times,
# 0.1 s apart.
wait_ready() {
	for number in "$@"; do
		tries=0
		until curl -sf -o /dev/null --max-time 1 \
			"http://$NET.$number:$OPERATORS_PORT/readyz"; do
			tries=$((tries + 1))
			if [ $tries -gt 150 ]; then
				echo "daemon $number is not ready"
				return 1
			fi
			sleep 0.1
		done
	done
}

# wait_fence NUMBER...: waits until the daemons hold a fence, which they need to
# grant tokens; tries each 201 times, 0.1 s apart.
wait_fence() {
	for number in "$@"; do
		tries=0
		until curl -s --max-time 1 \
			"http://$NET.$number:$OPERATORS_PORT/status" |
			grep -q '"fence_held":true'; do
			tries=$((tries + 1))
			[ $tries -gt 200 ] && return 1
			sleep 0.1
		done
	done
}

# call NUMBER CUSTOMER TARGET CURL_OPTIONS...: calls TARGET with the key of the
# customer through the daemon of a host. Sets STATUS and BODY.
call() {
	call_number=$1
	call_customer=$2
	call_target=$3
	shift 3
	STATUS=$(curl -s --max-time 15 -o "$SITE/body" -w '%{http_code}' \
		-H "Authorization: Bearer $(key_of "$call_customer")" "$@" \
		"http://$NET.$call_number:$FRONT_PORT$call_target")
	BODY=$(cat "$SITE/body" 2>/dev/null)
}

# reason: prints the reason in BODY, nothing when it has none.
reason() {
	printf %s "$BODY" | sed -n 's/.*"reason":"\([^"]*\)".*/\1/p'
}

# outcome: prints the outcome in BODY, nothing when it has none.
outcome() {
	printf %s "$BODY" | sed -n 's/.*"outcome":"\([^"]*\)".*/\1/p'
}

# check WHAT GOT EXPECTED: prints the result; a difference sets FAILED.
check() {
	if [ "$2" = "$3" ]; then
		echo "ok: $1"
	else
		echo "FAIL: $1: expected $3, got $2"
		FAILED=1
	fi
}

# check_at_most WHAT GOT LIMIT: prints both values; a GOT above LIMIT sets
# FAILED.
check_at_most() {
	echo "figure: $1: $2, at most $3"
	[ "$2" -le "$3" ] || { echo "FAIL: $1"; FAILED=1; }
}

# check_at_least WHAT GOT LIMIT: prints both values; a GOT below LIMIT sets
# FAILED.
check_at_least() {
	echo "figure: $1: $2, at least $3"
	[ "$2" -ge "$3" ] || { echo "FAIL: $1"; FAILED=1; }
}

# start_host NAME SERVICE DC NUMBER UPSTREAM_OPTIONS...: adds the host to
# hosts.rows and starts its upstream, with a run log, and its daemon. Sets
# PID_11 to the id of the daemon for NUMBER 11.
start_host() {
	host_name=$1
	host_number=$4
	host_row "$1" "$2" "$3" "$4" >> "$SITE/hosts.rows"
	write_settings "$1" "$2" "$3" "$4"
	shift 4
	start_upstream "$host_name" "$host_number" \
		--run-log "$SITE/$host_name.runs" "$@"
	start_daemon "$host_name"
	eval "PID_$host_number=$PID"
}

# kill_process PID: kills a process with SIGKILL and waits for it.
kill_process() {
	kill -KILL "$1"
	wait "$1" 2>/dev/null
	untrack_process "$1"
}

# start_caller FILE CUSTOMER TARGET NUMBERS OPTIONS...: starts a caller that
# sends requests for TARGET with the key of the customer to the daemons of the
# hosts in turn. It prints one line per attempt to $SITE/FILE: run id, status,
# outcome, start and latency in milliseconds, number of the try. Sets PID.
start_caller() {
	caller_file=$1
	caller_customer=$2
	caller_target=$3
	caller_urls=""
	for caller_number in $4; do
		caller_urls="$caller_urls --target http://$NET.$caller_number"
		caller_urls="$caller_urls:$FRONT_PORT$caller_target"
	done
	shift 4
	# shellcheck disable=SC2086 # one word for each option
	"$BUILD/standins/caller" --prefix "$caller_file" $caller_urls \
		--header "Authorization: Bearer $(key_of "$caller_customer")" \
		"$@" > "$SITE/$caller_file" &
	PID=$!
	PIDS="$PIDS $PID"
}

# wait_process PID: waits for a process that ends by itself and returns its exit
# status.
wait_process() {
	wait "$1"
	wait_status=$?
	untrack_process "$1"
	return $wait_status
}

# count_attempts FILE OUTCOME [FROM_MS UNTIL_MS]: prints how many attempts that
# a caller started in that time had the outcome (a regular expression; . matches
# all).
count_attempts() {
	awk -v outcome="^$2\$" -v from="${3:-0}" -v until="${4:-1000000}" '
		(outcome == "^.$" || $3 ~ outcome) && $4 >= from && $4 < until {
			n++ } END { print n + 0 }' "$SITE/$1"
}

# status_number NUMBER NAME: prints a number from /status of a daemon.
status_number() {
	curl -s --max-time 1 "http://$NET.$1:$OPERATORS_PORT/status" |
		sed -n 's/.*"'"$2"'": *\([0-9]*\).*/\1/p'
}

# upstream_stat NUMBER NAME: prints a counter of the upstream of a host.
upstream_stat() {
	curl -s --max-time 2 "http://$NET.$1:$UPSTREAM_PORT/_stats" |
		sed -n 's/.*"'"$2"'":\([0-9]*\).*/\1/p'
}

# start_platform: starts the platform's stand-in for 120 s at most. Sets
# PLATFORM, its URL, and PLATFORM_PID.
start_platform() {
	# An earlier one may have left its port here.
	rm -f "$SITE/platform.port"
	"$BUILD/standins/platform" "$SITE/table.toml" "$SITE/hosts.toml" 120 \
		> "$SITE/platform.port" &
	PLATFORM_PID=$!
	PIDS="$PIDS $PLATFORM_PID"
	for i in 1 2 3 4 5 6 7 8 9 10; do
		[ -s "$SITE/platform.port" ] && break
		sleep 0.1
	done
	PLATFORM=http://127.0.0.1:$(sed 's/[^0-9]//g' "$SITE/platform.port")
}

# use_platform NAME: changes the settings of a host so that its daemon reads the
# table and the host list from the platform's stand-in.
use_platform() {
	sed -i -e "s|^kind = .*|kind = \"http\"|" \
		-e "s|^table = .*|url = \"$PLATFORM\"|" -e '/^hosts = /d' \
		"$SITE/$1.toml"
}

# use_platform_profile NAME: changes the settings of a host so that its daemon
# speaks the platform's header fields and has no listener for child calls.
use_platform_profile() {
	sed -i -e '1i protocol = "platform"' -e '/^\[local\]/,/^port/d' \
		"$SITE/$1.toml"
}

# add_seeds NAME NUMBER...: adds the daemons of hosts to the settings of a host as
# its seeds.
add_seeds() {
	seeds_host=$1
	shift
	for seed in "$@"; do
		printf '[[seed]]\naddress = "%s"\nport = %s\n' \
			"$NET.$seed" "$PEER_PORT" >> "$SITE/$seeds_host.toml"
	done
}

# start_load FILE ADDRESSES OPTIONS...: starts loadcall, which sends POST /book
# on kept connections to the addresses and writes a line for each request to
# $SITE/FILE. Sets PID.
start_load() {
	load_file=$1
	load_addresses=$2
	shift 2
	# shellcheck disable=SC2086 # one word for each address
	"$BUILD/standins/loadcall" --lines --prefix "$load_file" --method POST \
		--target /book "$@" $load_addresses > "$SITE/$load_file" &
	PID=$!
	PIDS="$PIDS $PID"
}

# front_addresses NUMBER...: prints the addresses for callers of the daemons.
front_addresses() {
	for address_number in "$@"; do
		printf '%s ' "$NET.$address_number:$FRONT_PORT"
	done
}

# start_relay NAME NUMBER PORT: starts a relay on PORT, which injects faults into
# the connections from other hosts to the daemon of a host. Sets PID.
start_relay() {
	"$BUILD/standins/relay" --address "$NET.$2" --port "$3" \
		--to-port $PEER_PORT &
	PID=$!
	PIDS="$PIDS $PID"
	awk -v port="$3" -v name="\"$1\"" '/^name/ { own = $3 == name }
		/^peer_port/ && own { $3 = port } { print }' \
		"$SITE/hosts.rows" > "$SITE/hosts.relayed"
	mv "$SITE/hosts.relayed" "$SITE/hosts.rows"
}

# judge_requests FILE...: judges the requests that start_load wrote to
# $SITE/FILE, and graceful stops. Prints a word and the line of each one
#
#   stopping            request sent to a daemon while it stops
#   cut-run             request without an answer that an upstream ran
#   cut-not-run         request without an answer that no upstream ran, unless it
#                       met the close of its connection at the end of a stop
#   unknown, deadline   request with an unknown outcome before or at TIMEOUT_MS
#   refusal             refusal by a stopping daemon that is not a 503 with
#                       Connection: close
#   stop-status         stop with an exit status above 0
#   stop-late           stop that took longer than its limit
#
# except when a fault explains it: a fault of a daemon explains the end of the
# requests that went through it or to its upstream, also in an attempt before the
# last one, and the end of its stop. A stop may also give up a request that waits
# for another daemon. $SITE/stops has
# a line for each stop: number of the host, time of SIGTERM, time of the exit,
# status and limit. $SITE/host.faults has a line for each fault: number, from,
# until. Times are in milliseconds since 1970.
judge_requests() {
	judge_files=""
	for judge_file in "$@"; do
		judge_files="$judge_files $SITE/$judge_file"
	done
	# A busy daemon reads the signal within 200 ms, a request that meets the
	# close ends within 100 ms, and the exit is noticed within 2 s.
	# shellcheck disable=SC2086 # one word for each file
	awk -v read_ms=200 -v crossing_ms=100 -v exit_ms=2000 \
		-v deadline_ms=$((TIMEOUT_MS - 10)) '
	function add(kind, host, from, until) {
		from_ms[kind, host, ++count[kind, host]] = from
		until_ms[kind, host, count[kind, host]] = until
	}
	function meets(kind, host, from, until,  i) {
		for (i = 1; i <= count[kind, host]; i++)
			if (from_ms[kind, host, i] <= until &&
			    until_ms[kind, host, i] >= from)
				return 1
		return 0
	}
	# Returns whether a fault met an attempt of a request; any fault when no
	# upstream ran it, since only run logs have its id.
	function met_attempt(run, from, until,  hosts, i) {
		if (!(run in ran))
			return meets("fault", "any", from, until)
		for (i = split(ran[run] tried[id[run]], hosts); i; i--)
			if (meets("fault", hosts[i], from, until))
				return 1
		return 0
	}
	function report(what) { print what, $0 }
	FILENAME ~ /hosts.rows$/ && $1 == "name" { gsub(/"/, ""); name = $3 }
	FILENAME ~ /hosts.rows$/ && $1 == "address" {
		gsub(/.*\.|"/, "")
		number[name] = $0
	}
	FILENAME ~ /host.faults$/ {
		add("fault", $1, $2, $3)
		add("fault", "any", $2, $3)
	}
	FILENAME ~ /stops$/ {
		add("stop", $1, $2 + read_ms, $3)
		add("end", $1, $2, $3)
		if ($4 != 0 && !meets("fault", "any", $2, $3))
			report("stop-status")
		if ($3 - $2 > $5 + exit_ms && !meets("fault", $1, $2, $3))
			report("stop-late")
	}
	FILENAME ~ /runs$/ {
		name = FILENAME
		gsub(/.*\/|.runs$/, "", name)
		ran[$2] = number[name]
		id[$2] = $1
	}
	FILENAME ~ /log$/ && $3 == "event=attempt" {
		tried[substr($4, 4)] = tried[substr($4, 4)] " " \
			number[substr($5, 6)]
	}
	FILENAME ~ /(rows|faults|stops|runs|log)$/ || NF < 8 { next }
	{ host = $7
	  gsub(/.*\.|:.*/, "", host)
	  ends = $4 + $5
	  upstream_excused = met_attempt($1, $4, ends)
	  stopping = meets("stop", host, $4, $4)
	  if (stopping)
		report("stopping")
	  if (meets("fault", host, $4, ends))
		next
	  crossed = $3 == "lost" && !($1 in ran) && $5 < crossing_ms &&
		meets("end", host, ends, ends) }
	$3 ~ /^(cut|lost|none)$/ && !crossed &&
		!($3 == "cut" && $1 in ran && upstream_excused) {
		report($1 in ran ? "cut-run" : "cut-not-run")
	}
	$3 == "unknown" && !upstream_excused {
		report($5 < deadline_ms ? "unknown" : "deadline")
	}
	$3 == "not-run" && stopping && !($2 == 503 && $6 == "close") {
		report("refusal")
	}' "$SITE/hosts.rows" "$SITE/host.faults" "$SITE/stops" \
		"$SITE"/*.runs "$SITE"/*.log $judge_files
}
