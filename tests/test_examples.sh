# Guards against example files that are not valid, and against steps of the
# README, from a new key to a served call, that do not work.
set -u
BUILD=${1:-build}
SITE=$(mktemp -d)
DAEMON_PID=""
UPSTREAM_PID=""

clean_up() {
	[ -z "$DAEMON_PID" ] || kill -KILL "$DAEMON_PID"
	[ -z "$UPSTREAM_PID" ] || kill -KILL "$UPSTREAM_PID"
	rm -rf "$SITE"
}
trap clean_up EXIT
trap 'exit 1' INT TERM

"$BUILD/cassiactl" check examples/small-site/*.toml || exit 1

# Runs one host of the example, on addresses that follow from the process id,
# so that scripts that run at the same time do not share them.
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
UPSTREAM_PID=$!
"$BUILD/cassiad" --config "$SITE/booking-1.toml" > "$SITE/daemon.log" 2>&1 &
DAEMON_PID=$!
for i in $(seq 1 150); do
	STATUS=$(curl -s -o /dev/null -w '%{http_code}' -X POST --max-time 2 \
		-H "Authorization: Bearer $KEY" "http://$NET.11:8080/book")
	[ "$STATUS" = 200 ] && break
	sleep 0.1
done
echo "status=$STATUS after $i tries"
[ "$STATUS" = 200 ]
