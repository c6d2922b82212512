#!/bin/sh
# Runs clang-tidy on each C source, with the compile commands of the build
# directory $1, $2 sources at a time. A source is skipped when a run without
# warnings is newer than the source, every header and .clang-tidy.
set -eu
build=$1
jobs=$2
stamps=$build/lint
mkdir -p "$stamps"
newest_header=$(git ls-files --cached --others --exclude-standard -- '*.h' \
	.clang-tidy | xargs ls -t 2>/dev/null | head -n 1)

sh tools/sources.sh '*.c' | grep '\.c$' | while read -r source; do
	stamp=$stamps/$(echo "$source" | tr '/' '_')
	if [ -f "$stamp" ] && [ "$stamp" -nt "$source" ] &&
		[ "$stamp" -nt "$newest_header" ]; then
		continue
	fi
	echo "$source"
done > "$stamps/pending"
xargs -r -n 1 -P "$jobs" sh -c '
	clang-tidy --quiet -p "$0" "$2" 2>"$1/err.$$" || {
		cat "$1/err.$$"; rm -f "$1/err.$$"; exit 255; }
	rm -f "$1/err.$$"
	touch "$1/$(echo "$2" | tr / _)"
' "$build" "$stamps" < "$stamps/pending"
echo "lint: clean"
