#!/bin/sh
# Guards against child calls that are decided apart from their root request. On
# the platform calls carry no handle, but their ids begin with that of the
# request that makes them: such a call has the importance of its root request,
# any other one that of its route. The customer is not named to the upstream of
# a child call, which carries no key.
set -u
BUILD=${1:-build}
FAILED=0
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM

{
	data_centre_rows m1
	service_rows 1000 orders dispatch
	route_row order orders 13 5000
	route_row freight dispatch 4 3000 "open = true"
	customer_row acme 1000 1000
	key_row acme
} > "$SITE/table.rows"
write_table 1
for row in o1:orders:11 d1:dispatch:12; do
	name=${row%%:*}
	number=${row##*:}
	service=${row#*:}
	service=${service%:*}
	host_row "$name" "$service" m1 "$number" >> "$SITE/hosts.rows"
	write_settings "$name" "$service" m1 "$number"
	use_platform_profile "$name"
	printf '[quota]\nwindow_ms = 5000\nover = 0.25\nslack = 20\n' \
		>> "$SITE/$name.toml"
done
write_hosts 1
for row in o1:11 d1:12; do
	start_upstream "${row%:*}" "${row#*:}" --delay-us 1000
	start_daemon "${row%:*}"
done
wait_ready 11 12 || exit 1

# The root request runs at the upstream of host 11 while its calls are made.
curl -s --max-time 8 -X POST -H "Authorization: Token $(key_of acme)" \
	-H "Cassiadale-Request-Id: root.1" -H "X-Delay-Ms: 3000" \
	-o /dev/null -w '%{http_code}' \
	"http://$NET.11:$FRONT_PORT/order" > "$SITE/root" &
root_pid=$!
PIDS="$PIDS $root_pid"
sleep 1

# child ID OPTIONS...: sends a call from host 11.
child() {
	child_id=$1
	shift
	curl -s --max-time 5 -H "Cassiadale-Request-Id: $child_id" "$@" \
		"http://$NET.11:$FRONT_PORT/freight"
}

# importance_of ID: prints the importance that the daemon of host 12 logged for
# a request that its upstream cut off.
importance_of() {
	sed -n "s/.*event=upstream_attempt id=$1 .*importance=\([0-9]*\).*/\1/p" \
		"$SITE/d1.log" | head -n 1
}

for id in root.1.7 root.2.7 plain; do
	child $id -H "X-Truncate: 1" -o /dev/null
done
child root.1.8 > "$SITE/child"
check "importance of a child call" "$(importance_of root.1.7)" 13
check "importance of a call of a request that does not run here" \
	"$(importance_of root.2.7)" 4
check "importance of a call without parent" "$(importance_of plain)" 4
check "child calls that name a customer" \
	"$(grep -ci 'Cassiadale-Tenant' "$SITE/child")" 0
check "child calls that reach the upstream" \
	"$(grep -c 'root.1.8' "$SITE/child")" 1
wait_process $root_pid
check "status of the root request" "$(cat "$SITE/root")" 200
[ $FAILED -eq 0 ]
