#!/bin/sh
# Lists the C and C++ sources, generated files left out. An argument such as
# '*.c' narrows the list.
set -eu
git ls-files --cached --others --exclude-standard -- "${@:-*.[ch]}" \
	'*.cpp' '*.hpp' | grep -v '/generated/' | sort -u |
	while read -r f; do [ -f "$f" ] && echo "$f"; done
