# Guards against an explanation of a placement that sends the request, or that
# names another host than the one to which requests then go.
set -u
BUILD=${1:-build}
FAILED=0
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

{
	data_centre_rows m1
	service_rows 100 booking
	route_row book booking 12 2000 "open = true"
} > "$SITE/table.rows"
write_table 1
start_host b1 booking m1 11
start_host b2 booking m1 12
write_hosts 1
wait_ready 11 12 || exit 1

# place NUMBER PATH: asks the daemon of a host where a request would go.
place() {
	"$BUILD/cassiactl" place --json "$2" \
		--operators "$NET.$1:$OPERATORS_PORT"
}

# member NAME: prints the value of the first text member with this name.
member() {
	grep -o "\"$1\":\"[^\"]*\"" | head -n 1 | cut -d '"' -f 4
}

# runs NAME: prints how many requests the upstream of a host has run.
runs() {
	wc -l < "$SITE/$1.runs"
}

place 11 /book/1 > "$SITE/report"
check "choice" "$(member choice < "$SITE/report")" b1
check "tier" "$(member tier < "$SITE/report")" own-host
check "candidates" "$(grep -o '"usable"' "$SITE/report" | wc -l)" 2
check "requests run by the question" $(($(runs b1) + $(runs b2))) 0

sed -i 's/^name = "b1"$/&\nleaving = true/' "$SITE/hosts.rows"
write_hosts 2
for _ in $(seq 50); do
	[ "$(place 11 /book/1 | member choice)" = b2 ] && break
	sleep 0.1
done
check "choice while b1 leaves" "$(place 11 /book/1 | member choice)" b2
curl -s -o /dev/null "http://$NET.11:$FRONT_PORT/book/1"
check "requests run by the chosen upstream" "$(runs b2)" 1
place 11 /nothing > /dev/null 2>&1
check "exit code for a path without a route" $? 1
exit $FAILED
