# Guards against daemons that read what others read for them, and against daemons
# that do not learn of a change because others are to read it: four hosts in one
# region and two in another one follow the platform's store, and one of them is not
# in the host list any more.
set -u
BUILD=${1:-build}
FAILED=0
STORE_PORT=18545
IN_FORCE_MS=2000
WIDE_ROUTES=1400
. tools/site.sh
trap site_stop EXIT
trap 'exit 1' INT TERM
STANDIN=$SITE/standin
HOSTS="11:z1 12:z1 13:z2 14:z2 15:z3 16:z3"

cc -std=c17 -O1 -pthread -o "$STANDIN" review/standin/standin.c || exit 1

# store METHOD KEY: writes standard input to a key of the store, or removes it.
store() {
	"$STANDIN" call "$NET.250" $STORE_PORT "$1" "/op/$2" > "$SITE/store.out"
}

# put_entry NUMBER ZONE: writes the entry of the upstream of a host.
put_entry() {
	printf '{"service":"gate","address":"%s","zone":"%s","version":"v1","slots":9,"state":"ready","cold_ms":0,"seq":1,"born":%s}' \
		"$NET.$1:$UPSTREAM_PORT" "$2" "$BORN" |
		store PUT "servers/i-$1"
}

# put_config VERSION ROUTES: writes a configuration.
put_config() {
	awk -v version="$1" -v routes="$2" 'BEGIN {
		printf "{\"version\":%d,\"routes\":[", version
		for (i = 0; i < routes; i++)
			printf "%s{\"name\":\"r%d\",\"host\":\"gate.example\",\"prefix\":\"/%d/\",\"kind\":\"safe\",\"timeout_ms\":4000,\"objective_ms\":1000,\"priority\":0,\"service\":\"gate\",\"attempts\":2,\"public\":true}",
				i ? "," : "", i, i
		printf "],\"services\":[{\"name\":\"gate\",\"health-path\":\"/healthz\",\"max-conns\":99,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-s\":3,\"idle-timeout-s\":15},\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key-of-tenant-one\"],\"priority\":0,\"rate-per-s\":0}]}"
	}' | store PUT op/config
}

# write_platform_settings NUMBER ZONE: fills in the template of the deploy file.
write_platform_settings() {
	sed -e '/{{#seeds}}/,$d' -e "s/{{ip}}/$NET.$1/" \
		-e "s/{{service}}/gate/" -e "s/{{zone}}/$2/" \
		-e "s/{{listen.outbound}}/$NET.$1:$FRONT_PORT/" \
		-e "s/{{listen.control}}/$NET.$1:$PEER_PORT/" \
		-e "s/{{listen.ready}}/$NET.$1:$OPERATORS_PORT/" \
		-e "s/{{port-range.0}}/$CONTROL_PORT/" \
		-e "s/{{app-addr}}/$NET.$1:$UPSTREAM_PORT/" \
		-e "s/{{platform.address}}/$NET.250:$STORE_PORT/" \
		-e "s/{{bounds.quota-window-s}}/5/" \
		-e "s/{{bounds.quota-over}}/0.25/" \
		-e "s/{{bounds.quota-slack}}/20/" \
		-e "s/{{bounds.grace-s}}/6/" deploy/cassiad.toml.in
	printf '[[region]]\ndata_centre = "%s"\nregion = "%s"\n' \
		z1 r1 z2 r1 z3 r2
}

# table_revision NUMBER: prints the revision of the table of a daemon.
table_revision() {
	curl -s --max-time 1 "http://$NET.$1:$OPERATORS_PORT/status" |
		sed -n 's/.*"table_revision":\([0-9]*\).*/\1/p'
}

# check_in_force REVISION: checks that all daemons have a table in time.
check_in_force() {
	start_ms=$(now_ms)
	for row in $HOSTS; do
		until [ "$(table_revision "${row%:*}")" = "$1" ] ||
			[ $(($(now_ms) - start_ms)) -gt 10000 ]; do
			sleep 0.02
		done
	done
	check_at_most "time until table $1 is in force, ms" \
		$(($(now_ms) - start_ms)) $IN_FORCE_MS
}

# count_readers NUMBER...: counts the daemons that got a wide configuration from
# the store.
count_readers() {
	for number in "$@"; do
		curl -s "http://$NET.$number:$OPERATORS_PORT/metrics" |
			awk '$1 ~ /^cassia_source_received_bytes_total/ &&
				$2 > 200000 { print }'
	done | wc -l
}

"$STANDIN" store "$NET.250" $STORE_PORT "$SITE/store.log" &
PIDS="$PIDS $!"
sleep 0.3
BORN=$(now_ms)
put_config 1 1
for row in $HOSTS; do
	put_entry "${row%:*}" "${row#*:}"
	write_platform_settings "${row%:*}" "${row#*:}" > "$SITE/${row%:*}.toml"
	start_daemon "${row%:*}"
done
wait_ready 11 12 13 14 15 16 || exit 1
sleep 1
put_config 2 $WIDE_ROUTES
check_in_force 2
check "readers of a region with two data centres" \
	"$(count_readers 11 12 13 14)" 2
check "readers of a region with one data centre" "$(count_readers 15 16)" 2

store DELETE servers/i-11 < /dev/null
sleep 4
put_config 3 1
check_in_force 3
[ $FAILED -eq 0 ]
