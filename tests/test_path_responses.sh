# Guards against a response that is passed on as complete and valid although the
# upstream truncated it, sent that of another request or sent none, and against
# a wrong outcome in such cases.
set -u
BUILD=${1:-build}
. tests/path_site.sh

# curl_exit_code OPTIONS...: prints curl's exit code, 0 for a complete response.
curl_exit_code() {
	curl -s --max-time 8 -o /dev/null -H "Authorization: Bearer $(key_of acme)" \
		"$@"
	echo $?
}

call 11 acme /book -H 'X-Cross: 1'
expect_equal "crossed response" "502 crossed-response unknown" \
	"$STATUS $(reason) $(outcome)"
expect_equal "small truncated response fails at the caller" 1 \
	"$([ "$(curl_exit_code -H 'X-Size: 2000' -H 'X-Truncate: 1' \
		"http://$NET.11:$FRONT_PORT/book")" != 0 ] && echo 1)"
expect_equal "large truncated response fails at the caller" 1 \
	"$([ "$(curl_exit_code -H 'X-Size: 2000000' -H 'X-Truncate: 1' \
		"http://$NET.11:$FRONT_PORT/book")" != 0 ] && echo 1)"
call 11 acme /book -H 'X-Silent: 1'
expect_equal "silent upstream" "504 deadline unknown" \
	"$STATUS $(reason) $(outcome)"
call 11 acme /book -X POST -H 'X-Shed: 1'
expect_equal "refused by both upstreams" "503 shed not-run" \
	"$STATUS $(reason) $(outcome)"

# A request is cancelled at the upstream when its caller disconnects.
CANCELLED_BEFORE=$(($(upstream_counter cancelled 12) +
	$(upstream_counter cancelled 13)))
curl -s --max-time 0.5 -o /dev/null -H 'X-Delay-Ms: 2500' \
	-H "Authorization: Bearer $(key_of acme)" "http://$NET.11:$FRONT_PORT/read"
sleep 0.5
CANCELLED_AFTER=$(($(upstream_counter cancelled 12) +
	$(upstream_counter cancelled 13)))
expect_equal "request of a caller that disconnected is cancelled" \
	$((CANCELLED_BEFORE + 1)) "$CANCELLED_AFTER"

expect_equal "peer port refuses unsigned requests" 403 \
	"$(curl -s -o /dev/null -w '%{http_code}' "http://$NET.12:$PEER_PORT/read")"
call 11 acme /read
expect_equal "the next call is served" 200 "$STATUS"
[ "$FAILURES" -eq 0 ]
