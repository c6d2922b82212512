# Guards against a response that its upstream breaks off, or that has no end, and
# that a daemon passes on as complete, keeps in memory, or waits for beyond the
# deadline. All calls pass two daemons.
set -u
BUILD=${1:-build}
PATH_HOSTS="e1:entry:11 b1:booking:12"
. tests/path_site.sh

# A response without end may use the buffers of both daemons, not more.
MEMORY_GROWTH_MAX_KB=16384
# The route's timeout is 3 s.
LIMIT_MS=4000
OK_HEAD='HTTP/1.1 200 OK\r\n'
CHUNKED_HEAD='HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

# memory_kb: prints the highest memory use of both daemons so far, summed up.
memory_kb() {
	cat "/proc/$(cat "$SITE/e1.pid")/status" \
		"/proc/$(cat "$SITE/b1.pid")/status" |
		awk '/^VmHWM/ { sum += $2 } END { print sum }'
}

# call_faulty CURL_OPTIONS...: calls and sets STATUS, EXIT (curl's exit status, 0
# for a complete response), DURATION_MS and NEW_CONNECTIONS, those on which the
# upstream received the request.
call_faulty() {
	connections_before=$(upstream_counter connections 12)
	started_ms=$(date +%s%3N)
	STATUS=$(curl -s --max-time 10 -o /dev/null -w '%{http_code}' \
		-H "Authorization: Bearer $(key_of acme)" "$@" \
		"http://$NET.11:$FRONT_PORT/book")
	EXIT=$?
	DURATION_MS=$(($(date +%s%3N) - started_ms))
	NEW_CONNECTIONS=$(($(upstream_counter connections 12) -
		connections_before))
}

# is_not_complete: prints 1 if the last response is an error or incomplete.
is_not_complete() {
	[ "$EXIT" != 0 ] || [ "$STATUS" = 502 ] || [ "$STATUS" = 504 ]
	echo $((1 - $?))
}

# check_faulty NAME EXPECTED CURL_OPTIONS...: sends a faulty response on a kept
# connection, then on a new one. EXPECTED is 502 for an error response or "cut"
# for one that is not complete.
check_faulty() {
	name=$1
	expected=$2
	shift 2
	call 11 acme /book
	for connections in 0 1; do
		call_faulty "$@"
		if [ "$expected" = 502 ]; then
			expect_equal "$name, new connections $connections" \
				"502 0 $connections" \
				"$STATUS $EXIT $NEW_CONNECTIONS"
		else
			expect_equal "$name, new connections $connections" \
				"1 $connections" \
				"$(is_not_complete) $NEW_CONNECTIONS"
		fi
		expect_equal "$name ends in time ($DURATION_MS ms)" 1 \
			$((DURATION_MS < LIMIT_MS))
	done
}

for method in POST HEAD; do
	option="-X$method"
	[ $method = HEAD ] && option=--head
	check_faulty "$method, part of a status line" 502 $option \
		-H 'X-Raw: HTTP/1.1 20'
	check_faulty "$method, status line" 502 $option -H "X-Raw: $OK_HEAD"
	check_faulty "$method, part of a field" 502 $option \
		-H "X-Raw: ${OK_HEAD}Content-Le"
	check_faulty "$method, field" 502 $option \
		-H "X-Raw: ${OK_HEAD}X-Field: value\\r\\n"
	check_faulty "$method, length" 502 $option \
		-H "X-Raw: ${OK_HEAD}Content-Length: 5\\r\\n"
	check_faulty "$method, length 0" 502 $option \
		-H "X-Raw: ${OK_HEAD}Content-Length: 0\\r\\n\\r"
	check_faulty "$method, transfer coding" 502 $option \
		-H "X-Raw: ${OK_HEAD}Transfer-Encoding: chunked\\r\\n"
	check_faulty "$method, reset within the head" 502 $option \
		-H "X-Raw: ${OK_HEAD}X-Field: value\\r\\n" -H 'X-Raw-Reset: 1'
done
for status in '000 OK' '0 OK' '099 OK' '101 Switching' '600 OK' '999 OK' \
	200OK ' 200 OK' '2O0 OK' ''; do
	check_faulty "status line '$status'" 502 -X POST -H "X-Raw: \
HTTP/1.1 $status\\r\\nContent-Length: 2\\r\\n\\r\\nok"
	check_faulty "status line '$status', not run" 502 -X POST -H "X-Raw: \
HTTP/1.1 $status\\r\\nCassia-Outcome: not-run\\r\\nContent-Length: 2\\r\\n\\r\\nok"
done
check_faulty "field without colon" 502 -X POST \
	-H "X-Raw: ${OK_HEAD}X-Field\\r\\nContent-Length: 2\\r\\n\\r\\nok"
