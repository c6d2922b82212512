# Functions that run a small site on loopback, for the demo and the tests.
# The caller sets BUILD. NET, the first three bytes of the addresses, follows
# from the process id, so that runs at the same time do not meet.
# Every process is ended by its own id.
# shellcheck shell=sh

NET=127.$((1 + $$ % 250)).$(($$ / 250 % 250))
SITE=$(mktemp -d)
SALT=000102030405060708090a0b0c0d0e0f
FRONT=18080
PEER=18081
CONTROL=18082
OPERATORS=18083
LOCAL=18084
UPSTREAM=18085
PIDS=""

# site_stop: ends all processes and removes the files.
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

# forget PID: takes a process that has ended out of the list.
forget() {
	kept=""
	for pid in $PIDS; do
		[ "$pid" = "$1" ] || kept="$kept $pid"
	done
	PIDS=$kept
}

# key NAME: prints the key of a customer.
key() {
	printf 'csk_%064d' "$(printf %s "$1" | cksum | cut -d' ' -f1)"
}

# key_row CUSTOMER [NAME]: prints the table row of a customer's key.
key_row() {
	printf '[[key]]\ncustomer = "%s"\nhash = "%s"\nlabel = "%s"\n' "$1" \
		"$("$BUILD/standins/keyhash" $SALT "$(key "${2:-$1}")")" \
		"${2:-$1}"
}

# host_row NAME SERVICE DC NUMBER [EXTRA]: prints a row of the host list.
host_row() {
	printf '[[host]]\nname = "%s"\nservice = "%s"\ndata_centre = "%s"\n' \
		"$1" "$2" "$3"
	printf 'address = "%s.%s"\npeer_port = %s\ncontrol_port = %s\n%s\n' \
		"$NET" "$4" $PEER $CONTROL "${5:-}"
}

