# Guards against responses that are truncated, crossed, or lost and passed on
# as whole, and against a wrong outcome in such cases.
set -u
BUILD=${1:-build}
. tests/path_site.sh

code_of() {
	curl -s --max-time 8 -o /dev/null -H "Authorization: Bearer $(key acme)" \
		"$@"
	echo $?
}

call 11 acme /book -H 'X-Cross: 1'
check "crossed response" "502 crossed-response unknown" \
	"$STATUS $(reason) $(outcome)"
check "small truncated response fails at the caller" 1 \
	"$([ "$(code_of -H 'X-Size: 2000' -H 'X-Truncate: 1' \
		"http://$NET.11:$FRONT/book")" != 0 ] && echo 1)"
check "large truncated response fails at the caller" 1 \
	"$([ "$(code_of -H 'X-Size: 2000000' -H 'X-Truncate: 1' \
		"http://$NET.11:$FRONT/book")" != 0 ] && echo 1)"
call 11 acme /book -H 'X-Silent: 1'
check "silent upstream" "504 deadline unknown" \
	"$STATUS $(reason) $(outcome)"
call 11 acme /book -X POST -H 'X-Shed: 1'
check "refused by both upstreams" "503 shed not-run" \
	"$STATUS $(reason) $(outcome)"

# A caller that leaves ends the work at the upstream.
BEFORE=$(($(stats cancelled 12) + $(stats cancelled 13)))
curl -s --max-time 0.5 -o /dev/null -H 'X-Delay-Ms: 2500' \
	-H "Authorization: Bearer $(key acme)" "http://$NET.11:$FRONT/read"
sleep 0.5
AFTER=$(($(stats cancelled 12) + $(stats cancelled 13)))
check "work of a caller that left is cancelled" $((BEFORE + 1)) "$AFTER"

check "peer port refuses unsigned requests" 403 \
	"$(curl -s -o /dev/null -w '%{http_code}' "http://$NET.12:$PEER/read")"
call 11 acme /read
check "still serving" 200 "$STATUS"
[ "$FAILURES" -eq 0 ]
