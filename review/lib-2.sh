# Starts the daemons of a small site on loopback addresses and plays a scenario
# of stand_in_2 with them. Sourced by the run.sh of a case, in the root of the
# repository; needs the build of the deploy file and review/build-2.sh.
# shellcheck shell=sh

# fill_settings NUMBER SERVICE: prints the settings of a host, from the template
# of the deploy file.
fill_settings() {
	sed -e '/{{#/,/{{\//d' \
		-e "s/{{ip}}/$NET.$1/; s/{{service}}/$2/" \
		-e "s/{{zone}}/wk-hamilton/" \
		-e "s/{{listen.outbound}}/$NET.$1:$FRONT/" \
		-e "s/{{listen.control}}/$NET.$1:$CONTROL/" \
		-e "s/{{listen.ready}}/$NET.$1:$READY/" \
		-e "s/{{port-range.0}}/$CONTROL/" \
		-e "s/{{app-addr}}/$NET.$1:$APP/" \
		-e "s/{{platform.address}}/$NET.1:$STORE/" \
		-e "s/{{bounds.quota-window-s}}/5/" \
		-e "s/{{bounds.quota-over}}/0.25/" \
		-e "s/{{bounds.quota-slack}}/20/" \
		-e "s/{{bounds.grace-s}}/6/" \
		-e "s/{{bounds.retry-budget-ratio}}/0.2/" \
		-e "s/{{limits.cpu-share}}/0.4/" deploy/cassiad.toml.in
	printf '[[seed]]\nendpoint = "%s"\n' "$NET.11:$CONTROL" "$NET.12:$CONTROL"
	printf '[[region]]\ndata_centre = "wk-hamilton"\nregion = "waikato"\n'
}

# stop_site: ends all processes that were started.
stop_site() {
	for pid in $PIDS; do
		kill "$pid" 2>/dev/null
	done
	for pid in $PIDS; do
		wait "$pid" 2>/dev/null
	done
	rm -rf "$DIR"
}

# play_scenario NAME FOLDER: plays a scenario, writes FOLDER/record.txt and exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
play_scenario() {
	STAND_IN=target/review-2/stand_in_2
	[ -x "$STAND_IN" ] && [ -x target/cassiad ] || exit 2
	PIDS=
	DIR=$(mktemp -d) || exit 2
	trap stop_site EXIT
	trap 'exit 2' INT TERM
	NET=127.$(($$ / 250 % 200 + 20)).$(($$ % 250 + 1))
	# shellcheck disable=SC2046 # one word for each port
	set -- "$1" "$2" $("$STAND_IN" ports "$NET")
	[ $# -eq 7 ] || exit 2
	STORE=$3 APP=$4 FRONT=$5 READY=$6 CONTROL=$7
	fill_settings 11 shop > "$DIR/11.toml"
	fill_settings 12 files > "$DIR/12.toml"
	timeout 110 "$STAND_IN" run "$NET" "$STORE" "$APP" "$FRONT" "$READY" \
		"$1" "${TROUBLE:-1}" "$2/record.txt" &
	player=$!
	PIDS=$player
	sleep 0.5
	for number in 11 12; do
		target/cassiad --config "$DIR/$number.toml" \
			> "$DIR/$number.log" 2>&1 &
		PIDS="$PIDS $!"
	done
	wait "$player"
	result=$?
	[ $result -le 1 ] || result=2
	exit $result
}
