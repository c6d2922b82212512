#!/bin/sh
# Runs clang-tidy on each source of the build in directory $1, $2 at a time.
# A source whose last clean run is newer than every source is passed over.
set -eu
build=$1
jobs=$2
stamps=$build/lint
mkdir -p "$stamps"
newest_header=$(git ls-files --cached --others --exclude-standard -- '*.h' \
	.clang-tidy | xargs ls -t 2>/dev/null | head -n 1)

sh tools/sources.sh '*.c' | grep '\.c$' | while read -r f; do
	stamp=$stamps/$(echo "$f" | tr '/' '_')
	if [ -f "$stamp" ] && [ "$stamp" -nt "$f" ] &&
		[ "$stamp" -nt "$newest_header" ]; then
		continue
	fi
	echo "$f"
done > "$stamps/todo"
xargs -r -n 1 -P "$jobs" sh -c '
	clang-tidy --quiet -p "$0" "$2" 2>"$1/err.$$" || {
		cat "$1/err.$$"; rm -f "$1/err.$$"; exit 255; }
	rm -f "$1/err.$$"
	touch "$1/$(echo "$2" | tr / _)"
' "$build" "$stamps" < "$stamps/todo"
echo "lint: clean"