# booking_rows CONNECTIONS TIMEOUT_MS RATE BURST: prints the rows of two data
# centres, the service booking with a route, and the customer acme.
booking_rows() {
	cat <<-END
	[[data_centre]]
	name = "m1"
	region = "marmara"
	[[data_centre]]
	name = "m2"
	region = "marmara"
	[[service]]
	name = "booking"
	connections = $1
	[[route]]
	name = "book"
	path = "/book"
	service = "booking"
	importance = 12
	timeout_ms = $2
	[[customer]]
	name = "acme"
	rate = $3
	burst = $4
	END
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

# write_settings NAME SERVICE DC NUMBER [LOG_LEVEL]
write_settings() {
	cat > "$SITE/$1.toml" <<-END
	host = "$1"
	service = "$2"
	data_centre = "$3"
	[front]
	address = "$NET.$4"
	port = $FRONT
	[local]
	address = "$NET.$4"
	port = $LOCAL
	[peer]
	address = "$NET.$4"
	http_port = $PEER
	control_port = $CONTROL
	[operators]
	address = "$NET.$4"
	port = $OPERATORS
	[upstream]
	address = "$NET.$4"
	port = $UPSTREAM
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
	timeout_ms = 15000
	[limits]
	connections = 20000
	END
}

# start_daemon NAME: sets PID.
start_daemon() {
	"$BUILD/cassiad" --config "$SITE/$1.toml" >> "$SITE/$1.log" 2>&1 &
	PID=$!
	PIDS="$PIDS $PID"
	echo "$PID" > "$SITE/$1.pid"
}

# start_upstream NAME NUMBER OPTIONS...: sets PID.
start_upstream() {
	up_name=$1
	up_number=$2
	shift 2
	"$BUILD/standins/upstream" --name "$up_name" \
		--address "$NET.$up_number" --port $UPSTREAM \
		--local-port $LOCAL "$@" > "$SITE/$up_name.up.log" 2>&1 &
	PID=$!
	PIDS="$PIDS $PID"
	echo "$PID" > "$SITE/$up_name.up.pid"
}

# wait_ready NUMBER...: waits until the daemons serve, at most 15 s each.
wait_ready() {
	for number in "$@"; do
		tries=0
		until curl -sf -o /dev/null --max-time 1 \
			"http://$NET.$number:$OPERATORS/readyz"; do
			tries=$((tries + 1))
			if [ $tries -gt 150 ]; then
				echo "daemon $number is not ready"
				return 1
			fi
			sleep 0.1
		done
	done
}

# wait_fence NUMBER...: waits until tokens are granted, at most 20 s.
wait_fence() {
	for number in "$@"; do
		tries=0
		until curl -s --max-time 1 \
			"http://$NET.$number:$OPERATORS/status" |
			grep -q '"fence_held":true'; do
			tries=$((tries + 1))
			[ $tries -gt 200 ] && return 1
			sleep 0.1
		done
	done
}

# call NUMBER CUSTOMER TARGET CURL_OPTIONS...: sets STATUS and BODY.
call() {
	call_number=$1
	call_customer=$2
	call_target=$3
	shift 3
	STATUS=$(curl -s --max-time 15 -o "$SITE/body" -w '%{http_code}' \
		-H "Authorization: Bearer $(key "$call_customer")" "$@" \
		"http://$NET.$call_number:$FRONT$call_target")
	BODY=$(cat "$SITE/body" 2>/dev/null)
}

# reason: prints the reason of the last refusal.
reason() {
	printf %s "$BODY" | sed -n 's/.*"reason":"\([^"]*\)".*/\1/p'
}

# outcome: prints the outcome of the last refusal.
outcome() {
	printf %s "$BODY" | sed -n 's/.*"outcome":"\([^"]*\)".*/\1/p'
}

# check WHAT GOT EXPECTED: prints the verdict; a difference sets FAILED.
check() {
	if [ "$2" = "$3" ]; then
		echo "ok: $1"
	else
		echo "WRONG: $1: expected $3, got $2"
		FAILED=1
	fi
}

# check_most WHAT GOT LIMIT and check_least WHAT GOT LIMIT
check_most() {
	echo "figure: $1: $2, at most $3"
	[ "$2" -le "$3" ] || { echo "WRONG: $1"; FAILED=1; }
}

check_least() {
	echo "figure: $1: $2, at least $3"
	[ "$2" -ge "$3" ] || { echo "WRONG: $1"; FAILED=1; }
}

# start_host NAME SERVICE DC NUMBER UPSTREAM_OPTIONS...: adds the host, starts
# its upstream, which logs what it runs, and its daemon. Sets PID_NUMBER.
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

# end PID: kills a process at once and waits for it.
end() {
	kill -KILL "$1"
	wait "$1" 2>/dev/null
	forget "$1"
}

# start_caller FILE CUSTOMER TARGET NUMBERS OPTIONS...: sends TARGET to the
# daemons in turn; the answers go to $SITE/FILE. Sets PID.
start_caller() {
	caller_file=$1
	caller_customer=$2
	caller_target=$3
	caller_urls=""
	for caller_number in $4; do
		caller_urls="$caller_urls --target http://$NET.$caller_number"
		caller_urls="$caller_urls:$FRONT$caller_target"
	done
	shift 4
	# shellcheck disable=SC2086 # one word for each option
	"$BUILD/standins/caller" --prefix "$caller_file" $caller_urls \
		--header "Authorization: Bearer $(key "$caller_customer")" \
		"$@" > "$SITE/$caller_file" &
	PID=$!
	PIDS="$PIDS $PID"
}

# join PID: waits for a process that ends by itself.
join() {
	wait "$1"
	join_code=$?
	forget "$1"
	return $join_code
}

# count FILE OUTCOME [FROM_MS UNTIL_MS]: prints how many sendings of a caller
# in that time had the outcome (. matches all).
count() {
	awk -v outcome="^$2\$" -v from="${3:-0}" -v until="${4:-1000000}" '
		(outcome == "^.$" || $3 ~ outcome) && $4 >= from && $4 < until {
			n++ } END { print n + 0 }' "$SITE/$1"
}

# status_number NUMBER NAME: prints a number of the daemon's status.
status_number() {
	curl -s --max-time 1 "http://$NET.$1:$OPERATORS/status" |
		sed -n 's/.*"'"$2"'": *\([0-9]*\).*/\1/p'
}

# upstream_stat NUMBER NAME: prints a counter of an upstream.
upstream_stat() {
	curl -s --max-time 2 "http://$NET.$1:$UPSTREAM/_stats" |
		sed -n 's/.*"'"$2"'":\([0-9]*\).*/\1/p'
}

# start_platform: starts the platform's stand-in. Sets PLATFORM, PLATFORM_PID.
start_platform() {
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

# use_platform NAME: lets a daemon read from the platform's stand-in.
use_platform() {
	sed -i -e "s|^kind = .*|kind = \"http\"|" \
		-e "s|^table = .*|url = \"$PLATFORM\"|" -e '/^hosts = /d' \
		"$SITE/$1.toml"
}
