# Guards against calls between hosts that fail while the fleet secret is
# replaced: hosts first accept the new secret, then sign with it, then drop the
# old one. Also guards against a host that is served although its secret is not
# one of the fleet, and against bytes between regions that are not counted.
set -u
BUILD=${1:-build}
FAILED=0
OLD_SECRET=00112233445566778899aabbccddeeff
NEW_SECRET=ffeeddccbbaa99887766554433221100
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

cat > "$SITE/table.rows" <<END
[[data_centre]]
name = "m1"
region = "marmara"
[[data_centre]]
name = "m2"
region = "aegean"
[[service]]
name = "booking"
connections = 100
[[service]]
name = "pricing"
connections = 100
[[route]]
name = "price"
path = "/price"
service = "pricing"
importance = 12
open = true
idempotent = true
timeout_ms = 2000
retries = 0
END
{
	host_row b1 booking m1 11
	host_row p1 pricing m2 12
} > "$SITE/hosts.rows"
write_table 1
write_hosts 1
write_settings b1 booking m1 11
write_settings p1 pricing m2 12
start_upstream b1 11
start_upstream p1 12
start_daemon b1
B1_PID=$PID
start_daemon p1
P1_PID=$PID
wait_ready 11 12 || exit 1

# write_secrets NAME ID:SECRET...: replaces the secrets in a host's settings.
# The first one signs; all are accepted.
write_secrets() {
	settings_file=$SITE/$1.toml
	shift
	awk '/^\[\[secret\]\]/ { skip = 1; next } /^\[/ { skip = 0 } !skip' \
		"$settings_file" > "$settings_file.new"
	for secret in "$@"; do
		printf '[[secret]]\nid = %s\nsecret = "%s"\n' \
			"${secret%%:*}" "${secret##*:}" >> "$settings_file.new"
	done
	mv "$settings_file.new" "$settings_file"
}

# expect_served WHAT: checks that 5 calls from b1 to p1 are served.
expect_served() {
	for i in 1 2 3 4 5; do
		status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 3 \
			"http://$NET.11:$FRONT_PORT/price")
		[ "$status" = 200 ] && continue
		echo "FAIL: $1: status $status"
		FAILED=1
		return
	done
	echo "ok: $1"
}

expect_served "one secret"
for direction in sent received; do
	bytes=$(curl -s "http://$NET.11:$OPERATORS_PORT/metrics" | sed -n \
		"s/^cassia_link_bytes_total.*aegean.*direction=\"$direction\".* //p")
	# 5 calls with more than 100 bytes of header each.
	[ "${bytes:-0}" -gt 500 ] && continue
	echo "FAIL: bytes $direction over the link: $bytes"
	FAILED=1
done
write_secrets b1 1:$OLD_SECRET 2:$NEW_SECRET
kill -HUP "$B1_PID"
sleep 0.3
expect_served "new secret accepted at one host"
write_secrets p1 2:$NEW_SECRET 1:$OLD_SECRET
kill -HUP "$P1_PID"
sleep 0.3
expect_served "new secret signs at the other host"
write_secrets b1 2:$NEW_SECRET 1:$OLD_SECRET
kill -HUP "$B1_PID"
sleep 0.3
expect_served "new secret signs at both hosts"
write_secrets b1 2:$NEW_SECRET
write_secrets p1 2:$NEW_SECRET
kill -HUP "$B1_PID"
sleep 0.3
expect_served "old secret removed at one host"
kill -HUP "$P1_PID"
sleep 0.3
expect_served "old secret removed everywhere"
write_secrets b1 3:abcdefabcdefabcdefabcdefabcdefab
kill -HUP "$B1_PID"
sleep 0.3
status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 5 \
	"http://$NET.11:$FRONT_PORT/price")
if [ "$status" = 200 ]; then
	echo "FAIL: a call was served although its secret is not known"
	FAILED=1
fi
[ $FAILED -eq 0 ]
