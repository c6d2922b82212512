#!/bin/sh
# Builds the libFuzzer program with clang below $1 and runs it for $2 seconds
# (default 30) from the corpus in fuzz/corpus.
set -eu
build=${1:-build}/fuzz
seconds=${2:-30}
flags="-g -O1 -fsanitize=fuzzer-no-link,address,undefined"
includes="-Ipackages/base/include -Ipackages/config/include
-Ipackages/config $(pkg-config --cflags talloc tevent)"
sources="packages/base/str.c packages/base/hash.c packages/config/fault.c
packages/config/toml_scan.c packages/config/nearest.c
packages/config/schema.c packages/config/document.c packages/config/table.c
packages/config/table_read.c packages/config/table_rows.c
packages/config/roster.c packages/config/settings.c packages/config/check.c
fuzz/fuzz_table.c"

mkdir -p "$build/corpus"
objects=""
for source in $sources; do
	object=$build/$(basename "$source").o
	# shellcheck disable=SC2086 # lists of arguments
	clang -std=gnu17 -D_GNU_SOURCE $flags $includes -c "$source" \
		-o "$object"
	objects="$objects $object"
done
# shellcheck disable=SC2086
clang++ -std=c++17 $flags $includes -c packages/config/toml_adapter.cpp \
	-o "$build/toml_adapter.o"
# shellcheck disable=SC2086
clang++ -fsanitize=fuzzer,address,undefined $objects \
	"$build/toml_adapter.o" -o "$build/fuzz_table" \
	$(pkg-config --libs talloc libsodium libxxhash) -lm
"$build/fuzz_table" -max_total_time="$seconds" -max_len=8192 \
	-artifact_prefix="$build/" -rss_limit_mb=1024 -print_final_stats=1 "$build/corpus" fuzz/corpus
