# Guards against a gap while the fleet secret is replaced: a new secret is
# accepted first, then signs, then the old one goes; calls between hosts are
# served all the time. Also guards against a host with a foreign secret, and
# against bytes between regions that are not counted.
set -u
BUILD=${1:-build}
FAILED=0
OLD=00112233445566778899aabbccddeeff
NEW=ffeeddccbbaa99887766554433221100
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
PID_B=$PID
start_daemon p1
PID_P=$PID
wait_ready 11 12 || exit 1

# secrets NAME ID:SECRET...: replaces the secrets in the settings.
secrets() {
	settings=$SITE/$1.toml
	shift
	awk '/^\[\[secret\]\]/ { skip = 1; next } /^\[/ { skip = 0 } !skip' \
		"$settings" > "$settings.new"
	for secret in "$@"; do
		printf '[[secret]]\nid = %s\nsecret = "%s"\n' \
			"${secret%%:*}" "${secret##*:}" >> "$settings.new"
	done
	mv "$settings.new" "$settings"
}

expect_served() {
	for i in 1 2 3 4 5; do
		code=$(curl -s -o /dev/null -w '%{http_code}' --max-time 3 \
			"http://$NET.11:$FRONT/price")
		[ "$code" = 200 ] && continue
		echo "WRONG: $1: status $code"
		FAILED=1
		return
	done
	echo "ok: $1"
}

expect_served "one secret"
for direction in sent received; do
	bytes=$(curl -s "http://$NET.11:$OPERATORS/metrics" | sed -n \
		"s/^cassia_link_bytes_total.*aegean.*direction=\"$direction\".* //p")
	# Five calls with a request header of more than 100 bytes each.
	[ "${bytes:-0}" -gt 500 ] && continue
	echo "WRONG: bytes $direction over the link: $bytes"
	FAILED=1
done
secrets b1 1:$OLD 2:$NEW
kill -HUP "$PID_B"
sleep 0.3
expect_served "new secret accepted at one host"
secrets p1 2:$NEW 1:$OLD
kill -HUP "$PID_P"
sleep 0.3
expect_served "new secret signs at the other host"
secrets b1 2:$NEW 1:$OLD
kill -HUP "$PID_B"
sleep 0.3
expect_served "new secret signs at both hosts"
secrets b1 2:$NEW
secrets p1 2:$NEW
kill -HUP "$PID_B"
sleep 0.3
expect_served "old secret removed at one host"
kill -HUP "$PID_P"
sleep 0.3
expect_served "old secret removed everywhere"
secrets b1 3:abcdefabcdefabcdefabcdefabcdefab
kill -HUP "$PID_B"
sleep 0.3
code=$(curl -s -o /dev/null -w '%{http_code}' --max-time 5 \
	"http://$NET.11:$FRONT/price")
if [ "$code" = 200 ]; then
	echo "WRONG: a host with a foreign secret was served"
	FAILED=1
fi
[ $FAILED -eq 0 ]
