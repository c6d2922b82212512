# Guards against malformed, oversized, slow and misplaced input that is passed
# on, and against bodies or headers that change on their way.
set -u
BUILD=${1:-build}
. tests/path_site.sh
KEY="Authorization: Bearer $(key acme)"

first_line() {
	head -n 1 | cut -c1-12
}

check "no HTTP at all is closed" "closed=1 sen" \
	"$(printf 'nonsense\r\n\r\n' | raw 11 0 3 | tr -d '\n' | cut -c1-12)"
check "length and chunks together" "HTTP/1.1 400" \
	"$(printf 'POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n' |
		raw 11 0 3 | first_line)"
check "two lengths" "HTTP/1.1 400" \
	"$(printf 'POST /book HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd' |
		raw 11 0 3 | first_line)"
check "dot segment" "HTTP/1.1 400" \
	"$(printf 'GET /read/../book HTTP/1.1\r\nHost: x\r\n\r\n' |
		raw 11 0 1 | first_line)"
check "encoded dot segment" "HTTP/1.1 400" \
	"$(printf 'GET /read/%%2e%%2E/book HTTP/1.1\r\nHost: x\r\n\r\n' |
		raw 11 0 1 | first_line)"

call 11 acme /read -H "X-Large: $(printf '%017000d' 0)"
check "header over 16 KB" 431 "$STATUS"
call 11 acme /read -H "X-Large: $(printf '%014000d' 0)"
check "header below 16 KB" 200 "$STATUS"
head -c 200001 /dev/zero > "$SITE/large"
call 11 acme /book --data-binary "@$SITE/large"
check "body over the route's limit" 413 "$STATUS"
check "its reason" too-large "$(reason)"
call 11 acme /book -H 'Transfer-Encoding: chunked' \
	--data-binary "@$SITE/large"
check "chunked body over the limit" 413 "$STATUS"
head -c 200000 /dev/zero > "$SITE/large"
call 11 acme /book --data-binary "@$SITE/large"
check "body at the limit" 200 "$STATUS"
case $BODY in
*'"body_bytes":200000,'*) check "whole body arrives" 1 1 ;;
*) check "whole body arrives" 200000 "$BODY" ;;
esac
call 11 acme /book -H 'Transfer-Encoding: chunked' \
	--data-binary "@$SITE/large"
case $BODY in
*'"body_bytes":200000,'*) check "whole chunked body arrives" 1 1 ;;
*) check "whole chunked body arrives" 200000 "$BODY" ;;
esac
call 11 acme /book -H 'Expect: 100-continue' -d 'seat=1'
check "Expect: 100-continue" 200 "$STATUS"

call 11 acme /read -H 'X-Size: 3000000'
check "large response" 3000000 "$(wc -c < "$SITE/body")"
CODE=$(curl -sI -H "$KEY" -o "$SITE/body" -w '%{http_code}' \
	"http://$NET.11:$FRONT/read")
check "HEAD" 200 "$CODE"
grep -qi '^content-length: [1-9]' "$SITE/body"
check "HEAD has the length" 0 $?
check "duplicated fields are kept" 2 \
	"$(curl -sD - -o /dev/null -H "$KEY" "http://$NET.11:$FRONT/read" |
		grep -ci '^set-cookie')"

call 11 acme /read -H 'X-One: 1' -H 'X-One: 2' -H 'Connection: X-Hop' \
	-H 'X-Hop: secret' -H "Proxy-Authorization: Bearer $(key acme)" \
	-H 'Cassia-Deadline-Ms: 99999' -H 'Cassia-Context: forged'
check "request with many fields" 200 "$STATUS"
case $BODY in
*'X-One: 1\nX-One: 2'*) check "duplicates arrive" 1 1 ;;
*) check "duplicates arrive" both "$BODY" ;;
esac
case $BODY in
*X-Hop*|*uthorization*|*99999*|*forged*) check "nothing extra" "" "$BODY" ;;
*) check "nothing extra arrives" 1 1 ;;
esac
call 11 acme "/read?access_token=$(key acme)"
check "key in the query" 400 "$STATUS"
call 11 acme /read -H "X-Api-Key: $(key acme)"
check "key in another field" 400 "$STATUS"
for number in 12 13; do
	check "keys seen by upstream $number" 0 "$(stats keys $number)"
done

check "slow header" "HTTP/1.1 408" \
	"$(printf 'GET /read HTTP/1.1\r\nHost: x\r\nX-A: %0900d\r\n\r\n' 0 |
		raw 11 50 16 | tr -d '\n' | cut -c1-12)"
check "slow body" "HTTP/1.1 408" \
	"$(printf 'POST /book HTTP/1.1\r\nHost: x\r\n%s\r\nContent-Length: 900\r\n\r\n%0900d' \
		"$KEY" 0 | raw 11 25 22 | tr -d '\n' | cut -c1-12)"
[ "$FAILURES" -eq 0 ]