check_faulty "two lengths" 502 -X POST -H "X-Raw: ${OK_HEAD}Content-Length: 3\
\\r\\nContent-Length: 2\\r\\n\\r\\nok"
check_faulty "reset body without length" cut -X POST \
	-H "X-Raw: ${OK_HEAD}\\r\\nabc" -H 'X-Raw-Reset: 1'
check_faulty "chunked body without end" cut -X POST \
	-H "X-Raw: ${CHUNKED_HEAD}3\\r\\nabc\\r\\n"
check_faulty "chunked body without last line" cut -X POST \
	-H "X-Raw: ${CHUNKED_HEAD}3\\r\\nabc\\r\\n0\\r\\n"
check_faulty "chunked body of no chunk" cut -X POST -H "X-Raw: $CHUNKED_HEAD"
check_faulty "body below its length" cut -X POST \
	-H "X-Raw: ${OK_HEAD}Content-Length: 5\\r\\n\\r\\nabc"

MEMORY_KB=$(memory_kb)
check_faulty "bytes without end" 502 -X POST -H 'X-Raw: x' -H 'X-Raw-Repeat: x'
check_faulty "status line without end" 502 -X POST -H 'X-Raw: HTTP/1.1 200 ' \
	-H 'X-Raw-Repeat: x'
check_faulty "head without end" 502 -X POST -H "X-Raw: $OK_HEAD" \
	-H 'X-Raw-Repeat: X-Field: value\r\n'
check_faulty "field without end" 502 -X POST -H "X-Raw: ${OK_HEAD}X-Field: " \
	-H 'X-Raw-Repeat: value'
check_faulty "1xx heads without end" 502 -X POST -H 'X-Raw: HTTP/1.1 ' \
	-H 'X-Raw-Repeat: 103 Early Hints\r\n\r\nHTTP/1.1 '
check_faulty "chunk size without end" cut -X POST -H "X-Raw: $CHUNKED_HEAD" \
	-H 'X-Raw-Repeat: 0'
check_faulty "chunk extension without end" cut -X POST \
	-H "X-Raw: ${CHUNKED_HEAD}3;" -H 'X-Raw-Repeat: x'
check_faulty "trailer fields without end" cut -X POST \
	-H "X-Raw: ${CHUNKED_HEAD}0\\r\\n" -H 'X-Raw-Repeat: X-Field: value\r\n'
check_faulty "trailer field without end" cut -X POST \
	-H "X-Raw: ${CHUNKED_HEAD}0\\r\\nX-Field: " -H 'X-Raw-Repeat: value'
check_faulty "chunks without end" cut -X POST -H "X-Raw: $CHUNKED_HEAD" \
	-H 'X-Raw-Repeat: 3\r\nabc\r\n'
check_faulty "body without length and end" cut -X POST \
	-H "X-Raw: ${OK_HEAD}\\r\\n" -H 'X-Raw-Repeat: abc'
check_faulty "head of line feeds without end" 502 -X POST \
	-H 'X-Raw: HTTP/1.1 200 OK\nX-Field: value\n' \
	-H 'X-Raw-Repeat: X-Field: value\n'
check_faulty "folded field without end" 502 -X POST \
	-H "X-Raw: ${OK_HEAD}X-Field: value\\r\\n" -H 'X-Raw-Repeat:  more\r\n'
check_faulty "another protocol without end" cut -X POST \
	-H 'X-Raw: HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n' \
	-H 'X-Raw-Repeat: bytes'
head -c 190000 /dev/zero > "$SITE/large"
# A body that is streamed has a connection of its own.
call_faulty -X POST --data-binary @"$SITE/large" -H 'X-Raw: x' \
	-H 'X-Raw-Repeat: x'
expect_equal "bytes without end during a request body" "502 0 1" \
	"$STATUS $EXIT $NEW_CONNECTIONS"
expect_equal "bytes without end during a request body end in time ($DURATION_MS ms)" 1 \
	$((DURATION_MS < LIMIT_MS))

# Callers that hardly read, so that the buffers on the way are full.
slow_callers=""
for _ in 1 2 3 4 5 6 7 8; do
	curl -s --max-time 5 --limit-rate 1k -o /dev/null -X POST \
		-H "Authorization: Bearer $(key_of acme)" \
		-H "X-Raw: $CHUNKED_HEAD" -H 'X-Raw-Repeat: 3\r\nabc\r\n' \
		"http://$NET.11:$FRONT_PORT/book" &
	slow_callers="$slow_callers $!"
done
sleep 1
call 11 acme /book
expect_equal "a call beside responses without end is served" 200 "$STATUS"
# shellcheck disable=SC2086 # one argument for each process
wait $slow_callers
GROWTH_KB=$(($(memory_kb) - MEMORY_KB))
expect_equal "memory grows by at most $MEMORY_GROWTH_MAX_KB KB ($GROWTH_KB)" 1 \
	$((GROWTH_KB <= MEMORY_GROWTH_MAX_KB))

call 11 acme /book
expect_equal "the next call is served" 200 "$STATUS"
[ "$FAILURES" -eq 0 ]
