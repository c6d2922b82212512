#!/bin/sh
# Builds the fuzz targets with clang and libFuzzer, and runs each for a time.
# Usage: sh fuzz/run.sh [BUILD [SECONDS [TARGET]...]]
# BUILD is the build directory (default: build), SECONDS the time for each
# target (default: 20). Without TARGET all are run. Uses AddressSanitizer and
# UndefinedBehaviorSanitizer if clang has them.
set -eu
build=${1:-build}/fuzz
seconds=${2:-20}
[ $# -ge 2 ] && shift 2 || shift $#
targets=${*:-table peer attempt quota}

mkdir -p "$build"
# A trial build shows whether the sanitizers can be linked.
echo 'int LLVMFuzzerTestOneInput(const char *d, long n);
int LLVMFuzzerTestOneInput(const char *d, long n) { return !d && n; }' \
	> "$build/probe.c"
sanitizers=address,undefined
if ! clang -fsanitize=fuzzer,$sanitizers "$build/probe.c" \
	-o "$build/probe" 2> "$build/probe.log"; then
	echo "fuzz: clang has no sanitizers, building without them"
	sanitizers=
	clang -fsanitize=fuzzer "$build/probe.c" -o "$build/probe"
fi
compile_flags="-g -O1 -fno-sanitize-recover=all
-fsanitize=fuzzer-no-link${sanitizers:+,$sanitizers}"
link_flags="-fsanitize=fuzzer${sanitizers:+,$sanitizers}"
libraries="talloc tevent libtirpc glib-2.0 libsodium libxxhash"
includes="$(pkg-config --cflags $libraries) -Ipackages/base
-Ipackages/config -Ipackages/peer"
for package in packages/*; do
	includes="$includes -I$package/include -I$package/generated"
done

# Sources that several targets have in common.
base="packages/base/clock.c packages/base/hash.c packages/base/rng.c
packages/base/str.c"
config="packages/config/fault.c packages/config/toml_scan.c
packages/config/nearest.c packages/config/schema.c packages/config/document.c
packages/config/table.c packages/config/table_read.c
packages/config/table_rows.c packages/config/roster.c
packages/config/settings.c packages/config/check.c
packages/config/toml_adapter.cpp"
# sources_of TARGET: prints the sources of a target besides fuzz/fuzz_TARGET.c.
sources_of() {
	case $1 in
	table) echo "$base $config" ;;
	peer) echo "$base packages/peer/peer_codec.c" \
		"packages/peer/fleet_secret.c packages/membership/*.c" \
		"packages/membership/generated/*.c" ;;
	attempt) echo "$base packages/retry/budget.c packages/attempt/*.c" \
		"packages/attempt/generated/*.c" ;;
	quota) echo "$base packages/quota/*.c packages/quota/generated/*.c" ;;
	*) echo "fuzz: unknown target $1" >&2 && exit 1 ;;
	esac
}

# compile_one SOURCE: compiles a source unless its object is newer than it and
# than every header.
compile_one() {
	object=$build/$(echo "$1" | tr / _).o
	if [ -f "$object" ] && [ -z "$(find packages fuzz -newer "$object" \
		\( -name '*.h' -o -path "$1" \) -print -quit)" ]; then
		return
	fi
	case $1 in
	# shellcheck disable=SC2086 # lists of arguments
	*.cpp) clang++ -std=c++17 $compile_flags $includes -c "$1" -o "$object" ;;
	# shellcheck disable=SC2086
	*) clang -std=gnu17 -D_GNU_SOURCE -w $compile_flags $includes -c "$1" \
		-o "$object" ;;
	esac
}

# run_target TARGET: builds and runs a target. New inputs that it finds are kept
# in the build directory; those that fail are written next to the program.
run_target() {
	name=fuzz_$1
	objects=""
	for source in $(sources_of "$1") fuzz/$name.c; do
		compile_one "$source"
		objects="$objects $build/$(echo "$source" | tr / _).o"
	done
	corpus=$build/corpus_$1
	mkdir -p "$corpus"
	# shellcheck disable=SC2046,SC2086
	clang++ $link_flags $objects -o "$build/$name" \
		$(pkg-config --libs $libraries) -lm
	echo "fuzz: $name for $seconds s, sanitizers: ${sanitizers:-none}"
	"$build/$name" -max_total_time="$seconds" -max_len=8192 -seed=1 \
		-artifact_prefix="$build/$name-" -rss_limit_mb=1024 \
		-verbosity=0 -print_final_stats=1 "$corpus" \
		$([ "$1" = table ] && echo fuzz/corpus)
}

failed=""
for target in $targets; do
	run_target "$target" || failed="$failed $target"
done
[ -z "$failed" ] || {
	echo "fuzz: failed:$failed"
	exit 1
}
