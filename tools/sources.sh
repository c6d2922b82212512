#!/bin/sh
# Lists the C and C++ sources without generated files. An argument such as '*.c'
# replaces the pattern of the C sources; *.cpp and *.hpp are always listed.
set -eu
git ls-files --cached --others --exclude-standard -- "${@:-*.[ch]}" \
	'*.cpp' '*.hpp' | grep -v '/generated/' | sort -u |
	while read -r f; do [ -f "$f" ] && echo "$f"; done
