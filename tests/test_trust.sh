# Guards against work for whoever is not entitled to it: requests at the peer
# port without a context, with a forged, changed, replayed or foreign one,
# forged control datagrams, keys of other customers; and against keys that an
# upstream sees when callers put them in odd places.
set -u
BUILD=${1:-build}
FAILED=0
SECRET=00112233445566778899aabbccddeeff
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

cat > "$SITE/table.rows" <<END
[[data_centre]]
name = "m1"
region = "marmara"
[[service]]
name = "booking"
connections = 100
[[customer]]
name = "acme"
rate = 1000
burst = 1000
[[customer]]
name = "other"
rate = 1000
burst = 1000
[[route]]
name = "book"
path = "/book"
service = "booking"
importance = 12
customers = ["acme"]
[[route]]
name = "gate"
path = "/gate"
service = "booking"
importance = 9
open = true
END
{
	key_row acme
	key_row other
} >> "$SITE/table.rows"
write_table 1
start_host b1 booking m1 11
start_host b2 booking m1 12
write_hosts 1
wait_ready 11 12 || exit 1
# Tokens are granted from the settled fence on.
wait_fence 11 12 || exit 1
sleep 9

# peer_call NUMBER CONTEXT...: calls a peer port. Sets STATUS and BODY.
peer_call() {
	peer_number=$1
	shift
	STATUS=$(curl -s --max-time 3 -o "$SITE/body" -D "$SITE/head" \
		-w '%{http_code}' "$@" "http://$NET.$peer_number:$PEER/book")
	BODY=$(cat "$SITE/body")
}

# context RECEIVER [SECRET [INCARNATION]]: prints a header with a context.
context() {
	printf 'Cassia-Context: %s' "$("$BUILD/standins/forge" --sender b2 \
		--receiver "$1" --secret "${2:-$SECRET}" --service booking \
		--route book --incarnation "${3:-$INCARNATION}")"
}

metric() {
	curl -s "http://$NET.$1:$OPERATORS/metrics" |
		awk -v name="$2" '$1 == name { print $2 }'
}

INCARNATION=$(status_number 11 incarnation)
valid=$(context b1)
peer_call 11 -H "$valid"
check "a context signed with the fleet secret" "$STATUS" 200
ran=$(upstream_stat 11 requests)
peer_call 11 -H "$valid"
check "a replayed context" "$STATUS $(reason)" "502 duplicate"
peer_call 12 -H "$valid"
check "a context for another host" "$STATUS $(reason)" "403 not-signed"
peer_call 12 -H "$(context b1 $SECRET "$(status_number 12 incarnation)")"
check "a context for another host with the incarnation of this one" \
	"$STATUS $(reason)" "403 not-signed"
peer_call 11
check "no context" "$STATUS $(reason)" "403 not-signed"
peer_call 11 -H "$(context b1 ffeeddccbbaa99887766554433221100)"
check "a foreign secret" "$STATUS $(reason)" "403 not-signed"
fresh=$(context b1)
changed=${fresh%??????????}AAAAAAAAAA
peer_call 11 -H "$changed"
check "a changed signature" "$STATUS $(reason)" "403 not-signed"
peer_call 11 -H "Cassia-Context: "
check "an empty context" "$STATUS $(reason)" "403 not-signed"
peer_call 11 -H "Cassia-Context: $(sed -n 's/^Cassia-Outcome: *//p' \
	"$SITE/head" | tr -d '\r')"
check "an outcome in place of a context" "$STATUS $(reason)" "403 not-signed"
peer_call 11 -H "$(context b1 $SECRET 7)"
check "a context for another incarnation" "$STATUS $(reason)" "503 rebind"
peer_call 11 -H "Authorization: Bearer $(key acme)"
check "a caller's key at the peer port" "$STATUS $(reason)" "403 not-signed"
check "runs of the refused" $(($(upstream_stat 11 requests) - ran)) 0
check "refusals counted" "$(metric 11 cassia_peer_not_signed_total)" 6
for document in table hosts; do
	check "the $document without a signature" "$(curl -s -o /dev/null \
		-w '%{http_code}' "http://$NET.11:$PEER/.cassia/$document")" 403
done

# forge NAME SENDER SECRET METRIC: sends 20 forged heartbeats to b1.
forge() {
	before=$(metric 11 "cassia_control_dropped_$4")
	"$BUILD/standins/forge" --hosts "$SITE/hosts.toml" --bind "$NET.13" \
		--sender "$2" --receiver b1 --secret "$3"
	sleep 0.2
	check "$1" $(($(metric 11 "cassia_control_dropped_$4") - before)) 20
}

forge "datagrams with a foreign secret" b2 ffeeddccbbaa99887766554433221100 mac
forge "datagrams of a host that is not listed" b9 $SECRET sender
before=$(metric 11 cassia_control_dropped_malformed)
for size in 1 40 1200; do
	head -c $size /dev/zero | curl -s --max-time 1 -T - \
		"tftp://$NET.11:$CONTROL/x" > /dev/null 2>&1
done
check_least "malformed datagrams dropped" \
	$(($(metric 11 cassia_control_dropped_malformed) - before)) 1
check "the fence after the datagrams" "$(metric 11 cassia_fence_held)" 1

# Keys: who may use them, and where they may stand.
call 11 acme /book
check "a key of the route's customer" "$STATUS" 200
call 11 other /book
check "a key of another customer" "$STATUS $(reason)" "403 not-allowed"
call 11 nobody /book
check "an unknown key" "$STATUS $(reason)" "401 unknown-key"

# odd WHAT STATUS CURL_OPTIONS...: a request with a key in an odd place.
odd() {
	odd_what=$1
	odd_status=$2
	shift 2
	STATUS=$(curl -s --max-time 3 -o "$SITE/body" -w '%{http_code}' "$@")
	check "$odd_what" "$STATUS" "$odd_status"
	if grep -q csk_ "$SITE/body"; then
		echo "WRONG: $odd_what: an answer holds the key"
		FAILED=1
	fi
}

acme=$(key acme)
book=http://$NET.11:$FRONT/book
gate=http://$NET.11:$FRONT/gate
odd "lower case" 200 -H "authorization: bearer $acme" "$book"
odd "Proxy-Authorization beside" 200 -H "Authorization: Bearer $acme" \
	-H "Proxy-Authorization: Bearer $acme" "$book"
odd "Proxy-Authorization alone" 401 -H "Proxy-Authorization: Bearer $acme" \
	"$book"
odd "two fields, the key first" 400 -H "Authorization: Bearer $acme" \
	-H "Authorization: Bearer $(key other)" "$book"
odd "two fields, the key last" 400 -H "Authorization: Bearer $(key other)" \
	-H "authorization: Bearer $acme" "$book"
odd "X-Authorization" 200 -H "Authorization: Bearer $acme" \
	-H "X-Authorization: $acme" "$book"
odd "a cookie" 400 -H "Cookie: key=$acme" "$gate"
odd "a field of another name" 400 -H "X-Api-Key: $acme" "$gate"
odd "the query" 400 "$gate?key=$acme"
odd "an escaped key in the query" 400 "$gate?key=%63sk_${acme#csk_}"
odd "an escaped key beside a stray percent sign" 400 \
	"$gate?a=%&key=cs%6b_${acme#csk_}"
odd "an open route" 200 -H "Authorization: Bearer $acme" "$gate"
check "keys that upstreams saw" \
	"$(upstream_stat 11 keys)$(upstream_stat 12 keys)" 00
[ $FAILED -eq 0 ]
