# Guards against documentation that does not work: the example files are valid,
# and the steps of the README lead from a new key to a served call.
set -u
BUILD=${1:-build}
SITE=$(mktemp -d)
DAEMON=""
UPSTREAM=""

stop() {
	[ -z "$DAEMON" ] || kill -KILL "$DAEMON"
	[ -z "$UPSTREAM" ] || kill -KILL "$UPSTREAM"
	rm -rf "$SITE"
}
trap stop EXIT
trap 'exit 1' INT TERM

"$BUILD/cassiactl" check examples/small-site/*.toml || exit 1

# One host of the example, on addresses of this process.
NET=127.$((1 + $$ % 250)).$(($$ / 250 % 250))
for file in table.toml booking-1.toml; do
	sed -e "s/127\.0\.0/$NET/" -e "s|examples/small-site|$SITE|" \
		"examples/small-site/$file" > "$SITE/$file"
done
awk '/^\[\[host\]\]/ { if (++n == 2) skip = 1 } /^\[end\]/ { skip = 0 }
	!skip' "$SITE/table.toml" | sed '/^\[end\]/d' > "$SITE/rows"
"$BUILD/cassiactl" key new --customer gate-staff --table "$SITE/table.toml" \
	> "$SITE/key.txt" || exit 1
KEY=$(grep -o 'csk_[A-Za-z0-9_-]*' "$SITE/key.txt" | head -n 1)
{
	cat "$SITE/rows"
	sed -n '/^\[\[key\]\]/,$p' "$SITE/key.txt"
	echo "[end]"
} > "$SITE/table.toml"
"$BUILD/cassiactl" check "$SITE/table.toml" || exit 1
"$BUILD/standins/upstream" --address "$NET.11" --port 9000 \
	> "$SITE/upstream.log" 2>&1 &
UPSTREAM=$!
"$BUILD/cassiad" --config "$SITE/booking-1.toml" > "$SITE/daemon.log" 2>&1 &
DAEMON=$!
for i in $(seq 1 150); do
	STATUS=$(curl -s -o /dev/null -w '%{http_code}' -X POST --max-time 2 \
		-H "Authorization: Bearer $KEY" "http://$NET.11:8080/book")
	[ "$STATUS" = 200 ] && break
	sleep 0.1
done
echo "status=$STATUS after $i tries"
[ "$STATUS" = 200 ]
