# Guards against requests that run although they are not authorised: at the peer
# port without a signed context or with one that is forged, altered, replayed or
# meant for another host, and at the caller port with a key of another customer.
# Also guards against forged control datagrams that are accepted, and against
# keys that reach an upstream because a caller put them in an unusual place.
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
# Tokens are granted once the fence is held and has settled.
wait_fence 11 12 || exit 1
sleep 9

# peer_call NUMBER CURL_OPTIONS...: calls /book at the peer port of a host. Sets
# STATUS and BODY.
peer_call() {
	peer_number=$1
	shift
	STATUS=$(curl -s --max-time 3 -o "$SITE/body" -D "$SITE/head" \
		-w '%{http_code}' "$@" "http://$NET.$peer_number:$PEER_PORT/book")
	BODY=$(cat "$SITE/body")
}

# signed_context RECEIVER [SECRET [INCARNATION]]: prints a Cassia-Context field
# that b2 signs for the receiver.
signed_context() {
	printf 'Cassia-Context: %s' "$("$BUILD/standins/forge" --sender b2 \
		--receiver "$1" --secret "${2:-$SECRET}" --service booking \
		--route book --incarnation "${3:-$INCARNATION}")"
}

# metric NUMBER NAME: prints a metric of a daemon.
metric() {
	curl -s "http://$NET.$1:$OPERATORS_PORT/metrics" |
		awk -v name="$2" '$1 == name { print $2 }'
}

INCARNATION=$(status_number 11 incarnation)
valid_context=$(signed_context b1)
peer_call 11 -H "$valid_context"
check "a context signed with the fleet secret" "$STATUS" 200
runs_before=$(upstream_stat 11 requests)
peer_call 11 -H "$valid_context"
check "a replayed context" "$STATUS $(reason)" "502 duplicate"
peer_call 12 -H "$valid_context"
check "a context for another host" "$STATUS $(reason)" "403 not-signed"
peer_call 12 -H "$(signed_context b1 $SECRET "$(status_number 12 incarnation)")"
check "a context for another host with the incarnation of the receiver" \
	"$STATUS $(reason)" "403 not-signed"
peer_call 11
check "no context" "$STATUS $(reason)" "403 not-signed"
peer_call 11 -H "$(signed_context b1 ffeeddccbbaa99887766554433221100)"
check "a secret that is not known" "$STATUS $(reason)" "403 not-signed"
unused_context=$(signed_context b1)
altered_context=${unused_context%??????????}AAAAAAAAAA
peer_call 11 -H "$altered_context"
check "an altered signature" "$STATUS $(reason)" "403 not-signed"
peer_call 11 -H "Cassia-Context: "
check "an empty context" "$STATUS $(reason)" "403 not-signed"
peer_call 11 -H "Cassia-Context: $(sed -n 's/^Cassia-Outcome: *//p' \
	"$SITE/head" | tr -d '\r')"
check "an outcome in place of a context" "$STATUS $(reason)" "403 not-signed"
peer_call 11 -H "$(signed_context b1 $SECRET 7)"
check "a context for another incarnation" "$STATUS $(reason)" "503 rebind"
peer_call 11 -H "Authorization: Bearer $(key_of acme)"
check "a caller's key at the peer port" "$STATUS $(reason)" "403 not-signed"
check "runs of refused requests" \
	$(($(upstream_stat 11 requests) - runs_before)) 0
check "refusals counted" "$(metric 11 cassia_peer_not_signed_total)" 6
for document in table hosts; do
	check "the $document without a signature" "$(curl -s -o /dev/null \
		-w '%{http_code}' "http://$NET.11:$PEER_PORT/.cassia/$document")" 403
done

# check_forged WHAT SENDER SECRET COUNTER: sends 20 forged heartbeats to b1 and
# checks that each one is dropped and counted.
check_forged() {
	dropped_before=$(metric 11 "cassia_control_dropped_$4")
	"$BUILD/standins/forge" --hosts "$SITE/hosts.toml" --bind "$NET.13" \
		--sender "$2" --receiver b1 --secret "$3"
	sleep 0.2
	check "$1" \
		$(($(metric 11 "cassia_control_dropped_$4") - dropped_before)) 20
}

check_forged "datagrams signed with a secret that is not known" b2 \
	ffeeddccbbaa99887766554433221100 mac
check_forged "datagrams of a host that is not listed" b9 $SECRET sender
dropped_before=$(metric 11 cassia_control_dropped_malformed)
for size in 1 40 1200; do
	head -c $size /dev/zero | curl -s --max-time 1 -T - \
		"tftp://$NET.11:$CONTROL_PORT/x" > /dev/null 2>&1
done
check_at_least "malformed datagrams dropped" \
	$(($(metric 11 cassia_control_dropped_malformed) - dropped_before)) 1
check "fence held after the forged datagrams" "$(metric 11 cassia_fence_held)" 1

# Keys: which customer may use a route, and where a request may carry a key.
call 11 acme /book
check "a key of the route's customer" "$STATUS" 200
call 11 other /book
check "a key of another customer" "$STATUS $(reason)" "403 not-allowed"
call 11 nobody /book
check "an unknown key" "$STATUS $(reason)" "401 unknown-key"

# check_key_place WHAT STATUS CURL_OPTIONS...: sends a request and checks its
# status and that the response does not hold the key.
check_key_place() {
	place=$1
	expected_status=$2
	shift 2
	STATUS=$(curl -s --max-time 3 -o "$SITE/body" -w '%{http_code}' "$@")
	check "$place" "$STATUS" "$expected_status"
	if grep -q csk_ "$SITE/body"; then
		echo "FAIL: $place: the response holds the key"
		FAILED=1
	fi
}

acme_key=$(key_of acme)
book_url=http://$NET.11:$FRONT_PORT/book
gate_url=http://$NET.11:$FRONT_PORT/gate
check_key_place "Authorization in lower case" 200 \
	-H "authorization: bearer $acme_key" "$book_url"
check_key_place "Proxy-Authorization and Authorization" 200 \
	-H "Authorization: Bearer $acme_key" \
	-H "Proxy-Authorization: Bearer $acme_key" "$book_url"
check_key_place "Proxy-Authorization alone" 401 \
	-H "Proxy-Authorization: Bearer $acme_key" "$book_url"
check_key_place "two fields, the valid key first" 400 \
	-H "Authorization: Bearer $acme_key" \
	-H "Authorization: Bearer $(key_of other)" "$book_url"
check_key_place "two fields, the valid key last" 400 \
	-H "Authorization: Bearer $(key_of other)" \
	-H "authorization: Bearer $acme_key" "$book_url"
check_key_place "X-Authorization and Authorization" 200 \
	-H "Authorization: Bearer $acme_key" \
	-H "X-Authorization: $acme_key" "$book_url"
check_key_place "a key in a cookie" 400 \
	-H "Cookie: key=$acme_key" "$gate_url"
check_key_place "a key in another field" 400 \
	-H "X-Api-Key: $acme_key" "$gate_url"
check_key_place "a key in the query" 400 "$gate_url?key=$acme_key"
check_key_place "an escaped key in the query" 400 \
	"$gate_url?key=%63sk_${acme_key#csk_}"
check_key_place "an escaped key beside a stray percent sign" 400 \
	"$gate_url?a=%&key=cs%6b_${acme_key#csk_}"
check_key_place "a key on an open route" 200 \
	-H "Authorization: Bearer $acme_key" "$gate_url"
check "requests with a key at upstreams" \
	"$(upstream_stat 11 keys)$(upstream_stat 12 keys)" 00
[ $FAILED -eq 0 ]
