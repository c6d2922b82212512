# Guards against malformed, oversized or slow requests and keys in wrong places
# that reach an upstream, and against bodies or header fields that are changed
# between caller and upstream.
set -u
BUILD=${1:-build}
. tests/path_site.sh
KEY="Authorization: Bearer $(key_of acme)"

# status_line: prints the HTTP version and the status of a response.
status_line() {
	head -n 1 | cut -c1-12
}

expect_equal "a connection without HTTP is closed" "closed=1 sen" \
	"$(printf 'nonsense\r\n\r\n' | send_raw 11 0 3 | tr -d '\n' | cut -c1-12)"
expect_equal "Content-Length with chunked coding" "HTTP/1.1 400" \
	"$(printf 'POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' |
		send_raw 11 0 3 | status_line)"
expect_equal "two Content-Length fields" "HTTP/1.1 400" \
	"$(printf 'POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd' |
		send_raw 11 0 3 | status_line)"
expect_equal "dot segment in the path" "HTTP/1.1 400" \
	"$(printf 'GET /read/../book HTTP/1.1\r\nHost: x\r\n\r\n' |
		send_raw 11 0 1 | status_line)"
expect_equal "encoded dot segment in the path" "HTTP/1.1 400" \
	"$(printf 'GET /read/%%2e%%2E/book HTTP/1.1\r\nHost: x\r\n\r\n' |
		send_raw 11 0 1 | status_line)"

call 11 acme /read -H "X-Large: $(printf '%017000d' 0)"
expect_equal "header over 16 KB" 431 "$STATUS"
call 11 acme /read -H "X-Large: $(printf '%014000d' 0)"
expect_equal "header below 16 KB" 200 "$STATUS"
head -c 200001 /dev/zero > "$SITE/large"
call 11 acme /book --data-binary "@$SITE/large"
expect_equal "body over the route's limit" 413 "$STATUS"
expect_equal "reason for a body over the limit" too-large "$(reason)"
call 11 acme /book -H 'Transfer-Encoding: chunked' \
	--data-binary "@$SITE/large"
expect_equal "chunked body over the limit" 413 "$STATUS"
head -c 200000 /dev/zero > "$SITE/large"
call 11 acme /book --data-binary "@$SITE/large"
expect_equal "body at the limit" 200 "$STATUS"
case $BODY in
*'"body_bytes":200000,'*) expect_equal "whole body arrives" 1 1 ;;
*) expect_equal "whole body arrives" 200000 "$BODY" ;;
esac
call 11 acme /book -H 'Transfer-Encoding: chunked' \
	--data-binary "@$SITE/large"
case $BODY in
*'"body_bytes":200000,'*) expect_equal "whole chunked body arrives" 1 1 ;;
*) expect_equal "whole chunked body arrives" 200000 "$BODY" ;;
esac
call 11 acme /book -H 'Expect: 100-continue' -d 'seat=1'
expect_equal "Expect: 100-continue" 200 "$STATUS"

call 11 acme /read -H 'X-Size: 3000000'
expect_equal "large response" 3000000 "$(wc -c < "$SITE/body")"
HEAD_STATUS=$(curl -sI -H "$KEY" -o "$SITE/body" -w '%{http_code}' \
	"http://$NET.11:$FRONT_PORT/read")
expect_equal "HEAD" 200 "$HEAD_STATUS"
grep -qi '^content-length: [1-9]' "$SITE/body"
expect_equal "HEAD response has Content-Length" 0 $?
expect_equal "duplicated response fields are kept" 2 \
	"$(curl -sD - -o /dev/null -H "$KEY" "http://$NET.11:$FRONT_PORT/read" |
		grep -ci '^set-cookie')"

call 11 acme /read -H 'X-One: 1' -H 'X-One: 2' -H 'Connection: X-Hop' \
	-H 'X-Hop: secret' -H "Proxy-Authorization: Bearer $(key_of acme)" \
	-H 'Cassia-Deadline-Ms: 99999' -H 'Cassia-Context: forged'
expect_equal "request with many fields" 200 "$STATUS"
case $BODY in
*'X-One: 1\nX-One: 2'*) expect_equal "duplicated request fields arrive" 1 1 ;;
*) expect_equal "duplicated request fields arrive" both "$BODY" ;;
esac
case $BODY in
*X-Hop*|*uthorization*|*99999*|*forged*)
	expect_equal "hop-by-hop, Cassia- and key fields do not arrive" "" "$BODY"
	;;
*) expect_equal "hop-by-hop, Cassia- and key fields do not arrive" 1 1 ;;
esac
call 11 acme "/read?access_token=$(key_of acme)"
expect_equal "key in the query" 400 "$STATUS"
call 11 acme /read -H "X-Api-Key: $(key_of acme)"
expect_equal "key in another field" 400 "$STATUS"
for number in 12 13; do
	expect_equal "requests with a key at upstream $number" 0 \
		"$(upstream_counter keys $number)"
done

expect_equal "slow header" "HTTP/1.1 408" \
	"$(printf 'GET /read HTTP/1.1\r\nHost: x\r\nX-A: %0900d\r\n\r\n' 0 |
		send_raw 11 50 16 | tr -d '\n' | cut -c1-12)"
expect_equal "slow body" "HTTP/1.1 408" \
	"$(printf 'POST /book HTTP/1.1\r\nHost: x\r\n%s\r\nContent-Length: 900\r\n\r\n%0900d' \
		"$KEY" 0 | send_raw 11 25 22 | tr -d '\n' | cut -c1-12)"
[ "$FAILURES" -eq 0 ]
